package measurer

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/messenger"
)

// The experiment measures what one call between two processes costs, whatever it
// carries: proof, frames and headers of HTTP/2, both processes' work.
var _ = register(Experiment{
	Name: "calls", Short: "One call between processes: bytes both ways, processor time of both sides",
	Run: runCallSlopes,
})

var sampleKey = []byte("a key of the sample deployment")

// sink answers every call with an empty reply.
type sink struct {
	messenger.UnimplementedRouterPeerServer
}

func (sink) Recall(context.Context, *messenger.RecallRequest) (*messenger.RecallReply, error) {
	return &messenger.RecallReply{}, nil
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func runCallSlopes(ctx context.Context, r *Report) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bytes atomic.Int64
	server := messenger.NewServer(messenger.Keys{messenger.RoleMember: sampleKey})
	messenger.RegisterRouterPeerServer(server, sink{})
	go func() { _ = server.Serve(countedListener{Listener: l, bytes: &bytes}) }()
	defer server.Stop()
	conn, err := messenger.NewDialer("zone-01-router-00", messenger.RoleMember, sampleKey).Dial(l.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	xs := sizes(500, 1000, 2000, 4000)
	if err := callMany(ctx, conn, xs[0]); err != nil {
		return err
	}
	var seconds, sent []Point
	for _, n := range xs {
		before := bytes.Load()
		var failed error
		s := processorSeconds(func() { failed = callMany(ctx, conn, n) })
		if failed != nil {
			return failed
		}
		seconds = append(seconds, Point{X: float64(n), Y: s})
		sent = append(sent, Point{X: float64(n), Y: float64(bytes.Load() - before)})
	}
	r.Slope("any", "call_processor", "s", "call, both sides", seconds)
	r.Slope("any", "call_bytes", "B", "call, both ways", sent)
	return nil
}

func callMany(ctx context.Context, conn *grpc.ClientConn, n int) error {
	c := messenger.NewRouterPeerClient(conn)
	for range n {
		if _, err := c.Recall(ctx, &messenger.RecallRequest{Workspace: sampleWorkspaceName(0)}); err != nil {
			return err
		}
	}
	return nil
}
