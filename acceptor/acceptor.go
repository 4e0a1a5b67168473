// Package acceptor bounds what the clients of a process's ports may hold of it: connections, and the memory of
// request heads and bodies. While a port is full, it closes the connection that has made no progress for the
// longest time, and serves the next client.
package acceptor

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"rattanhoist.example/rattanhoist/enforcer"
)

const (
	// receiveBufferBytes bounds what arrives at a connection before the process reads it. The kernel holds
	// it, and the platform counts it towards the memory of the process.
	receiveBufferBytes = 16 << 10
	// evictionFraction is the fraction of the connections of a port for requests from which on connections are closed, so
	// that those that are being closed fit as well.
	evictionFraction = 0.875
	// evictionBatch is the part of a port's connections that are closed at a time if they bring no request.
	evictionBatch = 1. / 16
	// reclaimInterval is the time between two searches for stalled requests, of which reclaimBatch end at a time.
	reclaimInterval = 5 * time.Millisecond
	reclaimBatch    = 4
	// keptGrace is the time from the decision to close a kept connection to its end, to which the delay of this
	// process is added, up to maxKeptGrace.
	keptGrace    = 20 * time.Millisecond
	maxKeptGrace = 2 * time.Second
	// roomInterval is the time between two looks for room that connections which are being closed leave.
	roomInterval = 2 * time.Millisecond
	// closeGrace is the time for the answer to a request whose connection is closed.
	closeGrace = 200 * time.Millisecond
)

// Limits bound what the clients of one port may hold.
type Limits struct {
	// Connections is the number of open connections; 0 means no limit.
	Connections int
	// ConnectionBytes is the memory that open connections may take, in bytes; 0 means no limit.
	ConnectionBytes int
	// Unproven is the number of those that have carried no call of another process yet, and Sending of those among them
	// that have brought more than quietBytes; 0 means no limit.
	Unproven, Sending int
	// Pending is the number of connections that wait to be accepted, whose bytes the kernel holds as well; 0 means
	// the system's default.
	Pending int
	// HeadBytes returns the limit on the head of a request in bytes; nil, and 0, mean no limit.
	HeadBytes func() int64
}

// Acceptor is what the ports of one process share. It is safe for concurrent use.
type Acceptor struct {
	memory *enforcer.Memory
	log    *zap.Logger

	// delay returns by how much this process itself delays its clients; nil if that is unknown.
	delay func() time.Duration

	mu    sync.Mutex
	ports []*Port

	reclaimMu sync.Mutex
	// reclaimedAt is when stalled requests were last searched for, and reclaimed whether there were any.
	reclaimedAt time.Time
	reclaimed   bool
}

// New returns an acceptor whose ports hold requests in memory.
func New(memory *enforcer.Memory, log *zap.Logger) *Acceptor {
	a := &Acceptor{memory: memory, log: log}
	memory.UseReclaim(a.reclaim)
	return a
}

// UseDelay sets a function that returns by how much the process's own network link and processor delay its clients. It
// is called before the first Listen.
func (a *Acceptor) UseDelay(delay func() time.Duration) { a.delay = delay }

// stallTimeout returns the time without progress from which a connection is stalled. A client's next bytes come a
// round trip after those before, and wait at this process's link and for its processor.
func (a *Acceptor) stallTimeout() time.Duration {
	if a.delay == nil {
		return stallTimeout
	}
	return stallTimeout + delayFactor*a.delay()
}

// keptGrace returns the time until a kept connection is closed for others. A request that is on its way then arrives
// before.
func (a *Acceptor) keptGrace() time.Duration {
	if a.delay == nil {
		return keptGrace
	}
	return min(keptGrace+a.delay(), maxKeptGrace)
}

// Memory returns the memory in which the requests of all ports are held.
func (a *Acceptor) Memory() *enforcer.Memory { return a.memory }

// reclaim closes the stalled connections that have made no progress for the longest time, on any port, so that their
// requests return their memory. It reports whether there were any.
func (a *Acceptor) reclaim() bool {
	a.reclaimMu.Lock()
	defer a.reclaimMu.Unlock()
	now := time.Now()
	if now.Sub(a.reclaimedAt) < reclaimInterval {
		return a.reclaimed
	}
	stalled := a.stalledRequests(now)
	slices.SortFunc(stalled, func(x, y candidate) int { return x.standing.since.Compare(y.standing.since) })
	for _, x := range stalled[:min(reclaimBatch, len(stalled))] {
		x.conn.evict(x.standing, "memory")
	}
	a.reclaimedAt, a.reclaimed = now, len(stalled) > 0
	return a.reclaimed
}

// stalledRequests returns the connections of all ports on which a request or an answer is stalled.
func (a *Acceptor) stalledRequests(now time.Time) []candidate {
	a.mu.Lock()
	ports := a.ports
	a.mu.Unlock()
	var out []candidate
	for _, p := range ports {
		for _, x := range p.candidates(now) {
			if x.standing.stalled() && x.conn.holdsRequest() {
				out = append(out, x)
			}
		}
	}
	return out
}

// Port listens on one address. It is safe for concurrent use.
type Port struct {
	net.Listener
	acceptor *Acceptor
	limits   Limits
	counters portCounters
	// framed is set if the server reports the requests of the port's connections.
	framed bool

	// connectionBytes is the memory that the open connections take, in bytes.
	connectionBytes atomic.Int64
	// relieving is set while relieve is to be called again.
	relieving atomic.Bool

	mu   sync.Mutex
	open map[*conn]bool
	// proven counts those that have carried a call, and sending holds those that have brought more than quietBytes without
	// one.
	proven  int
	sending map[*conn]bool
	// closed is set once the port has been shut down.
	closed bool

	crowd crowd
}

