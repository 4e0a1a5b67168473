// Package pooler keeps HTTP/1.1 connections to endpoints and sends one request at a time on
// each. It never retries a request. Its errors tell whether a failed request may have run.
package pooler

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/pathfinder"
)

// Errors of an exchange. Compare with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("request not sent")
	// ErrUnreachable means that the path to the endpoint is lost and no other router could relay
	// the request a moment ago. Nothing was sent, and it says nothing about the endpoint.
	ErrUnreachable = merry.Sentinel("no path to the endpoint")
	// ErrMayHaveRun means that the request was sent, at least in part, and that its outcome
	// is unknown.
	ErrMayHaveRun = merry.Sentinel("request sent, outcome unknown")
	// ErrUnfinished means that bytes of a head kept arriving for a while without coming to its end. It
	// accompanies ErrMayHaveRun.
	ErrUnfinished = merry.Sentinel("head of the answer unfinished")
	// ErrInvalidHead means that a head is not that of an answer. It accompanies ErrMayHaveRun.
	ErrInvalidHead = merry.Sentinel("head of no answer")
	// ErrConnectionLimit means that this router may not open more connections to the
	// endpoint. Nothing was sent.
	ErrConnectionLimit = merry.Sentinel("connection bound reached")
	// ErrWithdrawn means that the request was withdrawn before it was sent. Nothing was
	// sent.
	ErrWithdrawn = merry.Sentinel("request withdrawn before it was sent")
)

// TimedOut reports whether a connection was not opened because the endpoint did not respond in time.
func TimedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

const (
	// minDialTimeout is far above a round trip between availability zones and below the
	// first retransmission of a lost SYN packet, which comes after 1 s. While bytes are
	// queued at the VM's own network link, the timeout is longer, up to maxDialTimeout.
	minDialTimeout = 400 * time.Millisecond
	maxDialTimeout = 900 * time.Millisecond
	// ackTimeout ends a connection whose bytes are not acknowledged, or whose peer does not read. A
	// sound endpoint may be silent for up to two seconds. It is below 3 s, the time of the fourth
	// retransmission, since some systems apply the timeout only then.
	ackTimeout = 2800 * time.Millisecond
	// Keepalive probes detect a peer that disappeared while it had nothing to acknowledge. Linux
	// gives them up once ackTimeout has passed since bytes last came, whatever their count; by then
	// the endpoint may have been silent for keepAliveIdle less.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// defaultReuseTimeout is how long an idle connection may be reused if the endpoint
	// doesn't state a timeout.
	defaultReuseTimeout = 4 * time.Second
	// reuseMargin is how long before the stated timeout a connection is no longer reused: a
	// request that arrives while the endpoint closes the connection may or may not run.
	reuseMargin = 1 * time.Second
	// maxReuseSilence is how long a service may have been silent for a direct connection to be
	// reused. Packets that are dropped leave it open.
	maxReuseSilence = 1500 * time.Millisecond
	// minReuseTimeout is the shortest reuse timeout for which a connection is kept.
	minReuseTimeout = 500 * time.Millisecond
	bufferSize      = 4 << 10
	// headByteCost and fieldCost are the memory that a byte and a field of a head take while they are read and once
	// they are parsed.
	headByteCost = 3
	fieldCost    = 160
)

// Target is the endpoint of an exchange.
type Target struct {
	// ID is the incarnation. Incarnations don't share connections.
	ID      string
	Address string
	// Service and Zone are those of the endpoint.
	Service, Zone string
	// RelayZones are the availability zones of which routers may relay; nil stands for all.
	RelayZones *localizer.Zones
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
	// relays is nil unless connections may go through other routers.
	relays  RelayDialer
	paths   *pathfinder.Paths
	silence *pathfinder.Silence
	// lostTargets holds the endpoints to which a direct connection failed, by id.
	lostTargets map[string]Target
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
	return &Pool{
		match: match, peers: map[string]*peer{}, opened: opened, dialAddress: DialDirect, created: time.Now(),
		paths: pathfinder.New(), silence: pathfinder.NewSilence(), lostTargets: map[string]Target{},
	}
}

// conn is a connection to an endpoint.
type conn struct {
	transport
	reader *bufio.Reader
	target Target
	// relay is the internal address of the router that relays the connection, or "".
	relay string
	// relayZone is that router's availability zone.
	relayZone string
	// silence is nil on relayed connections.
	silence  *pathfinder.ServiceSilence
	openedAt time.Time
	// heardAt is when bytes last arrived, in nanoseconds since the pool was created.
	heardAt atomic.Int64
	// repeatable is set while a request that may run again waits on the connection.
	repeatable atomic.Bool
	// reusableUntil is when an idle connection becomes too old to be reused.
	reusableUntil time.Time
	// part is the part of an answer that is being read. Only the reader uses it.
	part part
	// headLeft is how many bytes may still be received of the head that is being read, or
	// noHeadLimit. Only the reader uses it.
	headLeft int
	// reserve takes memory for the head that is being read; nil takes none.
	reserve func(n int) error
}

// noHeadLimit is the value of headLeft while no head is being read.
const noHeadLimit = -1

// errHeadTooLong is returned for a head of more than maxHeadBytes.
var errHeadTooLong = merry.Sentinel("head of the answer is too long")

