package warmer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/warmer"
)

// Guards against an outdated response that arrives late and raises or removes the limit.
func TestOutdatedResponseDoesNotRaiseRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	two, three := warmer.RateLimit{Limited: true, PerSecond: 2}, warmer.RateLimit{Limited: true, PerSecond: 3}
	x := &warmer.Gate{}
	g.Expect(x.ObserveRateLimit(warmer.RateLimit{}, at(0), at(10))).To(gomega.BeFalse())
	g.Expect(x.ObserveRateLimit(three, at(5), at(100))).To(gomega.BeTrue())
	g.Expect(x.ObserveRateLimit(warmer.RateLimit{}, at(90), at(110))).To(gomega.BeFalse(), "sent before the limit was received")
	g.Expect(x.ObserveRateLimit(two, at(20), at(120))).To(gomega.BeTrue(), "a lower limit takes effect immediately")
	g.Expect(x.ObserveRateLimit(three, at(115), at(130))).To(gomega.BeFalse())
	g.Expect(x.RateLimit()).To(gomega.Equal(two))
	g.Expect(x.ObserveRateLimit(three, at(125), at(140))).To(gomega.BeTrue())
	g.Expect(x.ObserveRateLimit(warmer.RateLimit{}, at(141), at(150))).To(gomega.BeTrue())
	g.Expect(x.RateLimit()).To(gomega.Equal(warmer.RateLimit{}))
	g.Expect(x.ObserveRateLimit(two, at(100), at(140))).To(gomega.BeFalse(), "another router received it before the last request was sent")
}

// Guards against shares of a rate limit that add up to more than the fleet may send in a
// window, and against owners that send nothing and so never learn of a removed limit.
func TestRateLimitSharesStayWithinTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{0, 0.3, 1, 2, 2.7, 10, 40} {
		l := rateLimit(rate)
		owners, s := l.Split()
		g.Expect(owners).To(gomega.BeNumerically(">", 0), "%g", rate)
		g.Expect(2*float64(owners)*(s.Burst+s.Rate*4)).To(gomega.BeNumerically("<=", 1.5*rate*4+5+1e-9), "%g: two views", rate)
		g.Expect(s.Rate).To(gomega.BeNumerically(">", 0), "%g", rate)
	}
}

// Guards against a router that sends to a rate limited endpoint without a share of the
// limit, or more than its share.
func TestGateOfARateLimitedEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	limit := warmer.RateLimit{Limited: true, PerSecond: 2}
	x := &warmer.Gate{}
	x.SetRateLimitShare(start, warmer.Share{Rate: 2, Burst: 1}, at(60_000))
	g.Expect(x.Restricted(start)).To(gomega.BeFalse())
	x.ObserveRateLimit(limit, start, start)
	g.Expect(x.Restricted(start)).To(gomega.BeTrue())
	g.Expect(x.Open(start)).To(gomega.BeFalse(), "the share was set before the limit")
	g.Expect(x.OpensAt(start)).To(gomega.BeZero())
	x.SetRateLimitShare(start, warmer.Share{Rate: 2, Burst: 1}, at(1000))
	g.Expect(x.Admit(start)).To(gomega.BeTrue())
	g.Expect(x.Admit(at(400))).To(gomega.BeFalse())
	g.Expect(x.OpensAt(at(400))).To(gomega.BeTemporally("~", at(500), time.Millisecond))
	g.Expect(x.Admit(at(501))).To(gomega.BeTrue())
	g.Expect(x.Open(at(1000))).To(gomega.BeFalse(), "the share has expired")
	x.SetCold(at(1000), at(5000), warmer.Share{Rate: 2, Burst: 1}, at(5000))
	g.Expect(x.Open(at(1500))).To(gomega.BeFalse(), "the share for a cold endpoint does not apply to its rate limit")
	x.ObserveRateLimit(warmer.RateLimit{}, at(1200), at(1300))
	g.Expect(x.Admit(at(1500))).To(gomega.BeTrue())
}

func rateLimit(perSecond float64) warmer.Limit {
	return warmer.Limit{PerSecond: perSecond, Overshoot: 1.5, Slack: 5, Window: 4 * time.Second, MinPerSecond: 0.2}
}

const (
	// notificationGrace is how long after its first response with a limit a router's
	// requests are not counted.
	notificationGrace = 500 * time.Millisecond
	// propagationTime is how long after a limit is set the bound starts to apply.
	propagationTime = 3 * time.Second
)

// response is a report of an endpoint's rate limit, from the endpoint or from an owner.
type response struct {
	deliverAt, emittedAt, sentAt time.Time
	limit                        warmer.RateLimit
	// ReceivedAt is when an owner received the limit; zero for a report from the endpoint.
	receivedAt time.Time
}

// routerState is the simulated traffic between a router and a rate limited endpoint.
type routerState struct {
	pending  []response
	nextPoll time.Time
	// Notified is when the endpoint first reported the limit in effect to the router.
	notified time.Time
}

// rateLimitedFleet is a fleet that sends to an endpoint which sets and removes a rate limit.
type rateLimitedFleet struct {
	fleet
	states     []*routerState
	reported   warmer.RateLimit
	limitSetAt time.Time
	// Counted is when requests arrived that the bound applies to.
	counted     []time.Time
	maxInWindow int
}

func (f *rateLimitedFleet) setLimit(now time.Time, l warmer.RateLimit) {
	f.reported, f.limitSetAt, f.counted = l, now, nil
	for _, s := range f.states {
		s.notified = time.Time{}
	}
}

