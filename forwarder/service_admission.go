package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// queueTickInterval is how often the capacity and the configuration are read while requests wait:
// a few times in the duration of the shortest answers.
const queueTickInterval = 20 * time.Millisecond

// SpentChecker is implemented by Rights that know of spent totals without asking for tokens.
type SpentChecker interface {
	// KnownSpent reports whether a workspace's total is known not to cover a number of tokens.
	KnownSpent(workspace string, tokens int64) bool
}

// serviceAdmission makes requests wait, by priority, while every endpoint that may serve them is full.
type serviceAdmission struct {
	table      *predictor.Table
	fleet      Fleet
	quarantine Quarantine
	start      time.Time
	returns    *returns

	mu     sync.Mutex
	queues map[queueKey]*waitingQueue
}

// maxVersionQueues is the number of queues for single versions from which those that nobody uses are
// removed.
const maxVersionQueues = 64

// queueKey identifies a queue. Requests that may be served in different zones, or that resume streams
// of different versions, wait for different endpoints, so that neither may delay the other.
type queueKey struct {
	service, zones string
	// version is "" for requests that may be served by any version.
	version enroller.Version
}

func newServiceAdmission(p Dependencies, start time.Time) *serviceAdmission {
	return &serviceAdmission{table: p.Table, fleet: p.Fleet, quarantine: p.Quarantine, start: start, returns: newReturns(), queues: map[queueKey]*waitingQueue{}}
}

// queue returns the queue for a service in the given zones, and for a version unless that is "".
func (s *serviceAdmission) queue(service string, zones *localizer.Zones, version enroller.Version) *waitingQueue {
	k := queueKey{service, zones.Key(), version}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[k]
	if q == nil {
		s.removeIdle()
		q = &waitingQueue{admission: s, service: service, zones: zones, version: version, queue: newServiceQueue(), places: map[uint64]*place{}}
		s.queues[k] = q
	}
	return q
}

// removeIdle removes the idle queues for single versions if there are many. The caller holds s.mu.
func (s *serviceAdmission) removeIdle() {
	if len(s.queues) < maxVersionQueues {
		return
	}
	for k, q := range s.queues {
		if k.version != "" && q.idle() {
			delete(s.queues, k)
		}
	}
}

// waitingQueue connects a serviceQueue with the requests that wait in it.
type waitingQueue struct {
	admission *serviceAdmission
	service   string
	zones     *localizer.Zones
	version   enroller.Version

	mu     sync.Mutex
	queue  *serviceQueue
	nextID uint64
	// places holds the waiting requests.
	places map[uint64]*place
	// ticking is set while a goroutine runs tick.
	ticking bool
}

// place is the place of one request in a queue, from its arrival to its end.
type place struct {
	queue *waitingQueue
	id    uint64
	// verdict receives the decision on the request, and changed a value after a new
	// configuration came into force or the quarantine has changed.
	verdict chan admitter.Action
	changed chan struct{}
	// index is the configuration that the request knows or was told of; guarded by queue.mu.
	index *publisher.Index
	// quarantineRevision is that of the quarantine which the request knows or was told of; guarded by
	// queue.mu.
	quarantineRevision uint64
	// started is set once the request may be sent; guarded by queue.mu.
	started bool
	// startedAt is when the request was started, and reported is set once loads include it. Both
	// belong to the request's goroutine.
	startedAt time.Time
	reported  bool
}

// enter adds a request to the queue, which was checked against a configuration.
func (q *waitingQueue) enter(r queuedRequest, x *publisher.Index) *place {
	p := &place{
		queue: q, index: x, quarantineRevision: q.admission.quarantine.Revision(),
		verdict: make(chan admitter.Action, 1), changed: make(chan struct{}, 1),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	p.id, r.id = q.nextID, q.nextID
	q.places[p.id] = p
	q.stepLocked(queueEvent{kind: queueArrive, request: r})
	if q.queue.Waiting() > 0 && !q.ticking {
		q.ticking = true
		go q.tick()
	}
	return p
}

// tick updates the queue regularly until no request waits.
func (q *waitingQueue) tick() {
	t := time.NewTicker(queueTickInterval)
	defer t.Stop()
	for range t.C {
		if !q.tickOnce() {
			return
		}
	}
}

// tickOnce updates the queue and reports whether requests still wait. If the configuration or the
// quarantine has changed, it tells the waiting requests, each of which checks itself.
func (q *waitingQueue) tickOnce() bool {
	current, revision := q.admission.fleet.Index(), q.admission.quarantine.Revision()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.places {
		if p.index == current && p.quarantineRevision == revision {
			continue
		}
		p.index, p.quarantineRevision = current, revision
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
	q.stepLocked(queueEvent{kind: queueTick})
	q.ticking = q.queue.Waiting() > 0
	return q.ticking
}

// capacity returns the capacity for the requests of the queue.
func (q *waitingQueue) capacity() predictor.Capacity {
	a := predictor.Request{Service: q.service, Zones: q.zones, Version: q.version, Elapsed: time.Since(q.admission.start)}
	return q.admission.table.Capacity(time.Now(), a)
}

// stepLocked passes an event to the queue and the decisions to the requests. The caller holds q.mu.
func (q *waitingQueue) stepLocked(e queueEvent) {
	if e.kind == queueArrive || e.kind == queueCancel || e.kind == queueTick {
		e.capacity, e.routers = q.capacity(), q.admission.fleet.Routers()
	}
	for _, a := range q.queue.Step(time.Since(q.admission.start), e) {
		if p := q.places[a.ID]; p != nil {
			p.started = a.Verdict == admitter.Start
			p.verdict <- a
			delete(q.places, a.ID)
		}
	}
}

// idle reports whether no request waits or was started in the queue.
func (q *waitingQueue) idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Waiting() == 0 && q.queue.running == 0
}

// hasRoom reports whether there is an endpoint at which a request could start now.
func (q *waitingQueue) hasRoom() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.capacity()
	return c.Slots > 0 && q.queue.Room(time.Since(q.admission.start), c) > 0
}

