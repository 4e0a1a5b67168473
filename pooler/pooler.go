// Package pooler keeps HTTP/1.1 connections to endpoints and sends one request
// at a time on each. It never repeats anything by itself, and it tells how far
// a failed request came: that decides whether it may have run.
package pooler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of an exchange. Compare with errors.Is.
var (
	// ErrNotSent says that no byte of the request went out.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrMayHaveRun says that the request went out, at least in part, and that
	// its outcome is unknown.
	ErrMayHaveRun = merry.Sentinel("request sent, outcome unknown")
	// ErrBound says that the endpoint has all the connections that this
	// router may open. Nothing was sent.
	ErrBound = merry.Sentinel("connection bound reached")
)

const (
	// minDialTimeout is far above a round trip between availability zones and
	// below the first repeat of a lost opening packet, which comes after 1 s. While bytes
	// wait at the VM's own link it is longer, up to maxDialTimeout.
	minDialTimeout = 400 * time.Millisecond
	maxDialTimeout = 900 * time.Millisecond
	// ackTimeout ends a connection whose bytes nobody acknowledges: several
	// retransmissions, and less than what callers of a stream wait.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle and probeEvery find a peer that fell silent with nothing of
	// ours to acknowledge, at the same pace.
	probeIdle  = 1 * time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// keepDefault is how long an idle connection is used again where the
	// endpoint doesn't state its timeout.
	keepDefault = 4 * time.Second
	// keepMargin is how long before the stated timeout a connection is given
	// up: a request that crosses the endpoint's close may or may not run.
	keepMargin = 1 * time.Second
	// keepLeast is the shortest time that a connection is kept at all.
	keepLeast  = 500 * time.Millisecond
	bufferSize = 4 << 10
)

// Target is the endpoint of an exchange.
type Target struct {
	// ID is the incarnation; connections are not shared between two.
	ID      string
	Address string
	// Most is how many connections this router may hold.
	Most int
}

// Pool holds the idle connections to all endpoints. It is safe for concurrent
// use.
type Pool struct {
	belongs func(http.Header, string) Belonging
	mu      sync.Mutex
	peers   map[string]*peer
	opened  func()
	link    Link
}

// Link is the VM's network link.
type Link interface {
	// Sent and Received record bytes that were handed to the link and that came in.
	Sent(now time.Time, n int)
	Received(now time.Time, n int)
	// Delay returns how long work is delayed by what waits at the link and the processor.
	Delay(now time.Time) time.Duration
}

// UseLink makes the pool record what it sends, and wait longer for connections while the
// link is busy. It must be called before the first exchange.
func (p *Pool) UseLink(l Link) { p.link = l }

// sent records bytes written.
func (p *Pool) sent(n int) {
	if p.link != nil {
		p.link.Sent(time.Now(), n)
	}
}

// recordedReader records what is read from a connection.
type recordedReader struct {
	net.Conn
	link Link
}

// Read reads from the connection.
func (r recordedReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.link.Received(time.Now(), n)
	}
	return n, err
}

// reader returns what reads from a connection.
func (p *Pool) reader(c net.Conn) io.Reader {
	if p.link == nil {
		return c
	}
	return recordedReader{Conn: c, link: p.link}
}

// dialTimeout returns how long a connection may take to be made.
func (p *Pool) dialTimeout() time.Duration {
	if p.link == nil {
		return minDialTimeout
	}
	return minDialTimeout + min(2*p.link.Delay(time.Now()), maxDialTimeout-minDialTimeout)
}

type peer struct {
	// Idle is used as a stack: the connection used last is the least likely
	// to be closed by the other side.
	idle []*conn
	// Busy holds the connections with a request under way.
	busy map[*conn]bool
	// Open counts idle and busy connections.
	open int
}

// Belonging tells whose answer a header is.
type Belonging int

// Kinds of answers.
const (
	// Own answers carry the request's id.
	Own Belonging = iota
	// Stray answers carry another id.
	Stray
	// Unnamed answers carry none.
	Unnamed
)

// New returns a pool. Belongs tells whether the header of an answer belongs to
// the request with an id; opened is called for each new connection.
func New(belongs func(h http.Header, id string) Belonging, opened func()) *Pool {
	return &Pool{belongs: belongs, peers: map[string]*peer{}, opened: opened}
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	target Target
	// GoodUntil is when an idle connection is too old to be used.
	goodUntil time.Time
}

// take returns an idle connection that still looks open, or nil with leave to
// open another.
func (p *Pool) take(t Target, now time.Time) (*conn, error) {
	for {
		c, err := p.pop(t)
		if c == nil || err != nil {
			return nil, err
		}
		if now.Before(c.goodUntil) && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *Pool) pop(t Target) (*conn, error) {
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
	if x.open >= max(t.Most, 1) {
		return nil, ErrBound
	}
	x.open++
	return nil, nil
}

// quiet reports whether an idle connection is open and silent. Bytes that came
// unasked belong to no request; the next answer could not be told from them.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
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

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(setAckTimeout)
		},
	}
	c, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.closed(t.ID)
		return nil, err
	}
	p.opened()
	out := &conn{Conn: c, reader: bufio.NewReaderSize(p.reader(c), bufferSize), target: t}
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[t.ID]; x != nil {
		x.busy[out] = true
	}
	return out, nil
}

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 0x12

func setAckTimeout(fd uintptr) {
	// Without it the connection hangs for minutes after a silent loss; the
	// caller's deadline still ends the request.
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	if x := p.peers[c.target.ID]; x != nil {
		delete(x.busy, c)
	}
	p.mu.Unlock()
	p.closed(c.target.ID)
}

func (p *Pool) closed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[id]; x != nil {
		x.open--
		if x.open <= 0 && len(x.idle) == 0 {
			delete(p.peers, id)
		}
	}
}

func (p *Pool) put(c *conn, keep time.Duration) {
	if keep < keepLeast {
		p.drop(c)
		return
	}
	c.goodUntil = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[c.target.ID]; x != nil {
		delete(x.busy, c)
		x.idle = append(x.idle, c)
	}
}

// Forget closes the idle connections to an endpoint.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	var idle []*conn
	if x := p.peers[id]; x != nil {
		idle, x.idle = x.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// End closes all connections to an endpoint whose process is known to have
// ended. What was under way there may have run.
func (p *Pool) End(id string) {
	p.Forget(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[id]; x != nil {
		for c := range x.busy {
			// The exchange that holds it drops it.
			_ = c.Close()
		}
	}
}

// Sweep closes idle connections that are too old to be used.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for _, x := range p.peers {
		keep := x.idle[:0]
		for _, c := range x.idle {
			if now.Before(c.goodUntil) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		x.idle = keep
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}