func (f *rateLimitedFleet) step(now time.Time, ratePerRouter float64) {
	for i, r := range f.routers {
		s := f.states[i]
		if now.Before(r.deadUntil) {
			continue
		}
		if r.known == nil {
			r.known, r.gate, r.owner, r.nextList = warmer.NewMembers(r.member), &warmer.Gate{}, false, now
			*s = routerState{}
		}
		if !now.Before(r.nextQuery) && !now.Before(r.cutUntil) {
			f.queryKeeper(now, r)
		}
		f.deliver(now, r, s)
		_, share := f.fleet.limit.Split()
		until := r.known.OwnerUntil(now)
		if !r.owner {
			until = time.Time{}
		}
		r.gate.SetRateLimitShare(now, share, until)
		f.poll(now, r, s)
		for range 3 {
			if f.rng.Float64() < ratePerRouter*tick.Seconds()/3 && r.gate.Admit(now) {
				f.send(now, s)
			}
		}
	}
}

func (f *rateLimitedFleet) send(now time.Time, s *routerState) {
	emittedAt := now.Add(f.randomDuration(time.Millisecond, 300*time.Millisecond))
	s.pending = append(s.pending, response{deliverAt: emittedAt.Add(f.randomDuration(time.Millisecond, 200*time.Millisecond)), emittedAt: emittedAt, sentAt: now})
	if !f.reported.Limited || s.notified.IsZero() || now.Sub(s.notified) < notificationGrace {
		return
	}
	f.counted = append(f.counted, now)
	n := 0
	for _, at := range f.counted {
		if now.Sub(at) < 4*time.Second {
			n++
		}
	}
	if now.Sub(f.limitSetAt) >= propagationTime {
		f.maxInWindow = max(f.maxInWindow, n)
	}
}

func (f *rateLimitedFleet) deliver(now time.Time, r *router, s *routerState) {
	var later []response
	for _, p := range s.pending {
		if p.receivedAt.IsZero() && !p.emittedAt.After(now) && p.emittedAt.After(now.Add(-tick)) {
			// The endpoint reports the limit at the time of its response.
			p.limit = f.reported
			if f.reported.Limited && s.notified.IsZero() {
				s.notified = now
			}
		}
		if p.deliverAt.After(now) {
			later = append(later, p)
			continue
		}
		if p.receivedAt.IsZero() {
			p.receivedAt = now
		}
		r.gate.ObserveRateLimit(p.limit, p.sentAt, p.receivedAt)
	}
	s.pending = later
}

// poll queries an owner for the limit, if the router owns no share and so sends no requests.
func (f *rateLimitedFleet) poll(now time.Time, r *router, s *routerState) {
	if !r.gate.RateLimit().Limited || r.owner || now.Before(s.nextPoll) || now.Before(r.cutUntil) {
		return
	}
	s.nextPoll = now.Add(f.randomDuration(500*time.Millisecond, 1500*time.Millisecond))
	owners, _ := f.fleet.limit.Split()
	list := r.known.OtherOwners("endpoint", "z0", owners)
	if len(list) == 0 {
		return
	}
	address := list[f.rng.IntN(len(list))]
	for _, o := range f.routers {
		if o.member.Address != address || o.gate == nil || now.Before(o.deadUntil) || now.Before(o.cutUntil) {
			continue
		}
		if l, sentAt, receivedAt := o.gate.LastRateLimit(); !sentAt.IsZero() {
			s.pending = append(s.pending, response{deliverAt: now.Add(f.randomDuration(time.Millisecond, time.Second)), sentAt: sentAt, receivedAt: receivedAt, limit: l})
		}
	}
}

// Guards against more requests than a rate limit allows from all notified routers
// combined, while routers join, crash, restart together, are partitioned or learn late of
// a new or removed limit, and responses arrive out of order. Also guards against routers
// that never learn that the limit was removed.
func TestRoutersTogetherStayWithinARateLimit(t *testing.T) {
	for _, n := range []int{2, 6, 66, 295} {
		for _, rate := range []float64{0.5, 2, 2.7, 10} {
			t.Run(fmt.Sprintf("%d routers, %g a second", n, rate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(max(80/n, 1)) {
					f := newRateLimitedFleet(seed, n, rate)
					f.run(t, n, warmer.RateLimit{Limited: true, PerSecond: rate})
					owners, s := f.fleet.limit.Split()
					if allowed := float64(owners) * (s.Burst + s.Rate*4); float64(f.maxInWindow) > allowed {
						t.Fatalf("seed %d: %d requests in a window, %g in one view", seed, f.maxInWindow, allowed)
					}
				}
			})
		}
	}
}

func newRateLimitedFleet(seed uint64, n int, rate float64) *rateLimitedFleet {
	f := &rateLimitedFleet{fleet: fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), limit: rateLimit(rate)}}
	for i := range n {
		f.routers = append(f.routers, &router{member: warmer.Member{Address: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)}})
		f.states = append(f.states, &routerState{})
	}
	return f
}

// run sets and removes the limit twice. Faults stop before the last removal, of which
// every router must learn.
func (f *rateLimitedFleet) run(t *testing.T, n int, l warmer.RateLimit) {
	ratePerRouter := max(20/float64(n), 0.5)
	for now := start; now.Before(start.Add(85 * time.Second)); now = now.Add(tick) {
		switch now.Sub(start) {
		case 10 * time.Second, 40 * time.Second:
			f.setLimit(now, l)
		case 30 * time.Second, 60 * time.Second:
			f.setLimit(now, warmer.RateLimit{})
		}
		f.step(now, ratePerRouter)
		if now.Sub(start) < 55*time.Second {
			f.injectFaults(now)
		}
	}
	for i, r := range f.routers {
		if r.gate.RateLimit().Limited {
			t.Fatalf("router %d still treats the endpoint as rate limited", i)
		}
	}
}
