package measurer

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
)

// fleetRouter is the shell of the product's cores in virtual time.
type fleetRouter struct {
	f        *fleet
	zone     string
	ledger   *picker.Ledger
	picker   picker.Picker
	queue    *admitter.Queue
	retries  *admitter.Retries
	set      *picker.Set
	waiting  map[uint64]*fleetRequest
	inFlight int
	// TickAt is the next tick that is set, 0 for none.
	tickAt time.Duration
}

func newFleetRouter(f *fleet, i int) *fleetRouter {
	p, _ := picker.New(f.c.picker)
	s, _ := admitter.New(f.c.shedder)
	l := picker.NewLedger(f.base)
	l.SetRouters(f.c.routers())
	return &fleetRouter{
		f: f, zone: zoneName(i), ledger: l, picker: p,
		queue: admitter.NewQueue(admitter.DefaultBounds, s), retries: admitter.NewRetries(),
		waiting: map[uint64]*fleetRequest{},
	}
}

func (r *fleetRouter) now() time.Time { return r.f.base.Add(r.f.clock.now) }

func (r *fleetRouter) hear(known bool) {
	if known {
		r.set.Refresh()
	} else {
		es := slices.DeleteFunc(slices.Clone(r.f.endpoints), func(e *rattanhoist.Endpoint) bool { return e == nil })
		r.set = r.ledger.NewSet("survey-llm", r.zone, 3*time.Second, r.now(), es)
	}
	r.step(admitter.Event{Kind: admitter.Tick})
}

func (r *fleetRouter) cacheEvent(i int, prefix uint64, stored bool) {
	if r.f.endpoints[i] != nil {
		r.ledger.ApplyCacheEvent(r.f.endpoints[i], prefix, stored, r.now())
	}
}

func (r *fleetRouter) query(q *fleetRequest) picker.Query {
	return picker.Query{
		Now: r.now(), Deadline: r.f.base.Add(q.deadline), Prefix: q.prefix, PromptTokens: promptLength,
		MaxAnswer: q.most, Seed: r.f.rand.Uint64(), Tried: q.tried,
	}
}

func (r *fleetRouter) arrive(q *fleetRequest) {
	r.retries.RecordRequest()
	if r.f.c.unlimited {
		r.set.FreeCapacity(r.now())
		r.dispatch(q)
		return
	}
	e := r.set.Service().Estimate(r.query(q), r.f.clock.now)
	r.waiting[q.id] = q
	r.step(admitter.Event{Kind: admitter.Arrive, Request: admitter.Request{
		ID: q.id, Workspace: q.workspace, Priority: q.priority, Deadline: q.deadline,
		Tokens: e.Tokens, Service: e.Service, MinService: e.MinService, RandomValue: r.f.rand.Float64(),
	}})
}

// step runs the queue and does what it says.
func (r *fleetRouter) step(e admitter.Event) {
	e.InFlight, e.Limit = r.inFlight, r.set.FreeCapacity(r.now())
	for _, a := range slices.Clone(r.queue.Step(r.f.clock.now, e)) {
		q := r.waiting[a.ID]
		delete(r.waiting, a.ID)
		if a.Verdict == admitter.Start {
			r.dispatch(q)
			continue
		}
		r.refuse(q, a.Verdict)
	}
	r.watchExpiry()
}

// watchExpiry sets the next tick for a waiting request, once.
func (r *fleetRouter) watchExpiry() {
	at, ok := r.queue.NextExpiry()
	at += time.Millisecond
	if !ok || r.tickAt > 0 && r.tickAt <= at {
		return
	}
	r.tickAt = at
	r.f.clock.after(at-r.f.clock.now, func() {
		if r.tickAt == at {
			r.tickAt = 0
			r.step(admitter.Event{Kind: admitter.Tick})
		}
	})
}

func (r *fleetRouter) refuse(q *fleetRequest, v admitter.Verdict) {
	if !q.measured {
		return
	}
	r.f.result.refusals = append(r.f.result.refusals, refusal{at: r.f.clock.now, latest: q.deadline})
	if v == admitter.Expired {
		r.f.result.expired++
		return
	}
	r.f.result.refused++
}

