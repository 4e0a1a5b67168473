package forwarder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	simStep     = 5 * time.Millisecond
	simDeadline = 2 * time.Second
	simFirst    = 100 * time.Millisecond
	simTotal    = 400 * time.Millisecond
)

// simLoad is the requests of one workspace in a simulation.
type simLoad struct {
	workspace string
	priority  int
	// perSecond is the rate of arrivals at a time.
	perSecond func(now time.Duration) float64
}

// simCounts counts what became of requests.
type simCounts struct{ arrived, started, refused, late int }

// simulation is one router in front of endpoints with a number of slots, whose load it learns from
// reports. Requests that are told to come back do so if returning is set.
type simulation struct {
	t      *testing.T
	q      *serviceQueue
	random *rand.Rand
	now    time.Duration
	// slots is the number of slots at a time.
	slots func(now time.Duration) int
	// reportEvery is the interval of the reports, 0 if they come only with first events; known is
	// cleared while there are none.
	reportEvery time.Duration
	known       bool
	reported    predictor.Capacity
	loads       []simLoad
	returning   bool

	nextID     uint64
	requests   map[uint64]queuedRequest
	running    map[uint64]time.Duration
	unreported []uint64
	back       map[time.Duration][]queuedRequest
	// firstEvents holds the times of first events.
	firstEvents map[time.Duration]bool
	// counts holds the outcomes of first requests by workspace, and returned those of requests that
	// came back.
	counts   map[string]*simCounts
	returned simCounts
	retries  []time.Duration
	// peak is the largest number of running requests, and longestWait the longest wait of any.
	peak        int
	longestWait time.Duration
}

func newSimulation(t *testing.T, slots int, loads ...simLoad) *simulation {
	return &simulation{
		t: t, q: newServiceQueue(), random: rand.New(rand.NewPCG(1, 2)), slots: func(time.Duration) int { return slots },
		reportEvery: 50 * time.Millisecond, known: true, loads: loads, requests: map[uint64]queuedRequest{}, running: map[uint64]time.Duration{},
		back: map[time.Duration][]queuedRequest{}, counts: map[string]*simCounts{}, firstEvents: map[time.Duration]bool{},
	}
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// run simulates until a time.
func (s *simulation) run(until time.Duration) *simulation {
	for ; s.now < until; s.now += simStep {
		s.endRequests()
		if s.reportEvery > 0 && s.now%s.reportEvery == 0 || s.reportEvery == 0 && (s.now == 0 || s.firstEvents[s.now]) {
			s.report()
		}
		s.step(queueEvent{kind: queueTick})
		for _, r := range s.back[s.now] {
			s.arrive(r)
		}
		delete(s.back, s.now)
		for _, l := range s.loads {
			for n := l.perSecond(s.now) * simStep.Seconds(); n > 0; n-- {
				if s.random.Float64() < n {
					s.arrive(queuedRequest{workspace: l.workspace, priority: l.priority})
				}
			}
		}
	}
	return s
}

// report updates the known load with the present one.
func (s *simulation) report() {
	n := s.slots(s.now)
	s.reported = predictor.Capacity{Known: true, Room: max(n-len(s.running), 0), Slots: n}
	for _, id := range s.unreported {
		s.q.Step(s.now, queueEvent{kind: queueReported, request: queuedRequest{id: id}})
	}
	s.unreported = nil
}

// endRequests ends the requests that are complete.
func (s *simulation) endRequests() {
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		if s.now >= s.running[id] {
			delete(s.running, id)
			s.q.Step(s.now, queueEvent{kind: queueEnd, request: queuedRequest{id: id}, firstEvent: simFirst, total: simTotal})
			s.step(queueEvent{kind: queueTick, freed: true})
		}
	}
}

func (s *simulation) arrive(r queuedRequest) {
	s.nextID++
	r.id, r.arrivedAt, r.deadline, r.tokens, r.random = s.nextID, s.now, s.now+simDeadline, 100, s.random.Float64()
	s.requests[r.id] = r
	s.countsOf(r).arrived++
	s.step(queueEvent{kind: queueArrive, request: r})
}

func (s *simulation) countsOf(r queuedRequest) *simCounts {
	if r.returning {
		return &s.returned
	}
	if s.counts[r.workspace] == nil {
		s.counts[r.workspace] = &simCounts{}
	}
	return s.counts[r.workspace]
}

