package courier

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/forwarder"
)

// callerUse is what a caller's connection is used for at a moment.
type callerUse int

const (
	// useNone is the use of a new connection on which nothing was received yet.
	useNone callerUse = iota
	// useRequest is the use from the first byte of a request to the end of its answer.
	useRequest
	// useKept is the use of a connection that waits for its next request.
	useKept
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// callerConn is a connection of a caller. Between two requests it is closed by a read deadline. Unlike
// Close, that has no effect on a request which the HTTP server has read meanwhile. It is safe for
// concurrent use.
type callerConn struct {
	net.Conn
	server *callerServer

	mu  sync.Mutex
	use callerUse
	// deadline is the read deadline that the HTTP server has set, and closeAt the time at which the
	// connection is closed unless a request arrives before. Zero stands for none.
	deadline, closeAt time.Time
	// handled is set once the request in progress has a handler.
	handled bool
	// ahead is set once a byte of the next request was read during the one in progress.
	ahead bool
	// failure is the first error of a read or write in the request, unless the HTTP server caused it.
	failure error
	// headRead is set from the end of a request's head to the end of its answer, and ended once nothing more
	// is read.
	headRead, ended bool
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. The first byte of a request ends the wait for it.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.keepForRequest() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.beginRequest(len(b) == 1)
	}
	c.recordFailure(err)
	return n, err
}

// keepForRequest reports whether a request has arrived just as an unused connection was to be closed. The connection then
// stays open.
func (c *callerConn) keepForRequest() bool {
	if n, err := peek(c.Conn); n == 0 || err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == useRequest || c.closeAt.IsZero() || !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return false
	}
	c.closeAt = time.Time{}
	return c.applyDeadline() == nil
}

// Write writes to the connection. The HTTP server answers that a request is faulty if its head did not arrive in time.
// That is not sent, as the caller would not try again.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.headFailure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.recordFailure(err)
	return n, err
}

// recordFailure records why a read or write failed during a request.
func (c *callerConn) recordFailure(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The HTTP server ends its own reads by a deadline in the distant past.
	aborted := errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, acceptor.ErrEvicted) && !c.deadline.IsZero() && c.deadline.Unix() <= 1
	if c.use == useRequest && c.failure == nil && !aborted {
		c.failure = err
	}
}

// headFailure returns the error with which the head of a request ended, if its time was over.
func (c *callerConn) headFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handled || !errors.Is(c.failure, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.failure
}

// beginHandler records that the request in progress has a handler.
func (c *callerConn) beginHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// End returns why the connection can no longer be used for the request in progress, or "" if it can.
func (c *callerConn) End() forwarder.ConnectionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failure == nil:
		return ""
	case errors.Is(c.failure, acceptor.ErrEvicted):
		return forwarder.Evicted
	case errors.Is(c.failure, os.ErrDeadlineExceeded):
		return forwarder.EndedByDeadline
	case errors.Is(c.failure, io.EOF):
		return forwarder.ClosedByCaller
	case errors.Is(c.failure, syscall.ECONNRESET), errors.Is(c.failure, syscall.EPIPE):
		return forwarder.ResetByCaller
	case errors.Is(c.failure, net.ErrClosed):
		return forwarder.ClosedByRouter
	}
	return forwarder.EndedOtherwise
}

// Protect keeps the connection open until the request in progress is answered. It returns why it is not, if the caller
// has ended the connection or the router is about to. The server reads the end of the connection beside the handler,
// which may be ahead of it.
func (c *callerConn) Protect() forwarder.ConnectionEnd {
	switch _, err := peek(c.Conn); {
	case err == io.EOF:
		return forwarder.ClosedByCaller
	case err != nil:
		return forwarder.ResetByCaller
	case !acceptor.Protect(c.Conn):
		return forwarder.Evicted
	}
	return ""
}

// innermost returns the connection below all others.
func innermost(n net.Conn) net.Conn {
	for {
		x, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			return n
		}
		n = x.NetConn()
	}
}