// leave removes a waiting request from its queue. If it was started meanwhile, its start is undone.
func (p *place) leave() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.places, p.id)
	if p.started {
		q.stepLocked(queueEvent{kind: queueEnd, request: queuedRequest{id: p.id}})
		return
	}
	q.stepLocked(queueEvent{kind: queueCancel, request: queuedRequest{id: p.id}})
}

// recordReported records that the capacity of the endpoints includes the request: an endpoint has
// answered it, or the capacity counts dispatches.
func (p *place) recordReported() {
	if p == nil || p.reported {
		return
	}
	p.reported = true
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.queue.stepLocked(queueEvent{kind: queueReported, request: queuedRequest{id: p.id}})
}

// end records the end of a started request. If an endpoint completed it, a waiting request gets its
// slot. Durations are 0 if unknown.
func (p *place) end(completed bool, firstEvent, total time.Duration) {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(queueEvent{kind: queueEnd, request: queuedRequest{id: p.id}, firstEvent: firstEvent, total: total})
	if q.queue.Waiting() > 0 {
		q.stepLocked(queueEvent{kind: queueTick, freed: completed})
	}
}

// errEnterAgain means that a request has to enter a queue again: the zones in which it may be served
// have changed, or there is room just after its refusal.
var errEnterAgain = errors.New("request enters a queue again")

// awaitStart waits until the request may be sent to an endpoint. It returns false if it has given
// the final answer.
func (j *job) awaitStart(ctx context.Context) bool {
	s := j.f.services
	if s == nil {
		return true
	}
	if !j.checkKnownSpent() {
		return false
	}
	returning := s.returns.Take(j.startedAt, j.fingerprint)
	if returning {
		requestsReturned.Inc()
	}
	begun := time.Now()
	for {
		p := s.queue(j.service.Name, j.zones, j.origin.Version).enter(j.queuedRequest(returning), j.index)
		done, err := j.awaitVerdict(ctx, p, begun)
		if errors.Is(err, errEnterAgain) {
			continue
		}
		return done
	}
}

// checkKnownSpent refuses a request of a workspace whose total is known to be spent.
func (j *job) checkKnownSpent() bool {
	c, ok := j.f.Rights.(SpentChecker)
	if !ok || !j.usesRights() || !c.KnownSpent(j.workspace.Name, j.maxTokens()) {
		return true
	}
	return j.fail(http.StatusPaymentRequired, "prepaid total is spent")
}

// queuedRequest describes the request to a queue.
func (j *job) queuedRequest(returning bool) queuedRequest {
	r := queuedRequest{
		priority: j.index.Priority(j.route, j.workspace), returning: returning, tokens: 1, random: rand.Float64(),
		arrivedAt: j.startedAt.Sub(j.f.start), deadline: j.deadline.Sub(j.f.start),
	}
	if j.workspace != nil {
		r.workspace = j.workspace.Name
	}
	if j.caller.Prompt != nil {
		r.tokens = float64(j.maxTokens())
	}
	return r
}

// awaitVerdict waits for the decision on the request and acts on it.
func (j *job) awaitVerdict(ctx context.Context, p *place, begun time.Time) (started bool, err error) {
	select {
	case a := <-p.verdict:
		return j.handleVerdict(p, a, time.Since(begun), j.queued > 0)
	default:
	}
	for {
		select {
		case a := <-p.verdict:
			return j.handleVerdict(p, a, time.Since(begun), true)
		case <-p.changed:
			if err := j.recheck(p, time.Since(begun)); err != nil {
				return false, err
			}
		case <-j.f.Stopping:
			p.leave()
			j.queued = time.Since(begun)
			refusalsLate.Inc()
			j.refuseStopping()
			return false, nil
		case <-ctx.Done():
			p.leave()
			j.queued = time.Since(begun)
			requestsAbandoned.Inc()
			j.endWithoutAnswer(ctx, http.StatusServiceUnavailable, "ended while it waited")
			return false, nil
		}
	}
}

