package relayer_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pathfinder"
	"rattanhoist.example/rattanhoist/relayer"
)

// routerAddress and incarnation are those of the router that asks.
const (
	routerAddress = "10.0.0.1:7340"
	incarnation   = 4711
)

// endpoints is what the relay knows of endpoints.
type endpoints struct {
	mu sync.Mutex
	// address is that of the endpoint "e"; connectErr takes its place if set.
	address       string
	connectErr    error
	reachesOthers bool
	busy          bool
	connects      int
	// refusals counts the callers without a valid proof.
	refusals atomic.Int64
}

func (e *endpoints) Connect(ctx context.Context, name string) (net.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connects++
	if name != "e" {
		return nil, relayer.ErrUnknownEndpoint
	}
	if e.connectErr != nil {
		return nil, e.connectErr
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", e.address)
}

func (e *endpoints) ReachesOthers(context.Context, string) bool { return e.reachesOthers }

func (e *endpoints) Busy() bool { return e.busy }

func (e *endpoints) Record(int) {}

// fleet is the fleet as the asking router sees it.
type fleet struct {
	peers []pathfinder.Peer
	self  *messenger.FleetMember
}

func (f fleet) Peers() []pathfinder.Peer { return f.peers }

func (f fleet) Self() *messenger.FleetMember { return f.self }

// routerServer serves only relays.
type routerServer struct {
	messenger.FleetRouterServer
	*relayer.Server
}

func (s routerServer) Relay(stream messenger.FleetRouter_RelayServer) error {
	return s.Server.Relay(stream)
}

// startRelay starts a relay and returns its internal address.
func startRelay(t *testing.T, e relayer.Endpoints, proven string) (string, *relayer.Server) {
	guard := messenger.NewMemberGuard(func(address string) (uint64, bool) { return incarnation, address == routerAddress }, time.Now)
	s := relayer.NewServer(e, guard, onRefusal(e), func() string { return proven }, zap.NewNop())
	rpc := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetRouterServer(rpc, routerServer{Server: s})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = rpc.Serve(l) }()
	t.Cleanup(rpc.Stop)
	return l.Addr().String(), s
}

// onRefusal returns a function that counts a caller without a valid proof.
func onRefusal(e relayer.Endpoints) func() {
	if c, ok := e.(*endpoints); ok {
		return func() { c.refusals.Add(1) }
	}
	return func() {}
}

func newDialer(self *messenger.FleetMember, relays ...string) *relayer.Dialer {
	f := fleet{self: self}
	for _, a := range relays {
		f.peers = append(f.peers, pathfinder.Peer{Address: a, Zone: "z"})
	}
	return relayer.NewDialer(f, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
}

func member() *messenger.FleetMember {
	return &messenger.FleetMember{Address: routerAddress, Zone: "z", Incarnation: incarnation}
}

// listen starts an endpoint that serves each connection with a function.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

var target = relayer.Target{Endpoint: "e", Zone: "z"}

// Guards against bytes that a relay changes, reorders or drops in either direction.
func TestBytesPassUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	address := listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(c, c)
		_ = c.Close()
	})
	relay, _ := startRelay(t, &endpoints{address: address}, "")
	c, err := newDialer(member(), relay).Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	sent := make([]byte, 300_000)
	for i := range sent {
		sent[i] = byte(i * i)
	}
	go func() { _, _ = c.Write(sent) }()
	received := make([]byte, len(sent))
	_, err = io.ReadFull(c, received)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(received).To(gomega.Equal(sent))
	g.Expect(c.Reusable()).To(gomega.BeTrue())
	g.Expect(c.Relay()).To(gomega.Equal(relay))
}

