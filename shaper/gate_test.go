package shaper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/shaper"
)

// crowdFleet simulates the routers of one availability zone of a fleet. Each request is a new
// connection; a part of them is handed to one router, which changes now and then. A refused caller
// tries once more at another router. A router charges its processor for each connection and request,
// and its link for each body; work that it can't do in time makes its requests fail.
type crowdFleet struct {
	rng     *rand.Rand
	routers []*crowdRouter
	// gated is set if routers refuse connections.
	gated bool
	// perRequest and perRefusal are processor time, share the part of a core, and bytes the size of a
	// body on a link of rate bytes a second.
	perRequest, perRefusal time.Duration
	share                  float64
	bytes                  int
	rate                   float64
}

type crowdRouter struct {
	gate      shaper.Gate
	admission *shaper.Admission
	processor *shaper.Processor
	used      time.Duration
	// backlog is the processor time that is owed.
	backlog time.Duration
	// reported is the load that the other routers know.
	reported shaper.Load
}

// crowdOutcome counts requests: those read at the first attempt, those of them that were served, and
// all that were served at any attempt.
type crowdOutcome struct{ sent, firstRead, firstServed, served int }

func (o crowdOutcome) firstShare() float64 {
	return float64(o.firstServed) / float64(max(o.firstRead, 1))
}

func (o crowdOutcome) String() string {
	return fmt.Sprintf("%d sent, %d of %d served at the first attempt that was read, %d in all", o.sent, o.firstServed, o.firstRead, o.served)
}

func newCrowdFleet(seed uint64, routers int) *crowdFleet {
	f := &crowdFleet{
		rng: rand.New(rand.NewPCG(seed, 9)), perRequest: 2 * time.Millisecond, perRefusal: 60 * time.Microsecond,
		share: 0.192, bytes: 17_000, rate: 10_000_000 / 8,
	}
	for range routers {
		f.routers = append(f.routers, &crowdRouter{admission: shaper.NewAdmission(f.rate, &shaper.Lag{}), processor: shaper.NewProcessor(f.share)})
	}
	return f
}

const crowdStep = 10 * time.Millisecond

// run sends requests for some time, a part of them to one router.
func (f *crowdFleet) run(from, to time.Duration, perSecond, crowd float64, hot int) (o crowdOutcome) {
	for at := from; at < to; at += crowdStep {
		now := start.Add(at)
		for range f.poisson(perSecond * crowdStep.Seconds()) {
			o.sent++
			first := f.rng.IntN(len(f.routers))
			if f.rng.Float64() < crowd {
				first = hot
			}
			f.send(now, first, &o)
		}
		f.advance(now, at)
	}
	return o
}

func (f *crowdFleet) poisson(mean float64) (n int) {
	for t := f.rng.ExpFloat64(); t < mean; t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// send sends one request, and tries once more elsewhere after a refusal.
func (f *crowdFleet) send(now time.Time, first int, o *crowdOutcome) {
	read, served := f.try(now, f.routers[first])
	if !read || !served {
		other := (first + 1 + f.rng.IntN(len(f.routers)-1)) % len(f.routers)
		readAgain, servedAgain := f.try(now, f.routers[other])
		if !read {
			read, served = readAgain, servedAgain
		} else if servedAgain {
			o.served++
		}
	}
	if read {
		o.firstRead++
	}
	if read && served {
		o.firstServed++
		o.served++
	}
}

// try sends a request to a router.
func (f *crowdFleet) try(now time.Time, r *crowdRouter) (read, served bool) {
	if f.gated && !r.gate.Admits(f.rng.Float64()) {
		r.work(f.perRefusal)
		return false, false
	}
	r.work(f.perRequest)
	if r.backlog.Seconds()/f.share > 0.5 || !r.admission.Admit(now, int64(f.bytes)) {
		return true, false
	}
	r.admission.Received(now, f.bytes)
	r.admission.Sent(now, f.bytes)
	return true, true
}

func (r *crowdRouter) work(d time.Duration) { r.backlog += d }

// advance lets the processors work, and updates the gates every 100 ms with loads that are up to
// half a second old.
func (f *crowdFleet) advance(now time.Time, at time.Duration) {
	var mean shaper.Load
	for _, r := range f.routers {
		mean.Link += r.reported.Link / float64(len(f.routers))
		mean.Processor += r.reported.Processor / float64(len(f.routers))
	}
	for i, r := range f.routers {
		done := min(r.backlog, time.Duration(f.share*float64(crowdStep)))
		r.backlog -= done
		r.used += done
		if (at/crowdStep+time.Duration(i))%10 != 0 {
			continue
		}
		r.processor.Observe(now, r.used)
		own := shaper.Load{Link: r.admission.Utilization(now), Processor: r.processor.Utilization()}
		r.gate.Update(now, own, shaper.ZoneLoad{Mean: mean.Link, MeanProcessor: mean.Processor, Routers: len(f.routers)})
		if (at/crowdStep+time.Duration(i))%50 == 0 {
			r.reported = own
		}
	}
}

// Guards against callers who are refused or kept waiting because the platform hands most new
// connections of a zone to one router, then to another, while all others are idle: from 3 s on, three
// quarters of those whose request was read are to be served at the first attempt, as before.
func TestCrowdAtOneRouterIsServedByTheOthers(t *testing.T) {
	for _, c := range []struct {
		routers   int
		perSecond float64
	}{{6, 60}, {22, 155}, {100, 700}} {
		for seed := range uint64(20) {
			g := gomega.NewWithT(t)
			f := newCrowdFleet(seed, c.routers)
			f.gated = true
			before := f.run(0, 10*time.Second, c.perSecond, 0, 0)
			for hot := range 2 {
				from := time.Duration(10+15*hot) * time.Second
				first := f.run(from, from+3*time.Second, c.perSecond, 0.9, hot)
				rest := f.run(from+3*time.Second, from+15*time.Second, c.perSecond, 0.9, hot)
				if seed == 0 {
					t.Logf("%d routers: %v; crowd at router %d: %v, then %v", c.routers, before, hot, first, rest)
				}
				g.Expect(rest.firstShare()).To(gomega.BeNumerically(">=", 0.95*before.firstShare()), "%d routers, seed %d: %v", c.routers, seed, rest)
				g.Expect(float64(rest.served)/float64(rest.sent)).To(gomega.BeNumerically(">=", 0.95), "%d routers, seed %d: %v", c.routers, seed, rest)
			}
			after := f.run(40*time.Second, 50*time.Second, c.perSecond, 0, 0)
			g.Expect(after.firstRead).To(gomega.BeNumerically(">=", after.sent*97/100), "open again: %v", after)
		}
	}
}

// Guards against connections that are refused although no other router could serve them better.
func TestBusyZoneRefusesNoConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(20) {
		f := newCrowdFleet(seed, 22)
		f.gated = true
		f.perRequest = 12 * time.Millisecond
		o := f.run(0, 30*time.Second, 350, 0, 0)
		g.Expect(o.firstRead).To(gomega.BeNumerically(">=", o.sent*99/100), "%v", o)
	}
	var alone shaper.Gate
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		alone.Update(start.Add(at), shaper.Load{Link: 1, Processor: 1}, shaper.ZoneLoad{Mean: 1, Routers: 1})
	}
	g.Expect(alone.Refusing()).To(gomega.BeFalse(), "the only router of its zone")
}
