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

// keeperStub answers questions, each after a delay.
type keeperStub struct {
	messenger.UnimplementedFleetKeeperServer
	sync, fetch atomic.Int64
	// Newer is added to the number of its document, which is 1.
	newer atomic.Int64
	// Age is how long ago a majority confirmed its copy, in milliseconds.
	age   atomic.Int64
	asked atomic.Int64
	// Sightings are the endpoints that it tells of, at a revision of their own.
	sightings atomic.Pointer[messenger.Sightings]
	// AskedEndpoints counts the questions for endpoints.
	askedEndpoints atomic.Int64
	// Evacuations are told with each answer.
	evacuations atomic.Pointer[messenger.Evacuations]
	claims      atomic.Int64
	cut         atomic.Bool
	content     []byte
}

func pause(ctx context.Context, d int64) error {
	select {
	case <-time.After(time.Duration(d)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *keeperStub) number() uint64 { return uint64(1 + k.newer.Load()) }

func (k *keeperStub) Sync(ctx context.Context, q *messenger.SyncRequest) (*messenger.SyncReply, error) {
	k.asked.Add(1)
	if !q.SkipEndpoints {
		k.askedEndpoints.Add(1)
	}
	out := &messenger.SyncReply{Number: k.number(), ConfirmedAgeMs: k.age.Load(), Evacuations: k.evacuations.Load()}
	if s := k.sightings.Load(); s != nil {
		out.Endpoints = s.Sightings
	}
	return out, pause(ctx, k.sync.Load())
}

func (k *keeperStub) Fetch(ctx context.Context, _ *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	return &messenger.FleetDocumentReply{Number: k.number(), Content: k.content}, pause(ctx, k.fetch.Load())
}

// Order takes claims, unless the keeper is cut off.
func (k *keeperStub) Order(ctx context.Context, q *messenger.OrderRequest) (*messenger.OrderReply, error) {
	if k.cut.Load() {
		return nil, pause(ctx, int64(time.Minute))
	}
	k.claims.Add(1)
	out := &messenger.RightsGrants{}
	for _, c := range q.Change.GetRights().GetClaims() {
		out.Grants = append(out.Grants, &messenger.RightsGrant{Workspace: c.Workspace, Granted: 1_000, Left: 1_000})
	}
	return &messenger.OrderReply{Done: true, Grants: out}, nil
}

func serveStub(t *testing.T, k *keeperStub) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if k.content, err = publisher.Pack([]byte("{}")); err != nil {
		t.Fatal(err)
	}
	s := messenger.NewFleetServer()
	messenger.RegisterFleetKeeperServer(s, k)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// startFleet runs a router's view of keepers at addresses.
func startFleet(t *testing.T, keepers ...string) *fleet {
	return startFleetWith(t, func(*Options) {}, keepers...)
}

func startFleetWith(t *testing.T, change func(*Options), keepers ...string) *fleet {
	text := "[node]\nname = n\nkind = router\nzone = z\nip = 127.0.0.1\ninternal_ports = 1\nseeds = 127.0.0.1:9"
	file := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(file, []byte(text+"\nserve = 127.0.0.1:2\nready = 127.0.0.1:3\nheartbeat_ms = 300\ngrace_s = 5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n, _, err := loader.LoadNode(file)
	if err != nil {
		t.Fatal(err)
	}
	decode := func([]byte) (*publisher.Document, error) { return &publisher.Document{Number: 1}, nil }
	belongs := func(http.Header, string) pooler.Belonging { return pooler.Own }
	o := Options{Node: n, Log: zap.NewNop(), Decode: decode}
	change(&o)
	f := newFleet(o, 1, predictor.NewTable("z"), pooler.New(belongs, func() {}))
	f.published = func(*publisher.Document) {}
	clear(f.keepers)
	for _, k := range keepers {
		f.learn(k, "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// inService returns the endpoints of service s, by name.
func inService(f *fleet) []string {
	var out []string
	for _, e := range f.table.Endpoints("s") {
		out = append(out, e.Name())
	}
	return out
}

// Symptom: a router takes itself for cut off, refuses requests for lack of
// rights and serves an old configuration, while all keepers are well.
// Sequence: callers fill its link, and each answer of a keeper takes 0.6 s.
// Cause: each keeper in turn is given less than that.
func TestSlowAnswersAreAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var addresses []string
	for range 3 {
		k := &keeperStub{}
		k.sync.Store(int64(600 * time.Millisecond))
		addresses = append(addresses, serveStub(t, k))
	}
	f := startFleet(t, addresses...)
	g.Eventually(f.Index, 5*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	g.Consistently(f.outOfTouch, 4*time.Second, 10*time.Millisecond).Should(gomega.BeFalse())
}

// Symptom: every configuration comes into force late. Sequence: the keeper of
// the zone is cut off: it takes questions and never answers. Cause: it is asked
// first, again and again.
func TestCutKeeperDelaysNoQuestion(t *testing.T) {
	g := gomega.NewWithT(t)
	cut, well := &keeperStub{}, &keeperStub{}
	cut.sync.Store(int64(time.Minute))
	address := serveStub(t, cut)
	f := startFleet(t, address, serveStub(t, well))
	f.learn(address, f.self.Zone)
	g.Eventually(f.Index, 3*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	// A question to the cut keeper ends after two seconds; asked first again right
	// then, it would delay four rounds in nine seconds.
	time.Sleep(500 * time.Millisecond)
	late, asked, last := 0, well.asked.Load(), time.Now()
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n := well.asked.Load()
		if n == asked {
			continue
		}
		if time.Since(last) > syncEvery+askNext/2 {
			late++
		}
		asked, last = n, time.Now()
	}
	g.Expect(late).To(gomega.BeNumerically("<=", 2), "rounds that the cut keeper delayed")
	g.Expect(f.outOfTouch()).To(gomega.BeFalse())
}

// Symptom: after a cut, a router goes to the keeper that knows a leader 0.35 s
// later in each round, and dies before it has told what it spent. Sequence: the
// first keeper asked answers at once that no majority confirmed its copy. Cause:
// the router waits for an answer of another one that it has not asked yet.
func TestKeeperWithoutAMajorityDelaysNoQuestion(t *testing.T) {
	g := gomega.NewWithT(t)
	stale, well := &keeperStub{}, &keeperStub{}
	stale.age.Store(5000)
	address := serveStub(t, stale)
	f := startFleet(t, address, serveStub(t, well))
	// It is asked first, as that of the router's zone.
	f.learn(address, f.self.Zone)
	g.Eventually(f.Index, 3*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	before := well.asked.Load()
	time.Sleep(2 * time.Second)
	g.Expect(well.asked.Load()-before).To(gomega.BeNumerically(">=", 8), "questions in 2 s, at most ten")
}

// Symptom: a router hears nothing of keepers for as long as a large
// configuration is on its way over a small link. Sequence: a new document, which
// takes 1.2 s. Cause: it is fetched within the round of questions.
func TestLargeDocumentDelaysNoQuestion(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.fetch.Store(int64(1200 * time.Millisecond))
	f := startFleet(t, serveStub(t, k))
	g.Eventually(k.asked.Load, 2*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", 0))
	before := k.asked.Load()
	time.Sleep(time.Second)
	g.Expect(f.Index()).To(gomega.BeNil(), "it is still on its way")
	g.Expect(k.asked.Load()-before).To(gomega.BeNumerically(">=", 3), "questions in 1 s")
	g.Eventually(f.Index, 2*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
}

// lenderStub lends what it has, after a delay.
type lenderStub struct {
	messenger.UnimplementedFleetRouterServer
	has   atomic.Int64
	delay time.Duration
}

func (s *lenderStub) Lend(ctx context.Context, q *messenger.LendRequest) (*messenger.LendReply, error) {
	if err := pause(ctx, int64(s.delay)); err != nil {
		return nil, err
	}
	out := &messenger.LendReply{}
	for _, w := range q.Wants {
		if n := min(w.Tokens, s.has.Load()); n > 0 {
			s.has.Add(-n)
			out.Lent = append(out.Lent, &messenger.PrepaidTotal{Workspace: w.Workspace, Tokens: n})
		}
	}
	return out, nil
}

// cutOff returns the rights of a router that no keeper answers, among others
// that hold some tokens each.
func cutOff(t *testing.T, routers int, tokens int64, delay time.Duration) *rights {
	f := startFleet(t)
	var members []*messenger.FleetMember
	for range routers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		x := &lenderStub{delay: delay}
		x.has.Store(tokens)
		s := messenger.NewFleetServer()
		messenger.RegisterFleetRouterServer(s, x)
		go func() { _ = s.Serve(l) }()
		t.Cleanup(s.Stop)
		members = append(members, &messenger.FleetMember{Address: l.Addr().String(), Zone: "z"})
	}
	f.meet(members)
	f.known.Store(1)
	r := newRights(f, "127.0.0.1:1", zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	go r.run(ctx)
	t.Cleanup(cancel)
	for !f.outOfTouch() {
		time.Sleep(10 * time.Millisecond)
	}
	return r
}

// Symptom: a router with 250 requests a second borrows nothing for nine seconds,
// while the others hold rights that they don't need. Sequence: no keeper
// answers; each request looks for a lender, and others take 100 ms to answer.
// Cause: each search has only what is left of its request's time, one search
// after the other.
func TestManyRequestsBorrowTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	r := cutOff(t, 20, 40_000, 100*time.Millisecond)
	const requests = 200
	results := make(chan error, requests)
	for i := range requests {
		go func() {
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			_, err := r.Reserve(context.Background(), "w", 3_000)
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

// Symptom: a request is refused as out of reach while one of many routers holds
// enough. Sequence: no keeper answers; all but one of 20 others hold nothing.
// Cause: only some of them are asked.
func TestAllRoutersAreAskedBeforeARefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	r := cutOff(t, 20, 0, 0)
	last, ok := r.fleet.others()[0], false
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x := &lenderStub{}
	x.has.Store(10_000)
	s := messenger.NewFleetServer()
	messenger.RegisterFleetRouterServer(s, x)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	r.fleet.mu.Lock()
	for i, o := range r.fleet.siblings {
		if o == last {
			r.fleet.siblings[i], ok = messenger.NewLink(l.Addr().String()), true
		}
	}
	r.fleet.mu.Unlock()
	g.Expect(ok).To(gomega.BeTrue())
	// The search begins right after it.
	r.borrower.mu.Lock()
	r.borrower.next = 0
	r.borrower.mu.Unlock()
	_, err = r.Reserve(context.Background(), "w", 3_000)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	begun := time.Now()
	_, err = r.Reserve(context.Background(), "w", 300_000)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 400*time.Millisecond), "known to fail once all were asked")
}

// Symptom: a request is refused as out of reach in the first second of a cut,
// while others hold rights. Sequence: it waits for keepers that were in touch
// when it came; they fall silent. Cause: it waits for them until its time is
// gone.
func TestWaitingRequestNoticesACut(t *testing.T) {
	g := gomega.NewWithT(t)
	r := cutOff(t, 5, 40_000, 0)
	// The keepers answered 0.75 s ago, so that they count as silent 0.15 s after
	// the request comes.
	r.fleet.touched.Store(int64(time.Since(r.fleet.start) - 750*time.Millisecond))
	g.Expect(r.fleet.outOfTouch()).To(gomega.BeFalse())
	_, err := r.Reserve(context.Background(), "w", 3_000)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Symptom: a router dies half a second after a cut, and all that it might have
// spent in the cut is written off. Sequence: after the cut a claim waits at a
// keeper that knows no leader; another one answers. Cause: the claim waits on for
// up to 1.5 s, and only the next one tells the keepers what was spent.
func TestClaimGoesToTheKeeperThatAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	f := startFleet(t, serveStub(t, k))
	r := newRights(f, "127.0.0.1:1", zap.NewNop())
	g.Eventually(f.current.Load, 2*time.Second, 5*time.Millisecond).ShouldNot(gomega.BeNil())
	g.Eventually(f.turned, time.Second).Should(gomega.Receive())
	r.purse("w")
	k.cut.Store(true)
	ended := make(chan time.Duration, 1)
	go func() { ended <- r.claimAnew(context.Background(), patientClaim) }()
	time.Sleep(200 * time.Millisecond)
	g.Expect(k.claims.Load()).To(gomega.BeZero())
	k.cut.Store(false)
	f.turned <- struct{}{}
	g.Eventually(k.claims.Load, 300*time.Millisecond, time.Millisecond).Should(gomega.Equal(int64(1)))
	g.Eventually(ended, time.Second).Should(gomega.Receive(gomega.Equal(claimTimeout)))
}

// Symptom: requests wait until their deadline at an endpoint that is well.
// Sequence: it loses power with requests under way and starts again under its id
// and address; no reset comes from there.
// Cause: the id taken for the incarnation.
func TestRequestsAtAnEarlierLifeEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	dark, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer dark.Close()
	born := func(ms int64) *messenger.Sightings {
		return &messenger.Sightings{Sightings: []*messenger.Sighting{{Id: "e", BornMs: ms, Service: "s", Address: dark.Addr().String(), Zone: "z", Slots: 1, Sequence: 1}}}
	}
	k := &keeperStub{}
	k.sightings.Store(born(1))
	f := startFleet(t, serveStub(t, k))
	names := func() []string { return inService(f) }
	g.Eventually(names, 3*time.Second, 10*time.Millisecond).Should(gomega.Equal([]string{"e@1"}))
	ended := make(chan error, 1)
	go func() {
		_, err := f.pool.Exchange(t.Context(), pooler.Target{ID: "e@1", Address: dark.Addr().String(), Most: 1}, &pooler.Request{Method: "GET", URI: "/", ID: "r"})
		ended <- err
	}()
	g.Consistently(ended, 300*time.Millisecond).ShouldNot(gomega.Receive())
	k.sightings.Store(born(2))
	var got error
	g.Eventually(ended, time.Second).Should(gomega.Receive(&got))
	g.Expect(got).To(gomega.MatchError(pooler.ErrMayHaveRun), "the life before may have run it")
	g.Expect(names()).To(gomega.Equal([]string{"e@2"}))
}

// Symptom: after a restart of all routers every shared part is read again.
// Sequence: routers start while engines have been running; nobody knows what they
// keep. Cause: only what routers send is known.
func TestAStartingRouterAsksEnginesWhatTheyKeep(t *testing.T) {
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
		o.Kept = func(_ context.Context, address string) ([]predictor.Part, *predictor.State, error) {
			asked.Add(1)
			if address != "10.0.0.1:1" {
				return nil, nil, fmt.Errorf("%s is no engine", address)
			}
			return []predictor.Part{{ID: "part", Tokens: 5_000}}, &predictor.State{}, nil
		}
	}, serveStub(t, k))
	p := &predictor.Prompt{In: 6_000, Out: 10, Parts: []predictor.Part{{ID: "part", Tokens: 5_000}, {ID: "own", Tokens: 1_000}}}
	g.Eventually(asked.Load, 4*time.Second, 10*time.Millisecond).Should(gomega.Equal(int64(1)))
	g.Consistently(asked.Load, time.Second).Should(gomega.Equal(int64(1)))
	w := f.table.Choose(time.Now(), predictor.Ask{Service: "s", Prompt: p})
	defer w.End()
	g.Expect(w.Unread()).To(gomega.Equal(int64(1_000)))
}

// Symptom: callers of an outage are refused for good. Sequence: routers and keepers
// start at the same moment; callers come at once and are sent away; they come back,
// once, before there is a configuration. Cause: "no configuration yet" is answered at
// once, though it will be there within the second.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.fetch.Store(int64(400 * time.Millisecond))
	f := startFleet(t, serveStub(t, k))
	x, _ := f.Await(t.Context())
	g.Expect(x).NotTo(gomega.BeNil())
	g.Expect(x.Number()).To(gomega.Equal(uint64(1)))
}

// A router without keepers lets nobody wait for long, and says when it takes what its
// zone has.
func TestCallersDoNotWaitForKeepersThatAreGone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	x, after := f.Await(t.Context())
	g.Expect(x).To(gomega.BeNil())
	g.Expect(time.Since(f.start)).To(gomega.BeNumerically("~", startPatience, 200*time.Millisecond))
	g.Expect(after).To(gomega.BeNumerically("~", settleFor-startPatience, 200*time.Millisecond))
	begun := time.Now()
	x, _ = f.Await(t.Context())
	g.Expect(x).To(gomega.BeNil())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 50*time.Millisecond))
}
