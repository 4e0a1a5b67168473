package acceptor

import (
	"bytes"
	"io"
	"net"
	"net/netip"
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

const (
	// headByteCost and fieldCost are the memory that a byte and a field of a head take while they are read
	// and once they are parsed.
	headByteCost = 3
	fieldCost    = 160
	// pipelineBytes is what the server may read of a request together with the one before.
	pipelineBytes = 4 << 10
)

// connectionCosts are the memory of a connection in bytes: its goroutine, the buffers of the server, and what the kernel
// may hold of it, which is little while the client waits and several times receiveBufferBytes while it sends.
var connectionCosts = map[phase]int64{phaseNew: 64 << 10, phaseHead: 64 << 10, phaseBody: 64 << 10, phaseAnswer: 32 << 10, phaseKept: 24 << 10}

// Answers to requests whose head exceeds the limit, or for whose head there is no memory.
const (
	answerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerNoMemory = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// ErrEvicted is returned by reads and writes of a connection that is closed for lack of room. Servers take it for a
// deadline that has passed. Compare with errors.Is.
var ErrEvicted error = evictedError{}

type evictedError struct{}

// Error returns the text of the error.
func (evictedError) Error() string { return "connection closed for others" }

// Timeout reports that a deadline has passed.
func (evictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (evictedError) Temporary() bool { return true }

// Unwrap returns the error of a deadline that has passed, for errors.Is.
func (evictedError) Unwrap() error { return os.ErrDeadlineExceeded }

// conn is a client's connection. It is safe for concurrent use.
type conn struct {
	net.Conn
	port *Port
	// machine is the address of the client's machine.
	machine netip.Addr

	mu    sync.Mutex
	phase phase
	// since is when the phase began, or when the last progress was made in it.
	since time.Time
	// received counts the bytes since the last progress, and headBytes those of the head.
	received, headBytes int
	// held is the memory that the head takes, in bytes, or what has arrived of the first call.
	held int
	// cost is the memory of the connection itself, in bytes.
	cost int64
	// reading is set while the server waits for its client, and readAt is when it last stopped to.
	reading bool
	readAt  time.Time
	// writingSince is when the write in progress began, or zero.
	writingSince time.Time
	// carriesCalls is set once a call of another process was received, and calls counts those under way.
	carriesCalls atomic.Bool
	calls        int
	// protected is set while a request is in progress that was sent on.
	protected bool
	evicted   bool
	closed    bool
	// deadline is the read deadline that the server has set, and closeAt the time at which a kept connection is
	// closed for others unless a request arrives before. Zero stands for none.
	deadline, closeAt time.Time
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, and counts what it reads of a request.
func (c *conn) Read(b []byte) (int, error) {
	c.beginRead(time.Now())
	n, err := c.Conn.Read(b)
	c.endRead(time.Now())
	if n == 0 {
		return n, c.explain(err)
	}
	if failed := c.record(b[:n]); failed != nil {
		return 0, failed
	}
	return n, c.explain(err)
}

// explain returns the error of a read or write, or ErrEvicted if the connection was closed for others.
func (c *conn) explain(err error) error {
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return ErrEvicted
	}
	return err
}

// record records what was received, and returns the error with which the connection ends if it is too much.
func (c *conn) record(b []byte) error {
	c.mu.Lock()
	if !c.port.framed && c.evicted {
		c.mu.Unlock()
		return ErrEvicted
	}
	if !c.port.framed {
		c.since = time.Now()
		c.mu.Unlock()
		if c.carriesCalls.Load() {
			return nil
		}
		return c.port.recordUnproven(c, len(b))
	}
	if !c.closeAt.IsZero() {
		c.keep()
	}
	inHead, kept := c.phase == phaseNew || c.phase == phaseKept || c.phase == phaseHead, c.phase == phaseKept
	switch {
	case inHead && c.phase != phaseHead:
		c.headBytes = 0
		c.begin(phaseHead)
	case c.phase == phaseBody:
		if c.received += len(b); c.received >= progressBytes {
			c.received, c.since = 0, time.Now()
		}
	}
	c.mu.Unlock()
	if kept {
		// Many kept connections may bring their next requests at once. This one does not end for it.
		c.port.relieve(func(x *conn) bool { return x != c })
	}
	if !inHead {
		return nil
	}
	return c.recordHead(b)
}

// recordHead counts a part of a head before it is parsed.
func (c *conn) recordHead(b []byte) error {
	if end := bytes.Index(b, []byte("\r\n\r\n")); end >= 0 {
		// What follows belongs to the body.
		b = b[:end]
	}
	c.headBytes += len(b)
	if l := c.port.limits.HeadBytes; l != nil && l() > 0 && int64(c.headBytes) > l()+pipelineBytes {
		c.port.counters.largeHeads.Inc()
		return c.refuse(answerTooLarge)
	}
	cost := headByteCost*len(b) + fieldCost*bytes.Count(b, []byte("\n"))
	if c.acquire(cost) != nil {
		return c.refuse(answerNoMemory)
	}
	return nil
}

// refuse answers a request of which the server knows nothing yet, and returns the error with which the server closes
// the connection without an answer of its own.
func (c *conn) refuse(answer string) error {
	// The client may have gone.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(closeGrace))
	_, _ = io.WriteString(c.Conn, answer)
	return os.ErrDeadlineExceeded
}

// acquire takes memory for what was received, which is returned once it is answered.
func (c *conn) acquire(cost int) error {
	if err := c.port.acceptor.memory.Acquire(cost); err != nil {
		c.port.counters.refusedHeads.Inc()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.port.acceptor.memory.Free(cost)
		return net.ErrClosed
	}
	c.held += cost
	return nil
}

// heldBytes returns the memory that the head takes, or what has arrived of the first call.
func (c *conn) heldBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	n, err := c.Conn.Write(b)
	return n, c.explain(err)
}

// beginRead records that the server waits for its client. The time before was the server's, from the end of the last read
// or from the begin of the phase.
func (c *conn) beginRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	from := c.since
	if c.readAt.After(from) {
		from = c.readAt
	}
	c.since = c.since.Add(max(now.Sub(from), 0))
}

// endRead records that the server has something to do.
func (c *conn) endRead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.readAt = false, now
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// enter begins a phase. It reports false for a connection that is being closed.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(p)
	if p == phaseKept {
		c.free()
	}
	return !c.evicted
}

