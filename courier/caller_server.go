package courier

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
)

const (
	// closeDelay is the time from the decision to close an unused connection to its end. A request that
	// is on its way then is read and answered; round trips to callers take some milliseconds, and the
	// delay that the router itself causes, up to maxCloseDelay.
	closeDelay    = 50 * time.Millisecond
	maxCloseDelay = 2 * time.Second
	// lingerTimeout is how long a connection with unread bytes stays half open so that its caller receives the
	// answer, unless the router itself delays it, and maxLingerBytes how much of what comes is discarded.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// lastAnswersDelay is the time in which requests that a shutdown ends are answered.
	lastAnswersDelay = 100 * time.Millisecond
)

// closing tells which connections are closed while they bring no request.
type closing int32

const (
	// closingNone closes idle connections after idleTimeout only.
	closingNone closing = iota
	// closingKept closes connections after a request was answered.
	closingKept
	// closingAll also closes those that have not brought a request yet.
	closingAll
)

// includes reports whether a connection in that use is closed.
func (c closing) includes(u callerUse) bool {
	return u == useKept && c != closingNone || u == useNone && c == closingAll
}

// callerServer serves the connections of callers. It closes none under a request of which it has read a
// byte, except at the deadline of its shutdown. It is safe for concurrent use.
type callerServer struct {
	server http.Server
	log    *zap.Logger
	// delay returns by how much the router itself delays its callers; nil if that is unknown.
	delay func() time.Duration
	// active counts the requests that are being handled.
	active atomic.Int64
	which  atomic.Int32
	// endRequests ends the requests in progress, which are answered if they still can be.
	endRequests context.CancelCauseFunc
	// ended is set once connections are closed whatever they are used for.
	ended atomic.Bool
	// accepting counts the calls of serve.
	accepting sync.WaitGroup

	mu sync.Mutex
	// listener is nil before serve, and stopped is set once no more connections are accepted.
	listener net.Listener
	stopped  bool
	open     map[*callerConn]bool
}

// newCallerServer returns a server whose requests h handles.
func newCallerServer(h http.Handler, log *zap.Logger) *callerServer {
	base, end := context.WithCancelCause(context.Background())
	s := &callerServer{log: log, open: map[*callerConn]bool{}, endRequests: end}
	s.server = http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnState: recordUse,
		BaseContext: func(net.Listener) context.Context { return base },
		ConnContext: func(ctx context.Context, n net.Conn) context.Context {
			return forwarder.WithCallerConnection(ctx, n.(*callerConn))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.active.Add(1)
			defer s.active.Add(-1)
			if c, ok := forwarder.CallerConnectionOf(r.Context()).(*callerConn); ok {
				c.beginHandler()
			}
			if s.closing() != closingNone {
				w.Header().Set("Connection", "close")
			}
			h.ServeHTTP(w, r)
		}),
	}
	return s
}

// recordUse records the use of a connection that its state in the HTTP server shows.
func recordUse(n net.Conn, s http.ConnState) {
	c, ok := n.(*callerConn)
	switch {
	case !ok:
	case s == http.StateActive:
		c.endHead()
	case s == http.StateIdle:
		c.endRequest()
	}
}

// Active returns the number of requests that are being handled.
func (s *callerServer) Active() int64 { return s.active.Load() }

// ownDelay returns by how much the router itself delays its callers.
func (s *callerServer) ownDelay() time.Duration {
	if s.delay == nil {
		return 0
	}
	return s.delay()
}

// closeDelay returns the time until an unused connection is closed.
func (s *callerServer) closeDelay() time.Duration {
	return min(closeDelay+s.ownDelay(), maxCloseDelay)
}

// closing returns which connections are closed now.
func (s *callerServer) closing() closing { return closing(s.which.Load()) }

// serve accepts connections until the listener is closed.
func (s *callerServer) serve(l net.Listener) error {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener = l
	s.accepting.Add(1)
	s.mu.Unlock()
	defer s.accepting.Done()
	return s.server.Serve(callerListener{l, s})
}

// callerListener returns connections of a callerServer.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept waits for a connection.
func (l callerListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: n, server: l.server}
	l.server.add(c)
	return c, nil
}

func (s *callerServer) add(c *callerConn) {
	s.mu.Lock()
	s.open[c] = true
	s.mu.Unlock()
	c.closeUnused(s.closing())
}

func (s *callerServer) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connections returns the open connections.
func (s *callerServer) connections() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// keepConnections sets whether connections stay open after an answer. If not, callers are told so with
// the next answer, and connections that wait for a request are closed.
func (s *callerServer) keepConnections(keep bool) {
	if keep {
		s.which.CompareAndSwap(int32(closingKept), int32(closingNone))
		return
	}
	if s.which.CompareAndSwap(int32(closingNone), int32(closingKept)) {
		s.closeUnused()
	}
}

func (s *callerServer) closeUnused() {
	for _, c := range s.connections() {
		c.closeUnused(s.closing())
	}
}

// shutdown closes the listener, connections without a request, and all others once their requests are
// answered. Requests that are left at the deadline are ended, and connections cut off lastAnswersDelay
// later.
func (s *callerServer) shutdown(deadline time.Time) {
	s.mu.Lock()
	s.stopped = true
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		// Nothing more is accepted in any case.
		_ = l.Close()
	}
	s.accepting.Wait()
	s.which.Store(int32(closingAll))
	s.closeUnused()
	s.awaitClosed(deadline)
	s.endRequests(forwarder.ErrRouterStops)
	for _, c := range s.connections() {
		c.endReads()
	}
	// The deadline may have been noticed late.
	s.awaitClosed(time.Now().Add(lastAnswersDelay))
	if n := s.countRequests(); n > 0 {
		s.log.Warn("connections cut off under requests", zap.Int("connections", n))
	}
	s.ended.Store(true)
	// The listener has reported its error, and there is nobody to tell of the others.
	_ = s.server.Close()
}

// awaitClosed waits until all connections are closed, or for a deadline.
func (s *callerServer) awaitClosed(deadline time.Time) {
	for len(s.connections()) > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// countRequests returns the number of connections that bring a request or its answer.
func (s *callerServer) countRequests() int {
	n := 0
	for _, c := range s.connections() {
		if c.inRequest() {
			n++
		}
	}
	return n
}
