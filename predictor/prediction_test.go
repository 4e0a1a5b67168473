package predictor

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// fakeEngine runs requests in slots and prefills prompts one after the other.
type fakeEngine struct {
	slots  int
	factor func(time.Time) float64
	// reports is set if the engine reports its slowdown.
	reports   bool
	waiting   []*fakeCall
	running   int
	prefilled time.Time
}

// fakeCall is a request at a fake engine.
type fakeCall struct {
	router            int
	assignment        *Assignment
	sent, first, ends time.Time
	shown             bool
}

// simulation sends requests of a fleet's routers to fake engines in virtual time.
type simulation struct {
	*fleet
	engines map[string]*fakeEngine
	active  []*fakeCall
	// rate returns the requests a second of a router.
	rate func(router int, at time.Time) float64
	// link returns the delay at a router's own link.
	link func(router int, at time.Time) time.Duration
	// notified returns the routers that are notified of a dispatch to a zone; nil stands for all.
	notified func(zone string) []int
	// hold is the mean time in a slot after the first event.
	hold time.Duration
	// observe is called with each first event.
	observe func(router int, at time.Time, c *fakeCall)
	// watch is called each millisecond.
	watch func(at time.Time)
}

func newSimulation(perZone, engines, slots int, zones ...string) *simulation {
	s := &simulation{fleet: newFleet(perZone, engines, zones...), engines: map[string]*fakeEngine{}, hold: time.Second}
	for _, e := range s.tables[0].Endpoints("llm") {
		s.engines[e.name] = &fakeEngine{slots: slots, factor: func(time.Time) float64 { return 1 }}
	}
	for _, t := range s.tables {
		for _, e := range t.Endpoints("llm") {
			e.beat.Slots = slots
		}
	}
	s.rate = func(int, time.Time) float64 { return 5 }
	s.link = func(int, time.Time) time.Duration { return 0 }
	s.observe = func(int, time.Time, *fakeCall) {}
	s.watch = func(time.Time) {}
	return s
}

// start runs the simulation for a duration.
func (s *simulation) start(d time.Duration) {
	s.run(time.Unix(1_000, 0), d, s.step)
}

// step moves all requests on by a millisecond.
func (s *simulation) step(at time.Time) {
	for i := range s.tables {
		if s.random.Float64() < s.rate(i, at)/1_000 {
			s.send(i, at)
		}
	}
	kept := s.active[:0]
	for _, c := range s.active {
		if !s.move(c, at) {
			kept = append(kept, c)
		}
	}
	s.active = kept
	for _, e := range s.tables[0].Endpoints("llm") {
		s.engines[e.name].admit(at, s.random, s.hold)
	}
	s.watch(at)
}

func (s *simulation) send(i int, at time.Time) {
	n := int64(100 + s.random.ExpFloat64()*1_500)
	w := s.tables[i].Choose(at, Request{Service: "llm", PartialDispatches: s.notified != nil, Prompt: &Prompt{InputTokens: n, MaxOutputTokens: 50, Parts: []Part{{ID: "own", Tokens: n}}}})
	c := &fakeCall{router: i, assignment: w, sent: at}
	e := s.engines[w.endpoint.name]
	s.announce(i, at, c)
	e.waiting, s.active = append(e.waiting, c), append(s.active, c)
}

// announce notifies the other routers of a long prompt, as far as datagrams are not lost.
func (s *simulation) announce(from int, at time.Time, c *fakeCall) {
	if c.assignment.dispatch.UncachedTokens < 500 {
		return
	}
	for _, i := range s.notifiedOf(c.assignment.endpoint.beat.Zone) {
		if i != from && s.random.Float64() >= s.lost {
			s.tables[i].RecordDispatch(at, c.assignment.endpoint.name, c.assignment.dispatch)
		}
	}
}

// notifiedOf returns the routers that are notified of a dispatch to a zone.
func (s *simulation) notifiedOf(zone string) []int {
	if s.notified != nil {
		return s.notified(zone)
	}
	all := make([]int, len(s.tables))
	for i := range all {
		all[i] = i
	}
	return all
}