// step passes an event on and applies the actions. It fails the test if a request is refused while
// there is room, or waits for longer than a quarter of its time.
func (s *simulation) step(e queueEvent) {
	e.routers = 1
	if e.capacity = s.reported; !s.known {
		e.capacity = predictor.Capacity{Slots: s.reported.Slots}
	}
	for _, a := range slices.Clone(s.q.Step(s.now, e)) {
		r := s.requests[a.ID]
		delete(s.requests, a.ID)
		s.longestWait = max(s.longestWait, s.now-r.arrivedAt)
		if a.Verdict == admitter.Start {
			s.start(r)
			continue
		}
		s.countsOf(r).refused++
		if a.Verdict == admitter.Expired {
			s.countsOf(r).late++
		}
		if s.q.Room(s.now, e.capacity) > 0 {
			s.t.Errorf("%v: request %d refused while there is room", s.now, a.ID)
		}
		s.retries = append(s.retries, a.RetryAfter)
		if s.returning && !r.returning {
			r.returning = true
			at := (s.now + a.RetryAfter + simStep).Truncate(simStep)
			s.back[at] = append(s.back[at], r)
		}
	}
}

func (s *simulation) start(r queuedRequest) {
	s.countsOf(r).started++
	s.running[r.id] = s.now + simTotal
	s.unreported = append(s.unreported, r.id)
	s.firstEvents[s.now+simFirst] = true
	s.peak = max(s.peak, len(s.running))
}

// servedFraction returns the part of a workspace's requests that were started.
func (s *simulation) servedFraction(workspace string) float64 {
	c := s.counts[workspace]
	return float64(c.started) / float64(max(c.arrived, 1))
}

// 48 slots serve 120 requests a second of 400 ms each.
const (
	simSlots    = 48
	simCapacity = 120.0
)

// Guards against a workspace that takes the slots of all others when it sends far more than usual,
// and against more requests at the endpoints than they have slots.
func TestOneWorkspaceAtTenTimesItsUsual(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := []simLoad{{workspace: "heavy", priority: 1, perSecond: steady(10 * simCapacity / 12)}}
	for _, w := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		loads = append(loads, simLoad{workspace: w, priority: 1, perSecond: steady(simCapacity / 12)})
	}
	s := newSimulation(t, simSlots, loads...).run(20 * time.Second)
	for _, l := range loads[1:] {
		g.Expect(s.servedFraction(l.workspace)).To(gomega.BeNumerically(">", 0.97), l.workspace)
	}
	g.Expect(s.servedFraction("heavy")).To(gomega.BeNumerically("<", 0.5))
	g.Expect(s.servedFraction("heavy")).To(gomega.BeNumerically(">", 0.3), "it gets what the others leave: 0.4 of its requests")
	g.Expect(s.peak).To(gomega.BeNumerically("<=", simSlots))
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", simDeadline/4+2*simStep))
}

// Guards against requests that wait for endpoints that are gone, and against a router that goes on
// refusing once the remaining ones have room.
func TestHalfOfTheEndpointsGoneInOneSecond(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: steady(0.9 * simCapacity)})
	s.slots = func(now time.Duration) int {
		gone := min(max(now-5*time.Second, 0).Seconds(), 1)
		return simSlots - int(gone*simSlots/2)
	}
	s.run(5 * time.Second)
	g.Expect(s.counts["w"].refused).To(gomega.BeZero(), "before the loss")
	before := *s.counts["w"]
	s.run(15 * time.Second)
	started := s.counts["w"].started - before.started
	g.Expect(float64(started)).To(gomega.BeNumerically(">", 0.9*10*simCapacity/2), "the remaining half is used")
	g.Expect(len(s.running)).To(gomega.BeNumerically("<=", simSlots/2))
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", simDeadline/4+2*simStep))
}

// Guards against endpoints that are flooded when every caller returns in the same moment, and against
// callers that come back as told and are refused again.
func TestAllCallersBackAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: func(now time.Duration) float64 {
		if now == 2*time.Second {
			return 150 / simStep.Seconds()
		}
		return 0.5 * simCapacity
	}})
	s.returning = true
	s.run(10 * time.Second)
	g.Expect(s.peak).To(gomega.BeNumerically("<=", simSlots))
	g.Expect(s.counts["w"].refused).To(gomega.BeNumerically(">", 0), "the crowd is larger than the queue can serve in time")
	g.Expect(s.returned.arrived).To(gomega.Equal(s.counts["w"].refused))
	g.Expect(float64(s.returned.started)).To(gomega.BeNumerically(">=", 0.9*float64(s.returned.arrived)))
}

