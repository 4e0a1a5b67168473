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

// bench is one treasurer before a fake keeper, in virtual time.
type bench struct {
	*gomega.WithT
	keeper, witness *fakeKeeper
	money           *treasurer.Treasurer
}

// run gives f a treasurer whose keeper holds some unspent tokens.
func run(t *testing.T, unspent int64, f func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{WithT: gomega.NewWithT(t), keeper: newKeeper(unspent), witness: newKeeper(0)}
		money, end := treasurer.New(treasurer.Options{
			Router: "osu-hall-1", Zone: "osu-hall", Incarnation: 7, Keeper: b.keeper, Witness: b.witness,
			Policy: treasurer.DefaultPolicy(),
		})
		b.money = money
		defer end()
		f(b)
	})
}

// spend reserves n and charges cost within a deadline.
func (b *bench) spend(id string, n, cost int64, within time.Duration) (rattanhoist.Tokens, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := b.money.Reserve(ctx, "w", rattanhoist.Tokens(n))
	if err != nil {
		return 0, err
	}
	return r.Charge(ctx, &messenger.Charge{Workspace: "w", RequestId: id, Tokens: cost})
}

// Symptom: rights are gone although nobody spent them.
// Sequence: the keeper grants a lease, the answer is lost, the router asks
// again.
// Cause: a resend under a new sequence, which the keeper takes for a new
// lease.
func TestLostLeaseAnswerStrandsNothing(t *testing.T) {
	run(t, 10_000, func(b *bench) {
		b.keeper.set(func() { b.keeper.lose["lease"] = 2 })
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{6000, 3900, 100}), "one lease of 8 requests")
		b.Expect(int64(b.money.Held())).To(gomega.Equal(leased))
		_, err = b.spend("b", 9900, 9900, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred(), "every token is still there to be spent")
	})
}

// Symptom: a request is billed twice, or its tokens are counted twice.
// Sequence: the keeper bills, the answer is lost, the router sends again.
// Cause: a resend that is settled beside the first charge.
func TestLostChargeAnswerBillsOnce(t *testing.T) {
	run(t, 1000, func(b *bench) {
		b.keeper.set(func() { b.keeper.lose["charge"] = 1 })
		billed, err := b.spend("a", 500, 120, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(120)))
		_, _, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(120)))
		b.Expect(b.money.Held()).To(gomega.Equal(rattanhoist.Tokens(880)))
	})
}

// Symptom: a retried request is billed again, or its second run's tokens stay
// reserved for ever.
// Sequence: another router was billed for the request; this one runs it too.
// Cause: a settlement at the own count in place of the bill that counts.
func TestChargeBilledElsewhereSpendsNothingHere(t *testing.T) {
	run(t, 1000, func(b *bench) {
		b.keeper.set(func() { b.keeper.bills["a"] = &messenger.Charge{Tokens: 77, Incarnation: 3} })
		billed, err := b.spend("a", 500, 120, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(77)))
		b.Expect(b.money.Held()).To(gomega.Equal(rattanhoist.Tokens(1000)))
	})
}

// Symptom: answers can't complete while the keeper's VM is down, or bills are
// lost when this router dies before the keeper is back.
// Sequence: the keeper goes away with rights leased; requests go on; the
// keeper comes back.
// Cause: charges that wait for one keeper only.
func TestWitnessTakesChargesWhileTheKeeperIsAway(t *testing.T) {
	run(t, 10_000, func(b *bench) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.set(func() { b.keeper.away = true })
		began := time.Now()
		billed, err := b.spend("b", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(billed).To(gomega.Equal(rattanhoist.Tokens(100)))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		h, err := b.money.Holdings(context.Background(), &messenger.HoldingsRequest{})
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(h.Charges).To(gomega.HaveLen(1), "the router keeps it until two disks have it")
		b.keeper.set(func() { b.keeper.away = false })
		time.Sleep(5 * time.Second)
		_, _, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(200)))
		h, _ = b.money.Holdings(context.Background(), &messenger.HoldingsRequest{})
		b.Expect(h.Charges).To(gomega.BeEmpty())
		b.Expect(h.Holdings[0].OutstandingTokens).To(gomega.Equal(h.Holdings[0].GrantedTokens - 200))
	})
}

