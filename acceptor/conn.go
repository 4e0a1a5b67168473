package acceptor

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for at a moment.
type phase int

const (
	// phaseNew is the phase before the first byte of the first request.
	phaseNew phase = iota
	// phaseHead is the phase from the first byte of a request to the end of its head.
	phaseHead
	// phaseBody is the phase from there to the end of the body.
	phaseBody
	// phaseAnswer is the phase from there to the end of the answer.
	phaseAnswer
	// phaseKept is the phase from there to the next request.
	phaseKept
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a client's connection. It is safe for concurrent use.
type conn struct {
	net.Conn
	port *Port

	mu    sync.Mutex
	phase phase
	// since is when the phase began, or when the last progress was made in it.
	since time.Time
	// received counts the bytes since the last progress.
	received int
	// writingSince is when the write in progress began, or zero.
	writingSince time.Time
	// carriesCalls is set once a call of another process was received.
	carriesCalls atomic.Bool
	evicted      bool
}

// Read reads from the connection, and counts what it reads of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if failed := c.record(b[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}

// record records what was received, and returns the error with which the connection ends if it is too much.
func (c *conn) record(b []byte) error {
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return os.ErrDeadlineExceeded
	}
	if !c.port.framed {
		c.since = time.Now()
		c.mu.Unlock()
		return nil
	}
	switch c.phase {
	case phaseNew, phaseKept:
		c.phase, c.since = phaseHead, time.Now()
	case phaseBody:
		if c.received += len(b); c.received >= progressBytes {
			c.received, c.since = 0, time.Now()
		}
	}
	c.mu.Unlock()
	return nil
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(b)
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.received = p, time.Now(), 0
}

// CarryCall records that a call of another process was received.
func (c *conn) CarryCall() {
	if c.carriesCalls.Load() {
		return
	}
	c.port.recordProven(c)
}

// standing returns how soon the connection is closed if there is no room, or false if it is not.
func (c *conn) standing(now time.Time) (standing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.since)
	switch {
	case c.evicted:
		return standing{}, false
	case !c.port.framed:
		return c.standingOfCalls(idle), true
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) >= stallTimeout:
		return standing{rankStalledBody, c.writingSince}, true
	case c.phase == phaseAnswer:
		return standing{}, false
	case c.phase == phaseBody && idle >= stallTimeout:
		return standing{rankStalledBody, c.since}, true
	case c.phase == phaseBody:
		return standing{rankBody, c.since}, true
	case c.phase == phaseKept && idle >= keptDuration:
		return standing{rankKept, c.since}, true
	case c.phase != phaseKept && idle >= stallTimeout:
		return standing{rankStalledHead, c.since}, true
	}
	return standing{rankHead, c.since}, true
}

// standingOfCalls returns the standing of a connection between processes. The caller holds c.mu.
func (c *conn) standingOfCalls(idle time.Duration) standing {
	switch {
	case c.carriesCalls.Load() && idle >= idleDuration:
		return standing{rankKept, c.since}
	case c.carriesCalls.Load():
		return standing{rankBody, c.since}
	case idle >= stallTimeout:
		return standing{rankStalledHead, c.since}
	}
	return standing{rankHead, c.since}
}

// holdsRequest reports whether the connection holds a part of a request.
func (c *conn) holdsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseBody || !c.writingSince.IsZero()
}

// evict ends the connection. A request in progress fails to read its body, and is answered if it still can be.
func (c *conn) evict(s standing, reason string) {
	c.mu.Lock()
	c.evicted = true
	c.mu.Unlock()
	c.port.counters.evicted(reason).Inc()
	c.port.reportCrowd(reason)
	if !s.inRequest() {
		_ = c.Close()
		return
	}
	// An error shows in the next read or write as well.
	_ = c.Conn.SetReadDeadline(past)
	if s.rank == rankStalledBody {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(closeGrace))
	}
	time.AfterFunc(closeGrace, func() { _ = c.Close() })
}

// SetReadDeadline sets the deadline of reads. It has no effect on a connection that is being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.port.remove(c)
	return c.Conn.Close()
}
