package courier

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/steward"
)

// maxLeaveDelay is half of the time after the acknowledgement of a leave from which an endpoint must
// get no more requests.
const maxLeaveDelay = time.Second

// leaveFleet runs three keepers, and the parts of routers that sync with them.
type leaveFleet struct {
	t       *testing.T
	g       *gomega.WithT
	dir     string
	subnet  int
	network *silentNetwork
	keepers map[int]*leaveKeeper
	views   map[int]*fleetView
	stops   map[int]func()

	mu sync.Mutex
	// acknowledged holds when leaves were acknowledged, by the endpoint's name.
	acknowledged map[string]time.Time
}

// leaveKeeper is one running keeper.
type leaveKeeper struct {
	control *steward.Control
	stop    func()
}

// startLeaveFleet starts the keepers, which commit changes when it returns.
func startLeaveFleet(t *testing.T, subnet int) *leaveFleet {
	launcher.LockAddresses(t, fmt.Sprint("cluster-", subnet))
	f := &leaveFleet{
		t: t, g: gomega.NewWithT(t), dir: t.TempDir(), subnet: subnet, network: newSilentNetwork(),
		keepers: map[int]*leaveKeeper{}, views: map[int]*fleetView{}, stops: map[int]func(){}, acknowledged: map[string]time.Time{},
	}
	for n := 1; n <= 3; n++ {
		f.startKeeper(n, true)
	}
	f.g.Eventually(func() error { return f.keepers[1].control.Leave(t.Context(), enroller.Incarnation{ID: "probe"}) }, 15*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
	return f
}

func (f *leaveFleet) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", f.subnet, n) }

func (f *leaveFleet) internal(n int) string { return f.ip(n) + ":7340" }

func (f *leaveFleet) node(kind string, n int, first bool) *loader.Node {
	text := fmt.Sprintf("[node]\nname = n%d\nkind = %s\nzone = z\nip = %s\ninternal_ports = 7340,7355\nfirst_start = %v\nlost_disks = 1\nheartbeat_ms = 5000\ngrace_s = 5\n"+
		"seeds = %s:8229,%s:8229,%s:8229\n", n, kind, f.ip(n), first, f.ip(1), f.ip(2), f.ip(3))
	if kind == loader.KindKeeper {
		text += "control = " + f.ip(n) + ":8229\ndata_dir = " + filepath.Join(f.dir, fmt.Sprint("data", n)) + "\n"
	} else {
		text += "serve = " + f.ip(n) + ":8227\nready = " + f.ip(n) + ":8220\n"
	}
	file := filepath.Join(f.dir, fmt.Sprint("node", n, ".ini"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	node, _, err := loader.LoadNode(file)
	if err != nil {
		f.t.Fatal(err)
	}
	return node
}

func (f *leaveFleet) startKeeper(n int, first bool) {
	k, cleanUp, err := steward.New(f.node(loader.KindKeeper, n, first), zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	stop := f.background(func(ctx context.Context) {
		defer cleanUp()
		if err := k.Run(ctx, func(*steward.Keeper) http.Handler { return http.NotFoundHandler() }); err != nil && ctx.Err() == nil {
			f.t.Errorf("keeper %d: %v", n, err)
		}
	})
	decode := func([]byte) (*publisher.Document, error) { return &publisher.Document{Number: 1}, nil }
	f.keepers[n] = &leaveKeeper{control: steward.NewControl(k, decode), stop: stop}
}

// background runs a function until the returned one is called or the test ends.
func (f *leaveFleet) background(run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); run(ctx) }()
	stop = func() { cancel(); <-done }
	f.t.Cleanup(stop)
	return stop
}

// startRouter starts router n, which asks the given keepers first.
func (f *leaveFleet) startRouter(n int, keepers ...int) *fleetView {
	o := Options{Node: f.node(loader.KindRouter, n, false), Log: zap.NewNop(), Decode: func([]byte) (*publisher.Document, error) { return &publisher.Document{Number: 1}, nil }}
	v := newFleetView(o, uint64(n), predictor.NewTable("z"), pooler.New(func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }, func() {}))
	v.onDocument = func(*publisher.Document) {}
	clear(v.keepers)
	for _, k := range keepers {
		v.keepers[f.internal(k)] = messenger.NewLinkWithDialer(f.internal(k), f.network.dial)
	}
	f.views[n] = v
	f.stops[n] = f.background(v.run)
	return v
}

// register announces endpoints named e0, e1 and so on, with a start time.
func (f *leaveFleet) register(from, to int, bornMS int64) {
	for i := from; i < to; i++ {
		b := enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", i), BornMS: bornMS}, Service: "s", Address: fmt.Sprintf("10.%d.%d.1:80", i/200, i%200),
			Zone: "z", Slots: 4, Sequence: 1, Version: "1",
		}
		if _, err := f.keepers[1+i%3].control.Heartbeat(f.t.Context(), b); err != nil {
			f.t.Fatal(err)
		}
	}
}

