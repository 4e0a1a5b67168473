package warmer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/warmer"
)

var start = time.Unix(1000, 0)

// Guards against shares that add up to more than the limit, and against owners without a share.
func TestSharesStayWithinTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{0.5, 1, 4, 14, 40, 300} {
		for _, slack := range []float64{0, 2, 5, 20} {
			l := warmer.Limit{PerSecond: rate, Overshoot: 1.5, Slack: slack, Window: time.Second}
			owners, s := l.Split()
			all := float64(owners) * (s.Burst + s.Rate)
			g.Expect(2*all).To(gomega.BeNumerically("<=", rate*1.5+slack+1e-9), "%v: with two views", l)
			g.Expect(float64(owners)*s.Rate).To(gomega.BeNumerically("<=", rate+1e-9), "%v", l)
			if rate*1.5+slack >= 4 {
				g.Expect(owners).To(gomega.BeNumerically(">", 0), "%v: an owner is needed", l)
			}
		}
	}
}

// router is a simulated process that sends to a cold endpoint whenever it is allowed to.
type router struct {
	member warmer.Member
	known  *warmer.Members
	gate   *warmer.Gate
	owner  bool
	// DeadUntil is when the process runs again, and cutUntil when it reaches keepers again.
	deadUntil, cutUntil time.Time
	// NextQuery is when it queries a keeper next, and nextList when it receives the next list
	// of members.
	nextQuery, nextList time.Time
	// JoinedAt is when keepers first heard from it since they last forgot it, and heardAt when they
	// last did.
	joinedAt, heardAt time.Time
}

const (
	// keeperLag is the delay until a keeper knows what another one heard. KeeperSilence is how
	// long keepers remember a router that is silent.
	keeperLag        = 900 * time.Millisecond
	keeperSilence    = 3 * time.Second
	minQueryInterval = 200 * time.Millisecond
	maxQueryInterval = 600 * time.Millisecond
	maxListGap       = 3500 * time.Millisecond
	tick             = 20 * time.Millisecond
)

// fleet is a set of routers and what the keepers know about them.
type fleet struct {
	rng     *rand.Rand
	limit   warmer.Limit
	routers []*router
	sent    []time.Time
}

func (f *fleet) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

// list returns the members that one keeper reports to a router.
func (f *fleet) list(now time.Time, self *router) []warmer.Member {
	lag := f.randomDuration(0, keeperLag)
	var out []warmer.Member
	for _, r := range f.routers {
		if r == self || !r.heardAt.IsZero() && now.Sub(r.heardAt) < keeperSilence && !r.joinedAt.Add(lag).After(now) {
			out = append(out, r.member)
		}
	}
	return out
}

func (f *fleet) step(now time.Time) {
	for _, r := range f.routers {
		if now.Before(r.deadUntil) {
			continue
		}
		if r.known == nil {
			r.known, r.gate, r.owner, r.nextList = warmer.NewMembers(r.member), &warmer.Gate{}, false, now
		}
		if !now.Before(r.nextQuery) && !now.Before(r.cutUntil) {
			f.queryKeeper(now, r)
		}
		_, share := f.limit.Split()
		until := r.known.OwnerUntil(now)
		if !r.owner {
			until = time.Time{}
		}
		r.gate.SetCold(now, start.Add(time.Hour), share, until)
		for r.gate.Admit(now) {
			f.sent = append(f.sent, now)
		}
	}
}

func (f *fleet) queryKeeper(now time.Time, r *router) {
	r.nextQuery = now.Add(f.randomDuration(minQueryInterval, maxQueryInterval))
	if r.heardAt.IsZero() || now.Sub(r.heardAt) >= keeperSilence {
		r.joinedAt = now
	}
	r.heardAt = now
	if now.Before(r.nextList) {
		return
	}
	r.nextList = now.Add(f.randomDuration(minQueryInterval, maxListGap-maxQueryInterval))
	r.known.Observe(now, f.list(now, r))
	owners, _ := f.limit.Split()
	r.owner = r.known.IsOwner("endpoint", "z0", owners)
}

