package courier_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
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
	// cutResetRefuse resets open connections and refuses new ones.
	cutResetRefuse
)

// partition is the network between one router and all endpoints.
type partition struct {
	mu sync.Mutex
	// spared holds the addresses of the endpoints that are not cut off.
	spared map[string]bool
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
	if c != cutReset && c != cutResetRefuse {
		return
	}
	for x := range p.conns {
		if p.spared[x.TCPConn.RemoteAddr().String()] {
			continue
		}
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
		if p.spared[address] {
			c = cutNone
		}
		switch c {
		case cutRefuse, cutResetRefuse:
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
		if state != cutHang || c.partition.spared[c.TCPConn.RemoteAddr().String()] {
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

// partitionedRouter starts a router whose connections to endpoints pass through p, with more lines of
// settings.
func (f *cluster) partitionedRouter(n int, p *partition, settings ...string) {
	c := courier.New(courier.Options{
		Node: f.node(loader.KindRouter, n, false, settings...), Log: zap.NewNop(), Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
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
	t.Parallel()
	for i, c := range []cut{cutHang, cutRefuse, cutReset} {
		t.Run([]string{"hang", "refuse", "reset"}[i], func(t *testing.T) {
			t.Parallel()
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

// slowEngine starts an engine that answers each request after a delay.
func (f *cluster) slowEngine(id string, delay time.Duration) string {
	address := f.engine(id)
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		proxy.ServeHTTP(w, r)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against holding a request back as one that crashes endpoints because its router lost the
// paths to three of them at once: its connections are reset and new ones are refused, as if the
// endpoints had ended under it.
func TestLostPathsAreNoCrashes(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 94)
	f.publish(g, 1, document(2, 1_000_000))
	p := newPartition()
	f.partitionedRouter(4, p)
	f.router(5)
	f.router(6)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		f.sendHeartbeats(id, f.slowEngine(id, 300*time.Millisecond))
	}
	for n := 4; n <= 6; n++ {
		f.awaitServing(g, n)
	}
	send := func(router int, id string) (int, string) {
		return f.call("POST", f.serveAddress(router), "/a/same", "", "Api-Key", "k", "Rattanhoist-Request-Id", id, "Rattanhoist-Token-Usage", "1,1")
	}
	for round := range 3 {
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				send(4, fmt.Sprint("r", round, "-", i))
			}()
		}
		time.Sleep(200 * time.Millisecond)
		p.set(cutResetRefuse)
		wg.Wait()
		time.Sleep(500 * time.Millisecond)
		p.set(cutNone)
		time.Sleep(time.Second)
	}
	for n := 4; n <= 6; n++ {
		status, body := send(n, fmt.Sprint("same", n))
		g.Expect(status).To(gomega.Equal(200), body)
	}
}

// Guards against a zone or a fleet that loses all paths and does not serve again when they are
// back: endpoints must not stay ejected for what the cut did. While nobody has a path, a request is
// refused at once.
func TestFleetServesAgainWhenPathsAreBack(t *testing.T) {
	f, g := startCluster(t, 95)
	f.publish(g, 1, document(2, 1_000_000))
	cuts := []*partition{newPartition(), newPartition(), newPartition()}
	for i, p := range cuts {
		f.partitionedRouter(4+i, p)
	}
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		f.sendHeartbeats(id, f.engine(id, "Connection", "close"))
	}
	for n := 4; n <= 6; n++ {
		f.awaitServing(g, n)
	}
	for _, c := range []cut{cutHang, cutRefuse, cutReset} {
		for _, p := range cuts {
			p.set(c)
		}
		f.served(4, 30, "begin")
		time.Sleep(contactWindow)
		begun := time.Now()
		status, body := f.request(4, "cut", "1,1")
		g.Expect(status).To(gomega.Equal(503))
		g.Expect(body).To(gomega.Equal("no path to endpoints\n"))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond), "cut %d", c)
		for _, p := range cuts {
			p.set(cutNone)
		}
		time.Sleep(time.Second)
		for n := 4; n <= 6; n++ {
			g.Expect(f.served(n, 50, fmt.Sprint("healed", c))).To(gomega.BeNumerically(">=", 49), "cut %d, router %d", c, n)
		}
	}
}

// Guards against requests that fail while the paths of a router come and go every second.
func TestFlappingPathsFailNoRequests(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 96)
	f.publish(g, 1, document(2, 1_000_000))
	p := newPartition()
	f.partitionedRouter(4, p)
	f.router(5)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		f.sendHeartbeats(id, f.engine(id))
	}
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	p.set(cutReset)
	time.Sleep(contactWindow)
	done := make(chan int)
	go func() { done <- f.served(4, 400, "flap") }()
	for i := range 8 {
		time.Sleep(time.Second)
		p.set([]cut{cutNone, cutReset, cutNone, cutRefuse}[i%4])
	}
	g.Expect(<-done).To(gomega.BeNumerically(">=", 392))
}

// Guards against requests that fail because the only router that helps stops: what it relays goes
// on, and the cut-off router asks another one.
func TestRelayStopsWithoutFailures(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 97)
	f.publish(g, 1, document(2, 1_000_000))
	p := newPartition()
	f.partitionedRouter(4, p)
	f.router(5)
	f.router(6)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		f.sendHeartbeats(id, f.slowEngine(id, 200*time.Millisecond))
	}
	for n := 4; n <= 6; n++ {
		f.awaitServing(g, n)
	}
	p.set(cutReset)
	time.Sleep(contactWindow)
	done := make(chan int)
	go func() { done <- f.served(4, 300, "stop") }()
	time.Sleep(2 * time.Second)
	f.stop("router5")
	g.Expect(<-done).To(gomega.BeNumerically(">=", 297))
}

