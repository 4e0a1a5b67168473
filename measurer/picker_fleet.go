package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/picker"
)

// fleetCase is one run of the experiment.
type fleetCase struct {
	picker  string
	shedder string
	// Unlimited lets every request go at once, as without admission.
	unlimited bool
	// Oracle has one router see everything at once and every prefix cached.
	oracle bool
	// Load is the offered work by what the engines can do.
	load    float64
	engines int
	// Slow makes the first engine this many times slower; 1 is none.
	slow float64
	// Broken has the first engine fail every run.
	broken      bool
	reportLag   time.Duration
	eventLoss   float64
	seed        uint64
	warm, until time.Duration
}

// Sizes of the traffic and the fleet.
const (
	fleetRouters    = 6
	fleetZones      = 3
	fleetCapacity   = 16
	fleetPrefixes   = 40
	fleetCache      = 8
	fleetWorkspaces = 10
	meanAnswer      = 150
	promptLength    = 1200
	sharedLength    = 900
	reportEvery     = 500 * time.Millisecond
	eventLag        = 500 * time.Millisecond
	failureShare    = 0.01
	maxTries        = 3
	// crossZoneTime is the extra time to an endpoint of another zone.
	crossZoneTime = 500 * time.Microsecond
)

// engineSpeed is the units of work a second of one full engine.
func engineSpeed() float64 {
	return fleetCapacity / (engineTokenTime.Seconds() * (1 + engineCrowding*(fleetCapacity-1)))
}

// requestUnits is the work of a mean request whose prefix is cached.
func requestUnits() float64 {
	return meanAnswer + float64(promptLength-sharedLength)/prefillSpeed
}

// routers is how many routers share the engines.
func (c fleetCase) routers() int {
	if c.oracle {
		return 1
	}
	return fleetRouters
}

// cached is how many prefixes an engine holds.
func (c fleetCase) cached() int {
	if c.oracle {
		return fleetPrefixes
	}
	return fleetCache
}

type fleetRequest struct {
	id        uint64
	workspace string
	priority  int
	prefix    uint64
	answer    int64
	most      int64
	arrived   time.Duration
	deadline  time.Duration
	first     time.Duration
	tried     []*picker.Stats
	runs      int
	measured  bool
	done      bool
}

// fleetResult sums what was measured.
type fleetResult struct {
	offered, met, late, refused, expired, failed, falseRefused int
	runs, dispatched                                           int
	retries, noRetry                                           int
	useful, wasted                                             float64
	hits, starts                                               int
	first, end                                                 []time.Duration
	refusals                                                   []refusal
}

// refusal is kept for the check by hindsight.
type refusal struct{ at, latest time.Duration }

// fleet is the fake deployment of one service in virtual time; the picking
// and admitting cores are the product's.
type fleet struct {
	c     fleetCase
	clock *fakeClock
	// Traffic draws the requests, so that every policy meets the same ones;
	// rand draws all else.
	traffic, rand *rand.Rand
	base          time.Time
	engines       []*fakeEngine
	routers       []*fleetRouter
	result        fleetResult
	nextID        uint64
	// FreeSince and gaps keep when each engine had a free place.
	freeSince []time.Duration
	gaps      [][]gap
	// Numbers maps endpoint names to engines.
	numbers map[string]int
	// Endpoints are what all routers know of the engines.
	endpoints []*rattanhoist.Endpoint
}

type gap struct{ from, to time.Duration }

func runFleet(c fleetCase) *fleetResult {
	f := &fleet{c: c, clock: &fakeClock{}, traffic: rand.New(rand.NewPCG(c.seed, 1)), rand: rand.New(rand.NewPCG(c.seed, 2)), base: time.Unix(0, 0), numbers: map[string]int{}, endpoints: make([]*rattanhoist.Endpoint, c.engines)}
	for i := range c.engines {
		f.addEngine(i)
	}
	for i := range c.routers() {
		f.routers = append(f.routers, newFleetRouter(f, i))
	}
	for i := range c.engines {
		f.report(i)
	}
	f.clock.after(reportEvery+c.reportLag, f.arrivals)
	f.clock.runUntil(c.until + 2*time.Minute)
	f.judgeRefusals()
	return &f.result
}

func (f *fleet) addEngine(i int) {
	e := &fakeEngine{clock: f.clock, capacity: fleetCapacity, slow: 1, cacheMax: f.c.cached()}
	if i == 0 {
		e.slow, e.broken = f.c.slow, f.c.broken
	}
	e.onCache = func(prefix uint64, stored bool) { f.cacheEvent(i, prefix, stored) }
	f.freeSince = append(f.freeSince, 0)
	f.gaps = append(f.gaps, nil)
	e.onChange = func(free bool) { f.noteFree(i, free) }
	f.engines = append(f.engines, e)
	f.numbers[engineName(i)] = i
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i) }

