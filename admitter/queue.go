package admitter

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the type of an Event.
type Kind int

// Kinds of events.
const (
	// Arrive adds a request.
	Arrive Kind = iota
	// Cancel removes a waiting request whose caller has gone.
	Cancel
	// Tick only updates the time, the requests in progress and the limit.
	Tick
)

// Event is an input of the queue.
type Event struct {
	Kind    Kind
	Request Request
	// InFlight is the number of requests in progress, excluding waiting ones.
	InFlight int
	// Limit is the maximum number of requests in progress.
	Limit int
}

// Verdict is the admission decision on a request.
type Verdict int

// Verdicts on a request.
const (
	// Start means that the request is to be dispatched now.
	Start Verdict = iota
	// Shed means that the shedder rejected the request on arrival, or that
	// its deadline could not be met any more.
	Shed
	// Full means that the request was rejected or evicted because the queue
	// reached its bounds.
	Full
	// Expired means that the request waited until its deadline could not be
	// met any more.
	Expired
)

// Action is an output of the queue: the verdict on one request.
type Action struct {
	ID      uint64
	Verdict Verdict
	// RetryAfter is the time after which a rejected request may be retried.
	RetryAfter time.Duration
}

// Bounds limits the length of a queue.
type Bounds struct {
	// MaxWaiting is the maximum number of waiting requests of all workspaces.
	MaxWaiting int
	// Workspace is the maximum number of waiting requests of one workspace.
	Workspace int
}

// DefaultBounds are the bounds for one service on one router.
var DefaultBounds = Bounds{MaxWaiting: 256, Workspace: 128}

// minRetryAfter is the lower bound of Action.RetryAfter.
const minRetryAfter = 100 * time.Millisecond

// Queue holds the waiting requests of one service on one router. Priorities are
// strict. Within a priority, workspaces share by tokens (stride scheduling);
// within a workspace, the earliest deadline goes first. As long as no request
// of a priority is rejected, urgent requests of any workspace go first, because
// fair sharing matters only when not all deadlines can be met.
//
// Queue is a deterministic state machine without a clock or a source of
// randomness. It is not safe for concurrent use.
type Queue struct {
	bounds  Bounds
	shedder Shedder
	classes [Priorities]class
	waiting int
	// earliestExpiry is a time before which no waiting request expires.
	earliestExpiry time.Duration
	// actions is reused between steps.
	actions []Action
}

// class holds the requests of one priority.
type class struct {
	// flows holds the non-empty flows, sorted by workspace.
	flows []*flow
	// pass is the virtual time of the class, at least that of the flow served
	// last. A new flow starts from it, so that idle time earns no credit.
	pass float64
	// fairShareUntil is the time until which the workspaces share strictly by
	// tokens, fairSharePeriod after the last rejection.
	fairShareUntil time.Duration
}

// flow holds the requests of one workspace in one priority.
type flow struct {
	workspace string
	pass      float64
	// requests is sorted by deadline and never empty between steps.
	requests []Request
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds, s Shedder) *Queue { return &Queue{bounds: b, shedder: s} }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Step applies an event and returns the resulting actions, which are valid until
// the next step.
func (q *Queue) Step(now time.Duration, e Event) []Action {
	q.actions = q.actions[:0]
	q.expire(now)
	switch e.Kind {
	case Arrive:
		q.arrive(now, e)
	case Cancel:
		q.cancel(e.Request)
	}
	q.startRequests(now, e)
	return q.actions
}

// NextExpiry returns a time up to which no waiting request expires, and false if
// no request waits.
func (q *Queue) NextExpiry() (at time.Duration, ok bool) { return q.earliestExpiry, q.waiting > 0 }

// latestStart returns the latest dispatch time at which the request can still
// meet its deadline.
func (r Request) latestStart() time.Duration { return r.Deadline - r.MinService }

// forEach calls f for every waiting request.
func (q *Queue) forEach(f func(Request)) {
	for p := range q.classes {
		for _, w := range q.classes[p].flows {
			for _, r := range w.requests {
				f(r)
			}
		}
	}
}

func (q *Queue) emit(id uint64, v Verdict, after time.Duration) {
	q.actions = append(q.actions, Action{ID: id, Verdict: v, RetryAfter: max(after, minRetryAfter)})
}

// refuse rejects a request and starts a period in which the workspaces of its
// priority share strictly by tokens.
func (q *Queue) refuse(now time.Duration, r Request, v Verdict, after time.Duration) {
	q.classes[r.Priority].fairShareUntil = now + fairSharePeriod
	q.emit(r.ID, v, after)
}