// Guards against a router that refuses the requests for which it has no path, because it still
// reaches some endpoints and so does not look cut off: with half of the endpoints, all are served in
// time by either way.
func TestRouterWithoutSomePathsServesAll(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 99)
	f.publish(g, 1, document(2, 1_000_000))
	p := newPartition()
	p.spared = map[string]bool{}
	f.partitionedRouter(4, p)
	f.router(5)
	for i, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		address := f.engine(id)
		f.sendHeartbeats(id, address)
		p.spared[address] = i < 2
	}
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	for _, c := range []cut{cutHang, cutResetRefuse} {
		p.set(c)
		time.Sleep(contactWindow)
		g.Expect(f.served(4, 100, fmt.Sprint("cut", c))).To(gomega.BeNumerically(">=", 98))
		p.set(cutNone)
		time.Sleep(time.Second)
	}
}

// Guards against a setting without effect: switched off, a router neither asks relays nor is one.
func TestRelaysCanBeSwitchedOff(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 100)
	f.publish(g, 1, document(2, 1_000_000))
	off, on := newPartition(), newPartition()
	f.partitionedRouter(4, off, "endpoint_relays = false")
	f.partitionedRouter(5, on)
	f.sendHeartbeats("i-1", f.engine("i-1", "Connection", "close"))
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	off.set(cutRefuse)
	g.Expect(f.served(4, 5, "off")).To(gomega.BeZero())
	off.set(cutNone)
	on.set(cutRefuse)
	g.Expect(f.served(5, 5, "on")).To(gomega.BeZero())
}

// Guards against a router that refuses its callers for seconds because it starts without paths to
// endpoints, and the routers that have paths do not know its new incarnation.
func TestRouterThatRestartsWithoutPathsServesThroughOthers(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 101)
	f.publish(g, 1, document(2, 1_000_000))
	p := newPartition()
	f.partitionedRouter(4, p)
	f.router(5)
	f.sendHeartbeats("i-1", f.engine("i-1"))
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	p.set(cutResetRefuse)
	for i := range 3 {
		f.stop("router4")
		f.partitionedRouter(4, p)
		g.Eventually(func() int {
			status, _ := f.call("GET", f.ip(4)+":8220", "/v1/ready", "")
			return status
		}, 5*time.Second, 5*time.Millisecond).Should(gomega.Equal(200))
		served := f.served(4, 150, fmt.Sprint("restarted-", i, "-"))
		t.Logf("%d of 150 requests in the first 3 s are served", served)
		g.Expect(served).To(gomega.BeNumerically(">=", 100))
	}
}