// peek returns how many bytes the next read of a connection returns at once, at most one, and its error. Both are zero if
// it would wait. A read may wait on the connection meanwhile.
func peek(n net.Conn) (int, error) {
	s, ok := innermost(n).(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var received int
	var failure error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		received, _, failure = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case failure == syscall.EAGAIN, failure == syscall.EINTR:
		return 0, nil
	case failure != nil:
		return 0, failure
	case received == 0:
		return 0, io.EOF
	}
	return received, nil
}

// SetReadDeadline sets the read deadline, which is not later than closeAt.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// applyDeadline sets the read deadline that is in force. The caller holds c.mu.
func (c *callerConn) applyDeadline() error {
	t := c.deadline
	if !c.closeAt.IsZero() && (t.IsZero() || c.closeAt.Before(t)) {
		t = c.closeAt
	}
	if c.ended {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest records that a request arrives, so that the connection stays open. The HTTP server reads a single byte
// while it handles a request, which belongs to the next one.
func (c *callerConn) beginRequest(single bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == useRequest {
		c.ahead = c.ahead || single && c.handled
		return
	}
	c.use, c.failure = useRequest, nil
	if !c.closeAt.IsZero() {
		c.closeAt = time.Time{}
		// An error shows in the next read as well.
		_ = c.applyDeadline()
	}
}

// endHead records that the head of a request was read.
func (c *callerConn) endHead() {
	// The request may have been read together with the one before.
	c.beginRequest(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = true
}

// endRequest records that a request was answered. The next one may have begun.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	c.failure, c.handled, c.headRead = nil, false, false
	if !c.ahead {
		c.use = useKept
	}
	c.ahead = false
	c.mu.Unlock()
	c.closeUnused(c.server.closing())
}

// currentUse returns what the connection is used for now.
func (c *callerConn) currentUse() callerUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use
}

// inRequest reports whether a request or its answer is under way.
func (c *callerConn) inRequest() bool { return c.currentUse() == useRequest }

// closeUnused closes the connection soon, unless a request arrives before, if it is one of those that
// are to be closed.
func (c *callerConn) closeUnused(which closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeAt.IsZero() || !which.includes(c.use) {
		return
	}
	c.closeAt = time.Now().Add(c.server.closeDelay())
	// An error shows in the next read as well.
	_ = c.applyDeadline()
}

// endReads makes the reads of a request whose head was read fail, so that it can be answered.
func (c *callerConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.headRead {
		return
	}
	c.ended = true
	// An error shows in the next read as well.
	_ = c.applyDeadline()
}

// CloseWrite ends the router's side of the connection. The HTTP server does so before it closes a connection on which a
// part of a body is unread.
func (c *callerConn) CloseWrite() error {
	if x, ok := innermost(c.Conn).(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Close closes the connection, after an answer once its caller has received it if it has sent more.
func (c *callerConn) Close() error {
	if c.answersUnread() && !c.server.ended.Load() {
		c.linger()
	}
	c.server.remove(c)
	return c.Conn.Close()
}

// answersUnread reports whether the connection ends after an answer whose caller has sent bytes that nobody reads. The
// system resets a connection that is closed with such bytes, and discards what its caller has not received yet.
func (c *callerConn) answersUnread() bool {
	c.mu.Lock()
	ahead, answered := c.ahead, c.use == useRequest && c.handled && c.failure == nil
	c.mu.Unlock()
	if !answered {
		return false
	}
	n, err := peek(c.Conn)
	return err == nil && (ahead || n > 0)
}

// linger ends the router's side of the connection, and discards what comes until the caller ends its own.
func (c *callerConn) linger() {
	_ = c.CloseWrite()
	raw := innermost(c.Conn)
	if raw.SetReadDeadline(time.Now().Add(lingerTimeout+c.server.ownDelay())) == nil {
		// The connection is closed in any case.
		_, _ = io.CopyN(io.Discard, raw, maxLingerBytes)
	}
}
