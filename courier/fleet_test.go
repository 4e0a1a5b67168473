package courier

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// keeperStub is a keeper that answers sync and fetch requests, each after a delay.
type keeperStub struct {
	messenger.UnimplementedFleetKeeperServer
	sync, fetch atomic.Int64
	// numberOffset is added to the number of its document, which is 1.
	numberOffset atomic.Int64
	// age is how long ago a majority confirmed its copy, in milliseconds.
	age   atomic.Int64
	syncs atomic.Int64
	// sightings are the endpoints that it reports.
	sightings atomic.Pointer[messenger.Sightings]
	// endpointSyncs counts the sync requests that ask for endpoints.
	endpointSyncs atomic.Int64
	// leaves is sent with each reply.
	leaves atomic.Pointer[messenger.LeaveUpdate]
	// evacuations are sent with each reply.
	evacuations atomic.Pointer[messenger.Evacuations]
	versions    atomic.Pointer[messenger.VersionHistory]
	claims      atomic.Int64
	cut         atomic.Bool
	// grant is the answer to each claim, or nil for 1,000 tokens.
	grant   atomic.Pointer[messenger.RightsGrant]
	content []byte
}

func pause(ctx context.Context, d int64) error {
	select {
	case <-time.After(time.Duration(d)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *keeperStub) number() uint64 { return uint64(1 + k.numberOffset.Load()) }

func (k *keeperStub) Sync(ctx context.Context, q *messenger.SyncRequest) (*messenger.SyncReply, error) {
	k.syncs.Add(1)
	if !q.SkipEndpoints {
		k.endpointSyncs.Add(1)
	}
	out := &messenger.SyncReply{Number: k.number(), ConfirmedAgeMs: k.age.Load(), Evacuations: k.evacuations.Load(), Versions: k.versions.Load()}
	if s := k.sightings.Load(); s != nil {
		out.Endpoints = s.Sightings
	}
	if u := k.leaves.Load(); u != nil {
		out.Leaves = &messenger.LeaveUpdate{Deployment: u.Deployment, Index: u.Index, Truncated: u.Truncated}
	}
	return out, pause(ctx, k.sync.Load())
}

func (k *keeperStub) Fetch(ctx context.Context, _ *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	return &messenger.FleetDocumentReply{Number: k.number(), Content: k.content}, pause(ctx, k.fetch.Load())
}

// Order grants claims, unless the keeper is cut off.
func (k *keeperStub) Order(ctx context.Context, q *messenger.OrderRequest) (*messenger.OrderReply, error) {
	if k.cut.Load() {
		return nil, pause(ctx, int64(time.Minute))
	}
	k.claims.Add(1)
	out := &messenger.RightsGrants{}
	for _, c := range q.Change.GetRights().GetClaims() {
		if g := k.grant.Load(); g != nil {
			out.Grants = append(out.Grants, &messenger.RightsGrant{Workspace: c.Workspace, Granted: g.Granted, Left: g.Left, Unspent: g.Unspent, Total: g.Total})
			continue
		}
		out.Grants = append(out.Grants, &messenger.RightsGrant{Workspace: c.Workspace, Granted: 1_000, Left: 1_000})
	}
	return &messenger.OrderReply{Done: true, Grants: out}, nil
}

// serveStub serves a keeper stub and returns its address.
func serveStub(t *testing.T, k *keeperStub) string { return serveKeeper(t, k, k) }

// serveKeeper serves a keeper that is based on a stub and returns its address.
func serveKeeper(t *testing.T, server messenger.FleetKeeperServer, k *keeperStub) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if k.content, err = publisher.Compress([]byte("{}")); err != nil {
		t.Fatal(err)
	}
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetKeeperServer(s, server)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// loadTestNode returns the settings of a router, with additional lines of section [node].
func loadTestNode(t *testing.T, lines string) *loader.Node {
	text := "[node]\nname = n\nkind = router\nzone = z\nip = 127.0.0.1\ninternal_ports = 1\nseeds = 127.0.0.1:9"
	file := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(file, []byte(text+"\nserve = 127.0.0.1:2\nready = 127.0.0.1:3\nheartbeat_ms = 300\ngrace_s = 5\n"+lines), 0o600); err != nil {
		t.Fatal(err)
	}
	n, _, err := loader.LoadNode(file)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// startFleet runs a fleetView with the given keeper addresses.
func startFleet(t *testing.T, keepers ...string) *fleetView {
	return startFleetWith(t, func(*Options) {}, keepers...)
}

// startFleetWith is startFleet with changed options.
func startFleetWith(t *testing.T, change func(*Options), keepers ...string) *fleetView {
	return startFleetSet(t, "", change, keepers...)
}

// noShortageNotices are the settings that switch the notices of short totals off.
const noShortageNotices = "shortage_notices = false\n"

// startFleetSet is startFleetWith with additional settings.
func startFleetSet(t *testing.T, settings string, change func(*Options), keepers ...string) *fleetView {
	n := loadTestNode(t, settings)
	decode := func([]byte) (*publisher.Document, error) { return &publisher.Document{Number: 1}, nil }
	belongs := func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }
	o := Options{Node: n, Log: zap.NewNop(), Decode: decode}
	change(&o)
	f := newFleetView(o, 1, predictor.NewTable("z"), pooler.New(belongs, func() {}))
	f.onDocument = func(*publisher.Document) {}
	clear(f.keepers)
	for _, k := range keepers {
		f.addKeeper(k, "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// inService returns the names of the endpoints of service s.
func inService(f *fleetView) []string {
	var out []string
	for _, e := range f.table.Endpoints("s") {
		out = append(out, e.Name())
	}
	return out
}

// Guards against a router that considers itself disconnected while its keepers are healthy, and
// then refuses requests for lack of rights and serves an old configuration. Callers fill its
// link, so that each keeper's reply takes 0.6 s, longer than the timeout of one keeper.
func TestSlowKeepersKeepRouterConnected(t *testing.T) {
	g := gomega.NewWithT(t)
	var addresses []string
	for range 3 {
		k := &keeperStub{}
		k.sync.Store(int64(600 * time.Millisecond))
		addresses = append(addresses, serveStub(t, k))
	}
	f := startFleet(t, addresses...)
	g.Eventually(f.Index, 5*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	g.Consistently(f.disconnected, 4*time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
}

// Guards against configurations that come into force late because a keeper that is cut off
// is asked first again and again. The keeper is in the router's zone, accepts requests and
// never answers.
func TestCutKeeperDelaysNoSync(t *testing.T) {
	g := gomega.NewWithT(t)
	cut, healthy := &keeperStub{}, &keeperStub{}
	cut.sync.Store(int64(time.Minute))
	address := serveStub(t, cut)
	f := startFleet(t, address, serveStub(t, healthy))
	f.addKeeper(address, f.self.Zone)
	g.Eventually(f.Index, 3*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	// A sync with the cut keeper times out after 2 s. If it were asked first again right
	// then, it would delay four rounds in nine seconds.
	time.Sleep(500 * time.Millisecond)
	late, asked, last := 0, healthy.syncs.Load(), time.Now()
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n := healthy.syncs.Load()
		if n == asked {
			continue
		}
		if time.Since(last) > syncInterval+nextKeeperDelay/2 {
			late++
		}
		asked, last = n, time.Now()
	}
	g.Expect(late).To(gomega.BeNumerically("<=", 2), "rounds that the cut keeper delayed")
	g.Expect(f.disconnected()).To(gomega.BeFalse())
}

// Guards against a router that, after a partition, waits 0.35 s in each round before it
// asks the keeper that knows a leader, and ends before it has reported what it spent. The
// keeper asked first replies at once that no majority has confirmed its copy, and the
// router waits for a reply of another one that it has not asked yet.
func TestKeeperWithoutMajorityDelaysNoSync(t *testing.T) {
	g := gomega.NewWithT(t)
	stale, healthy := &keeperStub{}, &keeperStub{}
	stale.age.Store(5000)
	address := serveStub(t, stale)
	f := startFleet(t, address, serveStub(t, healthy))
	// As a keeper of the router's zone, it is asked first.
	f.addKeeper(address, f.self.Zone)
	g.Eventually(f.Index, 3*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	before := healthy.syncs.Load()
	time.Sleep(2 * time.Second)
	g.Expect(healthy.syncs.Load()-before).To(gomega.BeNumerically(">=", 8), "syncs in 2 s, at most ten")
}

// Guards against a large document that stops the sync rounds while it is fetched over a
// slow link, here for 1.2 s.
func TestLargeDocumentDelaysNoSync(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.fetch.Store(int64(1200 * time.Millisecond))
	f := startFleet(t, serveStub(t, k))
	g.Eventually(k.syncs.Load, 2*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", 0))
	before := k.syncs.Load()
	time.Sleep(time.Second)
	g.Expect(f.Index()).To(gomega.BeNil(), "the fetch is still in progress")
	g.Expect(k.syncs.Load()-before).To(gomega.BeNumerically(">=", 3), "syncs in 1 s")
	g.Eventually(f.Index, 2*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
}

// lenderStub is a router that lends the tokens it has, after a delay.
type lenderStub struct {
	messenger.UnimplementedFleetRouterServer
	has   atomic.Int64
	delay time.Duration
	// asked counts the requests of all lenders of a test.
	asked *atomic.Int64
	// shortage is reported in each reply, if set.
	shortage *messenger.RightsShortage
}

func (s *lenderStub) Lend(ctx context.Context, q *messenger.LendRequest) (*messenger.LendReply, error) {
	if err := pause(ctx, int64(s.delay)); err != nil {
		return nil, err
	}
	out := &messenger.LendReply{}
	if s.asked != nil {
		s.asked.Add(1)
	}
	if s.shortage != nil {
		out.Shortages = append(out.Shortages, s.shortage)
	}
	for _, w := range q.Wants {
		if n := min(w.Tokens, s.has.Load()); n > 0 {
			s.has.Add(-n)
			out.Lent = append(out.Lent, &messenger.PrepaidTotal{Workspace: w.Workspace, Tokens: n})
		}
	}
	return out, nil
}

// startDisconnected returns the rights of a router that can't reach any keeper, in a fleet
// with the given number of other routers, each of which holds the given number of tokens.
func startDisconnected(t *testing.T, routers int, tokens int64, delay time.Duration) *rights {
	return startPartition(t, partition{routers: routers, tokens: tokens, delay: delay})
}

// partition describes a router that can't reach any keeper, and its lenders.
type partition struct {
	settings string
	routers  int
	tokens   int64
	delay    time.Duration
	asked    *atomic.Int64
	shortage *messenger.RightsShortage
	log      *zap.Logger
}

func startPartition(t *testing.T, p partition) *rights {
	f := startFleetSet(t, p.settings, func(*Options) {})
	if p.log == nil {
		p.log = zap.NewNop()
	}
	var members []*messenger.FleetMember
	for range p.routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x := &lenderStub{delay: p.delay, asked: p.asked, shortage: p.shortage}
		x.has.Store(p.tokens)
		s := messenger.NewFleetServer(zap.NewNop())
		messenger.RegisterFleetRouterServer(s, x)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		members = append(members, &messenger.FleetMember{Address: l.Addr().String(), Zone: "z"})
	}
	f.updatePeers(members)
	f.routerCount.Store(1)
	r := newRights(f, "127.0.0.1:1", p.log)
	ctx, cancel := context.WithCancel(context.Background())
	go r.run(ctx)
	t.Cleanup(cancel)
	for !f.disconnected() {
		time.Sleep(10 * time.Millisecond)
	}
	return r
}

// Guards against a router with 250 requests a second that borrows nothing for nine seconds,
// although others hold rights that they don't need. No keeper can be reached, and other
// routers take 100 ms to answer. If each request searches for a lender by itself, one after
// the other, each search has only the remaining time of its request.
func TestManyRequestsBorrowTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startDisconnected(t, 20, 40_000, 100*time.Millisecond)
	const requests = 200
	results := make(chan error, requests)
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			_, err := r.Reserve(context.Background(), "w", 3_000, reserveTimeout)
			results <- err
		}()
	}
	served := 0
	for range requests {
		if <-results == nil {
			served++
		}
	}
	g.Expect(served).To(gomega.BeNumerically(">=", requests*9/10), fmt.Sprint("of ", requests, "; 20 routers hold 800,000 tokens, they need 600,000"))
}

// Guards against a request that is refused as out of reach while one of many routers holds
// enough rights. No keeper can be reached, only one of 20 other routers has tokens, and the
// search asks only some of them.
func TestAllRoutersAreAskedBeforeARefusal(t *testing.T) {
	for name, settings := range map[string]string{"bulk searches": "", "without shortage notices": noShortageNotices} {
		t.Run(name, func(t *testing.T) { expectAllRoutersAsked(t, settings) })
	}
}

func expectAllRoutersAsked(t *testing.T, settings string) {
	g := gomega.NewWithT(t)
	r := startPartition(t, partition{settings: settings, routers: 20})
	last, ok := r.fleet.allPeers()[0], false
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x := &lenderStub{}
	x.has.Store(10_000)
	s := messenger.NewFleetServer(zap.NewNop())
	messenger.RegisterFleetRouterServer(s, x)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	r.fleet.mu.Lock()
	for i, o := range r.fleet.peers {
		if o == last {
			r.fleet.peers[i], ok = messenger.NewLink(l.Addr().String()), true
		}
	}
	r.fleet.mu.Unlock()
	g.Expect(ok).To(gomega.BeTrue())
	// The next search begins with the peer after it.
	r.borrower.mu.Lock()
	r.borrower.nextPeer = 0
	r.borrower.mu.Unlock()
	_, err = r.Reserve(context.Background(), "w", 3_000, reserveTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	begun := time.Now()
	_, err = r.Reserve(context.Background(), "w", 300_000, reserveTimeout)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 400*time.Millisecond), "fails as soon as all routers have been asked")
}

// Guards against a request that is refused as out of reach in the first second of a
// partition, while others hold rights. It waits for keepers that are reachable when it
// arrives and then fall silent, until no time is left to borrow.
func TestWaitingRequestDetectsPartition(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startDisconnected(t, 5, 40_000, 0)
	// The keepers answered 0.75 s ago, so the router considers itself disconnected 0.15 s
	// after the request arrives.
	r.fleet.lastContact.Store(int64(time.Since(r.fleet.startedAt) - 750*time.Millisecond))
	g.Expect(r.fleet.disconnected()).To(gomega.BeFalse())
	_, err := r.Reserve(context.Background(), "w", 3_000, reserveTimeout)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against writing off all that a router might have spent in a partition, if it ends
// half a second after the partition. A claim waits at a keeper that knows no leader while
// another keeper answers. If the claim waited for its timeout of up to 1.5 s, only the next
// one would report what was spent.
func TestClaimGoesToTheKeeperThatAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	f := startFleet(t, serveStub(t, k))
	r := newRights(f, "127.0.0.1:1", zap.NewNop())
	g.Eventually(f.currentKeeper.Load, 2*time.Second, 5*time.Millisecond).ShouldNot(gomega.BeNil())
	g.Eventually(f.keeperChanged, time.Second).Should(gomega.Receive())
	r.allocation("w")
	k.cut.Store(true)
	ended := make(chan time.Duration, 1)
	go func() { ended <- r.claimFromCurrent(context.Background(), slowClaimTimeout) }()
	time.Sleep(200 * time.Millisecond)
	g.Expect(k.claims.Load()).To(gomega.BeZero())
	k.cut.Store(false)
	f.keeperChanged <- struct{}{}
	g.Eventually(k.claims.Load, 300*time.Millisecond, time.Millisecond).Should(gomega.Equal(int64(1)))
	g.Eventually(ended, time.Second).Should(gomega.Receive(gomega.Equal(claimTimeout)))
}

// Guards against requests that wait until their deadline at a healthy endpoint. It loses
// power with requests in progress and restarts with the same id and address, so no TCP
// reset arrives. The router must compare incarnations, not ids.
func TestRequestsToPreviousIncarnationFail(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	sightingsOf := func(ms int64) *messenger.Sightings {
		return &messenger.Sightings{Sightings: []*messenger.Sighting{{Id: "e", BornMs: ms, Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 1, Sequence: 1}}}
	}
	k := &keeperStub{}
	k.sightings.Store(sightingsOf(1))
	f := startFleet(t, serveStub(t, k))
	names := func() []string { return inService(f) }
	g.Eventually(names, 3*time.Second, 10*time.Millisecond).Should(gomega.Equal([]string{"e@1"}))
	ended := make(chan error, 1)
	go func() {
		_, err := f.pool.Exchange(t.Context(), pooler.Target{ID: "e@1", Address: listener.Addr().String(), MaxConnections: 1}, &pooler.Request{Method: "GET", URI: "/", ID: "r"})
		ended <- err
	}()
	g.Consistently(ended, 300*time.Millisecond).ShouldNot(gomega.Receive())
	k.sightings.Store(sightingsOf(2))
	var got error
	g.Eventually(ended, time.Second).Should(gomega.Receive(&got))
	g.Expect(got).To(gomega.MatchError(pooler.ErrMayHaveRun), "the previous incarnation may have run it")
	g.Expect(names()).To(gomega.Equal([]string{"e@2"}))
}

// Guards against reading every shared prompt part again after a restart of all routers.
// Routers only know the parts that they sent themselves, so a starting router has to query
// engines that have been running.
func TestStartingRouterQueriesPrefixCaches(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{
		{Id: "e", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: 1},
		{Id: "p", Service: "plain", Address: "10.0.0.2:1", Zone: "z", Slots: 8, Sequence: 1},
	}})
	var asked atomic.Int64
	f := startFleetWith(t, func(o *Options) {
		o.Decode = func([]byte) (*publisher.Document, error) {
			return &publisher.Document{Number: 1, Services: []publisher.Service{{Name: "s", Engine: &publisher.Engine{Slots: 8}}, {Name: "plain"}}}, nil
		}
		o.QueryCache = func(_ context.Context, address string) ([]predictor.Part, *predictor.State, error) {
			asked.Add(1)
			if address != "10.0.0.1:1" {
				return nil, nil, fmt.Errorf("%s is no engine", address)
			}
			return []predictor.Part{{ID: "part", Tokens: 5_000}}, &predictor.State{}, nil
		}
	}, serveStub(t, k))
	p := &predictor.Prompt{InputTokens: 6_000, MaxOutputTokens: 10, Parts: []predictor.Part{{ID: "part", Tokens: 5_000}, {ID: "own", Tokens: 1_000}}}
	g.Eventually(asked.Load, 4*time.Second, 10*time.Millisecond).Should(gomega.Equal(int64(1)))
	g.Consistently(asked.Load, time.Second).Should(gomega.Equal(int64(1)))
	w := f.table.Choose(time.Now(), predictor.Request{Service: "s", Prompt: p})
	defer w.End()
	g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(1_000)))
}

// Guards against callers that are refused for good because routers and keepers start at the
// same time. A caller that arrives before the first configuration, and is refused at once,
// retries only once, which may also be before the configuration arrives within the second.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.fetch.Store(int64(400 * time.Millisecond))
	f := startFleet(t, serveStub(t, k))
	x, _ := f.AwaitConfiguration(t.Context())
	g.Expect(x).NotTo(gomega.BeNil())
	g.Expect(x.Number()).To(gomega.Equal(uint64(1)))
}

// Guards against callers that wait for long at a router that can't reach any keeper. It
// returns after what time the router will accept an unconfirmed document.
func TestCallersDoNotWaitForUnreachableKeepers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	x, after := f.AwaitConfiguration(t.Context())
	g.Expect(x).To(gomega.BeNil())
	g.Expect(time.Since(f.startedAt)).To(gomega.BeNumerically("~", firstDocumentWait, 200*time.Millisecond))
	g.Expect(after).To(gomega.BeNumerically("~", unconfirmedDelay-firstDocumentWait, 200*time.Millisecond))
	begun := time.Now()
	x, _ = f.AwaitConfiguration(t.Context())
	g.Expect(x).To(gomega.BeNil())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 50*time.Millisecond))
}