var workspaceNames = func() (names [fleetWorkspaces]string) {
	for i := range names {
		names[i] = fmt.Sprint("workspace-", i)
	}
	return names
}()

func (f *fleet) noteFree(i int, free bool) {
	if free && f.freeSince[i] < 0 {
		f.freeSince[i] = f.clock.now
	}
	if !free && f.freeSince[i] >= 0 {
		f.gaps[i] = append(f.gaps[i], gap{f.freeSince[i], f.clock.now})
		f.freeSince[i] = -1
	}
}

// judgeRefusals counts the refusals that an engine's idle place could have
// answered in time without taking anything from another request. Several may
// claim the same place, so the count is an upper bound of that kind.
func (f *fleet) judgeRefusals() {
	need := time.Duration(requestUnits() * engineTokenTime.Seconds() * (1 + engineCrowding*(fleetCapacity-1)) * float64(time.Second))
	for i, e := range f.engines {
		if f.freeSince[i] >= 0 {
			f.gaps[i] = append(f.gaps[i], gap{f.freeSince[i], f.clock.now})
		}
		if e.slow > 1 || e.broken {
			f.gaps[i] = nil
		}
	}
	for _, r := range f.result.refusals {
		if f.couldRun(r, need) {
			f.result.falseRefused++
		}
	}
}

func (f *fleet) couldRun(r refusal, need time.Duration) bool {
	for _, gaps := range f.gaps {
		i, _ := slices.BinarySearchFunc(gaps, r.at, func(g gap, t time.Duration) int {
			if g.to <= t {
				return -1
			}
			return 1
		})
		for ; i < len(gaps) && gaps[i].from < r.latest; i++ {
			if max(gaps[i].from, r.at)+need <= min(gaps[i].to, r.latest) {
				return true
			}
		}
	}
	return false
}

func (f *fleet) arrivals() {
	if f.clock.now >= f.c.until {
		return
	}
	f.arrive()
	perSecond := f.c.load * float64(f.c.engines) * engineSpeed() / requestUnits()
	f.clock.after(time.Duration(f.traffic.ExpFloat64()/perSecond*float64(time.Second)), f.arrivals)
}

// zipf draws below n with shares that fall as 1/rank.
func (f *fleet) zipf(n int) int {
	x := math.Pow(float64(n+1), f.traffic.Float64())
	return min(int(x)-1, n-1)
}

func (f *fleet) arrive() {
	f.nextID++
	q := &fleetRequest{id: f.nextID, arrived: f.clock.now, measured: f.clock.now >= f.c.warm}
	q.workspace = workspaceNames[f.zipf(fleetWorkspaces)]
	q.prefix = uint64(f.zipf(fleetPrefixes))*0x9e3779b97f4a7c15 + 1
	q.answer = meanAnswer/3 + f.traffic.Int64N(meanAnswer*4/3+1)
	q.most = q.answer + f.traffic.Int64N(q.answer)
	q.priority, q.deadline = 4, q.arrived+12*time.Second
	if f.traffic.Float64() < 0.3 {
		q.priority, q.deadline = 5, q.arrived+45*time.Second
	}
	if q.measured {
		f.result.offered++
	}
	f.routers[f.traffic.IntN(len(f.routers))].arrive(q)
}

// report sends an engine's load to every router, late by the case's lag.
func (f *fleet) report(i int) {
	load := f.engines[i].load()
	lag := f.c.reportLag
	f.clock.after(lag, func() {
		f.hear(i, load)
	})
	f.clock.after(reportEvery, func() { f.report(i) })
}

// hear has all routers learn of an engine's load.
func (f *fleet) hear(i, load int) {
	now := f.base.Add(f.clock.now)
	known := f.endpoints[i] != nil
	if known {
		f.endpoints[i].Renew(int64(load), rattanhoist.MomentOf(now))
	} else {
		f.endpoints[i] = f.endpoint(i, load)
	}
	for _, r := range f.routers {
		r.hear(known)
	}
}

func (f *fleet) endpoint(i, load int) *rattanhoist.Endpoint {
	return rattanhoist.NewEndpoint(rattanhoist.EndpointFields{
		Name: engineName(i), Service: "survey-llm", Zone: zoneName(i), Incarnation: 1,
		Capacity: fleetCapacity, Load: int64(load), AnnouncedAt: f.base.Add(f.clock.now),
	})
}

func zoneName(i int) string { return fmt.Sprint("zone-", i%fleetZones) }

func (f *fleet) cacheEvent(i int, prefix uint64, stored bool) {
	for _, r := range f.routers {
		if f.rand.Float64() < f.c.eventLoss {
			continue
		}
		f.clock.after(eventLag, func() { r.cacheEvent(i, prefix, stored) })
	}
}
