package acceptor

import (
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	// quietBytes is how much a connection may have brought of its first call to count as quiet. The first call of a process
	// is smaller, with few exceptions.
	quietBytes = 4 << 10
	// quietCost is the memory of a quiet connection between processes in bytes: its goroutines and the buffers of the server.
	quietCost = 16 << 10
	// maxLinksPerMachine is how many connections without a call the processes of a machine have at the most: a process
	// replaces a link that does not answer.
	maxLinksPerMachine = 4
)

// machineOf returns the address of the machine at the other end, or the zero address. Processes connect to each other
// directly.
func machineOf(n net.Conn) netip.Addr {
	if a, ok := n.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// strangersToClose returns which connections without a call are closed for others: those of machines that have more than
// half as many as the machine with the most, a batch of them if these are more than the processes of a machine open.
func strangersToClose(list []candidate) []candidate {
	count, most := map[netip.Addr]int{}, 0
	for _, x := range list {
		count[x.conn.machine]++
		most = max(most, count[x.conn.machine])
	}
	crowded := slices.DeleteFunc(slices.Clone(list), func(x candidate) bool { return 2*count[x.conn.machine] <= most })
	if most > maxLinksPerMachine {
		return leastProgress(crowded, batch(crowded))
	}
	return leastProgress(crowded, 1)
}

// isStranger reports whether a connection has carried no call.
func isStranger(c *conn) bool { return !c.carriesCalls.Load() }

// recordUnproven counts what was received on a connection that has carried no call. From quietBytes on, the connection
// counts towards the limit on those that send, and others of these are closed for it.
func (p *Port) recordUnproven(c *conn, n int) error {
	if err := c.acquire(n); err != nil {
		return err
	}
	if c.heldBytes() > quietBytes && p.recordSending(c) {
		p.hasRoom(p.limits.Sending, p.sendingConnections, func(x *conn) bool { return x != c && p.isSending(x) })
	}
	return nil
}

// recordSending records that a connection has brought more than quietBytes without a call. It reports false if it was
// recorded before.
func (p *Port) recordSending(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open[c] || c.carriesCalls.Load() || p.sending[c] {
		return false
	}
	p.sending[c] = true
	return true
}

func (p *Port) isSending(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sending[c]
}

// sendingConnections returns the number of open connections that have brought more than quietBytes without a call.
func (p *Port) sendingConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sending)
}

// unproven returns the number of open connections that have carried no call.
func (p *Port) unproven() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) - p.proven
}

// recordProven records that a connection has carried its first call.
func (p *Port) recordProven(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c] && c.carriesCalls.CompareAndSwap(false, true) {
		p.proven++
		delete(p.sending, c)
	}
}

// endCall records the end of a call.
func (c *conn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
}

// standingOfCalls returns the standing of a connection between processes, or false if it is not closed: its calls would
// fail. After idleDuration the other process may have ended unnoticed. The caller holds c.mu.
func (c *conn) standingOfCalls(idle, stall time.Duration) (standing, bool) {
	switch {
	case c.calls > 0:
		return standing{rankBody, c.since}, idle >= idleDuration
	case c.carriesCalls.Load():
		return standing{rankKept, c.since}, true
	case idle >= stall:
		return standing{rankStalledHead, c.since}, true
	}
	return standing{rankHead, c.since}, true
}
