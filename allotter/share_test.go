package allotter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// demand lets a router of a workspace ask for requests of 3,000 tokens at a
// rate for a pause, and returns how many requests were not served.
func demand(p *allotter.Purse, now time.Time, perSecond int, pause time.Duration) (refused int) {
	const request = 3_000
	n := int(float64(perSecond) * pause.Seconds())
	for i := range n {
		at := now.Add(time.Duration(i) * pause / time.Duration(n))
		if !p.Reserve(at, request) {
			refused++
			continue
		}
		p.Settle(request, request)
	}
	return refused
}

// Pattern: 63 routers know a workspace, and one large caller sends nearly all
// of its requests through one of them: 60,000 tokens a second. Callers are
// spread by a hash, so this is ordinary. Four claims later that router must not
// refuse any request, and hold what it needs for a cut of nine seconds; with an
// equal part of what is left for each router it refused 98 of 104 requests.
func TestRightsGoWhereTheDemandIs(t *testing.T) {
	g := gomega.NewWithT(t)
	const pause = 1300 * time.Millisecond
	now := time.Unix(1000, 0)
	l := ledger(6_000_000)
	idle := map[string]*allotter.Purse{}
	for i := range 62 {
		idle["idle"+strconv.Itoa(i)] = &allotter.Purse{}
	}
	hot := &allotter.Purse{}
	refused := 0
	for round := range 8 {
		n := demand(hot, now, 20, pause)
		if round >= 4 {
			refused += n
		}
		now = now.Add(pause)
		for name, p := range idle {
			demand(p, now, 0, pause)
			claimPaced(l, name, 1, p, now, now, pause)
		}
		claimPaced(l, "hot", 2, hot, now, now, pause)
	}
	g.Expect(refused).To(gomega.Equal(0), "requests refused once demand is known")
	// From here on no keeper answers.
	g.Expect(demand(hot, now, 20, 9*time.Second)).To(gomega.BeNumerically("<=", 9*20/20), "requests refused in a cut of nine seconds")
}

// Pattern: one router asks for all that is left, as after a burst, and others
// draw on the same total. None may be left without.
func TestNoClaimEmptiesThePool(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l := ledger(1_000_000)
	var others []*allotter.Purse
	for i := range 5 {
		p := &allotter.Purse{}
		demand(p, now, 4, time.Second)
		claim(l, "other"+strconv.Itoa(i), 1, p, now, now)
		others = append(others, p)
	}
	before := l.Left(workspace)
	greedy := &messenger.RightsClaim{Workspace: workspace, Wanted: 10_000_000, Slope: 1_000_000}
	for range 3 {
		l.Claim(&messenger.RightsChange{Router: "greedy", Incarnation: 3, Sequence: sequence, Sent: moment(now), Started: moment(now), Claims: []*messenger.RightsClaim{greedy}})
		sequence++
	}
	g.Expect(l.Left(workspace)).To(gomega.BeNumerically(">=", before/8), "left after three greedy claims")
	for i, p := range others {
		demand(p, now, 4, time.Second)
		claim(l, "other"+strconv.Itoa(i), 1, p, now, now)
		g.Expect(p.Reserve(now, 3_000)).To(gomega.BeTrue())
	}
}

// Pattern: 63 routers hold rights of a small total ahead of their demand; then
// all its requests come through one. What the others hold must come back: with
// 20,000 tokens that each kept, 62 of them kept 1.2 of 3 million.
func TestManyRoutersKeepLittleOfASmallTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	const total, request, pause = 3_000_000, 3_000, 1300 * time.Millisecond
	now := time.Unix(1000, 0)
	l := ledger(total)
	var purses []*allotter.Purse
	for range 63 {
		purses = append(purses, &allotter.Purse{})
	}
	var spent int64
	for round := range 100 {
		now = now.Add(pause)
		for i, p := range purses {
			asks := 1
			if round >= 5 {
				asks = 0
			}
			if i == 0 {
				asks = 8
			}
			for range asks {
				if p.Reserve(now, request) {
					p.Settle(request, request)
					spent += request
				}
			}
			c := p.Claim(now, workspace, total/8/63, pause)
			sequence++
			grants := l.Claim(&messenger.RightsChange{
				Router: strconv.Itoa(i), Incarnation: 7, Claims: []*messenger.RightsClaim{c}, Sequence: sequence,
				Answered: sequence - 1, Sent: moment(now), Started: moment(now),
			})
			p.Granted(grants.Grants[0], c, now)
		}
	}
	g.Expect(spent).To(gomega.BeNumerically(">=", total*95/100), "spent of the total")
}

// Pattern: a workspace's requests begin all at once, at the start of a day or
// after a cut. After the first claim the router must hold most of what a cut of
// nine seconds asks for: the next claim may not get through. Reckoned from four
// seconds on, demand that began a second ago counted less than half.
func TestDemandIsKnownAfterASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	const pause = 1300 * time.Millisecond
	now := time.Unix(1000, 0)
	l, p := ledger(100_000_000), &allotter.Purse{}
	demand(p, now, 20, pause)
	now = now.Add(pause)
	claimPaced(l, "hot", 1, p, now, now, pause)
	g.Expect(100_000_000-l.Left(workspace)).To(gomega.BeNumerically(">=", 10*20*3_000), "held after the first claim, 10 s of demand")
}

