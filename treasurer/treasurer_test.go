package treasurer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

// fixture is a treasurer with a fake keeper and a fake witness, in virtual
// time.
type fixture struct {
	*gomega.WithT
	keeper, witness *fakeKeeper
	treasurer       *treasurer.Treasurer
}

// withTreasurer calls f with a treasurer whose keeper has the given unspent
// tokens.
func withTreasurer(t *testing.T, unspent int64, f func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		b := &fixture{WithT: gomega.NewWithT(t), keeper: newKeeper(unspent), witness: newKeeper(0)}
		client, end := treasurer.New(treasurer.Options{
			Router: "osu-hall-1", Zone: "osu-hall", Incarnation: 7, Keeper: b.keeper, Witness: b.witness,
			Policy: treasurer.DefaultPolicy(),
		})
		b.treasurer = client
		defer end()
		f(b)
	})
}

// spend reserves n tokens and charges cost within a deadline.
func (b *fixture) spend(id string, n, cost int64, within time.Duration) (rattanhoist.Tokens, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := b.treasurer.Reserve(ctx, "w", rattanhoist.Tokens(n))
	if err != nil {
		return 0, err
	}
	return r.Charge(ctx, &messenger.Charge{Workspace: "w", RequestId: id, Tokens: cost})
}

// Guards against rights lost without being spent. The keeper grants a lease,
// the answer is lost and the router asks again. A resend under a new sequence
// would count as a second lease.
func TestLostLeaseAnswerLosesNoRights(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.lostReplies["lease"] = 2 })
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{6000, 3900, 100}), "one lease of 8 requests")
		b.Expect(int64(b.treasurer.Held())).To(gomega.Equal(leased))
		_, err = b.spend("b", 9900, 9900, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred(), "every token is still there to be spent")
	})
}

// Guards against a request billed or counted twice. The keeper bills, the
// answer is lost and the router resends. The failure occurs if the resend is
// settled in addition to the first charge.
func TestLostChargeAnswerBillsOnce(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.lostReplies["charge"] = 1 })
		billed, err := b.spend("a", 500, 120, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(120)))
		_, _, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(120)))
		b.Expect(b.treasurer.Held()).To(gomega.Equal(rattanhoist.Tokens(880)))
	})
}

// Guards against a retried request billed again, and against tokens of its
// second run that stay reserved forever. Another router was billed for the
// request before this one ran it. The failure occurs if this run is settled
// at its own count instead of the existing bill.
func TestChargeBilledElsewhereSpendsNothingHere(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.bills["a"] = &messenger.Charge{Tokens: 77, Incarnation: 3} })
		billed, err := b.spend("a", 500, 120, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(77)))
		b.Expect(b.treasurer.Held()).To(gomega.Equal(rattanhoist.Tokens(1000)))
	})
}

// Guards against answers that can't complete while the keeper's VM is down,
// and against bills lost when the router dies before the keeper is back.
// Requests continue on leased rights while the keeper is unavailable. The
// failure occurs if charges wait for one keeper only.
func TestWitnessTakesChargesWhileTheKeeperIsAway(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.update(func() { b.keeper.unavailable = true })
		began := time.Now()
		billed, err := b.spend("b", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(100)))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		h, err := b.treasurer.Holdings(context.Background(), &messenger.HoldingsRequest{})
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(h.Charges).To(gomega.HaveLen(1), "the router keeps it until two disks have it")
		b.keeper.update(func() { b.keeper.unavailable = false })
		time.Sleep(5 * time.Second)
		_, _, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(200)))
		h, _ = b.treasurer.Holdings(context.Background(), &messenger.HoldingsRequest{})
		b.Expect(h.Charges).To(gomega.BeEmpty())
		b.Expect(h.Holdings[0].OutstandingTokens).To(gomega.Equal(h.Holdings[0].GrantedTokens - 200))
	})
}

// Guards against a double fault that loses a bill after the caller got the
// answer. The keeper bills on its own disk only because its mirror is
// unavailable. The failure occurs if the router removes a charge at the first
// answer.
func TestChargeIsKeptUntilTwoDisksHaveIt(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.twoDisks = false })
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		sent := b.keeper.count("charge")
		time.Sleep(2 * time.Second)
		b.Expect(b.keeper.count("charge")).To(gomega.BeNumerically(">", sent))
		b.keeper.update(func() { b.keeper.twoDisks = true })
		time.Sleep(time.Second)
		b.Expect(b.treasurer.Held()).To(gomega.Equal(rattanhoist.Tokens(900)))
		sent = b.keeper.count("charge")
		time.Sleep(time.Minute)
		b.Expect(b.keeper.count("charge")).To(gomega.Equal(sent))
	})
}

