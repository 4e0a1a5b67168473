package courier

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// shortWait is the longest wait that the forwarder states.
	shortWait = 200 * time.Millisecond
	// maxRefusalTime is the time within which nine in ten refusals for lack of tokens are
	// returned.
	maxRefusalTime = 250 * time.Millisecond
)

// documentOf is a document with the prepaid total of workspace w.
func documentOf(total int64) *publisher.Document {
	return &publisher.Document{Number: 1, Workspaces: []publisher.Workspace{{Name: "w", Prepaid: &total}}}
}

func grantOf(granted, unspent, total int64) *messenger.RightsGrant {
	return &messenger.RightsGrant{Granted: granted, Unspent: &unspent, Total: total}
}

// connectedRights returns the rights of a router with one keeper, and a total of workspace w.
func connectedRights(t *testing.T, settings string, k *keeperStub, total int64) *rights {
	f := startFleetSet(t, settings, func(*Options) {}, serveStub(t, k))
	r := newRights(f, "127.0.0.1:1", zap.NewNop())
	r.updateTotals(documentOf(total))
	for f.currentKeeper.Load() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.run(ctx)
	t.Cleanup(cancel)
	return r
}

// refusal is the result of one request.
type refusal struct {
	err  error
	took time.Duration
}

// sendRequests sends a request every pause, and returns their results in order of duration.
func sendRequests(r *rights, count int, pause time.Duration, tokens int64) []refusal {
	results := make(chan refusal, count)
	for i := range count {
		go func() {
			time.Sleep(time.Duration(i) * pause)
			begun := time.Now()
			_, err := r.Reserve(context.Background(), "w", tokens, shortWait)
			results <- refusal{err, time.Since(begun)}
		}()
	}
	var out []refusal
	for range count {
		out = append(out, <-results)
	}
	slices.SortFunc(out, func(a, b refusal) int { return int(a.took - b.took) })
	return out
}

// Guards against requests that wait for keepers that don't answer for longer than callers can
// afford, in the first second of a partition and later. Other routers have no tokens and answer
// after 100 ms.
func TestRefusalsInAPartitionAreFast(t *testing.T) {
	g := gomega.NewWithT(t)
	var asked atomic.Int64
	core, logged := observer.New(zap.InfoLevel)
	r := startPartition(t, partition{routers: 20, delay: 100 * time.Millisecond, asked: &asked, log: zap.New(core)})
	r.fleet.lastContact.Store(int64(time.Since(r.fleet.startedAt)))
	begun := time.Now()
	results := sendRequests(r, 200, 20*time.Millisecond, 3_000)
	for _, x := range results {
		var out forwarder.RightsUnavailable
		g.Expect(errors.As(x.err, &out)).To(gomega.BeTrue(), "%v", x.err)
	}
	g.Expect(results[len(results)*9/10].took).To(gomega.BeNumerically("<", maxRefusalTime))
	for _, x := range sendRequests(r, 5, 0, 3_000) {
		var out forwarder.RightsUnavailable
		g.Expect(errors.As(x.err, &out)).To(gomega.BeTrue(), "%v", x.err)
		g.Expect(out.After).To(gomega.BeNumerically(">=", 2*time.Second), "the age of the partition")
	}
	const perSecond = 100
	elapsed := time.Since(begun).Seconds()
	lines := logged.FilterMessage("rights borrowed").All()
	g.Expect(len(lines)).To(gomega.BeNumerically("<=", 1+elapsed*perSecond/20), "one line a search, each of which asks 20 routers")
	g.Expect(len(lines)).To(gomega.BeNumerically(">=", 2))
	g.Expect(asked.Load()).To(gomega.BeNumerically("<=", elapsed*perSecond+allotter.MaxLendersAsked))
	for _, l := range lines {
		g.Expect(l.ContextMap()).To(gomega.And(gomega.HaveKeyWithValue("tokens", int64(0)), gomega.HaveKeyWithValue("workspaces", []any{"w"}),
			gomega.HaveKey("asked"), gomega.HaveKeyWithValue("lenders", int64(0)), gomega.HaveKey("took")))
	}
}

