package courier

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerServer serves the connections of callers. It is safe for concurrent use.
type callerServer struct {
	server http.Server
	// active counts the requests in progress.
	active atomic.Int64
}

// newCallerServer returns a server whose requests h handles.
func newCallerServer(h http.Handler) *callerServer {
	s := &callerServer{}
	s.server = http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.active.Add(1)
			defer s.active.Add(-1)
			h.ServeHTTP(w, r)
		}),
	}
	return s
}

// Active returns the number of requests in progress.
func (s *callerServer) Active() int64 { return s.active.Load() }

// serve accepts connections until the listener is closed.
func (s *callerServer) serve(l net.Listener) error { return s.server.Serve(l) }

// keepConnections sets whether connections stay open after an answer. If not, idle ones are closed.
func (s *callerServer) keepConnections(keep bool) { s.server.SetKeepAlivesEnabled(keep) }

// shutdown closes the listener and idle connections, and then all others once the requests that
// arrived before have ended, or at the deadline.
func (s *callerServer) shutdown(deadline time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The server is closed in any case, so the error says nothing.
	go func() { _ = s.server.Shutdown(ctx) }()
	for {
		time.Sleep(drainPollInterval)
		if s.Active() == 0 || !time.Now().Before(deadline) {
			_ = s.server.Close()
			return
		}
	}
}
