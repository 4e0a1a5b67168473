package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
)

// Track makes a server report what the connections of the port are used for. It is called before the server
// serves, and after the server has its handler and its hooks.
func (p *Port) Track(s *http.Server) {
	p.framed = true
	next, handler := s.ConnState, s.Handler
	s.ConnState = func(n net.Conn, state http.ConnState) {
		if c := unwrap(n); c != nil {
			switch state {
			case http.StateActive:
				c.enter(phaseBody)
			case http.StateIdle:
				c.enter(phaseKept)
			}
		}
		if next != nil {
			next(n, state)
		}
	}
	nextContext := s.ConnContext
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, n)
		}
		return context.WithValue(ctx, connKey{}, unwrap(n))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if !c.enter(phaseAnswer) {
			refuseEvicted(w)
			return
		}
		if r.ContentLength == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		body := &trackedBody{ReadCloser: r.Body, conn: c}
		r.Body = body
		handler.ServeHTTP(w, r)
		if !body.ended {
			// The server reads the rest before it sends the answer.
			c.enter(phaseBody)
		}
	})
}

// refuseEvicted answers a request that was read on a connection that is being closed.
func refuseEvicted(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Protect keeps a connection of a port open until the request in progress is answered, whatever the port is short of.
// It is called before the request is sent on, which must not happen if it reports false: the connection is being closed.
func Protect(n net.Conn) bool {
	c := unwrap(n)
	return c == nil || c.protect()
}

// ProtectRequest is Protect for the connection of a request with a context.
func ProtectRequest(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c == nil || c.protect()
}

type connKey struct{}

// unwrap returns the connection of a port, or nil.
func unwrap(n net.Conn) *conn {
	for n != nil {
		if c, ok := n.(*conn); ok {
			return c
		}
		x, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		n = x.NetConn()
	}
	return nil
}

// trackedBody records the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn *conn
	// begun is set once the body is being read, and ended once its end was read.
	begun, ended bool
}

// Read reads the body. On a connection that is being closed it does not reach its end: the client does not receive the
// answer of a request that runs.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.enter(phaseBody)
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		if !b.conn.enter(phaseAnswer) {
			return n, ErrEvicted
		}
	}
	return n, err
}

// LimitAnswers returns a handler that passes up to n requests at a time to another, and refuses all others.
func LimitAnswers(n int, next http.Handler) http.Handler {
	places := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			next.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
