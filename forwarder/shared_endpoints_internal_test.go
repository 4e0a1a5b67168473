package forwarder

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	sharedRouters   = 82
	sharedEndpoints = 60
	sharedStep      = 10 * time.Millisecond
	// A router learns every 25 steps the loads of 10 steps ago, as from digests.
	sharedViewSteps, sharedViewLag = 25, 10
)

// sentRequest is a request at an endpoint.
type sentRequest struct {
	router int
	id     uint64
	ends   time.Duration
}

// sharedEndpoint has simSlots slots and a queue of its own.
type sharedEndpoint struct{ running, waiting []sentRequest }

// sharedFleet is routers that send to the same endpoints, whose loads they learn late.
type sharedFleet struct {
	now       time.Duration
	random    *rand.Rand
	queues    []*serviceQueue
	endpoints []sharedEndpoint
	// views holds the free slots of each endpoint as known to each router, and history those at the
	// last steps.
	views, history [][]int
	// known is cleared for routers that know no loads.
	known  bool
	nextID uint64
	// arrived, started and refused count requests; busy and queued sum up the requests that run and
	// that wait at endpoints over all steps.
	arrived, started, refused, busy, queued int
}

func newSharedFleet(known bool) *sharedFleet {
	f := &sharedFleet{random: rand.New(rand.NewPCG(3, 4)), endpoints: make([]sharedEndpoint, sharedEndpoints), known: known}
	for range sharedRouters {
		f.queues = append(f.queues, newServiceQueue())
		f.views = append(f.views, slices.Repeat([]int{simSlots}, sharedEndpoints))
	}
	return f
}

// run simulates for a time in which each request runs for 0.5 to 1.5 s. load is the rate of arrivals at
// a router in parts of its even share of the slots.
func (f *sharedFleet) run(d time.Duration, load func(router int) float64) *sharedFleet {
	for until := f.now + d; f.now < until; f.now += sharedStep {
		for i := range f.endpoints {
			f.advance(&f.endpoints[i])
		}
		f.updateViews()
		for r := range f.queues {
			f.step(r, queueEvent{kind: queueTick})
			n := load(r) * sharedEndpoints * simSlots / sharedRouters * sharedStep.Seconds()
			for ; n > 0; n-- {
				if f.random.Float64() < n {
					f.arrive(r)
				}
			}
		}
	}
	return f
}

// advance ends the complete requests of an endpoint and starts those in its queue.
func (f *sharedFleet) advance(e *sharedEndpoint) {
	var ended []sentRequest
	e.running = slices.DeleteFunc(e.running, func(q sentRequest) bool {
		if f.now < q.ends {
			return false
		}
		ended = append(ended, q)
		return true
	})
	for _, q := range ended {
		f.queues[q.router].Step(f.now, queueEvent{kind: queueEnd, request: queuedRequest{id: q.id}, firstEvent: simFirst, total: time.Second})
		f.step(q.router, queueEvent{kind: queueTick, freed: true})
	}
	for len(e.running) < simSlots && len(e.waiting) > 0 {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.ends = f.now + 500*time.Millisecond + time.Duration(f.random.Int64N(int64(time.Second)))
		e.running = append(e.running, q)
		f.queues[q.router].Step(f.now, queueEvent{kind: queueReported, request: queuedRequest{id: q.id}})
	}
	f.busy += len(e.running)
	f.queued += len(e.waiting)
}

// updateViews records the free slots and tells them to the routers whose turn it is.
func (f *sharedFleet) updateViews() {
	free := make([]int, sharedEndpoints)
	for i, e := range f.endpoints {
		free[i] = simSlots - len(e.running) - len(e.waiting)
	}
	f.history = append(f.history, free)
	if len(f.history) <= sharedViewLag {
		return
	}
	f.history = f.history[1:]
	for r := range f.views {
		if (int(f.now/sharedStep)+r)%sharedViewSteps == 0 {
			f.views[r] = slices.Clone(f.history[0])
		}
	}
}

func (f *sharedFleet) arrive(router int) {
	f.nextID++
	f.arrived++
	f.step(router, queueEvent{kind: queueArrive, request: queuedRequest{
		id: f.nextID, workspace: "w", arrivedAt: f.now, deadline: f.now + 4*time.Second, tokens: 1, random: f.random.Float64(),
	}})
}

// step passes an event to a router's queue and sends the requests that it starts.
func (f *sharedFleet) step(router int, e queueEvent) {
	e.routers, e.capacity = sharedRouters, predictor.Capacity{Known: f.known, Slots: sharedEndpoints * simSlots}
	for _, free := range f.views[router] {
		e.capacity.Room += max(free, 0)
	}
	for _, a := range f.queues[router].Step(f.now, e) {
		if a.Verdict != admitter.Start {
			f.refused++
			continue
		}
		f.started++
		f.send(router, a.ID)
	}
}

// send sends a request to that of four endpoints which has the most free slots as known to the router.
func (f *sharedFleet) send(router int, id uint64) {
	best := f.random.IntN(sharedEndpoints)
	for range 3 {
		if i := f.random.IntN(sharedEndpoints); f.views[router][i] > f.views[router][best] {
			best = i
		}
	}
	f.views[router][best]--
	f.endpoints[best].waiting = append(f.endpoints[best].waiting, sentRequest{router: router, id: id})
}

// meanBusy and meanQueued return the means of the running requests, and of those that wait at
// endpoints, for each slot.
func (f *sharedFleet) meanBusy() float64   { return float64(f.busy) / f.slotSteps() }
func (f *sharedFleet) meanQueued() float64 { return float64(f.queued) / f.slotSteps() }
func (f *sharedFleet) slotSteps() float64 {
	return float64(f.now/sharedStep) * sharedEndpoints * simSlots
}

// Guards against routers that together keep a queue at every endpoint, where priorities don't count, and
// against slots that stay free while requests wait.
func TestManyRoutersAtTwiceTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSharedFleet(true).run(20*time.Second, func(int) float64 { return 2 })
	g.Expect(f.meanBusy()).To(gomega.BeNumerically(">", 0.95))
	g.Expect(f.meanQueued()).To(gomega.BeNumerically("<", 0.5))
	without := newSharedFleet(false).run(20*time.Second, func(int) float64 { return 2 })
	g.Expect(without.meanQueued()).To(gomega.BeNumerically(">", 5), "what endpoints hold if nothing waits in routers")
}

// Guards against routers that refuse what the slots of others could serve, while the load peaks at a
// third of them.
func TestLoadPeaksAtAThirdOfTheRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSharedFleet(true).run(20*time.Second, func(router int) float64 {
		if router < sharedRouters/3 {
			return 2.4
		}
		return 0.5
	})
	g.Expect(f.meanBusy()).To(gomega.BeNumerically(">", 0.95))
	g.Expect(f.meanQueued()).To(gomega.BeNumerically("<", 0.5))
}