// injectFaults kills routers or cuts them off from keepers, sometimes most of them at once.
func (f *fleet) injectFaults(now time.Time) {
	killed, cut := 0.0005, 0.0005
	switch f.rng.IntN(1000) {
	case 0:
		killed = 0.9
	case 1:
		cut = 0.5
	}
	for _, r := range f.routers {
		switch {
		case f.rng.Float64() < killed:
			r.deadUntil, r.known = now.Add(f.randomDuration(100*time.Millisecond, 6*time.Second)), nil
		case f.rng.Float64() < cut:
			r.cutUntil = now.Add(f.randomDuration(500*time.Millisecond, 15*time.Second))
		}
	}
}

// maxPerSecond returns the highest number of requests sent in any one second.
func (f *fleet) maxPerSecond() int {
	out, from := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[from]) >= time.Second {
			from++
		}
		out = max(out, i-from+1)
	}
	return out
}

// Guards against too many requests to a cold endpoint while routers join, crash, restart together,
// are cut off and use outdated lists of members. Every router sends whenever it is allowed to.
// Keepers agree within keeperLag, so there is only one view, which may use half of the limit.
func TestRoutersTogetherStayWithinTheLimit(t *testing.T) {
	for _, n := range []int{2, 6, 66, 295} {
		for _, rate := range []float64{1, 4, 14} {
			t.Run(fmt.Sprintf("%d routers, %g a second", n, rate), func(t *testing.T) {
				seeds := max(300/n, 3)
				silent := 0
				for seed := range uint64(seeds) {
					f := &fleet{
						rng:   rand.New(rand.NewPCG(seed, uint64(n))),
						limit: warmer.Limit{PerSecond: rate, Overshoot: 1.5, Slack: 5, Window: time.Second},
					}
					for i := range n {
						f.routers = append(f.routers, &router{member: warmer.Member{Address: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)}})
					}
					for now := start; now.Before(start.Add(time.Minute)); now = now.Add(tick) {
						f.step(now)
						f.injectFaults(now)
					}
					owners, s := f.limit.Split()
					if allowed := float64(owners) * (s.Burst + s.Rate); float64(f.maxPerSecond()) > allowed {
						t.Fatalf("seed %d: %d requests in one second, %g in one view", seed, f.maxPerSecond(), allowed)
					}
					if len(f.sent) == 0 {
						silent++
					}
				}
				// After several power losses in a row, no router may own a share.
				if silent*20 > seeds {
					t.Fatalf("nothing was sent with %d of %d seeds", silent, seeds)
				}
			})
		}
	}
}

// Guards against a gate that stays closed for a warm endpoint, or opens without a share.
func TestGateOfAColdEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	x := &warmer.Gate{}
	g.Expect(x.Admit(start)).To(gomega.BeTrue(), "warm")
	cold := start.Add(3 * time.Second)
	x.SetCold(start, cold, warmer.Share{}, time.Time{})
	g.Expect(x.Open(start)).To(gomega.BeFalse(), "no share")
	x.SetCold(start, cold, warmer.Share{Rate: 2, Burst: 1}, start.Add(time.Second))
	g.Expect(x.Admit(start)).To(gomega.BeTrue())
	g.Expect(x.Admit(start.Add(400 * time.Millisecond))).To(gomega.BeFalse())
	g.Expect(x.Admit(start.Add(600 * time.Millisecond))).To(gomega.BeTrue())
	g.Expect(x.Open(start.Add(1500*time.Millisecond))).To(gomega.BeFalse(), "the share has expired")
	g.Expect(x.Open(cold)).To(gomega.BeTrue())
	x.SetReportedCold(cold, cold.Add(time.Second))
	g.Expect(x.Open(cold)).To(gomega.BeFalse(), "the endpoint reports to be cold again")
}