// newConn returns a connection over a transport.
func (p *Pool) newConn(t Target, over transport, relay, relayZone string) *conn {
	c := &conn{transport: over, target: t, relay: relay, relayZone: relayZone, openedAt: time.Now(), headLeft: noHeadLimit}
	if relay == "" {
		c.silence = p.silence.Service(t.Service)
	}
	c.reader = bufio.NewReaderSize(recordedReader{conn: c, pool: p}, bufferSize)
	return c
}

// recordedReader records the bytes read from a connection.
type recordedReader struct {
	conn *conn
	pool *Pool
}

// Read reads from the connection.
func (r recordedReader) Read(b []byte) (int, error) {
	if r.conn.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if r.conn.part.timedOut() {
		return 0, errPartTimeout
	}
	if r.conn.headLeft > 0 {
		b = b[:min(len(b), r.conn.headLeft)]
	}
	n, err := r.conn.transport.Read(b)
	if n > 0 {
		r.pool.recordReceived(r.conn, n)
	}
	if r.conn.headLeft > 0 {
		r.conn.headLeft -= n
		if failed := r.conn.reserveHead(b[:n]); failed != nil {
			return 0, failed
		}
	}
	return n, err
}

// reserveHead takes memory for a part of a head. What fits into the buffer of the connection needs none.
func (c *conn) reserveHead(b []byte) error {
	if c.reserve == nil || maxHeadBytes-c.headLeft <= bufferSize {
		return nil
	}
	return c.reserve(headByteCost*len(b) + fieldCost*bytes.Count(b, []byte("\n")))
}

// recordReceived records bytes that arrived on a connection.
func (p *Pool) recordReceived(c *conn, n int) {
	now := time.Now()
	if p.link != nil {
		p.link.Received(now, n)
	}
	at := now.Sub(p.created)
	c.heardAt.Store(int64(at))
	c.part.received(at)
	if c.silence != nil {
		p.heardAt.Store(int64(at))
		c.silence.Heard(at)
	}
}

// acquire returns an idle connection that appears to be open. It returns nil if the caller
// should open a new one, which is counted already.
func (p *Pool) acquire(t Target, now time.Time) (*conn, error) {
	for {
		c, err := p.popIdle(t)
		if c == nil || err != nil {
			return nil, err
		}
		if now.Before(c.reusableUntil) && !p.doubtful(c, now) && c.reader.Buffered() == 0 && c.Reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// peer returns the connections to an endpoint. It needs p.mu.
func (p *Pool) peer(id string) *peer {
	x := p.peers[id]
	if x == nil {
		x = &peer{busy: map[*conn]bool{}}
		p.peers[id] = x
	}
	return x
}

// doubtful reports whether the path of an idle connection may have been lost unnoticed, because
// nothing of the whole service was heard for a while.
func (p *Pool) doubtful(c *conn, now time.Time) bool {
	return p.relays != nil && c.silence != nil && now.Sub(p.created)-c.silence.HeardAt() > maxReuseSilence
}

// popIdle removes the most recently used idle connection and marks it busy. It returns nil
// if there is none, and counts a connection to be opened instead.
func (p *Pool) popIdle(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peer(t.ID)
	for i := len(x.idle) - 1; i >= 0; i-- {
		c := x.idle[i]
		if c.relay != "" && !t.RelayZones.Allows(c.relayZone) {
			continue
		}
		x.idle = slices.Delete(x.idle, i, i+1)
		x.busy[c] = true
		return c, nil
	}
	if x.open >= max(t.MaxConnections, 1) {
		return nil, ErrConnectionLimit
	}
	x.open++
	return nil, nil
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

// TakeIdle removes an idle connection to an endpoint that was opened before a time, or returns nil if there is
// none. The process that answers on it is the one that ran then. The caller must close it.
func (p *Pool) TakeIdle(id string, before time.Time) io.ReadWriteCloser {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.peers[id]
	if x == nil {
		return nil
	}
	i := slices.IndexFunc(x.idle, func(c *conn) bool { return c.openedAt.Before(before) })
	if i < 0 {
		return nil
	}
	c := x.idle[i]
	x.idle = slices.Delete(x.idle, i, i+1)
	x.busy[c] = true
	return &takenConn{conn: c, pool: p}
}

// takenConn is a connection that was taken out of the pool.
type takenConn struct {
	*conn
	pool *Pool
	once sync.Once
}

// Close closes the connection.
func (c *takenConn) Close() error {
	c.once.Do(func() { c.pool.discard(c.conn) })
	return nil
}

// CloseIdle closes the idle connections to an endpoint that has left service.
func (p *Pool) CloseIdle(id string) {
	p.closeIdle(id, func(*conn) bool { return true })
	p.paths.Forget(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lostTargets, id)
}

// closeIdle closes the idle connections to an endpoint that the function selects.
func (p *Pool) closeIdle(id string, selected func(*conn) bool) {
	p.mu.Lock()
	var closed []*conn
	if x := p.peers[id]; x != nil {
		x.idle = slices.DeleteFunc(x.idle, func(c *conn) bool {
			if selected(c) {
				closed = append(closed, c)
				return true
			}
			return false
		})
	}
	p.mu.Unlock()
	for _, c := range closed {
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

// CloseExpired closes idle connections that are too old to be reused, and those through relays
// that are about to stop.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for _, x := range p.peers {
		keep := x.idle[:0]
		for _, c := range x.idle {
			// A relay that is about to stop waits until its connections are closed.
			if now.Before(c.reusableUntil) && (c.relay == "" || c.Reusable()) {
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