// Symptom: a double fault loses a bill whose answer the caller has.
// Sequence: the keeper bills on its own disk alone, as its mirror is away.
// Cause: a router that forgets a charge at the first answer.
func TestChargeIsKeptUntilTwoDisksHaveIt(t *testing.T) {
	run(t, 1000, func(b *bench) {
		b.keeper.set(func() { b.keeper.twoDisks = false })
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		sent := b.keeper.count("charge")
		time.Sleep(2 * time.Second)
		b.Expect(b.keeper.count("charge")).To(gomega.BeNumerically(">", sent))
		b.keeper.set(func() { b.keeper.twoDisks = true })
		time.Sleep(time.Second)
		b.Expect(b.money.Held()).To(gomega.Equal(rattanhoist.Tokens(900)))
		sent = b.keeper.count("charge")
		time.Sleep(time.Minute)
		b.Expect(b.keeper.count("charge")).To(gomega.Equal(sent))
	})
}

// Symptom: a router that was stopped for an hour spends rights that went back
// long ago.
// Sequence: it reserves, is frozen, is fenced, goes on and charges.
// Cause: a spend that does not ask, and an incarnation that lives on.
func TestFencedRouterCompletesNothingAndStartsAnew(t *testing.T) {
	run(t, 10_000, func(b *bench) {
		ctx := context.Background()
		r, err := b.money.Reserve(ctx, "w", 500)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.set(func() {
			b.keeper.fenced = 7
			b.keeper.unspent += b.keeper.lease(7).out
			b.keeper.lease(7).out = 0
		})
		_, err = r.Charge(ctx, &messenger.Charge{Workspace: "w", RequestId: "a", Tokens: 100})
		b.Expect(err).To(gomega.MatchError(treasurer.ErrFenced))
		_, err = b.spend("b", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(b.money.Incarnation()).To(gomega.BeNumerically(">", 7))
		unspent, leased, charged := b.keeper.books()
		b.Expect(charged).To(gomega.Equal(int64(100)))
		b.Expect(unspent + leased + charged).To(gomega.Equal(int64(10_000)))
	})
}

// Symptom: a VM whose clock was set back serves nothing after a restart.
// Sequence: the keeper knows an incarnation from a clock days ahead.
// Cause: incarnations that follow the clock alone.
func TestIncarnationPassesAClockSetBack(t *testing.T) {
	run(t, 10_000, func(b *bench) {
		b.keeper.set(func() { b.keeper.fenced = uint64(time.Now().Add(240 * time.Hour).UnixNano()) })
		_, err := b.spend("a", 500, 100, time.Hour)
		b.Expect(errors.Is(err, rattanhoist.ErrBudgetOutOfReach) || err == nil).To(gomega.BeTrue())
		time.Sleep(30 * time.Second)
		_, err = b.spend("b", 500, 100, time.Hour)
		b.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Symptom: rights stay with a router that has shut down.
// Sequence: spend some, shut down gracefully.
// Cause: returns that are not waited for.
func TestShutdownReturnsRights(t *testing.T) {
	run(t, 10_000, func(b *bench) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.set(func() { b.keeper.lose["return"] = 1 })
		b.money.GiveBack(context.Background())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{9900, 0, 100}))
	})
}

// Symptom: rights lie idle at a router while another router refuses.
// Sequence: traffic ends; later it comes back.
// Cause: slices that never shrink, or that begin again from a wrong total.
func TestIdleRightsGoBackAndComeAgain(t *testing.T) {
	run(t, 10_000, func(b *bench) {
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

// Symptom: a keeper that lost its disk grants rights twice.
// Sequence: a return is on its way; the keeper asks what the router holds,
// books the return from that, and then receives the return itself.
// Cause: a proof that contains a return without an answer.
func TestHoldingsLeaveOutAnUnansweredReturn(t *testing.T) {
	run(t, 1000, func(b *bench) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.keeper.set(func() { b.keeper.away = true })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		b.money.GiveBack(ctx)
		h, _ := b.money.Holdings(ctx, &messenger.HoldingsRequest{})
		b.Expect(h.Holdings[0].ReturnedTokens).To(gomega.BeZero())
		b.Expect(h.Holdings[0].OutstandingTokens).To(gomega.Equal(int64(900)))
		b.keeper.set(func() { b.keeper.away = false })
		time.Sleep(5 * time.Second)
		h, _ = b.money.Holdings(ctx, &messenger.HoldingsRequest{})
		b.Expect(h.Holdings[0].ReturnedTokens).To(gomega.Equal(int64(900)))
	})
}

// Symptom: the router holds rights that its keeper does not know of.
// Sequence: a lease's answer is under way; the keeper's disk is lost, and the
// new vault asks what the router holds; then the old answer arrives.
// Cause: an answer that is taken whoever gave it.
func TestAnswerOfALostVaultIsDropped(t *testing.T) {
	run(t, 1000, func(b *bench) {
		b.keeper.set(func() { b.keeper.vault = 1 })
		got := make(chan error, 1)
		b.keeper.set(func() { b.keeper.answerDelay = time.Second })
		go func() { _, err := b.spend("a", 500, 100, time.Minute); got <- err }()
		time.Sleep(500 * time.Millisecond)
		_, _ = b.money.Holdings(context.Background(), &messenger.HoldingsRequest{AskingIncarnation: 2})
		b.keeper.set(func() {
			b.keeper.vault, b.keeper.answerDelay = 2, 0
			b.keeper.unspent, b.keeper.leases = 1000, map[string]*lease{}
		})
		b.Expect(<-got).NotTo(gomega.HaveOccurred())
		unspent, leased, charged := b.keeper.books()
		b.Expect(unspent + leased + charged).To(gomega.Equal(int64(1000)))
		b.Expect(int64(b.money.Held())).To(gomega.Equal(leased))
	})
}

// Symptom: a sibling refuses although this router holds the rights.
// Sequence: the keeper recalls while a lease of this router is unanswered,
// as it does when two routers run dry at once.
// Cause: a recall that waits for the lease, which waits for the other recall.
func TestRecallOvertakesALease(t *testing.T) {
	run(t, 1000, func(b *bench) {
		_, err := b.spend("a", 500, 100, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Second)
		b.keeper.set(func() { b.keeper.delay = time.Second })
		waiting := make(chan error, 1)
		go func() { _, err := b.spend("b", 1500, 0, 20*time.Second); waiting <- err }()
		time.Sleep(500 * time.Millisecond)
		b.keeper.set(func() { b.keeper.delay = 0 })
		r, err := b.money.Recall(context.Background(), &messenger.RecallRequest{Workspace: "w", WantTokens: 5000})
		b.Expect(err).NotTo(gomega.HaveOccurred())
		b.Expect(r.ReturningTokens).To(gomega.Equal(int64(900)))
		b.keeper.set(func() { b.keeper.unspent += 1000 })
		b.Expect(<-waiting).NotTo(gomega.HaveOccurred(), "the overtaken lease says nothing about the zone")
		b.money.GiveBack(context.Background())
		unspent, leased, charged := b.keeper.books()
		b.Expect([]int64{unspent, leased, charged}).To(gomega.Equal([]int64{1900, 0, 100}))
	})
}

// Symptom: requests wait for minutes and get no answer.
// Sequence: two routers of a zone run dry in a cut; each one's lease has the
// keeper recall the other's rights, and is overtaken by its own return.
// Cause: a lease that says nothing and is sent again, for ever.
func TestTwoDryRoutersDoNotRecallEachOtherForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := newKeeper(2000)
		var money [2]*treasurer.Treasurer
		for i := range money {
			m, end := treasurer.New(treasurer.Options{
				Router: fmt.Sprint(i), Incarnation: rattanhoist.Incarnation(i + 1), Keeper: k, Policy: treasurer.DefaultPolicy(),
			})
			defer end()
			money[i] = m
			_, err := (&bench{money: m}).spend(fmt.Sprint("first", i), 125, 0, time.Minute)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		time.Sleep(time.Second)
		k.recall = func(asking uint64) {
			_, _ = money[2-asking].Recall(context.Background(), &messenger.RecallRequest{Workspace: "w", WantTokens: 9999})
		}
		k.answerDelay = 500 * time.Millisecond
		var wg sync.WaitGroup
		var served, refused, slowest atomic.Int64
		for i := range 40 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 70 * time.Millisecond)
				b := &bench{money: money[i%2]}
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

// Symptom: a request is held until its caller's deadline and then fails.
// Sequence: the keeper works on a lease for longer than the request has.
// Cause: a wait that only the keeper's silence bounds.
func TestRequestGivesUpWithinItsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := treasurer.DefaultPolicy(), time.Unix(0, 0)
	a := treasurer.NewAccount("w", &p, now, treasurer.Rest{})
	n := treasurer.Need{Tokens: 10, Waiting: 10, GiveUp: now.Add(time.Second)}
	g.Expect(a.Step(now, n)).To(gomega.ContainElement(treasurer.Wait{Until: n.GiveUp}))
	actions := a.Step(n.GiveUp, n)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(treasurer.Refuse).Err).To(gomega.MatchError(rattanhoist.ErrBudgetOutOfReach))
}

func TestRefusalsTellTheTruth(t *testing.T) {
	run(t, 1000, func(b *bench) {
		_, err := b.spend("a", 1000, 1000, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
		began := time.Now()
		_, err = b.spend("b", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		time.Sleep(time.Minute)
		b.keeper.set(func() { b.keeper.silent = []string{"tema-hall"} })
		_, err = b.spend("c", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetOutOfReach))
		time.Sleep(time.Minute)
		b.keeper.set(func() { b.keeper.away = true })
		began = time.Now()
		_, err = b.spend("d", 10, 10, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetOutOfReach))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", 4*time.Second))
		var s *treasurer.Shortage
		b.Expect(errors.As(err, &s)).To(gomega.BeTrue())
		b.Expect(s.RetryAfter()).To(gomega.BeNumerically(">", 0))
	})
}

// Symptom: a request is refused although the tokens it needs are freed a
// moment later.
// Sequence: a request holds its worst case, a second one comes, the first
// settles at a small count.
// Cause: a refusal that does not wait for settlements.
func TestRequestWaitsForSettlement(t *testing.T) {
	run(t, 1000, func(b *bench) {
		r, err := b.money.Reserve(context.Background(), "w", 900)
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

// Symptom: a request is refused as spent while another router's requests hold
// rights that they free a moment later; or it waits for rights that can't
// cover it.
// Sequence: two requests come while 500 tokens are held elsewhere.
// Cause: a router that counts only its own requests in progress, or that does
// not compare what is held with what it needs.
func TestRequestWaitsForRightsHeldElsewhere(t *testing.T) {
	run(t, 0, func(b *bench) {
		b.keeper.set(func() { b.keeper.held = 500 })
		began := time.Now()
		_, err := b.spend("large", 501, 1, time.Minute)
		b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
		b.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		time.AfterFunc(3*time.Second, func() { b.keeper.set(func() { b.keeper.held, b.keeper.unspent = 0, 500 }) })
		_, err = b.spend("small", 500, 1, time.Minute)
		b.Expect(err).NotTo(gomega.HaveOccurred())
	})
}

// Symptom: a spent budget's callers overload the keeper.
// Sequence: thousands of requests a second for a workspace without rights.
// Cause: a keeper call for each refusal.
func TestSpentBudgetDoesNotStampede(t *testing.T) {
	run(t, 0, func(b *bench) {
		for range 2000 {
			_, err := b.spend("a", 10, 10, time.Minute)
			b.Expect(err).To(gomega.MatchError(rattanhoist.ErrBudgetSpent))
			time.Sleep(time.Millisecond)
		}
		b.Expect(b.keeper.count("lease")).To(gomega.BeNumerically("<=", 9))
	})
}

// Symptom: every request waits for a lease, or each of a burst sends its own.
// Sequence: a burst, then steady traffic.
// Cause: no single flight, or leases that come only when the slice is dry.
func TestLeasesComeAheadAndOneAtATime(t *testing.T) {
	run(t, 10_000_000, func(b *bench) {
		b.keeper.set(func() { b.keeper.delay = 5 * time.Millisecond })
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
			r, err := b.money.Reserve(context.Background(), "w", 100)
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
