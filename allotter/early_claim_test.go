package allotter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// burstRun is a router whose demand rises fivefold right after a claim. Its claims are answered
// after 20 ms. As in a fleet of 82 routers, the next claim follows 68 ms to 1.7 s after an answer.
type burstRun struct {
	early          bool
	waited, claims int
	now, nextClaim time.Time
	// EarliestClaim is when the pause after the last answer is over.
	earliestClaim time.Time
	ledger        *allotter.Ledger
	allocation    *allotter.Allocation
	urgent        bool
	// Answer is applied at answerAt to the claim that was sent at sentAt; nil if none is under way.
	answer           *messenger.RightsGrant
	claim            *messenger.RightsClaim
	sentAt, answerAt time.Time
}

const (
	burstRoundTrip = 20 * time.Millisecond
	burstPause     = 68 * time.Millisecond
	burstInterval  = 1700 * time.Millisecond
	burstRequest   = 2_000
)

// run lets requests arrive at a rate for some time, and claims as a router does.
func (r *burstRun) run(rate int, duration time.Duration) {
	const step = 5 * time.Millisecond
	var arrivals time.Duration
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(step) {
		for arrivals += step * time.Duration(rate); arrivals >= time.Second; arrivals -= time.Second {
			r.request()
		}
		r.applyAnswer()
		if r.urgent || !r.now.Before(r.nextClaim) {
			r.sendClaim()
		}
	}
}

func (r *burstRun) request() {
	if !r.allocation.Reserve(r.now, burstRequest) {
		r.waited++
		r.urgent = true
		return
	}
	r.allocation.Settle(burstRequest, burstRequest)
	if r.early && r.allocation.NeedsEarlyClaim(r.now, 0) {
		r.urgent = true
	}
}

// sendClaim sends a claim if one is due, unless another is under way or was just answered.
func (r *burstRun) sendClaim() {
	if r.answer != nil || r.now.Before(r.earliestClaim) {
		return
	}
	r.urgent, r.nextClaim = false, r.now.Add(burstInterval)
	if !r.allocation.ClaimDue(r.now, 0, burstInterval) {
		return
	}
	sequence++
	r.claims++
	r.claim = r.allocation.NextClaim(r.now, workspace, 0, burstInterval)
	r.answer = r.ledger.ApplyClaims(&messenger.RightsChange{
		Router: "a", Incarnation: 1, Claims: []*messenger.RightsClaim{r.claim}, Sequence: sequence, Answered: sequence - 1,
		Sent: momentAt(r.now), Started: momentAt(time.Unix(1000, 0)),
	}).Grants[0]
	r.sentAt, r.answerAt = r.now, r.now.Add(burstRoundTrip)
}

// applyAnswer applies the answer to the claim under way once it has arrived.
func (r *burstRun) applyAnswer() {
	if r.answer == nil || r.now.Before(r.answerAt) {
		return
	}
	r.allocation.ApplyGrant(r.answer, r.claim, r.sentAt)
	r.answer, r.earliestClaim, r.nextClaim = nil, r.now.Add(burstPause), r.now.Add(burstInterval)
}

func newBurstRun(early bool) *burstRun {
	now := time.Unix(1000, 0)
	return &burstRun{early: early, now: now, nextClaim: now, ledger: newLedger(1_000_000_000), allocation: &allotter.Allocation{}}
}

// burst returns a run of 1.5 s at five times the mean demand, which begins when a claim was
// answered.
func burst(early bool) *burstRun {
	r := newBurstRun(early)
	r.run(20, 20*time.Second)
	for before := r.claims; r.claims == before || r.answer != nil; {
		r.run(20, 5*time.Millisecond)
	}
	r.waited, r.claims = 0, 0
	r.run(100, 1500*time.Millisecond)
	return r
}

// A burst at one router right after a claim, at five times the mean demand. Guards against
// requests that wait for the next claim although keepers answer, and against claims for each
// request of the burst.
func TestBurstRightAfterAClaimWaitsForNoTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(burst(false).waited).To(gomega.BeNumerically(">", 0), "without early claims")
	r := burst(true)
	g.Expect(r.waited).To(gomega.BeZero())
	g.Expect(r.claims).To(gomega.BeNumerically("<=", 8), "of 150 requests")
}

// A router with steady demand. Guards against early claims that add to the load of keepers while
// the usual interval suffices.
func TestSteadyDemandCausesNoEarlyClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newBurstRun(true)
	r.run(20, 20*time.Second)
	r.claims = 0
	r.run(20, 17*time.Second)
	g.Expect(r.claims).To(gomega.BeNumerically("<=", 13), "the interval alone causes ten")
}

// A total that is nearly spent while its routers ask for more. Guards against claims that follow
// one another because keepers can't grant what the target headroom needs.
func TestScarceTotalCausesOneEarlyClaimEach(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := &allotter.Allocation{}
	p.Reserve(now, 1_000)
	c := p.NextClaim(now, workspace, 0, burstInterval)
	p.ApplyGrant(&messenger.RightsGrant{Workspace: workspace, Granted: 1_500, Scarce: true}, c, now)
	g.Expect(p.Reserve(now, 1_000)).To(gomega.BeTrue())
	g.Expect(p.NeedsEarlyClaim(now, 0)).To(gomega.BeFalse(), "the ceiling allows more than is held")
	p.ApplyGrant(&messenger.RightsGrant{Workspace: workspace, Granted: 1_500, Left: 1_000_000}, c, now)
	g.Expect(p.NeedsEarlyClaim(now, 0)).To(gomega.BeTrue())
	g.Expect(p.ClaimDue(now, 0, burstInterval)).To(gomega.BeTrue())
	g.Expect(p.NeedsEarlyClaim(now, 0)).To(gomega.BeFalse(), "once for each claim")
	p.NextClaim(now.Add(time.Second), workspace, 0, burstInterval)
	g.Expect(p.NeedsEarlyClaim(now.Add(time.Second), 0)).To(gomega.BeTrue(), "a claim was stated in between")
}

// A router that holds ample tokens and has used most of its ceiling. Guards against an early claim
// that is not sent because no other reason makes it due.
func TestLowCeilingMakesAClaimDue(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	p := &allotter.Allocation{}
	p.Reserve(now, 8_000)
	c := p.NextClaim(now, workspace, 0, burstInterval)
	p.ApplyGrant(&messenger.RightsGrant{Workspace: workspace, Granted: 200_000, Left: 1_000_000}, c, now)
	g.Expect(p.TryReserve(now, 100)).To(gomega.BeTrue())
	g.Expect(p.NeedsEarlyClaim(now, 0)).To(gomega.BeFalse())
	g.Expect(p.TryReserve(now, c.Ceiling-1_000)).To(gomega.BeTrue())
	p.Settle(100, 0)
	g.Expect(p.ClaimDue(now, 0, burstInterval)).To(gomega.BeFalse(), "no other reason")
	g.Expect(p.NeedsEarlyClaim(now, 0)).To(gomega.BeTrue())
	g.Expect(p.ClaimDue(now, 0, burstInterval)).To(gomega.BeTrue())
}