// Pattern: a large caller comes to a router that has not seen it before: ten requests
// in 0.7 s. What the limit leaves open is lost if the process dies then, as routers
// that are restarted in turn are likely to; reckoned from these 0.7 s it was 1.5 s of
// nearly twice the caller's true demand.
func TestALimitLeavesLittleOpenForACallerThatHasJustCome(t *testing.T) {
	g := gomega.NewWithT(t)
	const request, each = 10_000, 70 * time.Millisecond
	now := time.Unix(1000, 0)
	p := &allotter.Purse{}
	p.Receive(1_000_000)
	for range 10 {
		now = now.Add(each)
		p.Reserve(now, request)
	}
	c := p.Claim(now, workspace, 0, 250*time.Millisecond)
	demand := request / each.Seconds()
	g.Expect(float64(c.Ceiling)).To(gomega.BeNumerically("<", 0.6*1.5*demand))
	g.Expect(float64(c.Wanted+900_000)).To(gomega.BeNumerically(">", 10*demand), "it holds rights for a cut nevertheless")
}

// Symptom: requests of a workspace are refused for a spent total of which a third is
// unspent, for seconds.
// Sequence: all its callers are at one router, which holds nearly all that is left; they
// send seven times as much as before, many at once.
// Cause: a claim left room for the largest of the requests that waited, not for all of
// them, and the router took what keepers have left for all that there is.
func TestABurstOfRequestsFindsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	const request = 10_000
	now := time.Unix(1000, 0)
	l, p := ledger(600_000), &allotter.Purse{}
	for range 20 {
		demand(p, now, 2, time.Second)
		now = now.Add(250 * time.Millisecond)
		claim(l, "a", 1, p, now, now)
	}
	var waiting int
	for range 30 {
		if !p.Reserve(now, request) {
			waiting++
		}
	}
	g.Expect(waiting).To(gomega.BeNumerically(">", 10), "more at once than the limit allows")
	for range 3 {
		claim(l, "a", 1, p, now, now)
		for range waiting {
			if p.Retry(now, request) {
				waiting--
			}
		}
	}
	g.Expect(p.Exhausted(request)).To(gomega.Equal(waiting > 0))
	g.Expect(waiting).To(gomega.BeNumerically("<=", 1), "what is left of the total serves all but one")
}

// A router that holds rights and may not use them yet does not call the total spent.
func TestHeldRightsAreNotSpent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l, p := ledger(50_000), &allotter.Purse{}
	p.Reserve(now, 40_000)
	claim(l, "a", 1, p, now, now)
	g.Expect(p.Retry(now, 40_000)).To(gomega.BeTrue())
	p.Settle(40_000, 0)
	for range 8 {
		now = now.Add(time.Second)
		claim(l, "a", 1, p, now, now)
	}
	g.Expect(l.Left(workspace)).To(gomega.BeNumerically("<", 30_000))
	g.Expect(p.Reserve(now, 30_000)).To(gomega.BeFalse(), "beyond the limit")
	g.Expect(p.Exhausted(30_000)).To(gomega.BeFalse())
}

// Pattern: nine routers hold a little of each total ahead of demand, and all callers of
// a workspace come to one of them. The others hear nothing of it: nobody asks them, so
// their claims leave it out. What they hold must come back before the total is spent:
// eight of them kept 11 in 100 of it.
func TestIdleRoutersGiveBackWhatOthersLack(t *testing.T) {
	g := gomega.NewWithT(t)
	const total, request, routers, pause = 1_700_000, 3_000, 9, 250 * time.Millisecond
	now := time.Unix(1000, 0)
	l := ledger(total)
	purses := map[string]*allotter.Purse{}
	for i := range routers {
		purses["r"+strconv.Itoa(i)] = &allotter.Purse{}
	}
	hot := purses["r0"]
	sequences := map[string]uint64{}
	settle := func(name string, p *allotter.Purse) {
		change := &messenger.RightsChange{
			Router: name, Incarnation: 1, Sequence: sequences[name] + 1, Answered: sequences[name], Sent: moment(now), Started: moment(now),
		}
		sequences[name]++
		change.Binding = true
		if p.Due(now, total/8/routers, pause) || !p.LeaveOut(now) {
			change.Claims = append(change.Claims, p.Claim(now, workspace, total/8/routers, pause))
		}
		grants := l.Claim(change)
		if len(change.Claims) > 0 {
			p.Granted(grants.Grants[0], change.Claims[0], now)
		} else {
			p.LeftOut(len(grants.Scarce) > 0)
		}
	}
	var spent int64
	for range 200 {
		now = now.Add(pause)
		for name, p := range purses {
			settle(name, p)
		}
		for range 5 {
			if hot.Reserve(now, request) {
				hot.Settle(request, request)
				spent += request
			}
		}
	}
	g.Expect(spent).To(gomega.BeNumerically(">=", total*98/100), "spent of the total")
}