// handleVerdict acts on the decision on the request, which has waited if waited is set.
func (j *job) handleVerdict(p *place, a admitter.Action, queued time.Duration, waited bool) (started bool, err error) {
	if waited {
		j.queued = queued
	}
	if a.Verdict != admitter.Start {
		return false, j.refuseQueued(p, a)
	}
	if waited {
		requestsWaited.Inc()
		if err := j.recheck(p, queued); err != nil {
			return false, err
		}
	}
	p.startedAt = time.Now()
	j.place = p
	return true, nil
}

// errEnded means that the request got its final answer.
var errEnded = errors.New("request has ended")

// recheck checks the request against the quarantine, and its key, route and zones against the
// configuration in force. If the request may not wait or start in its queue any more, it leaves it,
// and an error is returned.
func (j *job) recheck(p *place, queued time.Duration) error {
	if !j.trial && j.isHeldBack() {
		return j.endQueued(p, queued, func() bool {
			return j.refuseFor(j.hold.Remaining, http.StatusServiceUnavailable, j.hold.reason())
		})
	}
	x := j.f.Fleet.Index()
	if x == nil || x == j.index {
		return nil
	}
	zones := j.zones.Key()
	j.index = x
	if route := x.Route(j.r.Host, j.r.URL.EscapedPath()); route != nil {
		j.route = route
		j.workspace = nil
	} else {
		return j.endQueued(p, queued, func() bool { return j.fail(http.StatusNotFound, "no route") })
	}
	if j.index.Document().RequiresKeys && !j.route.Public && j.index.Workspace(j.caller.Key) == nil {
		return j.endQueued(p, queued, j.authenticate)
	}
	j.authenticate()
	service := x.Service(j.service.Name)
	if service == nil {
		return j.endQueued(p, queued, func() bool {
			return j.refuseFor(retryDelayUnserved, http.StatusServiceUnavailable, "the service was removed")
		})
	}
	j.service = service
	if x.Zones(j.route, j.workspace).Empty() {
		return j.endQueued(p, queued, j.resolveZones)
	}
	if j.resolveZones(); j.zones.Key() != zones {
		p.leave()
		return errEnterAgain
	}
	return nil
}

// endQueued ends a request that may not be served under the configuration in force.
func (j *job) endQueued(p *place, queued time.Duration, answer func() bool) error {
	p.leave()
	j.queued = queued
	requestsRevoked.Inc()
	answer()
	return errEnded
}

// refuseQueued refuses a request that its queue does not start. If there is room by then, the request
// enters the queue again, once, and would start at once.
func (j *job) refuseQueued(p *place, a admitter.Action) error {
	if p.queue.hasRoom() {
		if !j.reentered {
			j.reentered = true
			return errEnterAgain
		}
		refusalsWithRoom.Inc()
	}
	now := time.Now()
	j.f.services.returns.Record(now, j.fingerprint, now.Add(a.RetryAfter))
	j.f.Wire.RetryAfter(j.w.Header(), a.RetryAfter)
	j.fail(http.StatusServiceUnavailable, refusalReason(a.Verdict))
	return errEnded
}

// refusalReason counts a refusal and returns its reason.
func refusalReason(v admitter.Verdict) string {
	switch v {
	case admitter.Shed:
		refusalsEarly.Inc()
		return "endpoints are full, and the first event would come too late"
	case admitter.Full:
		refusalsFull.Inc()
		return "endpoints are full, and too many requests wait"
	default:
		refusalsLate.Inc()
		return "endpoints were full for a quarter of the request's time"
	}
}

// leaveService records the end of a request that awaitStart has started.
func (j *job) leaveService() {
	if j.place == nil {
		return
	}
	if !j.mayHaveRun {
		j.place.end(false, 0, 0)
		return
	}
	total, firstEvent := time.Since(j.place.startedAt), time.Duration(0)
	switch {
	case j.events > 0:
		firstEvent = j.firstEvent - j.place.startedAt.Sub(j.startedAt)
	case j.route.Kind != publisher.Stream:
		firstEvent = total
	}
	j.place.end(j.completed, firstEvent, total)
}

// usesRights reports whether the request uses prepaid tokens.
func (j *job) usesRights() bool {
	return j.workspace != nil && j.workspace.Prepaid != nil && j.caller.Prompt != nil
}

// maxTokens returns the tokens of the prompt and the longest possible output.
func (j *job) maxTokens() int64 { return j.caller.Prompt.InputTokens + j.caller.Prompt.MaxOutputTokens }