// awaitKnown waits until all routers have the endpoints in service.
func (f *leaveFleet) awaitKnown(endpoints int) {
	for n, v := range f.views {
		f.g.Eventually(func() []string { return v.table.Names() }, 15*time.Second, 20*time.Millisecond).Should(gomega.HaveLen(endpoints), "router %d", n)
	}
}

// leave makes endpoints leave, many at a time, at a keeper that is running. Each one repeats its call
// at the next keeper until one acknowledges it.
func (f *leaveFleet) leave(from, to int, bornMS int64, keepers ...int) {
	var wg sync.WaitGroup
	for i := from; i < to; i++ {
		wg.Go(func() {
			left := enroller.Incarnation{ID: fmt.Sprint("e", i), BornMS: bornMS}
			for n := i; ; n++ {
				ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
				err := f.keepers[keepers[n%len(keepers)]].control.Leave(ctx, left)
				cancel()
				if err == nil || f.t.Context().Err() != nil {
					break
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.acknowledged[left.String()] = time.Now()
		})
	}
	wg.Wait()
}

// maxDelay watches until all given endpoints have left, and for a second more. It returns the longest
// time for which one of them was in service at a router after its leave was acknowledged.
func (f *leaveFleet) maxDelay(endpoints int) time.Duration {
	var most time.Duration
	var end time.Time
	for ; end.IsZero() || time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		now := time.Now()
		pending := 0
		for _, v := range f.views {
			for _, name := range v.table.Names() {
				if at, left := f.acknowledged[name]; left {
					most = max(most, now.Sub(at))
					pending++
				}
			}
		}
		if end.IsZero() && pending == 0 && len(f.acknowledged) >= endpoints {
			end = now.Add(time.Second)
		}
		f.mu.Unlock()
		if most > 10*maxLeaveDelay {
			break
		}
	}
	return most
}

// silentNetwork opens connections of routers to keepers, over which nothing passes while the keeper is
// silenced.
type silentNetwork struct {
	mu       sync.Mutex
	silenced map[string]bool
	changed  chan struct{}
}

func newSilentNetwork() *silentNetwork {
	return &silentNetwork{silenced: map[string]bool{}, changed: make(chan struct{})}
}

// silence begins or ends the silence of the keeper with an address.
func (s *silentNetwork) silence(address string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced[address] = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// await returns once bytes may pass to and from an address.
func (s *silentNetwork) await(address string, closed <-chan struct{}) error {
	for {
		s.mu.Lock()
		silent, changed := s.silenced[address], s.changed
		s.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-closed:
			return net.ErrClosed
		case <-changed:
		}
	}
}

func (s *silentNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if err := s.await(address, ctx.Done()); err != nil {
		return nil, err
	}
	c, err := pooler.DialDirect(ctx, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: c, network: s, address: address, closed: make(chan struct{})}, nil
}

// silentConn is a connection of a silentNetwork.
type silentConn struct {
	net.Conn
	network *silentNetwork
	address string
	once    sync.Once
	closed  chan struct{}
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if w := c.network.await(c.address, c.closed); w != nil {
		return 0, w
	}
	return n, err
}

func (c *silentConn) Write(b []byte) (int, error) {
	if err := c.network.await(c.address, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Six routers, 1,200 endpoints. Guards against a router that learns too late of some of 1,000 leaves at
// once, because the keeper that reports endpoints to it has fallen silent.
func TestManyLeavesWhileAKeeperIsSilent(t *testing.T) {
	f := startLeaveFleet(t, 171)
	for n := 11; n <= 16; n++ {
		f.startRouter(n, 1, 2, 3)
	}
	f.register(0, 1_200, 1)
	f.awaitKnown(1_200)
	f.network.silence(f.internal(2), true)
	stop := f.background(func(context.Context) { f.leave(0, 1_000, 1, 1, 3) })
	delay := f.maxDelay(1_000)
	stop()
	t.Logf("latest leave known %v after its acknowledgement", delay)
	f.g.Expect(delay).To(gomega.BeNumerically("<", maxLeaveDelay))
	f.awaitKnown(200)
}

// Guards against a router that puts endpoints in service which left while the keeper that lists them
// was down. The keeper restores its endpoints from disk, and the log holds many leaves.
func TestKeeperThatMissedManyLeavesListsNoneOfThem(t *testing.T) {
	f := startLeaveFleet(t, 172)
	first := f.startRouter(11, 1, 2, 3)
	f.register(0, 2_000, 1)
	f.awaitKnown(2_000)
	time.Sleep(1500 * time.Millisecond) // The keepers write their endpoints each second.
	f.keepers[3].stop()
	f.leave(0, 1_900, 1, 1, 2)
	f.g.Eventually(func() []string { return first.table.Names() }, 5*time.Second, 20*time.Millisecond).Should(gomega.HaveLen(100))
	f.startKeeper(3, false)
	time.Sleep(2 * time.Second)
	f.network.silence(f.internal(1), true)
	f.network.silence(f.internal(2), true)
	started := f.startRouter(12, 1, 2, 3)
	f.awaitKnown(100)
	f.g.Consistently(func() []string { return started.table.Names() }, time.Second, 20*time.Millisecond).Should(gomega.HaveLen(100))
}

// 300 endpoints leave, and then announce their end once more with their id only. Guards against a
// router that takes one of them out of service which has come back under the same id.
func TestEndpointThatComesBackAfterManyLeavesIsInService(t *testing.T) {
	f := startLeaveFleet(t, 173)
	f.startRouter(11, 1, 2, 3)
	f.register(0, 300, 1)
	f.awaitKnown(300)
	f.leave(0, 300, 1, 1, 2, 3)
	f.awaitKnown(0)
	f.leave(0, 300, 0, 1, 2, 3)
	f.register(0, 300, 2)
	f.awaitKnown(300)
	f.startRouter(12, 1, 2, 3)
	f.awaitKnown(300)
	for _, v := range f.views {
		f.g.Consistently(func() []string { return v.table.Names() }, time.Second, 20*time.Millisecond).Should(gomega.HaveLen(300))
	}
}

// A router hears nothing of any keeper for three seconds, in which 1,000 endpoints leave. Guards
// against endpoints that it still has in service a second after it is back in contact.
func TestRouterBackInContactKnowsAllLeaves(t *testing.T) {
	f := startLeaveFleet(t, 174)
	v := f.startRouter(11, 1, 2, 3)
	f.register(0, 1_200, 1)
	f.awaitKnown(1_200)
	for n := 1; n <= 3; n++ {
		f.network.silence(f.internal(n), true)
	}
	f.leave(0, 1_000, 1, 1, 2, 3)
	time.Sleep(3 * time.Second)
	reporting := v.currentKeeper.Load().Address()
	for n := 1; n <= 3; n++ {
		if f.internal(n) != reporting {
			f.network.silence(f.internal(n), false)
		}
	}
	f.g.Eventually(func() []string { return v.table.Names() }, maxLeaveDelay, 10*time.Millisecond).Should(gomega.HaveLen(200))
}

// Guards against a leave that routers learn of too late because the keeper that acknowledged it, which may lead,
// stops right after: it is durable at a majority, and the others apply it once they know that it is committed.
func TestLeaveIsKnownAfterItsKeeperStops(t *testing.T) {
	f := startLeaveFleet(t, 200)
	for n := 11; n <= 16; n++ {
		f.startRouter(n, 1, 2, 3)
	}
	f.register(0, 30, 1)
	f.awaitKnown(30)
	for k := 1; k <= 3; k++ {
		f.leave(10*(k-1), 10*k, 1, k)
		acknowledged := time.Now()
		f.keepers[k].stop()
		f.awaitKnown(30 - 10*k)
		t.Logf("keeper %d: known %v after the acknowledgement", k, time.Since(acknowledged))
		f.g.Expect(time.Since(acknowledged)).To(gomega.BeNumerically("<", 2*maxLeaveDelay))
		f.startKeeper(k, false)
		time.Sleep(2 * time.Second)
	}
}