// Guards against a router that spends rights which the keeper took back while
// the router was frozen. The router reserves, is frozen and fenced, resumes
// and charges. The failure occurs if it spends without asking the keeper, or
// keeps using the fenced incarnation.
func TestFencedRouterRejectsChargeAndReregisters(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		ctx := context.Background()
		r, err := b.treasurer.Reserve(ctx, "w", 500)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.update(func() {
			b.keeper.fenced = 7
			b.keeper.unspent += b.keeper.lease(7).outstanding
			b.keeper.lease(7).outstanding = 0
		})
		_, err = r.Charge(ctx, &messenger.Charge{Workspace: "w", RequestId: "a", Tokens: 100})
		b.Expect(err).To(gomega.MatchError(treasurer.ErrFenced))
		_, err = b.spend("b", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(b.treasurer.Incarnation()).To(gomega.BeNumerically(">", 7))
		unspent, leased, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(100)))
		b.Expect(unspent + leased + charged).To(gomega.Equal(int64(10_000)))
	})
}

// Guards against a VM that serves nothing after a restart with its clock set
// back. The keeper knows an incarnation from a clock that was days ahead. The
// failure occurs if incarnations follow the clock alone.
func TestIncarnationPassesAClockSetBack(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.fenced = uint64(time.Now().Add(240 * time.Hour).UnixNano()) })
		_, err := b.spend("a", 500, 100, time.Hour)
		b.Expect(errors.Is(err, rattanhoist.ErrBudgetUnavailable) || err == nil).To(gomega.BeTrue())
		time.Sleep(30 * time.Second)
		_, err = b.spend("b", 500, 100, time.Hour)
		b.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against rights that stay with a router after a graceful shutdown,
// because the shutdown does not wait for returns.
func TestShutdownReturnsRights(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.update(func() { b.keeper.lostReplies["return"] = 1 })
		b.treasurer.ReturnAll(context.Background())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{9900, 0, 100}))
	})
}

// Guards against idle rights at one router while another refuses requests.
// Traffic ends and resumes later. The failure occurs if slices never shrink,
// or restart from wrong totals.
func TestIdleRightsAreReturnedAndLeasedAgain(t *testing.T) {
	withTreasurer(t, 10_000, func(b *fixture) {
		for i := range 3 {
			_, err := b.spend(fmt.Sprint(i), 500, 100, time.Minute)
			b.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(2 * time.Minute)
			unspent, leased, _ := b.keeper.books()
			b.Expect(leased).To(gomega.BeZero())
			b.Expect(unspent).To(gomega.Equal(int64(9900 - 100*i)))
			calls := b.keeper.count("lease") + b.keeper.count("return")
			time.Sleep(10 * time.Minute)
			b.Expect(b.keeper.count("lease")+b.keeper.count("return")).To(gomega.Equal(calls), "an idle pair costs nothing")
		}
	})
}

// Guards against a keeper that grants rights twice after losing its disk.
// While a return is in flight, the keeper asks for the router's holdings,
// counts the return from the reply, and then receives the return itself. The
// failure occurs if the holdings include an unanswered return.
func TestHoldingsOmitUnansweredReturn(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.update(func() { b.keeper.unavailable = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		b.treasurer.ReturnAll(ctx)
		h, _ := b.treasurer.Holdings(ctx, &messenger.HoldingsRequest{})
		b.Expect(h.Holdings[0].ReturnedTokens).To(gomega.BeZero())
		b.Expect(h.Holdings[0].OutstandingTokens).To(gomega.Equal(int64(900)))
		b.keeper.update(func() { b.keeper.unavailable = false })
		time.Sleep(5 * time.Second)
		h, _ = b.treasurer.Holdings(ctx, &messenger.HoldingsRequest{})
		b.Expect(h.Holdings[0].ReturnedTokens).To(gomega.Equal(int64(900)))
	})
}