// Listen returns a listener on an address. The name labels the port in counters and log lines.
func (a *Acceptor) Listen(name, address string, l Limits) (*Port, error) {
	// What cannot be set stays at the system's default.
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
	}
	inner, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitPending(inner, l.Pending); err != nil {
		_ = inner.Close()
		return nil, err
	}
	p := &Port{Listener: inner, acceptor: a, limits: l, open: map[*conn]bool{}, sending: map[*conn]bool{}}
	p.counters = newPortCounters(name, p)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ports = append(a.ports[:len(a.ports):len(a.ports)], p)
	return p, nil
}

// limitPending sets how many connections may wait to be accepted.
func limitPending(l net.Listener, n int) error {
	x, ok := l.(syscall.Conn)
	if !ok || n <= 0 {
		return nil
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return err
	}
	// Listening again changes the length of the queue. The system may not support that.
	return raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
}

// Accept waits for a connection for which there is room.
func (p *Port) Accept() (net.Conn, error) {
	for {
		n, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := p.add(n); c != nil {
			return c, nil
		}
		p.counters.refused.Inc()
		p.reportCrowd("connections")
		_ = n.Close()
	}
}

// add returns a connection, or nil if there is no room for it.
func (p *Port) add(n net.Conn) *conn {
	if !p.awaitRoom(p.limits.Unproven, p.unproven, isStranger) || !p.awaitRoom(p.limits.Connections, p.Open, anyone) || !p.awaitRoom(p.limits.ConnectionBytes, p.bytes, anyone) {
		return nil
	}
	c := &conn{Conn: n, port: p, machine: machineOf(n), since: time.Now()}
	c.addCost(phaseNew)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.connectionBytes.Add(-c.cost)
		return nil
	}
	p.open[c] = true
	return c
}

// Shutdown closes the listener and all connections. It returns the error of the listener.
func (p *Port) Shutdown() error {
	err := p.Listener.Close()
	p.mu.Lock()
	p.closed = true
	open := slices.Collect(maps.Keys(p.open))
	p.mu.Unlock()
	for _, c := range open {
		// There is nobody to tell of an error.
		_ = c.Close()
	}
	return err
}

func anyone(*conn) bool { return true }

// hasRoom reports whether what the connections take is below a limit. Near the limit, it closes some of those that may
// give way.
func (p *Port) hasRoom(limit int, taken func() int, mayGiveWay func(*conn) bool) bool {
	if limit <= 0 {
		return true
	}
	if taken() >= p.evictionThreshold(limit) {
		p.makeRoom(mayGiveWay)
	}
	return taken() < limit
}

// relieve closes some connections that may give way while the memory of all is over its limit, now and later.
func (p *Port) relieve(mayGiveWay func(*conn) bool) {
	if p.hasRoom(p.limits.ConnectionBytes, p.bytes, mayGiveWay) || !p.relieving.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(p.acceptor.stallTimeout(), func() {
		p.relieving.Store(false)
		p.relieve(anyone)
	})
}

// awaitRoom is hasRoom that waits for connections which are being closed.
func (p *Port) awaitRoom(limit int, taken func() int, mayGiveWay func(*conn) bool) bool {
	for until := time.Now().Add(closeGrace); !p.hasRoom(limit, taken, mayGiveWay); time.Sleep(roomInterval) {
		if time.Now().After(until) || !p.closing() {
			return false
		}
	}
	return true
}

// closing reports whether connections are being closed.
func (p *Port) closing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if c.closes() {
			return true
		}
	}
	return false
}

// evictionThreshold returns what the connections may take before some are closed. Where no request can be in progress, they
// are closed at once, and the limit can be reached.
func (p *Port) evictionThreshold(limit int) int {
	if !p.framed {
		return limit
	}
	return int(evictionFraction * float64(limit))
}

// bytes returns the memory that the open connections take, in bytes.
func (p *Port) bytes() int { return int(p.connectionBytes.Load()) }

// Open returns the number of open connections.
func (p *Port) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

func (p *Port) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c] && c.carriesCalls.Load() {
		p.proven--
	}
	delete(p.open, c)
	delete(p.sending, c)
}

// candidate is a connection that may be closed.
type candidate struct {
	conn     *conn
	standing standing
}

// candidates returns the connections that may be closed.
func (p *Port) candidates(now time.Time) []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, stall := make([]candidate, 0, len(p.open)), p.acceptor.stallTimeout()
	for c := range p.open {
		if s, ok := c.standing(now, stall); ok {
			out = append(out, candidate{c, s})
		}
	}
	return out
}

// makeRoom closes those of some connections that have made no progress for the longest time.
func (p *Port) makeRoom(mayGiveWay func(*conn) bool) {
	list := slices.DeleteFunc(p.candidates(time.Now()), func(x candidate) bool { return !mayGiveWay(x.conn) })
	for _, x := range p.chooseLeast(list) {
		x.conn.evict(x.standing, "connections")
	}
}

// chooseLeast returns which of the candidates are closed.
func (p *Port) chooseLeast(list []candidate) []candidate {
	if p.framed {
		return leastProgress(list, batch(list))
	}
	if strangers := slices.DeleteFunc(slices.Clone(list), func(x candidate) bool { return !isStranger(x.conn) }); len(strangers) > 0 {
		return strangersToClose(strangers)
	}
	return leastProgress(list, 1)
}

// batch returns how many of the candidates are closed at a time.
func batch(list []candidate) int { return max(int(evictionBatch*float64(len(list))), 1) }