// Guards against an answer that looks complete because its connection ended: only an endpoint that
// closes it regularly ends an answer. Endpoints that reset, and relays that stop, do not.
func TestOnlyARegularCloseIsAnEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn, func())
		want error
	}{
		{"closed", func(c *net.TCPConn, _ func()) { _ = c.Close() }, io.EOF},
		{"reset", func(c *net.TCPConn, _ func()) { _ = c.SetLinger(0); _ = c.Close() }, relayer.ErrBrokenOff},
		{"relay killed", func(_ *net.TCPConn, kill func()) { kill() }, relayer.ErrBrokenOff},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			kills := make(chan func(), 1)
			address := listen(t, func(n *net.TCPConn) {
				_, _ = n.Write([]byte("part"))
				time.Sleep(50 * time.Millisecond)
				c.end(n, <-kills)
			})
			relay, _ := startRelay(t, &endpoints{address: address}, "")
			front := listen(t, func(n *net.TCPConn) {
				m, err := net.Dial("tcp", relay)
				if err != nil {
					return
				}
				kills <- func() { _ = n.Close(); _ = m.Close() }
				go func() { _, _ = io.Copy(m, n) }()
				_, _ = io.Copy(n, m)
			})
			r, err := newDialer(member(), front).Dial(t.Context(), target)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer r.Close()
			all, err := io.ReadAll(r)
			g.Expect(string(all)).To(gomega.Equal("part"))
			if c.want == io.EOF {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.MatchError(c.want))
			}
			g.Expect(r.Reusable()).To(gomega.BeFalse())
		})
	}
}

// Guards against relaying for processes that are no members of the fleet: without a proof, with that
// of an earlier incarnation, or with one that was recorded.
func TestRelayRequiresTheProofOfAMember(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &endpoints{address: listen(t, func(*net.TCPConn) {})}
	relay, _ := startRelay(t, e, "")
	for _, m := range []*messenger.FleetMember{
		{Address: routerAddress, Incarnation: incarnation + 1},
		{Address: "10.0.0.2:7340", Incarnation: incarnation},
		{Address: routerAddress},
	} {
		_, _, err := messenger.NewLink(relay).OpenRelay(t.Context(), time.Second, m, "e")
		g.Expect(status.Code(err)).To(gomega.Equal(codes.Unauthenticated), "%v", err)
	}
	g.Expect(e.connects).To(gomega.BeZero())
	g.Expect(e.refusals.Load()).To(gomega.Equal(int64(3)), "a router that has just started becomes known soon")
}

// Guards against mistaking a relay that has lost its own paths for an endpoint that is down, and the
// reverse.
func TestRelayTellsEndpointsFromPaths(t *testing.T) {
	g := gomega.NewWithT(t)
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		name string
		e    *endpoints
		want error
	}{
		{"refused, others accept", &endpoints{connectErr: refused, reachesOthers: true}, relayer.ErrEndpointDown},
		{"silent, others accept", &endpoints{connectErr: context.DeadlineExceeded, reachesOthers: true}, relayer.ErrEndpointDown},
		{"refused, others as well", &endpoints{connectErr: refused}, relayer.ErrNoRelay},
		{"silent, others as well", &endpoints{connectErr: context.DeadlineExceeded}, relayer.ErrNoRelay},
		{"path known to be lost", &endpoints{connectErr: relayer.ErrNoPath, reachesOthers: true}, relayer.ErrNoRelay},
		{"busy", &endpoints{busy: true, reachesOthers: true}, relayer.ErrNoRelay},
	} {
		relay, _ := startRelay(t, c.e, "")
		_, err := newDialer(member(), relay).Dial(t.Context(), target)
		g.Expect(err).To(gomega.MatchError(c.want), c.name)
	}
	relay, _ := startRelay(t, &endpoints{reachesOthers: true}, "")
	_, err := newDialer(member(), relay).Dial(t.Context(), relayer.Target{Endpoint: "gone", Zone: "z"})
	g.Expect(err).To(gomega.MatchError(relayer.ErrNoRelay), "an endpoint that left service gets no connections")
}

// Guards against waiting for relays that do not answer: one is frozen, one refuses connections, one
// is of an earlier version.
func TestNextRelayIsAskedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	frozen := listen(t, func(*net.TCPConn) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Close()).To(gomega.Succeed())
	old := messenger.NewFleetServer(zap.NewNop())
	lo, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = old.Serve(lo) }()
	t.Cleanup(old.Stop)
	relay, _ := startRelay(t, &endpoints{address: listen(t, func(*net.TCPConn) {})}, "")
	for _, bad := range []string{frozen, l.Addr().String(), lo.Addr().String()} {
		d := newDialer(member(), bad, relay)
		for range 4 {
			begun := time.Now()
			c, err := d.Dial(t.Context(), target)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 400*time.Millisecond))
			_ = c.Close()
		}
	}
}