// Guards against rights at a router that its keeper does not know of. While a
// lease's answer is in flight, the keeper's disk is lost and the new vault
// asks for the router's holdings; then the old answer arrives. The failure
// occurs if the router accepts an answer from the old vault.
func TestAnswerOfALostVaultIsDropped(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.vault = 1 })
		got := make(chan error, 1)
		b.keeper.update(func() { b.keeper.answerDelay = time.Second })
		go func() { _, err := b.spend("a", 500, 100, time.Minute); got <- err }()
		time.Sleep(500 * time.Millisecond)
		_, _ = b.treasurer.Holdings(context.Background(), &messenger.HoldingsRequest{AskingIncarnation: 2})
		b.keeper.update(func() {
			b.keeper.vault, b.keeper.answerDelay = 2, 0
			b.keeper.unspent, b.keeper.leases = 1000, map[string]*lease{}
		})
		b.Expect(<-got).NotTo(gomega.HaveOccurred())
		unspent, leased, charged := b.keeper.books()
		b.Expect(unspent + leased + charged).To(gomega.Equal(int64(1000)))
		b.Expect(int64(b.treasurer.Held())).To(gomega.Equal(leased))
	})
}

// Guards against a refusal at another router while this one holds the rights.
// The keeper recalls while a lease of this router is unanswered, as happens
// when two routers run out of rights at once. The failure occurs if the
// recall waits for the lease, which waits for the other router's recall.
func TestRecallOvertakesALease(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
		b.keeper.update(func() { b.keeper.delay = time.Second })
		waiting := make(chan error, 1)
		go func() { _, err := b.spend("b", 1500, 0, 20*time.Second); waiting <- err }()
		time.Sleep(500 * time.Millisecond)
		b.keeper.update(func() { b.keeper.delay = 0 })
		r, err := b.treasurer.Recall(context.Background(), &messenger.RecallRequest{Workspace: "w", WantTokens: 5000})
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(r.ReturningTokens).To(gomega.Equal(int64(900)))
		b.keeper.update(func() { b.keeper.unspent += 1000 })
		b.Expect(<-waiting).NotTo(gomega.HaveOccurred(), "the overtaken lease says nothing about the zone")
		b.treasurer.ReturnAll(context.Background())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{1900, 0, 100}))
	})
}

// Guards against requests that wait for minutes without an answer. Two
// routers of a zone run out of rights during a network partition. The lease
// of each makes the keeper recall the other's rights, and is overtaken by its
// own return. The failure occurs if such leases are repeated forever.
func TestTwoRoutersWithoutRightsDoNotRecallForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := newKeeper(2000)
		var client [2]*treasurer.Treasurer
		for i := range client {
			m, end := treasurer.New(treasurer.Options{
				Router: fmt.Sprint(i), Incarnation: rattanhoist.Incarnation(i + 1), Keeper: k, Policy: treasurer.DefaultPolicy(),
			})
			defer end()
			client[i] = m
			_, err := (&fixture{treasurer: m}).spend(fmt.Sprint("first", i), 125, 0, time.Minute)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		time.Sleep(time.Second)
		k.recall = func(asking uint64) {
			_, _ = client[2-asking].Recall(context.Background(), &messenger.RecallRequest{Workspace: "w", WantTokens: 9999})
		}
		k.answerDelay = 500 * time.Millisecond
		var wg sync.WaitGroup
		var served, refused, slowest atomic.Int64
		for i := range 40 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 70 * time.Millisecond)
				b := &fixture{treasurer: client[i%2]}
				began := time.Now()
				defer func() { slowest.Store(max(slowest.Load(), int64(time.Since(began)))) }()
				if _, err := b.spend(fmt.Sprint(i), 1200, 1200, time.Hour); err != nil {
					refused.Add(1)
					return
				}
				served.Add(1)
			})
		}
		wg.Wait()
		g.Expect(time.Duration(slowest.Load())).To(gomega.BeNumerically("<", 4*time.Second))
		g.Expect([]int64{served.Load(), refused.Load()}).To(gomega.Equal([]int64{1, 39}), "the pooled 2000 serve one")
	})
}

// Guards against a request that waits until its caller's deadline and then
// fails. The keeper works on a lease for longer than the request has. The
// failure occurs if only the keeper's silence limits the wait.
func TestRequestStopsWaitingAtItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := treasurer.DefaultPolicy(), time.Unix(0, 0)
	a := treasurer.NewAccount("w", &p, now, treasurer.Totals{})
	n := treasurer.Need{Tokens: 10, Waiting: 10, Deadline: now.Add(time.Second)}
	g.Expect(a.Step(now, n)).To(gomega.ContainElement(treasurer.Wait{Until: n.Deadline}))
	actions := a.Step(n.Deadline, n)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(treasurer.Refuse).Err).To(gomega.MatchError(rattanhoist.ErrBudgetUnavailable))
}

