package messenger_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

// pipeNetwork connects links to one server in memory.
type pipeNetwork struct {
	incoming chan net.Conn
	done     chan struct{}
	// dialed counts connections, of which the first lost ones pass no more bytes.
	dialed, lost atomic.Int64
}

// droppingConn loses what is sent and received once its path is lost.
type droppingConn struct {
	net.Conn
	network *pipeNetwork
	number  int64
}

func (c *droppingConn) lost() bool { return c.number <= c.network.lost.Load() }

// Read reads from the connection.
func (c *droppingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost() {
			return n, err
		}
	}
}

// Write writes to the connection.
func (c *droppingConn) Write(b []byte) (int, error) {
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{incoming: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for a connection.
func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-n.incoming:
		return c, nil
	case <-n.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (n *pipeNetwork) Close() error { return nil }

// Addr returns an address without a meaning.
func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection.
func (n *pipeNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case n.incoming <- server:
		return &droppingConn{Conn: client, network: n, number: n.dialed.Add(1)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.done:
		return nil, net.ErrClosed
	}
}

// thinkingRelay relays connections to an endpoint that answers a request after a while. Endpoints that are silent get no
// connection.
type thinkingRelay struct {
	messenger.UnimplementedFleetRouterServer
}

const (
	silentEndpoint = "silent"
	thinkDuration  = 8 * time.Second
	openTimeout    = 700 * time.Millisecond
)

// Relay serves one connection.
func (thinkingRelay) Relay(s messenger.FleetRouter_RelayServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if first.Endpoint == silentEndpoint {
		<-s.Context().Done()
		return s.Context().Err()
	}
	if err := s.Send(&messenger.RelayResponse{Result: messenger.RelayResult_RELAY_RESULT_CONNECTED}); err != nil {
		return err
	}
	if _, err := s.Recv(); err != nil {
		return err
	}
	select {
	case <-time.After(thinkDuration):
		return s.Send(&messenger.RelayResponse{Data: []byte("answer"), Ended: true})
	case <-s.Context().Done():
		return s.Context().Err()
	}
}

// withRelay runs a test in virtual time with a link to a relay, on which a request waits for its answer.
func withRelay(t *testing.T, test func(g *gomega.WithT, n *pipeNetwork, open func(ctx context.Context, endpoint string) (*messenger.RelayStream, error), s *messenger.RelayStream)) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		n := newPipeNetwork()
		rpc := messenger.NewFleetServer(zap.NewNop())
		messenger.RegisterFleetRouterServer(rpc, thinkingRelay{})
		go func() { _ = rpc.Serve(n) }()
		self := &messenger.FleetMember{Address: "10.0.0.1:7340", Incarnation: 4711}
		link := messenger.NewLinkWithDialer("relay", n.dial)
		defer func() {
			link.Close()
			close(n.done)
			rpc.Stop()
		}()
		open := func(ctx context.Context, endpoint string) (*messenger.RelayStream, error) {
			s, _, err := link.OpenRelay(ctx, openTimeout, self, endpoint)
			return s, err
		}
		s, err := open(context.Background(), "e")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer s.Close()
		g.Expect(s.Send(&messenger.RelayRequest{Data: []byte("request")})).To(gomega.Succeed())
		test(g, n, open, s)
	})
}

// A request waits for its answer through a relay while connections to another endpoint time out. Guards against a link that
// is taken for silent and closed under the request, whose caller then gets 502.
func TestLinkIsNotClosedUnderACall(t *testing.T) {
	withRelay(t, func(g *gomega.WithT, _ *pipeNetwork, open func(context.Context, string) (*messenger.RelayStream, error), s *messenger.RelayStream) {
		ctx, cancel := context.WithTimeout(context.Background(), thinkDuration/2)
		defer cancel()
		for ctx.Err() == nil {
			_, err := open(ctx, silentEndpoint)
			g.Expect(err).To(gomega.HaveOccurred())
		}
		g.Expect(s.Retired()).To(gomega.BeTrue(), "no further requests")
		reply, err := s.Recv()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(reply.Data)).To(gomega.Equal("answer"))
	})
}

// The path of a link is lost under a request. Guards against calls that hang on it, and against callers who wait for the
// end of their time instead of another attempt.
func TestCallsOnALostPathEnd(t *testing.T) {
	withRelay(t, func(g *gomega.WithT, n *pipeNetwork, open func(context.Context, string) (*messenger.RelayStream, error), s *messenger.RelayStream) {
		n.lost.Store(n.dialed.Load())
		begun := time.Now()
		ended := make(chan time.Duration, 1)
		go func() {
			_, _ = s.Recv()
			ended <- time.Since(begun)
		}()
		for n.dialed.Load() == 1 && time.Since(begun) < thinkDuration {
			next, err := open(context.Background(), "e")
			if err == nil {
				defer next.Close()
			}
		}
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 2*time.Second), "until another connection")
		g.Expect(<-ended).To(gomega.BeNumerically("<", thinkDuration/2))
	})
}
