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

// admitCounters count what admission did; keys end in what became of requests.
var admitCounters = new(expvar.Map)

// recheck is how often a waiting request looks for room that load reports
// have brought.
const recheck = 20 * time.Millisecond

// limiter admits the requests of one service at one router.
type limiter struct {
	base    time.Time
	retries *admitter.Retries
	// InFlight counts requests between admission and their end.
	inFlight atomic.Int64
	// Waiting mirrors the queue's length, so that a router that has room
	// admits without the lock.
	waiting atomic.Int64
	mu      sync.Mutex
	queue   *admitter.Queue
	// Callers maps ids of waiting requests to where their verdict goes.
	callers map[uint64]chan admitter.Action
	nextID  uint64
}

func (r *Router) limiter(service string) *limiter {
	l, ok := r.limiters.Load(service)
	if !ok {
		s, _ := admitter.New(r.settings.Policy().Shedder())
		l, _ = r.limiters.LoadOrStore(service, &limiter{
			base: r.ledgerBase, retries: admitter.NewRetries(),
			queue: admitter.NewQueue(admitter.DefaultBounds, s), callers: map[uint64]chan admitter.Action{},
		})
	}
	return l.(*limiter)
}

// admit lets a request in, has it wait or refuses it before it is dispatched;
// the returned function must be called when the request has ended.
func (r *Router) admit(ctx context.Context, q *request) (func(), error) {
	now := time.Now()
	set := r.candidates(q, now)
	if !set.Alive(now) {
		return nil, rattanhoist.ErrNoEndpoint
	}
	l := r.limiter(q.service.Name)
	l.retries.First()
	e := set.Service().Estimate(q.query(now), now.Sub(l.base))
	if !l.enter(set, now, q.deadline.Sub(now) > e.Service) {
		if err := l.wait(ctx, q, set, e); err != nil {
			return nil, err
		}
	}
	return func() { l.leave(set) }, nil
}

// enter admits without the lock where there is room and nobody waits.
func (l *limiter) enter(set *picker.Set, now time.Time, meets bool) bool {
	if !meets || l.waiting.Load() > 0 {
		return false
	}
	if l.inFlight.Add(1) <= int64(set.Room(now)) {
		return true
	}
	l.inFlight.Add(-1)
	return false
}

// wait queues a request until its verdict.
func (l *limiter) wait(ctx context.Context, q *request, set *picker.Set, e picker.Estimate) error {
	verdict := make(chan admitter.Action, 1)
	id := l.arrive(q, set, e, verdict)
	t := time.NewTicker(recheck)
	defer t.Stop()
	for {
		select {
		case a := <-verdict:
			return refusal(a)
		case <-t.C:
			l.step(set, admitter.Event{Kind: admitter.Tick})
		case <-ctx.Done():
			return l.abandon(set, id, verdict, ctx.Err())
		}
	}
}

func (l *limiter) arrive(q *request, set *picker.Set, e picker.Estimate, verdict chan admitter.Action) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	id := l.nextID
	l.callers[id] = verdict
	l.locked(set, admitter.Event{Kind: admitter.Arrive, Request: admitter.Request{
		ID: id, Workspace: q.key.Workspace(), Priority: q.priority, Deadline: q.deadline.Sub(l.base),
		Tokens: e.Tokens, Service: e.Service, Least: e.Least, Random: rand.Float64(),
	}})
	return id
}

// abandon takes out a request whose caller has gone. Where the verdict came
// first, an admitted request gives its place back.
func (l *limiter) abandon(set *picker.Set, id uint64, verdict chan admitter.Action, cause error) error {
	l.step(set, admitter.Event{Kind: admitter.Cancel, Request: admitter.Request{ID: id}})
	l.mu.Lock()
	delete(l.callers, id)
	l.mu.Unlock()
	select {
	case a := <-verdict:
		if a.Verdict == admitter.Start {
			l.leave(set)
		}
	default:
	}
	admitCounters.Add("abandoned", 1)
	return &Problem{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: NotRun, Detail: "ended while it waited: " + cause.Error(), After: retrySoon}
}

func (l *limiter) leave(set *picker.Set) {
	l.inFlight.Add(-1)
	if l.waiting.Load() > 0 {
		l.step(set, admitter.Event{Kind: admitter.Tick})
	}
}

func (l *limiter) step(set *picker.Set, e admitter.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.locked(set, e)
}

// locked steps the queue and hands the verdicts out; l.mu is held.
func (l *limiter) locked(set *picker.Set, e admitter.Event) {
	now := time.Now()
	e.InFlight, e.Limit = int(l.inFlight.Load()), set.Room(now)
	for _, a := range l.queue.Step(now.Sub(l.base), e) {
		if a.Verdict == admitter.Start {
			l.inFlight.Add(1)
		}
		l.callers[a.ID] <- a
		delete(l.callers, a.ID)
	}
	l.waiting.Store(int64(l.queue.Waiting()))
}

// refusal turns a verdict into the answer to the caller, nil for admitted.
func refusal(a admitter.Action) error {
	p := &Problem{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Outcome: NotRun, After: a.After}
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

// mayRetry draws a retry from the service's budget. A caller that has gone
// gets none.
func (r *Router) mayRetry(ctx context.Context, q *request) bool {
	if ctx.Err() != nil {
		return false
	}
	if !r.limiter(q.service.Name).retries.Retry() {
		admitCounters.Add("retries_refused", 1)
		return false
	}
	admitCounters.Add("retries", 1)
	return true
}
