package messenger

import (
	"context"
	"net"
	"sync"
)

// Cutter simulates network partitions without a firewall: connections to an address that is cut stay
// open and pass no bytes.
type Cutter struct {
	mu sync.Mutex
	// cut maps unreachable addresses to channels that are closed when they become reachable.
	cut map[string]chan struct{}
}

// NewCutter returns a cutter for which all addresses are reachable.
func NewCutter() *Cutter { return &Cutter{cut: map[string]chan struct{}{}} }

// Cut makes an address unreachable.
func (c *Cutter) Cut(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.cut[address]; !ok {
		c.cut[address] = make(chan struct{})
	}
}

// Heal makes an address reachable again.
func (c *Cutter) Heal(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.cut[address]; ok {
		close(ch)
		delete(c.cut, address)
	}
}

// healed returns a channel that is closed when the address becomes reachable, or nil if it is.
func (c *Cutter) healed(address string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[address]
}

// wait blocks until the address is reachable.
func (c *Cutter) wait(ctx context.Context, address string) error {
	ch := c.healed(address)
	if ch == nil {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wrap returns a connection that passes no bytes while its address is cut.
func (c *Cutter) wrap(n net.Conn, address string) net.Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &cutConn{Conn: n, cutter: c, address: address, closed: ctx, cancel: cancel}
}

// cutConn blocks reads and writes while its address is cut.
type cutConn struct {
	net.Conn
	cutter  *Cutter
	address string
	closed  context.Context
	cancel  context.CancelFunc
}

func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if w := c.cutter.wait(c.closed, c.address); w != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(b []byte) (int, error) {
	if w := c.cutter.wait(c.closed, c.address); w != nil {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