// Guards against requests that wait for half a second while keepers answer syncs but no claims.
func TestRefusalsWithoutClaimAnswersAreFast(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.cut.Store(true)
	r := connectedRights(t, "", k, 100_000)
	results := sendRequests(r, 100, 10*time.Millisecond, 3_000)
	g.Expect(results[len(results)*9/10].took).To(gomega.BeNumerically("<", maxRefusalTime))
	for _, x := range results {
		g.Expect(errors.Is(x.err, forwarder.ErrRightsUnavailable)).To(gomega.BeTrue(), "the total may not be spent")
	}
}

// A total is spent, and an operator raises it. Guards against requests that wait for tokens of a
// spent total, against claims for them, and against refusals after the raise, also if an answer
// for the lower total is delayed.
func TestSpentTotalIsRefusedAtOnceUntilRaised(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.grant.Store(grantOf(0, 500, 100_000))
	r := connectedRights(t, "", k, 100_000)
	results := sendRequests(r, 100, 5*time.Millisecond, 3_000)
	for _, x := range results {
		g.Expect(x.err).To(gomega.MatchError(forwarder.ErrSpent))
	}
	g.Expect(results[len(results)*9/10].took).To(gomega.BeNumerically("<", maxRefusalTime))
	known := knownSpentRefusals.Get()
	begun := time.Now()
	_, err := r.Reserve(context.Background(), "w", 3_000, shortWait)
	g.Expect(err).To(gomega.MatchError(forwarder.ErrSpent))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 20*time.Millisecond))
	g.Expect(knownSpentRefusals.Get()).To(gomega.Equal(known + 1))
	claims := k.claims.Load()
	for range 10 {
		_, err = r.Reserve(context.Background(), "w", 3_000, shortWait)
		g.Expect(err).To(gomega.MatchError(forwarder.ErrSpent))
		time.Sleep(2 * time.Millisecond)
	}
	g.Expect(k.claims.Load()-claims).To(gomega.BeNumerically("<=", 2), "claims of the interval only")

	k.grant.Store(grantOf(50_000, 50_500, 150_000))
	r.updateTotals(documentOf(150_000))
	r.observeShortages([]*messenger.RightsShortage{{Workspace: "w", Total: 100_000}})
	g.Expect(sendRequests(r, 1, 0, 3_000)[0].err).NotTo(gomega.HaveOccurred())
}

// Guards against requests that are refused because a keeper of an earlier version states no
// unspent tokens, and against malformed notices that have an effect or are not counted.
func TestGrantsWithoutOrWithMalformedNotices(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.grant.Store(&messenger.RightsGrant{Granted: 20_000, Left: 1_000})
	r := connectedRights(t, "", k, 100_000)
	g.Expect(sendRequests(r, 1, 0, 3_000)[0].err).NotTo(gomega.HaveOccurred())
	dropped := droppedNotices.Get()
	k.grant.Store(grantOf(20_000, -1, 100_000))
	g.Eventually(droppedNotices.Get, 5*time.Second).Should(gomega.BeNumerically(">", dropped))
	g.Expect(r.shortages.KnownSpent("w", 100_000)).To(gomega.BeFalse())
}

