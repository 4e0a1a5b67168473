package relayer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/detector"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/reporter"
)

const (
	// maxRelayed is the maximum number of connections that a router relays at a time.
	maxRelayed = 512
	// connectTimeout bounds a connection attempt for another router. It ends before the other
	// router gives up.
	connectTimeout = 300 * time.Millisecond
	// maxRefusalLogLines is the maximum number of log lines a second about callers without a proof.
	maxRefusalLogLines = 5
	// relayBufferBytes is the size of the buffer for bytes of an endpoint. Events of streams are
	// shorter.
	relayBufferBytes = 4<<10 - messageOverhead
)

// Endpoints connects a relay to endpoints.
type Endpoints interface {
	// Connect opens a connection to the endpoint in service with the given name. It returns
	// ErrUnknownEndpoint if there is none, and ErrNoPath if the path there is known to be lost.
	Connect(ctx context.Context, name string) (net.Conn, error)
	// ReachesOthers reports whether an endpoint other than the named one accepts connections.
	ReachesOthers(ctx context.Context, name string) bool
	// Busy reports whether relaying would delay the callers of this router.
	Busy() bool
	// Record records the bytes that pass through the relay in one direction.
	Record(n int)
}

// Errors of Connect. Compare with errors.Is.
var (
	ErrUnknownEndpoint = errors.New("no such endpoint in service")
	ErrNoPath          = errors.New("no path to the endpoint")
)

// Server relays connections for other routers. It is safe for concurrent use.
type Server struct {
	endpoints Endpoints
	guard     *messenger.MemberGuard
	// refused is called for each caller without a valid proof: it may have started lately.
	refused func()
	log     *zap.Logger
	// refusalLog logs at most maxRefusalLogLines a second.
	refusalLog *zap.Logger
	// proven returns a relay that connected this router lately, or "".
	proven func() string
	active atomic.Int64

	mu      sync.Mutex
	relays  map[*relay]bool
	closing bool
}

// NewServer returns a server for the members that the guard admits. It calls refused for each caller
// that the guard does not admit.
func NewServer(e Endpoints, g *messenger.MemberGuard, refused func(), proven func() string, log *zap.Logger) *Server {
	return &Server{
		endpoints: e, guard: g, refused: refused, proven: proven, log: log, refusalLog: reporter.Sampled(log, maxRefusalLogLines), relays: map[*relay]bool{},
	}
}

// Active returns the number of connections that are relayed.
func (s *Server) Active() int { return int(s.active.Load()) }

// relay is one relayed connection.
type relay struct {
	server   *Server
	endpoint net.Conn
	mu       sync.Mutex
	stream   messenger.FleetRouter_RelayServer
}

// Relay serves one connection.
func (s *Server) Relay(stream messenger.FleetRouter_RelayServer) error {
	if err := s.guard.Check(stream.Context(), messenger.FleetRouter_Relay_FullMethodName); err != nil {
		relayProofsRefused.Inc()
		s.refused()
		s.refusalLog.Warn("relay refused", zap.Error(err))
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	c, declined := s.connect(stream.Context(), first.Endpoint)
	if c == nil {
		countDeclined(declined)
		return stream.Send(&messenger.RelayResponse{Result: declined, Relay: s.proven()})
	}
	defer s.active.Add(-1)
	defer c.Close()
	r := &relay{server: s, endpoint: detector.New(c), stream: stream}
	if err := r.send(&messenger.RelayResponse{Result: messenger.RelayResult_RELAY_RESULT_CONNECTED}); err != nil {
		return err
	}
	s.add(r)
	defer s.remove(r)
	relaysServed.Inc()
	go r.forward()
	return r.back()
}

// connect opens a connection for another router, which counts as active. It returns nil and the
// reason if it can't.
func (s *Server) connect(ctx context.Context, name string) (net.Conn, messenger.RelayResult) {
	if s.active.Add(1) > maxRelayed || s.endpoints.Busy() || s.isClosing() {
		s.active.Add(-1)
		return nil, messenger.RelayResult_RELAY_RESULT_BUSY
	}
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := s.endpoints.Connect(dialCtx, name)
	if err == nil {
		return c, messenger.RelayResult_RELAY_RESULT_CONNECTED
	}
	s.active.Add(-1)
	switch {
	case errors.Is(err, ErrUnknownEndpoint):
		return nil, messenger.RelayResult_RELAY_RESULT_UNKNOWN_ENDPOINT
	case errors.Is(err, ErrNoPath) || !s.endpoints.ReachesOthers(ctx, name):
		return nil, messenger.RelayResult_RELAY_RESULT_NO_PATH
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, messenger.RelayResult_RELAY_RESULT_ENDPOINT_REFUSED
	}
	return nil, messenger.RelayResult_RELAY_RESULT_ENDPOINT_SILENT
}

// forward passes bytes to the endpoint until the other router ends the connection.
func (r *relay) forward() {
	// Ends back as well. The endpoint drops a request whose connection closes.
	defer r.endpoint.Close()
	for {
		m, err := r.stream.Recv()
		if err != nil {
			return
		}
		r.server.endpoints.Record(len(m.Data))
		if _, err := r.endpoint.Write(m.Data); err != nil {
			return
		}
	}
}

// back passes bytes of the endpoint back until it closes the connection.
func (r *relay) back() error {
	b := make([]byte, relayBufferBytes)
	for {
		n, err := r.endpoint.Read(b)
		if n > 0 {
			r.server.endpoints.Record(n)
			if err := r.send(&messenger.RelayResponse{Data: b[:n]}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return r.send(&messenger.RelayResponse{Ended: true})
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

func (r *relay) send(m *messenger.RelayResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Send(m)
}

func (s *Server) add(r *relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relays[r] = true
}

func (s *Server) remove(r *relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.relays, r)
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// Drain relays no new connections, and tells the other routers to send no more requests on open
// ones.
func (s *Server) Drain() {
	s.mu.Lock()
	s.closing = true
	open := make([]*relay, 0, len(s.relays))
	for r := range s.relays {
		open = append(open, r)
	}
	s.mu.Unlock()
	for _, r := range open {
		// A send blocks while the other router does not read.
		go func() {
			if err := r.send(&messenger.RelayResponse{Closing: true}); err != nil {
				s.log.Info("relayed connection ended before it was told of the stop", zap.Error(err))
			}
		}()
	}
}