// Guards against a router that goes on refusing, or keeps requests waiting, after a crest of load.
func TestCrestThatPasses(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: func(now time.Duration) float64 {
		if now >= 5*time.Second && now < 10*time.Second {
			return 1.5 * simCapacity
		}
		return 0.5 * simCapacity
	}})
	s.run(10 * time.Second)
	g.Expect(s.counts["w"].refused).To(gomega.BeNumerically(">", 0))
	g.Expect(float64(s.counts["w"].started)).To(gomega.BeNumerically(">", 0.9*(2.5+5)*simCapacity), "the slots are used during the crest")
	// A backlog of half a second is worked off in a second at half of the load, and reports are late.
	s.run(11500 * time.Millisecond)
	g.Expect(s.q.Waiting()).To(gomega.BeZero())
	before := s.counts["w"].refused
	s.run(20 * time.Second)
	g.Expect(s.counts["w"].refused).To(gomega.Equal(before))
}

// Guards against requests of a high priority that are refused while others run.
func TestPrioritiesUnderPressure(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots,
		simLoad{workspace: "high", priority: 0, perSecond: steady(0.3 * simCapacity)},
		simLoad{workspace: "middle", priority: 4, perSecond: steady(0.5 * simCapacity)},
		simLoad{workspace: "low", priority: 9, perSecond: steady(1.2 * simCapacity)},
	).run(20 * time.Second)
	g.Expect(s.servedFraction("high")).To(gomega.BeNumerically(">", 0.99))
	g.Expect(s.servedFraction("middle")).To(gomega.BeNumerically(">", 0.95))
	g.Expect(s.servedFraction("low")).To(gomega.BeNumerically("<", 0.25))
	g.Expect(s.servedFraction("low")).To(gomega.BeNumerically(">", 0.1), "it gets what the others leave: 0.17 of its requests")
}

// Guards against requests that wait or are refused although nothing is known of the endpoints.
func TestNothingWaitsWithoutKnownLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: steady(5 * simCapacity)})
	s.known = false
	s.run(5 * time.Second)
	g.Expect(s.counts["w"].started).To(gomega.Equal(s.counts["w"].arrived))
	g.Expect(s.longestWait).To(gomega.BeZero())
}

// Guards against waiting requests that nothing starts once the load is no longer known.
func TestWaitingRequestsStartWhenLoadIsNoLongerKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: steady(2 * simCapacity)}).run(2 * time.Second)
	g.Expect(s.q.Waiting()).To(gomega.BeNumerically(">", 0))
	s.known = false
	s.step(queueEvent{kind: queueTick})
	g.Expect(s.q.Waiting()).To(gomega.BeZero())
}

// Guards against one free slot that is given away again and again until the next report arrives.
func TestLoadsThatArriveLate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: steady(3 * simCapacity)})
	s.reportEvery = 400 * time.Millisecond
	s.run(20 * time.Second)
	g.Expect(s.peak).To(gomega.BeNumerically("<=", simSlots))
	g.Expect(s.longestWait).To(gomega.BeNumerically("<=", simDeadline/4+2*simStep))
}

// Guards against slots that stay free while requests wait: endpoints report their load only in answers,
// and a full endpoint that gets no request sends none.
func TestLoadsReportedOnlyInAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, simSlots, simLoad{workspace: "w", perSecond: steady(2 * simCapacity)})
	s.reportEvery = 0
	s.run(20 * time.Second)
	g.Expect(float64(s.counts["w"].started)).To(gomega.BeNumerically(">", 0.95*20*simCapacity))
	g.Expect(s.peak).To(gomega.BeNumerically("<=", simSlots+1), "a slot may be counted twice, in a report and at the end of its request")
}

