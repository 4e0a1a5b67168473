// Package pooler keeps HTTP/1.1 connections to endpoints and sends one request at a time on
// each. It never retries a request. Its errors tell whether a failed request may have run.
package pooler

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of an exchange. Compare with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrMayHaveRun means that the request was sent, at least in part, and that its outcome
	// is unknown.
	ErrMayHaveRun = merry.Sentinel("request sent, outcome unknown")
	// ErrConnectionLimit means that this router may not open more connections to the
	// endpoint. Nothing was sent.
	ErrConnectionLimit = merry.Sentinel("connection bound reached")
	// ErrWithdrawn means that the request was withdrawn before it was sent. Nothing was
	// sent.
	ErrWithdrawn = merry.Sentinel("request withdrawn before it was sent")
)

const (
	// minDialTimeout is far above a round trip between availability zones and below the
	// first retransmission of a lost SYN packet, which comes after 1 s. While bytes are
	// queued at the VM's own network link, the timeout is longer, up to maxDialTimeout.
	minDialTimeout = 400 * time.Millisecond
	maxDialTimeout = 900 * time.Millisecond
	// ackTimeout ends a connection whose bytes are not acknowledged. It allows for several
	// retransmissions and is shorter than the time that callers wait for a stream.
	ackTimeout = 1500 * time.Millisecond
	// Keepalive probes detect a peer that disappeared while it had nothing to acknowledge,
	// about as fast as ackTimeout does.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultReuseTimeout is how long an idle connection may be reused if the endpoint
	// doesn't state a timeout.
	defaultReuseTimeout = 4 * time.Second
	// reuseMargin is how long before the stated timeout a connection is no longer reused: a
	// request that arrives while the endpoint closes the connection may or may not run.
	reuseMargin = 1 * time.Second
	// minReuseTimeout is the shortest reuse timeout for which a connection is kept.
	minReuseTimeout = 500 * time.Millisecond
	bufferSize      = 4 << 10
)

// Target is the endpoint of an exchange.
type Target struct {
	// ID is the incarnation. Incarnations don't share connections.
	ID      string
	Address string
	// MaxConnections is the limit on this router's connections to the endpoint.
	MaxConnections int
}

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	match       func(http.Header, string) AnswerMatch
	mu          sync.Mutex
	peers       map[string]*peer
	opened      func()
	link        Link
	dialAddress DialFunc
	// heardAt is when bytes of any endpoint last arrived, in nanoseconds since created.
	heardAt atomic.Int64
	created time.Time
}

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialDirect opens a TCP connection that detects the loss of its peer.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(setAckTimeout)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// UseDialer makes the pool open connections with a function other than DialDirect. It must be
// called before the first exchange.
func (p *Pool) UseDialer(dial DialFunc) { p.dialAddress = dial }

// Silence returns the time since bytes of any endpoint last arrived.
func (p *Pool) Silence() time.Duration {
	return time.Since(p.created) - time.Duration(p.heardAt.Load())
}

// Link measures the load of the VM's network link.
type Link interface {
	// Sent and Received record the numbers of bytes sent and received.
	Sent(now time.Time, n int)
	Received(now time.Time, n int)
	// Delay returns the current delay caused by the load of the link and the processor.
	Delay(now time.Time) time.Duration
}

// UseLink makes the pool record its traffic, and use longer dial timeouts while the link is
// busy. It must be called before the first exchange.
func (p *Pool) UseLink(l Link) { p.link = l }

// recordSent records bytes written.
func (p *Pool) recordSent(n int) {
	if p.link != nil {
		p.link.Sent(time.Now(), n)
	}
}

// recordedReader records the bytes read from a connection.
type recordedReader struct {
	net.Conn
	pool *Pool
}

// Read reads from the connection.
func (r recordedReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		r.pool.heardAt.Store(int64(now.Sub(r.pool.created)))
		if r.pool.link != nil {
			r.pool.link.Received(now, n)
		}
	}
	return n, err
}

// dialTimeout returns the current timeout for opening a connection.
func (p *Pool) dialTimeout() time.Duration {
	if p.link == nil {
		return minDialTimeout
	}
	return minDialTimeout + min(2*p.link.Delay(time.Now()), maxDialTimeout-minDialTimeout)
}