// expire rejects the waiting requests that can't meet their deadline any more.
// It doesn't wait for the deadline itself, so that callers have time to try
// elsewhere.
func (q *Queue) expire(now time.Duration) {
	if q.waiting == 0 || now <= q.earliestExpiry {
		return
	}
	for p := range q.classes {
		c := &q.classes[p]
		for _, w := range c.flows {
			w.requests = slices.DeleteFunc(w.requests, func(r Request) bool {
				if now <= r.latestStart() {
					return false
				}
				q.waiting--
				q.refuse(now, r, Expired, r.Service)
				return true
			})
		}
		c.removeEmptyFlows()
	}
	q.earliestExpiry = 1<<63 - 1
	q.forEach(func(r Request) { q.earliestExpiry = min(q.earliestExpiry, r.latestStart()) })
}

// removeEmptyFlows removes the flows without requests.
func (c *class) removeEmptyFlows() {
	c.flows = slices.DeleteFunc(c.flows, func(w *flow) bool { return len(w.requests) == 0 })
}

func (q *Queue) arrive(now time.Duration, e Event) {
	r := e.Request
	r.Priority = min(max(r.Priority, 0), Priorities-1)
	if now > r.latestStart() {
		q.refuse(now, r, Shed, r.Service)
		return
	}
	f := q.forecast(r, e)
	if refused, after := q.shouldShed(now, r, f); refused {
		q.refuse(now, r, Shed, after)
		return
	}
	if q.waiting >= q.bounds.MaxWaiting && !q.evictLowerPriority(now, r.Priority, f.Wait) || q.backlog(r.Workspace) >= q.bounds.Workspace {
		q.refuse(now, r, Full, f.Wait)
		return
	}
	q.insert(r)
}

func (q *Queue) insert(r Request) {
	c := &q.classes[r.Priority]
	i, ok := slices.BinarySearchFunc(c.flows, r.Workspace, func(w *flow, name string) int { return cmp.Compare(w.workspace, name) })
	if !ok {
		c.flows = slices.Insert(c.flows, i, &flow{workspace: r.Workspace, pass: c.pass})
	}
	w := c.flows[i]
	j, _ := slices.BinarySearchFunc(w.requests, r.Deadline, func(x Request, d time.Duration) int {
		if x.Deadline <= d {
			return -1
		}
		return 1
	})
	w.requests = slices.Insert(w.requests, j, r)
	if q.waiting == 0 || r.latestStart() < q.earliestExpiry {
		q.earliestExpiry = r.latestStart()
	}
	q.waiting++
}

// evictLowerPriority makes room for a request by rejecting the request with the
// latest deadline from the longest flow of the lowest non-empty priority. It
// returns false if no request of a lower priority than the given one waits.
func (q *Queue) evictLowerPriority(now time.Duration, priority int, wait time.Duration) bool {
	for p := Priorities - 1; p > priority; p-- {
		c := &q.classes[p]
		if len(c.flows) == 0 {
			continue
		}
		w := slices.MaxFunc(c.flows, func(a, b *flow) int { return cmp.Compare(len(a.requests), len(b.requests)) })
		last := len(w.requests) - 1
		q.refuse(now, w.requests[last], Full, wait)
		w.requests = w.requests[:last]
		q.waiting--
		c.removeEmptyFlows()
		return true
	}
	return false
}

// backlog returns the number of waiting requests of a workspace.
func (q *Queue) backlog(workspace string) int {
	n := 0
	for p := range q.classes {
		for _, w := range q.classes[p].flows {
			if w.workspace == workspace {
				n += len(w.requests)
			}
		}
	}
	return n
}

func (q *Queue) cancel(r Request) {
	for p := range q.classes {
		c := &q.classes[p]
		for _, w := range c.flows {
			before := len(w.requests)
			w.requests = slices.DeleteFunc(w.requests, func(x Request) bool { return x.ID == r.ID })
			q.waiting -= before - len(w.requests)
		}
		c.removeEmptyFlows()
	}
}

// startRequests starts waiting requests until the limit is reached.
func (q *Queue) startRequests(now time.Duration, e Event) {
	for n := e.InFlight; n < e.Limit && q.waiting > 0; n++ {
		q.emit(q.next(now).ID, Start, 0)
	}
}