// Guards against zones that a request must not enter.
func TestRelaysAreTakenFromAllowedZonesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, _ := startRelay(t, &endpoints{address: listen(t, func(*net.TCPConn) {})}, "")
	_, err := newDialer(member(), relay).Dial(t.Context(), relayer.Target{Endpoint: "e", Zone: "z", Allows: func(zone string) bool { return zone != "z" }})
	g.Expect(err).To(gomega.MatchError(relayer.ErrNoRelay))
}

// Guards against requests that a stopping relay would cut off: it relays nothing new, and open
// connections are not reused.
func TestStoppingRelayIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	relay, s := startRelay(t, &endpoints{address: listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })}, "")
	d := newDialer(member(), relay)
	c, err := d.Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(s.Active).Should(gomega.Equal(1))
	s.Drain()
	g.Eventually(c.Reusable, time.Second, 5*time.Millisecond).Should(gomega.BeFalse())
	_, err = c.Write([]byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadFull(c, make([]byte, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "what is in progress goes on")
	_, err = d.Dial(t.Context(), target)
	g.Expect(err).To(gomega.MatchError(relayer.ErrNoRelay))
	_ = c.Close()
	g.Eventually(s.Active, time.Second, 5*time.Millisecond).Should(gomega.BeZero(), "the relay need not wait longer")
}

// Guards against endpoints that work on after the router has closed its relayed connection.
func TestCloseReachesTheEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{})
	relay, _ := startRelay(t, &endpoints{address: listen(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})}, "")
	c, err := newDialer(member(), relay).Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _ = c.Write([]byte("request"))
	_ = c.Close()
	g.Eventually(closed, time.Second).Should(gomega.BeClosed())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred())
}

// Guards against a search that ends at routers without paths: they name one that helped them.
func TestRelayWithoutPathNamesAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	good, _ := startRelay(t, &endpoints{address: listen(t, func(*net.TCPConn) {})}, "")
	var relays []string
	for range 12 {
		bad, _ := startRelay(t, &endpoints{connectErr: relayer.ErrNoPath}, good)
		relays = append(relays, bad)
	}
	d := newDialer(member(), append(relays, good)...)
	_, _ = d.Dial(t.Context(), target)
	c, err := d.Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Relay()).To(gomega.Equal(good))
	_ = c.Close()
}

// slowEndpoints take a while to connect.
type slowEndpoints struct {
	*endpoints
	delay time.Duration
}

func (e slowEndpoints) Connect(ctx context.Context, name string) (net.Conn, error) {
	time.Sleep(e.delay)
	return e.endpoints.Connect(ctx, name)
}

// Links to relays that are no longer used are closed while the first connection through a relay is being opened. Guards
// against closing its link as well: the request on it would end, and its caller would get 502.
func TestLinksInUseDoNotExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	address := listen(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	guard := messenger.NewMemberGuard(func(address string) (uint64, bool) { return incarnation, address == routerAddress }, time.Now)
	e := slowEndpoints{&endpoints{address: address}, 100 * time.Millisecond}
	rpc := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetRouterServer(rpc, routerServer{Server: relayer.NewServer(e, guard, func() {}, func() string { return "" }, zap.NewNop())})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = rpc.Serve(l) }()
	t.Cleanup(rpc.Stop)
	d := newDialer(member(), l.Addr().String())
	stop := make(chan struct{})
	var expiring sync.WaitGroup
	expiring.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				d.Expire()
			}
		}
	})
	defer expiring.Wait()
	defer close(stop)
	c, err := d.Dial(t.Context(), target)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	_, err = c.Write([]byte("request"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b := make([]byte, len("request"))
	_, err = io.ReadFull(c, b)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