func (r *fleetRouter) dispatch(q *fleetRequest) {
	p := r.query(q)
	i := r.picker.Pick(p, r.set)
	if i < 0 {
		r.give(q, false)
		return
	}
	c := r.set.At(i)
	e := r.f.engines[r.f.numbers[c.Endpoint().Name()]]
	x := &fleetRun{router: r, request: q, engine: e, stats: c.Stats(), run: r.ledger.Begin(c, p)}
	r.inFlight++
	q.runs++
	var travel time.Duration
	if c.Endpoint().Zone() != r.zone {
		travel = crossZoneTime
	}
	r.f.clock.after(travel, x.submit)
}

// give ends a request.
func (r *fleetRouter) give(q *fleetRequest, whole bool) {
	if q.done {
		return
	}
	q.done = true
	if !q.measured {
		return
	}
	res := &r.f.result
	res.dispatched++
	res.runs += q.runs
	switch {
	case whole && r.f.clock.now <= q.deadline:
		res.met++
		res.useful += float64(q.answer)
		res.first = append(res.first, q.first-q.arrived)
		res.end = append(res.end, r.f.clock.now-q.arrived)
	case r.f.clock.now >= q.deadline:
		res.late++
		res.first = append(res.first, max(q.first, r.f.clock.now)-q.arrived)
	default:
		res.failed++
	}
}

// fleetRun is one run of a request at an engine, as its router sees it.
type fleetRun struct {
	router  *fleetRouter
	request *fleetRequest
	engine  *fakeEngine
	stats   *picker.Stats
	run     picker.Run
	inside  *fakeRun
	ended   bool
}

func (x *fleetRun) submit() {
	q := x.request
	x.inside = &fakeRun{
		priority: q.priority, prompt: promptLength, shared: sharedLength, answer: float64(q.answer), prefix: q.prefix,
		onFirst: x.first, onPace: x.pace, onEnd: x.end,
	}
	if x.router.f.rand.Float64() < failureShare {
		x.inside.failAfter = x.router.f.rand.Float64() + 1e-3
	}
	if !x.engine.submit(x.inside) {
		q.runs--
		x.end(false)
		return
	}
	x.router.f.clock.after(q.deadline-x.router.f.clock.now, x.timeout)
}

func (x *fleetRun) first() {
	if x.request.first == 0 {
		x.request.first = x.router.f.clock.now
	}
	x.run.RecordFirstToken(x.router.now())
}

func (x *fleetRun) pace() { x.run.RecordChunks(x.router.now(), paceTokens) }

func (x *fleetRun) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	r := x.router
	cached := int64(x.inside.cached)
	if whole {
		x.run.RecordChunks(r.now(), x.request.answer)
	}
	r.run(x, picker.Outcome{AnswerTokens: x.request.answer, CachedTokens: cached, Complete: whole, EndpointFault: !whole})
	if x.request.measured && x.inside.started {
		r.f.result.starts++
		if cached > 0 {
			r.f.result.hits++
		}
	}
	if whole {
		r.give(x.request, true)
	} else {
		x.waste(x.inside.failAfter * x.inside.answer)
		x.retry()
	}
	r.step(admitter.Event{Kind: admitter.Tick})
}

func (r *fleetRouter) run(x *fleetRun, o picker.Outcome) {
	r.inFlight--
	x.run.End(r.now(), o, r.f.rand.Float64())
}

func (x *fleetRun) waste(tokens float64) {
	if x.request.measured {
		x.router.f.result.wasted += tokens
	}
}

// retry sends a failed request to another endpoint within the retry budget.
func (x *fleetRun) retry() {
	q, r := x.request, x.router
	q.tried = append(q.tried, x.stats)
	if len(q.tried) >= maxTries || r.f.clock.now >= q.deadline || !r.retries.AllowRetry() {
		r.give(q, false)
		return
	}
	r.dispatch(q)
}

// timeout cancels the run at the request's deadline; the caller has gone.
func (x *fleetRun) timeout() {
	if x.ended {
		return
	}
	x.ended = true
	made := x.engine.cancel(x.inside)
	x.run.RecordChunks(x.router.now(), int64(made))
	x.waste(made)
	x.router.run(x, picker.Outcome{CachedTokens: -1})
	x.router.give(x.request, false)
	x.router.step(admitter.Event{Kind: admitter.Tick})
}