// next removes and returns the request to start next. Requests that are expected
// to miss their deadline are considered only if all waiting ones are.
func (q *Queue) next(now time.Duration) Request {
	r, ok := q.nextMatching(now, func(r Request) bool { return now+r.Service <= r.Deadline })
	if !ok {
		r, _ = q.nextMatching(now, func(Request) bool { return true })
	}
	return r
}

// nextMatching removes and returns the next request that fits accepts.
func (q *Queue) nextMatching(now time.Duration, fits func(Request) bool) (Request, bool) {
	for p := range q.classes {
		c := &q.classes[p]
		if c.hasReturning() {
			if r, ok := q.nextOfClass(now, c, func(r Request) bool { return r.Returning && fits(r) }); ok {
				return r, true
			}
		}
		if r, ok := q.nextOfClass(now, c, fits); ok {
			return r, true
		}
	}
	return Request{}, false
}

// nextOfClass removes and returns the next request of one priority that fits accepts.
func (q *Queue) nextOfClass(now time.Duration, c *class, fits func(Request) bool) (Request, bool) {
	if w, at := c.mostUrgent(now, fits); w != nil {
		return q.takeUncharged(c, w, at), true
	}
	if w, at := c.nextInTurn(fits); w != nil {
		return q.takeCharged(c, w, at), true
	}
	return Request{}, false
}

// takeCharged removes a request from a flow and adds its tokens to the pass of
// the flow.
func (q *Queue) takeCharged(c *class, w *flow, i int) Request {
	c.pass = w.pass
	w.pass += max(w.requests[i].Tokens, 1)
	return q.takeUncharged(c, w, i)
}

// takeUncharged removes a request that is started before its workspace's turn.
// The flow is not charged: a debt from a time when all deadlines were met would
// starve the workspace once they can't be.
func (q *Queue) takeUncharged(c *class, w *flow, i int) Request {
	r := w.requests[i]
	w.requests = slices.Delete(w.requests, i, i+1)
	q.waiting--
	if len(w.requests) == 0 {
		c.removeEmptied(w)
	}
	return r
}

// removeEmptied removes a flow that has become empty and discards its pass. The
// pass of the class never decreases, so a workspace that sends one request at a
// time gets its turn after those that already wait.
func (c *class) removeEmptied(w *flow) {
	c.pass = max(c.pass, minPass(c.flows, w.pass))
	c.removeEmptyFlows()
}

func minPass(flows []*flow, otherwise float64) float64 {
	least := otherwise
	for _, w := range flows {
		if len(w.requests) > 0 {
			least = min(least, w.pass)
		}
	}
	return least
}

// forecast predicts the wait of an arriving request: the service time of the
// requests ahead of it, divided by the number of requests served concurrently.
func (q *Queue) forecast(r Request, e Event) Forecast {
	limit := max(e.Limit, 1)
	f := Forecast{Waiting: q.waiting, Load: float64(e.InFlight+q.waiting) / float64(limit)}
	if e.InFlight < e.Limit && q.waiting == 0 {
		return f
	}
	ahead := q.serviceAhead(r)
	// Requests in progress are halfway through on average, so the first place
	// becomes free after Service/(2*limit).
	f.Wait = (ahead + r.Service/2) / time.Duration(limit)
	return f
}

// serviceAhead returns the total service time of the waiting requests that are
// expected to start before r.
func (q *Queue) serviceAhead(r Request) time.Duration {
	var sum time.Duration
	for p := range r.Priority {
		sum += q.classes[p].totalService()
	}
	c := &q.classes[r.Priority]
	var own time.Duration
	for _, w := range c.flows {
		if w.workspace == r.Workspace {
			own = w.serviceAhead(r, r.Deadline)
		}
	}
	sum += own
	// While the workspace's own backlog is served, every other workspace gets
	// the same amount of service.
	for _, w := range c.flows {
		if w.workspace != r.Workspace {
			sum += min(w.serviceAhead(r, 1<<62), own+r.Service)
		}
	}
	return sum
}

func (c *class) totalService() time.Duration {
	var sum time.Duration
	for _, w := range c.flows {
		sum += w.serviceAhead(Request{}, 1<<62)
	}
	return sum
}

// serviceAhead returns the total service time of the requests with at most the
// given deadline. New requests are not ahead of a returning r.
func (w *flow) serviceAhead(r Request, deadline time.Duration) time.Duration {
	var sum time.Duration
	for _, x := range w.requests {
		if x.Deadline <= deadline && (x.Returning || !r.Returning) {
			sum += x.Service
		}
	}
	return sum
}