// peer holds the connections to one endpoint.
type peer struct {
	// idle is used as a stack: the most recently used connection is the least likely to be
	// closed by the other side.
	idle []*conn
	// busy holds the connections with a request in progress.
	busy map[*conn]bool
	// open counts the idle and busy connections and those being opened.
	open int
}

// AnswerMatch tells whether an answer belongs to a request.
type AnswerMatch int

// Results of matching an answer to a request.
const (
	// MatchOwn is the match of answers with the request's id.
	MatchOwn AnswerMatch = iota
	// MatchStray is the match of answers with another id.
	MatchStray
	// MatchUnnamed is the match of answers without an id.
	MatchUnnamed
)

// New returns a pool. The function match matches the header of an answer to the request
// with an id; opened is called for each new connection.
func New(match func(h http.Header, id string) AnswerMatch, opened func()) *Pool {
	return &Pool{match: match, peers: map[string]*peer{}, opened: opened, dialAddress: DialDirect, created: time.Now()}
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	reader *bufio.Reader
	target Target
	// reusableUntil is when an idle connection becomes too old to be reused.
	reusableUntil time.Time
}

// acquire returns an idle connection that appears to be open. It returns nil if the caller
// should open a new one, which is counted already.
func (p *Pool) acquire(t Target, now time.Time) (*conn, error) {
	for {
		c, err := p.popIdle(t)
		if c == nil || err != nil {
			return nil, err
		}
		if now.Before(c.reusableUntil) && c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdle removes the most recently used idle connection and marks it busy. It returns nil
// if there is none, and counts a connection to be opened instead.
func (p *Pool) popIdle(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[t.ID]
	if x == nil {
		x = &peer{busy: map[*conn]bool{}}
		p.peers[t.ID] = x
	}
	if n := len(x.idle); n > 0 {
		c := x.idle[n-1]
		x.idle = x.idle[:n-1]
		x.busy[c] = true
		return c, nil
	}
	if x.open >= max(t.MaxConnections, 1) {
		return nil, ErrConnectionLimit
	}
	x.open++
	return nil, nil
}

// reusable reports whether an idle connection is open and has no unread bytes. Unsolicited
// bytes belong to no request and could not be told from the next answer.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// dial opens a connection that popIdle has counted.
func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	c, err := p.dialAddress(ctx, t.Address)
	countDial(err)
	if err != nil {
		p.uncount(t.ID)
		return nil, err
	}
	p.opened()
	out := &conn{Conn: c, reader: bufio.NewReaderSize(recordedReader{Conn: c, pool: p}, bufferSize), target: t}
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[t.ID]; x != nil {
		x.busy[out] = true
	}
	return out, nil
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

// setAckTimeout sets ackTimeout on a socket.
func setAckTimeout(fd uintptr) {
	// If the option can't be set, the connection hangs for minutes after a silent loss. The
	// caller's deadline still ends the request.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	if x := p.peers[c.target.ID]; x != nil {
		delete(x.busy, c)
	}
	p.mu.Unlock()
	p.uncount(c.target.ID)
}

// uncount removes a closed connection from the count of an endpoint.
func (p *Pool) uncount(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[id]; x != nil {
		x.open--
		if x.open <= 0 && len(x.idle) == 0 {
			delete(p.peers, id)
		}
	}
}

// release makes a connection idle, to be reused within the timeout. It discards the
// connection if that is shorter than minReuseTimeout.
func (p *Pool) release(c *conn, timeout time.Duration) {
	if timeout < minReuseTimeout {
		p.discard(c)
		return
	}
	c.reusableUntil = time.Now().Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[c.target.ID]; x != nil {
		delete(x.busy, c)
		x.idle = append(x.idle, c)
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	var idle []*conn
	if x := p.peers[id]; x != nil {
		idle, x.idle = x.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// CloseAll closes all connections to an endpoint whose process is known to have ended.
// Requests in progress there may have run.
func (p *Pool) CloseAll(id string) {
	p.CloseIdle(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[id]; x != nil {
		for c := range x.busy {
			// The exchange that uses the connection discards it.
			_ = c.Close()
		}
	}
}

// CloseExpired closes idle connections that are too old to be reused.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for _, x := range p.peers {
		keep := x.idle[:0]
		for _, c := range x.idle {
			if now.Before(c.reusableUntil) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		x.idle = keep
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}