// move shows a request's first event and its end to the router, and reports whether it has ended.
func (s *simulation) move(c *fakeCall, at time.Time) bool {
	if c.first.IsZero() {
		return false
	}
	w, delay := c.assignment, s.link(c.router, at)
	if !c.shown && !at.Before(c.first.Add(delay)) {
		c.shown = true
		e := s.engines[w.endpoint.name]
		l := Load{Running: e.running, Waiting: len(e.waiting), Slots: e.slots}
		if e.reports {
			l.Slowdown = e.factor(at)
		}
		w.endpoint.ObserveLoad(at, l)
		s.observe(c.router, at, c)
		w.ObserveFirstByte(at)
	}
	if !c.shown || at.Before(c.ends) {
		return false
	}
	s.engines[w.endpoint.name].running--
	w.endAt(at)
	return true
}

// admit starts waiting requests in free slots.
func (e *fakeEngine) admit(at time.Time, random *rand.Rand, hold time.Duration) {
	for len(e.waiting) > 0 && e.running < e.slots {
		c, f := e.waiting[0], e.factor(at)
		e.waiting = e.waiting[1:]
		start := at
		if e.prefilled.After(start) {
			start = e.prefilled
		}
		e.prefilled = start.Add(scaled(time.Duration(c.assignment.promptTokens)*20*time.Microsecond, f))
		c.first = e.prefilled.Add(scaled(30*time.Millisecond+time.Duration(e.running)*500*time.Microsecond, f))
		c.ends = c.first.Add(scaled(hold, f*(0.5+random.Float64())))
		e.running++
	}
}

// slowPeriods returns the factor of an engine that has periods of 600 ms at a third of its speed,
// one in six seconds, from a time of its own on.
func slowPeriods(offset time.Duration) func(time.Time) float64 {
	return func(at time.Time) float64 {
		if (time.Duration(at.UnixNano())+offset)%(6*time.Second) < 600*time.Millisecond {
			return 3
		}
		return 1
	}
}

// Guards against first events that are predicted wrongly by more than a factor of two for more than
// one in ten requests under loads that are not balanced.
func TestPredictionIsWithinAFactorOfTwo(t *testing.T) {
	const warmup = 5 * time.Second
	for name, prepare := range map[string]func(*simulation){
		"equal endpoints": func(*simulation) {},
		"a third of the endpoints at 0.6 of the usual speed": func(s *simulation) {
			for i, e := range s.tables[0].Endpoints("llm") {
				if i%3 == 0 {
					s.engines[e.name].factor = func(time.Time) float64 { return 1 / 0.6 }
				}
			}
		},
		"slow periods of 600 ms": func(s *simulation) {
			for i, e := range s.tables[0].Endpoints("llm") {
				s.engines[e.name].factor, s.engines[e.name].reports = slowPeriods(time.Duration(i)*617*time.Millisecond), true
			}
		},
		"all slots taken": func(s *simulation) {
			s.rate = func(int, time.Time) float64 { return 14 }
		},
		"callers that crest in one zone": func(s *simulation) {
			s.rate = func(i int, _ time.Time) float64 {
				if s.zones[i] == "a" {
					return 12
				}
				return 2
			}
		},
		"own link full": func(s *simulation) {
			s.link = func(i int, _ time.Time) time.Duration {
				if i == 0 {
					return 300 * time.Millisecond
				}
				return 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, measured := newSimulation(9, 9, 12, "a", "b"), 18*time.Second
			if name == "slow periods of 600 ms" || name == "callers that crest in one zone" {
				// The result is near the limit and varies by 0.01 between runs of 18 s.
				measured = 72 * time.Second
			}
			prepare(s)
			begun, good, all, goodFirst, allFirst := time.Unix(1_000, 0).Add(warmup), 0, 0, 0, 0
			s.observe = func(i int, at time.Time, c *fakeCall) {
				if at.Before(begun) {
					return
				}
				ok := accurate(c.assignment.PredictedFirstEvent(), at.Sub(c.sent))
				all++
				if ok {
					good++
				}
				if i == 0 {
					allFirst++
					if ok {
						goodFirst++
					}
				}
			}
			s.start(warmup + measured)
			t.Logf("%d of %d within a factor of two, %d of %d at the first router", good, all, goodFirst, allFirst)
			g.Expect(float64(good) / float64(all)).To(gomega.BeNumerically(">=", 0.9))
			if name == "own link full" {
				g.Expect(float64(goodFirst) / float64(allFirst)).To(gomega.BeNumerically(">=", 0.9))
			}
		})
	}
}

