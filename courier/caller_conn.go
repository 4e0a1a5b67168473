package courier

import (
	"net"
	"sync"
	"time"
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
	// headRead is set from the end of a request's head to the end of its answer, and ended once nothing more
	// is read.
	headRead, ended bool
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. The first byte of a request ends the wait for it.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.beginRequest()
	}
	return n, err
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

// beginRequest records that a request arrives, so that the connection stays open.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == useRequest {
		return
	}
	c.use = useRequest
	if !c.closeAt.IsZero() {
		c.closeAt = time.Time{}
		// An error shows in the next read as well.
		_ = c.applyDeadline()
	}
}

// endHead records that the head of a request was read.
func (c *callerConn) endHead() {
	// The request may have been read together with the one before.
	c.beginRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = true
}

// endRequest records that a request was answered.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	c.use, c.headRead = useKept, false
	c.mu.Unlock()
	c.closeUnused(c.server.closing())
}

// inRequest reports whether a request or its answer is under way.
func (c *callerConn) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use == useRequest
}

// closeUnused closes the connection soon, unless a request arrives before, if it is one of those that
// are to be closed.
func (c *callerConn) closeUnused(which closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeAt.IsZero() || !which.includes(c.use) {
		return
	}
	c.closeAt = time.Now().Add(closeDelay)
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

// Close closes the connection.
func (c *callerConn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}
