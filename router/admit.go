package router

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
)

// admitCounters counts admission results; each key ends in the result.
var admitCounters = new(expvar.Map)

// admissionPollInterval is how often a waiting request checks whether newer
// load reports have freed capacity.
const admissionPollInterval = 20 * time.Millisecond

// limiter is the admission control of one service at one router.
type limiter struct {
	// epoch is the origin of the queue's timestamps.
	epoch   time.Time
	retries *admitter.Retries
	// inFlight counts the requests that are admitted and have not ended.
	inFlight atomic.Int64
	// waiting mirrors the length of the queue, so that a request can be
	// admitted without the lock while nobody waits.
	waiting atomic.Int64
	mu      sync.Mutex
	queue   *admitter.Queue
	// waiters maps the ids of waiting requests to the channels that receive
	// their verdicts.
	waiters map[uint64]chan admitter.Action
	nextID  uint64
}

// limiter returns the limiter of a service and creates it on first use.
func (r *Router) limiter(service string) *limiter {
	l, ok := r.limiters.Load(service)
	if !ok {
		s, _ := admitter.New(r.settings.Policy().Shedder())
		l, _ = r.limiters.LoadOrStore(service, &limiter{
			epoch: r.ledgerBase, retries: admitter.NewRetries(),
			queue: admitter.NewQueue(admitter.DefaultBounds, s), waiters: map[uint64]chan admitter.Action{},
		})
	}
	return l.(*limiter)
}

// admit waits until a request may be dispatched, or returns the reason why it
// is refused. The caller must call the returned function when the request has
// ended.
func (r *Router) admit(ctx context.Context, q *request) (func(), error) {
	now := time.Now()
	set := r.candidates(q, now)
	if !set.HasFresh(now) {
		return nil, rattanhoist.ErrNoEndpoint
	}
	l := r.limiter(q.service.Name)
	l.retries.RecordRequest()
	e := set.Service().Estimate(q.pickerQuery(now), now.Sub(l.epoch))
	if !l.tryAdmit(set, now, q.deadline.Sub(now) > e.Service) {
		if err := l.awaitVerdict(ctx, q, set, e); err != nil {
			return nil, err
		}
	}
	return func() { l.release(set) }, nil
}

// tryAdmit admits a request without taking the lock. It returns false if the
// request can't meet its deadline, if other requests wait, or if there is no
// capacity; the request then has to go through the queue.
func (l *limiter) tryAdmit(set *picker.Set, now time.Time, canMeetDeadline bool) bool {
	if !canMeetDeadline || l.waiting.Load() > 0 {
		return false
	}
	if l.inFlight.Add(1) <= int64(set.FreeCapacity(now)) {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// awaitVerdict queues a request and blocks until it is admitted or refused, or
// until ctx ends.
func (l *limiter) awaitVerdict(ctx context.Context, q *request, set *picker.Set, e picker.Estimate) error {
	verdict := make(chan admitter.Action, 1)
	id := l.enqueue(q, set, e, verdict)
	t := time.NewTicker(admissionPollInterval)
	defer t.Stop()
	for {
		select {
		case a := <-verdict:
			return verdictError(a)
		case <-t.C:
			l.step(set, admitter.Event{Kind: admitter.Tick})
		case <-ctx.Done():
			return l.cancelWait(set, id, verdict, ctx.Err())
		}
	}
}

// enqueue adds a request to the queue and returns its id there.
func (l *limiter) enqueue(q *request, set *picker.Set, e picker.Estimate, verdict chan admitter.Action) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	id := l.nextID
	l.waiters[id] = verdict
	l.stepLocked(set, admitter.Event{Kind: admitter.Arrive, Request: admitter.Request{
		ID: id, Workspace: q.key.Workspace(), Priority: q.priority, Deadline: q.deadline.Sub(l.epoch),
		Tokens: e.Tokens, Service: e.Service, MinService: e.MinService, RandomValue: rand.Float64(),
	}})
	return id
}

// cancelWait removes a request whose caller has gone from the queue. If the
// request was admitted in the meantime, its slot is released.
func (l *limiter) cancelWait(set *picker.Set, id uint64, verdict chan admitter.Action, cause error) error {
	l.step(set, admitter.Event{Kind: admitter.Cancel, Request: admitter.Request{ID: id}})
	l.mu.Lock()
	delete(l.waiters, id)
	l.mu.Unlock()
	select {
	case a := <-verdict:
		if a.Verdict == admitter.Start {
			l.release(set)
		}
	default:
	}
	admitCounters.Add("abandoned", 1)
	return &Problem{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: NotRun, Detail: "ended while it waited: " + cause.Error(), After: defaultRetryAfter}
}

// release frees the slot of a request that has ended and lets waiting requests
// use it.
func (l *limiter) release(set *picker.Set) {
	l.inFlight.Add(-1)
	if l.waiting.Load() > 0 {
		l.step(set, admitter.Event{Kind: admitter.Tick})
	}
}

// step passes an event to the queue.
func (l *limiter) step(set *picker.Set, e admitter.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLocked(set, e)
}

// stepLocked passes an event to the queue and sends the resulting verdicts to
// the waiting requests. The caller holds l.mu.
func (l *limiter) stepLocked(set *picker.Set, e admitter.Event) {
	now := time.Now()
	e.InFlight, e.Limit = int(l.inFlight.Load()), set.FreeCapacity(now)
	for _, a := range l.queue.Step(now.Sub(l.epoch), e) {
		if a.Verdict == admitter.Start {
			l.inFlight.Add(1)
		}
		l.waiters[a.ID] <- a
		delete(l.waiters, a.ID)
	}
	l.waiting.Store(int64(l.queue.Waiting()))
}

// verdictError converts a verdict into the error for the caller; it returns nil
// if the request was admitted.
func verdictError(a admitter.Action) error {
	p := &Problem{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Outcome: NotRun, After: a.RetryAfter}
	switch a.Verdict {
	case admitter.Start:
		admitCounters.Add("waited", 1)
		return nil
	case admitter.Shed:
		admitCounters.Add("shed", 1)
		p.Detail = "the answer would come after the deadline"
	case admitter.Full:
		admitCounters.Add("full", 1)
		p.Detail = "too many requests wait"
	default:
		admitCounters.Add("expired", 1)
		p.Detail = "waited until the deadline could not be met any more"
	}
	return p
}

// allowRetry takes one retry from the service's retry budget. It returns false
// if the budget is used up or the caller has gone.
func (r *Router) allowRetry(ctx context.Context, q *request) bool {
	if ctx.Err() != nil {
		return false
	}
	if !r.limiter(q.service.Name).retries.AllowRetry() {
		admitCounters.Add("retries_refused", 1)
		return false
	}
	admitCounters.Add("retries", 1)
	return true
}