func TestRefusalCauses(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		_, err := b.spend("a", 1000, 1000, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		began := time.Now()
		_, err = b.spend("b", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		time.Sleep(time.Minute)
		b.keeper.update(func() { b.keeper.unreachableZones = []string{"tema-hall"} })
		_, err = b.spend("c", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetUnavailable))
		time.Sleep(time.Minute)
		b.keeper.update(func() { b.keeper.unavailable = true })
		began = time.Now()
		_, err = b.spend("d", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetUnavailable))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", 4*time.Second))
		var s *treasurer.Shortage
		b.Expect(errors.As(err, &s)).To(gomega.BeTrue())
		b.Expect(s.RetryAfter()).To(gomega.BeNumerically(">", 0))
	})
}

// Guards against a refusal when the needed tokens are freed a moment later. A
// request reserves its worst case, a second one arrives, and the first
// settles at a low count. The failure occurs if the second does not wait for
// the settlement.
func TestRequestWaitsForSettlement(t *testing.T) {
	withTreasurer(t, 1000, func(b *fixture) {
		r, err := b.treasurer.Reserve(context.Background(), "w", 900)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		began := time.Now()
		time.AfterFunc(3100*time.Millisecond, func() {
			_, _ = r.Charge(context.Background(), &messenger.Charge{Workspace: "w", RequestId: "a", Tokens: 50})
		})
		_, err = b.spend("b", 900, 900, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(time.Since(began)).To(gomega.Equal(3100 * time.Millisecond))
	})
}

// Guards against a request refused as spent while another router's requests
// are about to free rights, and against a wait for rights that can't cover
// the request. Two requests arrive while 500 tokens are held elsewhere. The
// failure occurs if a router counts only its own running requests, or does
// not compare the held tokens with the need.
func TestRequestWaitsForRightsHeldElsewhere(t *testing.T) {
	withTreasurer(t, 0, func(b *fixture) {
		b.keeper.update(func() { b.keeper.heldElsewhere = 500 })
		began := time.Now()
		_, err := b.spend("large", 501, 1, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		time.AfterFunc(3*time.Second, func() { b.keeper.update(func() { b.keeper.heldElsewhere, b.keeper.unspent = 0, 500 }) })
		_, err = b.spend("small", 500, 1, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Guards against callers of a spent budget that overload the keeper:
// thousands of requests a second for a workspace without rights must not
// cause one keeper call per refusal.
func TestSpentBudgetLimitsLeaseCalls(t *testing.T) {
	withTreasurer(t, 0, func(b *fixture) {
		for range 2000 {
			_, err := b.spend("a", 10, 10, time.Minute)
			b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
			time.Sleep(time.Millisecond)
		}
		b.Expect(b.keeper.count("lease")).To(gomega.BeNumerically("<=", 9))
	})
}

// Guards against requests that each wait for a lease, and against a burst
// that sends one lease per request. A burst is followed by steady traffic.
// The failure occurs without single-flight leases, or if leases start only
// when the slice is empty.
func TestLeasesAreAheadAndSingleFlight(t *testing.T) {
	withTreasurer(t, 10_000_000, func(b *fixture) {
		b.keeper.update(func() { b.keeper.delay = 5 * time.Millisecond })
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() { _, _ = b.spend(fmt.Sprint("burst", i), 100, 50, time.Minute) })
		}
		wg.Wait()
		b.Expect(b.keeper.count("lease")).To(gomega.BeNumerically("<=", 3))
		time.Sleep(time.Second)
		var waited atomic.Int64
		for i := range 4000 {
			began := time.Now()
			r, err := b.treasurer.Reserve(context.Background(), "w", 100)
			b.Expect(err).NotTo(gomega.HaveOccurred())
			if time.Since(began) > 0 {
				waited.Add(1)
			}
			wg.Go(func() {
				_, _ = r.Charge(context.Background(), &messenger.Charge{Workspace: "w", RequestId: fmt.Sprint(i), Tokens: 60})
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		b.Expect(waited.Load()).To(gomega.BeZero(), "of 4000 requests")
		b.Expect(b.keeper.count("lease")).To(gomega.BeNumerically("<=", 20))
		b.Expect(b.keeper.count("charge")).To(gomega.BeNumerically("<=", 1200), "charges share calls under load")
	})
}