// begin is enter for a caller that holds c.mu.
func (c *conn) begin(p phase) {
	c.phase, c.since, c.received = p, time.Now(), 0
	if p != phaseAnswer {
		c.protected = false
	}
	if !c.closed {
		c.addCost(p)
	}
}

// protect keeps the connection open until the request in progress is answered. It reports false if the connection is
// being closed already.
func (c *conn) protect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.protected = !c.evicted
	return c.protected
}

// addCost counts what the connection takes in a phase. The caller holds c.mu, or has the only reference.
func (c *conn) addCost(p phase) {
	next := connectionCosts[p]
	c.port.connectionBytes.Add(next - c.cost)
	c.cost = next
}

// free returns the memory of the request. The caller holds c.mu.
func (c *conn) free() {
	c.port.acceptor.memory.Free(c.held)
	c.held = 0
}

// CarryCall records that a call of another process was received, until the function that it returns is called.
func (c *conn) CarryCall() (end func()) {
	if !c.carriesCalls.Load() {
		c.port.recordProven(c)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free()
	c.calls++
	return c.endCall
}

// standing returns how soon the connection is closed if there is no room, or false if it is not. It is stalled after the
// time stall without progress.
func (c *conn) standing(now time.Time, stall time.Duration) (standing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentStanding(now, stall)
}

// currentStanding is standing for a caller that holds c.mu.
func (c *conn) currentStanding(now time.Time, stall time.Duration) (standing, bool) {
	idle := now.Sub(c.since)
	switch {
	case c.evicted || !c.closeAt.IsZero():
		return standing{}, false
	case !c.port.framed:
		return c.standingOfCalls(idle, stall)
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) >= c.writeStall(stall):
		return standing{rankStalledBody, c.writingSince}, true
	case c.phase == phaseAnswer, !c.reading && (c.phase == phaseHead || c.phase == phaseBody):
		return standing{}, false
	case c.phase == phaseBody && idle >= stall:
		return standing{rankStalledBody, c.since}, true
	case c.phase == phaseBody:
		return standing{rankBody, c.since}, true
	case c.phase == phaseKept && idle >= keptDuration-stallTimeout+stall:
		return standing{rankKept, c.since}, true
	case c.phase != phaseKept && c.reading && idle >= stall:
		return standing{rankStalledHead, c.since}, true
	}
	return standing{rankHead, c.since}, true
}

// writeStall returns the time from which a write that waits is stalled. The caller holds c.mu.
func (c *conn) writeStall(stall time.Duration) time.Duration {
	if c.protected {
		return unreadTimeout - stallTimeout + stall
	}
	return stall
}

// holdsRequest reports whether the connection holds a part of a request.
func (c *conn) holdsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held > 0 || c.phase == phaseBody || !c.writingSince.IsZero()
}

// evict ends the connection, unless it has gone on since its standing was determined. What arrives later is not passed
// to the server. A request that the server has read already is answered if it still can be.
func (c *conn) evict(s standing, reason string) {
	c.mu.Lock()
	now := time.Now()
	current, ok := c.currentStanding(now, c.port.acceptor.stallTimeout())
	if !ok || current.since != s.since || current.inRequest() != s.inRequest() {
		c.mu.Unlock()
		return
	}
	if c.port.framed && c.phase == phaseKept {
		c.closeAt = now.Add(c.port.acceptor.keptGrace())
		// An error shows in the next read as well.
		_ = c.Conn.SetReadDeadline(c.closeAt)
		c.mu.Unlock()
		c.reportEviction(reason)
		return
	}
	c.evicted = true
	c.mu.Unlock()
	c.reportEviction(reason)
	if !c.port.framed {
		_ = c.Close()
		return
	}
	// An error shows in the next read or write as well.
	_ = c.Conn.SetReadDeadline(past)
	_ = c.Conn.SetWriteDeadline(now.Add(closeGrace))
	time.AfterFunc(closeGrace, func() { _ = c.Close() })
}

func (c *conn) reportEviction(reason string) {
	c.port.counters.evicted(reason).Inc()
	c.port.reportCrowd(reason)
}

// closes reports whether the connection is being closed for others.
func (c *conn) closes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && (c.evicted || !c.closeAt.IsZero())
}

// keep ends the eviction of a kept connection on which the next request has arrived. The caller holds c.mu.
func (c *conn) keep() {
	c.closeAt = time.Time{}
	// An error shows in the next read as well.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// SetReadDeadline sets the deadline of reads. It has no effect on a connection that is being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	switch {
	case c.evicted:
		t = past
	case !c.closeAt.IsZero() && (t.IsZero() || c.closeAt.Before(t)):
		t = c.closeAt
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
	c.mu.Lock()
	c.closed = true
	c.port.connectionBytes.Add(-c.cost)
	c.cost = 0
	c.free()
	c.mu.Unlock()
	return c.Conn.Close()
}