// Guards against a room of n that starts more than n of many waiting requests.
func TestRoomStartsAtMostSoMany(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newServiceQueue()
	full := predictor.Capacity{Known: true, Slots: 8}
	for id := uint64(1); id <= 6; id++ {
		out := q.Step(0, queueEvent{kind: queueArrive, request: queuedRequest{id: id, workspace: "w", deadline: 8 * time.Second, tokens: 1}, capacity: full, routers: 1})
		g.Expect(out).To(gomega.BeEmpty())
	}
	room := full
	room.Room = 2
	tick := queueEvent{kind: queueTick, capacity: room, routers: 1}
	g.Expect(q.Step(time.Millisecond, tick)).To(gomega.HaveLen(2))
	g.Expect(q.Step(2*time.Millisecond, tick)).To(gomega.BeEmpty(), "the load known is the same")
	for id := uint64(1); id <= 2; id++ {
		q.Step(3*time.Millisecond, queueEvent{kind: queueReported, request: queuedRequest{id: id}})
	}
	g.Expect(q.Step(4*time.Millisecond, tick)).To(gomega.HaveLen(2), "loads include the first two now")
	g.Expect(q.Step(6*time.Millisecond+maxLoadAge, tick)).To(gomega.HaveLen(2), "every known load is younger than their start")
}

// Guards against a request that is refused although room for it appears just as its time to wait is over.
func TestRequestStartsRatherThanExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newServiceQueue()
	full := predictor.Capacity{Known: true, Slots: 8}
	for id := uint64(1); id <= 2; id++ {
		r := queuedRequest{id: id, workspace: "w", deadline: 8 * time.Second, tokens: 1}
		g.Expect(q.Step(0, queueEvent{kind: queueArrive, request: r, capacity: full, routers: 1})).To(gomega.BeEmpty())
	}
	room := full
	room.Room = 1
	out := q.Step(2100*time.Millisecond, queueEvent{kind: queueTick, capacity: room, routers: 1})
	g.Expect(out).To(gomega.HaveLen(2))
	g.Expect(out[0].Verdict).To(gomega.Equal(admitter.Start))
	g.Expect(out[1].Verdict).To(gomega.Equal(admitter.Expired))
}

// Guards against queues that grow without bound, and against low priorities that keep a high one out of
// a full queue.
func TestFullQueueRefusesTheLowestPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newServiceQueue()
	arrive := func(id uint64, workspace string, priority int) []admitter.Action {
		r := queuedRequest{id: id, workspace: workspace, priority: priority, deadline: 8 * time.Second, tokens: 1}
		return q.Step(0, queueEvent{kind: queueArrive, request: r, capacity: predictor.Capacity{Known: true, Slots: 8}, routers: 1})
	}
	id := uint64(0)
	for _, w := range []string{"a", "b"} {
		for range admitter.DefaultBounds.Workspace {
			id++
			g.Expect(arrive(id, w, 5)).To(gomega.BeEmpty())
		}
	}
	g.Expect(q.Waiting()).To(gomega.Equal(admitter.DefaultBounds.MaxWaiting))
	out := arrive(1001, "c", 5)
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].ID).To(gomega.BeEquivalentTo(1001))
	g.Expect(out[0].Verdict).To(gomega.Equal(admitter.Full))
	out = arrive(1002, "c", 0)
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].ID).To(gomega.BeNumerically("<=", id))
	g.Expect(out[0].Verdict).To(gomega.Equal(admitter.Full))
	g.Expect(q.waiting).To(gomega.HaveLen(q.Waiting()))
}

// Guards against a Retry-After that is shorter than the work ahead takes, or the same for all callers.
func TestRetryAfterFollowsTheBacklog(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newServiceQueue()
	full := predictor.Capacity{Known: true, Slots: 10}
	q.Step(0, queueEvent{kind: queueEnd, total: time.Second})
	arrive := func(id uint64, random float64) []admitter.Action {
		r := queuedRequest{id: id, workspace: "w", deadline: 4 * time.Second, tokens: 1, random: random}
		return q.Step(0, queueEvent{kind: queueArrive, request: r, capacity: full, routers: 1})
	}
	var refused []admitter.Action
	for id := uint64(1); id <= 20; id++ {
		refused = append(refused, arrive(id, 0)...)
	}
	n := q.Waiting()
	g.Expect(n).To(gomega.BeNumerically("~", 10, 1), "10 a second start, and a request waits for a second at most")
	for _, a := range refused {
		g.Expect(a.RetryAfter).To(gomega.Equal(time.Duration(n+1) * 100 * time.Millisecond))
	}
	late := arrive(21, 0.5)[0]
	g.Expect(late.RetryAfter).To(gomega.Equal(time.Duration(n+1) * 110 * time.Millisecond))
}