// Guards against endpoints that a router takes for slow while its own link is full, and against a
// delay at the link that is still expected after it has ended.
func TestFullLinkOfARouterIsNotHeldAgainstEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	s, start := newSimulation(9, 9, 12, "a", "b"), time.Unix(1_000, 0)
	s.link = func(i int, at time.Time) time.Duration {
		if i == 0 && at.Sub(start) > 5*time.Second && at.Sub(start) < 10*time.Second {
			return 300 * time.Millisecond
		}
		return 0
	}
	s.rate = func(i int, _ time.Time) float64 {
		if i == 0 {
			return 15
		}
		return 5
	}
	during := 0
	s.observe = func(i int, at time.Time, _ *fakeCall) {
		if i != 0 || at.Sub(start) < 9*time.Second || at.Sub(start) >= 10*time.Second {
			return
		}
		during++
		for _, e := range s.tables[0].Endpoints("llm") {
			g.Expect(e.currentPrefillFactor(at)).To(gomega.BeNumerically("<", 2), e.name)
			g.Expect(e.currentCorrection(at)).To(gomega.BeNumerically("<", 150*time.Millisecond), e.name)
		}
		g.Expect(s.tables[0].models["llm"].BaseLatency()).To(gomega.BeNumerically("<", 80*time.Millisecond))
		g.Expect(s.tables[0].reports.link.value(at)).To(gomega.BeNumerically("~", 300*time.Millisecond, 100*time.Millisecond))
	}
	s.start(12 * time.Second)
	g.Expect(during).NotTo(gomega.BeZero())
	g.Expect(s.tables[0].reports.link.value(start.Add(12 * time.Second))).To(gomega.BeNumerically("<", 20*time.Millisecond))
}

// Guards against two slow endpoints that count as a slow link.
func TestTwoSlowEndpointsAreNotASlowLink(t *testing.T) {
	g := gomega.NewWithT(t)
	now, l, list := time.Unix(1_000, 0), &linkDelay{}, reportingTable("a", 10, "a").Endpoints("llm")
	for i := range 20 {
		l.observe(now, list[i%2], time.Second)
	}
	g.Expect(l.value(now)).To(gomega.BeZero(), "nothing is known of other endpoints")
	for _, e := range list[2:] {
		l.observe(now, e, 0)
	}
	g.Expect(l.value(now)).To(gomega.BeZero())
	for i := range linkSamples {
		l.observe(now, list[i%10], 200*time.Millisecond)
	}
	g.Expect(l.value(now)).To(gomega.Equal(200 * time.Millisecond))
	g.Expect(l.value(now.Add(linkWindow))).To(gomega.BeZero())
}

// Guards against a prediction at an endpoint without free slots that leaves out the wait: with 12
// slots and requests that take 2.4 s, one ends every 200 ms.
func TestWaitForASlotIsPredicted(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	e := x.Endpoints("llm")[0]
	e.beat.Slots = 12
	for range 10 {
		e.occupancy.add(2_400 * time.Millisecond)
	}
	for waiting, wait := range map[int]time.Duration{0: 200 * time.Millisecond, 4: time.Second} {
		e.ObserveLoad(now, Load{Running: 12, Waiting: waiting, Slots: 12})
		w := x.Choose(now, Request{Service: "llm", Prompt: &Prompt{InputTokens: 100}})
		g.Expect(w.PredictedFirstEvent()).To(gomega.BeNumerically("~", wait+50*time.Millisecond, 20*time.Millisecond))
		w.endAt(now)
		e.queue = queue{}
	}
}
