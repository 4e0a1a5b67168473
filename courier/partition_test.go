package courier_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/pooler"
)

// cut is how connections of a router to endpoints fail.
type cut int

const (
	cutNone cut = iota
	// cutHang drops packets, also those of open connections.
	cutHang
	// cutRefuse refuses new connections; open ones go on.
	cutRefuse
	// cutReset resets open connections and drops the packets of new ones.
	cutReset
)

// partition is the network between one router and all endpoints.
type partition struct {
	mu     sync.Mutex
	cut    cut
	healed chan struct{}
	conns  map[*partitionedConn]bool
	dials  int
}

func newPartition() *partition {
	return &partition{healed: make(chan struct{}), conns: map[*partitionedConn]bool{}}
}

// set changes how connections fail from now on.
func (p *partition) set(c cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.cut, p.healed = c, make(chan struct{})
	if c != cutReset {
		return
	}
	for x := range p.conns {
		_ = x.TCPConn.SetLinger(0)
		_ = x.TCPConn.Close()
	}
}

// dialCount returns how many connections were attempted.
func (p *partition) dialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// state returns how connections fail, and a channel that is closed when that changes.
func (p *partition) state() (cut, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.healed
}

// dial opens a connection to an endpoint unless the router is cut off.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	for {
		c, changed := p.state()
		switch c {
		case cutRefuse:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		case cutNone:
			n, err := pooler.DialDirect(ctx, address)
			if err != nil {
				return nil, err
			}
			x := &partitionedConn{TCPConn: n.(*net.TCPConn), partition: p, closed: make(chan struct{})}
			p.mu.Lock()
			p.conns[x] = true
			p.mu.Unlock()
			return x, nil
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		case <-changed:
		}
	}
}

// partitionedConn is a connection whose bytes are held back while its router is cut off.
type partitionedConn struct {
	*net.TCPConn
	partition *partition
	once      sync.Once
	closed    chan struct{}
}

// await returns once bytes may pass, or the connection was closed.
func (c *partitionedConn) await() error {
	for {
		state, changed := c.partition.state()
		if state != cutHang {
			return nil
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-changed:
		}
	}
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if w := c.await(); w != nil {
		return 0, w
	}
	return n, err
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.TCPConn.Close()
}

// partitionedRouter starts a router whose connections to endpoints pass through p.
func (f *cluster) partitionedRouter(n int, p *partition) {
	c := courier.New(courier.Options{
		Node: f.node(loader.KindRouter, n, false), Log: zap.NewNop(), Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
		ClassifyResponse: platform.ClassifyResponse, ReadyPath: platform.ReadyPath, DialEndpoint: p.dial,
	})
	f.run(fmt.Sprint("router", n), c.Run)
}

// served returns how many of n requests to a router, one every 20 ms, are answered with 200.
func (f *cluster) served(router, n int, prefix string) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	count := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if status, _ := f.request(router, fmt.Sprint(prefix, i), "1,1"); status == 200 {
				mu.Lock()
				defer mu.Unlock()
				count++
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return count
}

// Guards against a router that refuses its callers because it has lost its paths to all endpoints,
// while other routers reach them. Kinds of cuts: packets are dropped, new connections are refused
// while open ones go on, and open connections are reset.
func TestRouterWithoutPathsServesThroughOthers(t *testing.T) {
	for i, c := range []cut{cutHang, cutRefuse, cutReset} {
		t.Run([]string{"hang", "refuse", "reset"}[i], func(t *testing.T) {
			f, g := startCluster(t, 90+i)
			f.publish(g, 1, document(2, 1_000_000))
			p := newPartition()
			f.partitionedRouter(4, p)
			f.router(5)
			f.router(6)
			var header []string
			if c == cutRefuse {
				// Each request takes a new connection.
				header = []string{"Connection", "close"}
			}
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				f.sendHeartbeats(id, f.engine(id, header...))
			}
			for n := 4; n <= 6; n++ {
				f.awaitServing(g, n)
			}
			g.Expect(f.served(4, 50, "before")).To(gomega.Equal(50))
			p.set(c)
			time.Sleep(contactWindow)
			g.Expect(f.served(4, 50, "cut")).To(gomega.BeNumerically(">=", 49))
			p.set(cutNone)
			g.Expect(f.served(4, 50, "healed")).To(gomega.BeNumerically(">=", 49))
		})
	}
}