// Guards against a router that can't reach a keeper, and refuses requests as out of reach, while
// other routers know that the total is spent.
func TestLendersReportSpentTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	short := &messenger.RightsShortage{Workspace: "w", Total: 100_000, Unspent: 100}
	r := startPartition(t, partition{routers: 3, shortage: short})
	r.updateTotals(documentOf(100_000))
	sendRequests(r, 1, 0, 3_000)
	g.Eventually(func() error { return sendRequests(r, 1, 0, 3_000)[0].err }, time.Second).Should(gomega.MatchError(forwarder.ErrSpent))
	reply, err := r.Lend(context.Background(), &messenger.LendRequest{Wants: []*messenger.PrepaidTotal{{Workspace: "w", Tokens: 1_000}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Shortages).To(gomega.HaveLen(1))
	g.Expect(reply.Shortages[0].Unspent).To(gomega.Equal(int64(100)))
	owner, err := r.ReserveRights(context.Background(), &messenger.ReserveRightsRequest{Workspace: "w", Tokens: 3_000})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(owner.Spent).To(gomega.BeTrue())
	g.Expect(owner.Shortages).To(gomega.HaveLen(1))
}

// Guards against a refusal that doesn't say when the router will be allowed to spend the tokens that
// it holds, and against a Retry-After time of 0.
func TestRequestAllowedLaterIsToldWhen(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startPartition(t, partition{routers: 5, delay: 100 * time.Millisecond})
	r.updateTotals(documentOf(1_000_000))
	p, _, _ := r.allocation("w")
	now := time.Now()
	c := p.NextClaim(now, "w", 0, time.Second)
	p.ApplyGrant(&messenger.RightsGrant{Granted: 100_000, Left: 100_000}, c, now)
	const tokens = 6_000
	d, held := p.TimeUntilAllowed(time.Now(), tokens)
	g.Expect(held).To(gomega.BeTrue())
	g.Expect(d).To(gomega.BeNumerically(">", 0))
	x := sendRequests(r, 1, 0, tokens)[0]
	g.Expect(x.took).To(gomega.BeNumerically("<", maxRefusalTime))
	var out forwarder.RightsUnavailable
	g.Expect(errors.As(x.err, &out)).To(gomega.BeTrue())
	g.Expect(out.After).To(gomega.BeNumerically("~", d-x.took, 100*time.Millisecond))
	g.Expect(r.retryAfter(p, 500)).To(gomega.BeNumerically(">=", minRetryAfter), "allowed already")
}

// Guards against a refusal, and a caller that comes back later, where the limits allow the request
// within its wait.
func TestRequestAllowedSoonWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startPartition(t, partition{routers: 5, delay: 100 * time.Millisecond})
	r.updateTotals(documentOf(1_000_000))
	p, _, _ := r.allocation("w")
	sent := time.Now().Add(-10 * time.Second)
	c := p.NextClaim(sent, "w", 0, time.Second)
	p.ApplyGrant(&messenger.RightsGrant{Granted: 100_000, Left: 100_000}, c, sent)
	tokens := int64(0)
	for d := time.Duration(0); d < 80*time.Millisecond; tokens += 10 {
		d, _ = p.TimeUntilAllowed(time.Now(), tokens)
	}
	g.Expect(sendRequests(r, 1, 0, tokens)[0].err).NotTo(gomega.HaveOccurred())
}

// Guards against one log line a loan, and against late loans that no line states: of 10 lenders,
// which answer after 250 ms, the search awaits none.
func TestLateLoansAreInTheNextLine(t *testing.T) {
	g := gomega.NewWithT(t)
	core, logged := observer.New(zap.InfoLevel)
	r := startPartition(t, partition{routers: 10, tokens: 20_000, delay: 250 * time.Millisecond, log: zap.New(core)})
	lines := func() []observer.LoggedEntry { return logged.FilterMessage("rights borrowed").All() }
	sendRequests(r, 1, 0, 3_000)
	g.Eventually(func() error { return sendRequests(r, 1, 0, 300_000)[0].err }, 2*time.Second).Should(gomega.HaveOccurred())
	var tokens, lenders int64
	g.Eventually(func() int64 {
		sendRequests(r, 1, 0, 300_000)
		tokens, lenders = 0, 0
		for _, l := range lines() {
			tokens += l.ContextMap()["tokens"].(int64)
			lenders = max(lenders, l.ContextMap()["lenders"].(int64))
		}
		return tokens
	}, 5*time.Second, 100*time.Millisecond).Should(gomega.Equal(int64(200_000)), "all that the ten hold")
	g.Expect(lenders).To(gomega.BeNumerically(">", 1))
	g.Expect(len(lines())).To(gomega.BeNumerically("<", 10), "fewer lines than loans")
}

// Guards against tokens that are not found because a search asks at most 16 routers: the only
// lender is one of 20.
func TestBoundedSearchesFindTheOnlyLender(t *testing.T) {
	g := gomega.NewWithT(t)
	var asked atomic.Int64
	r := startPartition(t, partition{routers: 20, asked: &asked})
	lender := startPartition(t, partition{routers: 1, tokens: 10_000}).fleet.allPeers()[0]
	r.fleet.mu.Lock()
	peers := slices.Clone(r.fleet.peers)
	peers[7] = messenger.NewLink(lender.Address())
	r.fleet.peers = peers
	r.fleet.mu.Unlock()
	begun := time.Now()
	g.Eventually(func() error { return sendRequests(r, 1, 0, 3_000)[0].err }, 3*time.Second, 50*time.Millisecond).Should(gomega.Succeed())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 2*time.Second), "by the second search")
	g.Expect(asked.Load()).To(gomega.BeNumerically("<=", 2*allotter.MaxLendersAsked))
}

// Guards against the setting shortage_notices = false that changes more than it says: without
// notices, requests wait for half a second whatever they state, and known shortages, bounded
// searches and early claims have no effect.
func TestWithoutNoticesDecisionsAreAsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.cut.Store(true)
	r := connectedRights(t, noShortageNotices, k, 100_000)
	x := sendRequests(r, 1, 0, 3_000)[0]
	g.Expect(x.err).To(gomega.MatchError(forwarder.ErrRightsUnavailable))
	g.Expect(x.took).To(gomega.BeNumerically("~", reserveTimeout, 100*time.Millisecond))
	r.observeShortages([]*messenger.RightsShortage{{Workspace: "w", Total: 100_000}})
	g.Expect(r.shortages.KnownSpent("w", 1)).To(gomega.BeFalse())
	k.grant.Store(grantOf(50_000, 0, 100_000))
	k.cut.Store(false)
	g.Eventually(func() error { return sendRequests(r, 1, 0, 3_000)[0].err }, 3*time.Second).Should(gomega.Succeed())
	_, err := r.Lend(context.Background(), &messenger.LendRequest{Wants: []*messenger.PrepaidTotal{{Workspace: "w", Tokens: 1_000}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	core, logged := observer.New(zap.InfoLevel)
	var asked atomic.Int64
	far := startPartition(t, partition{settings: noShortageNotices, routers: 20, asked: &asked, tokens: 10_000, log: zap.New(core)})
	g.Expect(sendRequests(far, 1, 0, 70_000)[0].err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int { return logged.FilterMessage("rights borrowed").Len() }).Should(gomega.BeNumerically(">=", 7), "one line a loan")
	g.Expect(logged.FilterMessage("rights borrowed").All()[0].ContextMap()).To(gomega.HaveKey("from"))
}

// Guards against early claims that are decided and not sent. In a fleet of 82 routers, the next
// claim would follow 1.7 s later.
func TestReservationsThatLeaveLittleCauseAClaim(t *testing.T) {
	g := gomega.NewWithT(t)
	claimsAfterBurst := func(settings string) int64 {
		k := &keeperStub{}
		k.grant.Store(&messenger.RightsGrant{Granted: 100_000_000, Left: 1_000_000_000})
		r := connectedRights(t, settings, k, 1_000_000_000)
		r.fleet.routerCount.Store(82)
		g.Eventually(func() error { return sendRequests(r, 1, 0, 3_000)[0].err }, 3*time.Second).Should(gomega.Succeed())
		time.Sleep(150 * time.Millisecond)
		before := k.claims.Load()
		for _, x := range sendRequests(r, 13, 0, 200) {
			g.Expect(x.err).NotTo(gomega.HaveOccurred())
			g.Expect(x.took).To(gomega.BeNumerically("<", 100*time.Millisecond))
		}
		time.Sleep(300 * time.Millisecond)
		return k.claims.Load() - before
	}
	g.Expect(claimsAfterBurst("")).To(gomega.BeNumerically(">=", 1))
	g.Expect(claimsAfterBurst(noShortageNotices)).To(gomega.BeZero())
}
