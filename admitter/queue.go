package admitter

import (
	"cmp"
	"slices"
	"time"
)

// Kind tells events apart.
type Kind int

// Kinds of events.
const (
	// Arrive brings a request.
	Arrive Kind = iota
	// Cancel takes a waiting request out; its caller has gone.
	Cancel
	// Tick brings nothing but the time and the room.
	Tick
)

// Event is one input of the queue.
type Event struct {
	Kind    Kind
	Request Request
	// InFlight is the number of requests in progress, without the waiting.
	InFlight int
	// Limit is how many may be in progress.
	Limit int
}

// Verdict says what becomes of a request.
type Verdict int

// Verdicts on a request.
const (
	// Start lets the request be dispatched now.
	Start Verdict = iota
	// Shed says that the predicted finish lies past the deadline.
	Shed
	// Full says that the queue's bounds are reached.
	Full
	// Expired says that the request waited and can't be met any more.
	Expired
)

// Action is one output of the queue.
type Action struct {
	ID      uint64
	Verdict Verdict
	// After is the time after which a refused request may come back.
	After time.Duration
}

// Bounds of a queue.
type Bounds struct {
	// Waiting bounds the requests that wait, of all workspaces.
	Waiting int
	// Workspace bounds those of one workspace.
	Workspace int
}

// DefaultBounds suit one service on one router.
var DefaultBounds = Bounds{Waiting: 256, Workspace: 128}

// leastAfter is the shortest time to come back.
const leastAfter = 100 * time.Millisecond

// Queue holds the waiting requests of one service on one router. Priorities
// go strictly first; within one the workspaces share by tokens (stride
// scheduling); within a workspace the earliest deadline goes first. While no
// request of a priority is refused, those whose time grows short go first of
// whichever workspace: who gets less is to be decided only where not all can
// be met. It is a
// state machine: not safe for concurrent use, without clock and randomness of
// its own.
type Queue struct {
	bounds  Bounds
	shedder Shedder
	classes [Priorities]class
	waiting int
	// Earliest is a time before which no waiting request expires.
	earliest time.Duration
	// Out is reused between steps.
	out []Action
}

// class holds the requests of one priority.
type class struct {
	// Flows are those with requests, in order of their workspaces.
	flows []*flow
	// Pass is that of the flow served last; a flow that comes back starts
	// from it, so that idle time earns nothing.
	pass float64
	// CalmFrom is the time from which nothing has been refused for long
	// enough to take it that all can be met.
	calmFrom time.Duration
}

// flow holds the requests of one workspace in one priority.
type flow struct {
	workspace string
	pass      float64
	// Requests are in order of their deadlines; never empty.
	requests []Request
}

// NewQueue returns an empty queue.
func NewQueue(b Bounds, s Shedder) *Queue { return &Queue{bounds: b, shedder: s} }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Step takes an event in. The actions are valid until the next step.
func (q *Queue) Step(now time.Duration, e Event) []Action {
	q.out = q.out[:0]
	q.expire(now)
	switch e.Kind {
	case Arrive:
		q.arrive(now, e)
	case Cancel:
		q.cancel(e.Request)
	}
	q.start(now, e)
	return q.out
}

// NextExpiry returns a time up to which no waiting request needs refusing for
// its deadline.
func (q *Queue) NextExpiry() (at time.Duration, ok bool) { return q.earliest, q.waiting > 0 }

// expiry is the last time at which a start could still be in time.
func (r Request) expiry() time.Duration { return r.Deadline - r.Least }

func (q *Queue) each(f func(Request)) {
	for p := range q.classes {
		for _, w := range q.classes[p].flows {
			for _, r := range w.requests {
				f(r)
			}
		}
	}
}

func (q *Queue) say(id uint64, v Verdict, after time.Duration) {
	q.out = append(q.out, Action{ID: id, Verdict: v, After: max(after, leastAfter)})
}

// refuse says that a request is refused, and has its priority share by
// workspaces for a while.
func (q *Queue) refuse(now time.Duration, r Request, v Verdict, after time.Duration) {
	q.classes[r.Priority].calmFrom = now + calmAfter
	q.say(r.ID, v, after)
}

// expire refuses what can't be met any more, at once: held back until its
// deadline, a caller would learn too late to try elsewhere.
func (q *Queue) expire(now time.Duration) {
	if q.waiting == 0 || now <= q.earliest {
		return
	}
	for p := range q.classes {
		c := &q.classes[p]
		for _, w := range c.flows {
			w.requests = slices.DeleteFunc(w.requests, func(r Request) bool {
				if now <= r.expiry() {
					return false
				}
				q.waiting--
				q.refuse(now, r, Expired, r.Service)
				return true
			})
		}
		c.drop()
	}
	q.earliest = 1<<63 - 1
	q.each(func(r Request) { q.earliest = min(q.earliest, r.expiry()) })
}

// drop takes out flows without requests.
func (c *class) drop() {
	c.flows = slices.DeleteFunc(c.flows, func(w *flow) bool { return len(w.requests) == 0 })
}

func (q *Queue) arrive(now time.Duration, e Event) {
	r := e.Request
	r.Priority = min(max(r.Priority, 0), Priorities-1)
	if now > r.expiry() {
		q.refuse(now, r, Shed, r.Service)
		return
	}
	f := q.forecast(r, e)
	if refused, after := q.shed(now, r, f); refused {
		q.refuse(now, r, Shed, after)
		return
	}
	if q.waiting >= q.bounds.Waiting && !q.makeRoom(now, r.Priority, f.Wait) || q.backlog(r.Workspace) >= q.bounds.Workspace {
		q.refuse(now, r, Full, f.Wait)
		return
	}
	q.put(r)
}

func (q *Queue) put(r Request) {
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
	if q.waiting == 0 || r.expiry() < q.earliest {
		q.earliest = r.expiry()
	}
	q.waiting++
}

// makeRoom refuses the last request of the longest flow of a lower priority.
func (q *Queue) makeRoom(now time.Duration, priority int, wait time.Duration) bool {
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
		c.drop()
		return true
	}
	return false
}

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
		c.drop()
	}
}

// start lets requests go while there is room.
func (q *Queue) start(now time.Duration, e Event) {
	for n := e.InFlight; n < e.Limit && q.waiting > 0; n++ {
		q.say(q.next(now).ID, Start, 0)
	}
}

// next takes the request that goes next. One that would need luck to be in
// time goes only when none waits that would not.
func (q *Queue) next(now time.Duration) Request {
	r, ok := q.nextOf(now, func(r Request) bool { return now+r.Service <= r.Deadline })
	if !ok {
		r, _ = q.nextOf(now, func(Request) bool { return true })
	}
	return r
}

func (q *Queue) nextOf(now time.Duration, fits func(Request) bool) (Request, bool) {
	for p := range q.classes {
		c := &q.classes[p]
		if w, at := c.shortest(now, fits); w != nil {
			return q.advance(c, w, at), true
		}
		if w, at := c.fairest(fits); w != nil {
			return q.take(c, w, at), true
		}
	}
	return Request{}, false
}

// take removes a request of a flow and charges the flow for it.
func (q *Queue) take(c *class, w *flow, i int) Request {
	c.pass = w.pass
	w.pass += max(w.requests[i].Tokens, 1)
	return q.advance(c, w, i)
}

// advance removes a request that goes before its workspace's turn. The flow is
// not charged: a debt from a time when all were met would keep the workspace
// out when that time is over.
func (q *Queue) advance(c *class, w *flow, i int) Request {
	r := w.requests[i]
	w.requests = slices.Delete(w.requests, i, i+1)
	q.waiting--
	if len(w.requests) == 0 {
		c.retire(w)
	}
	return r
}

// retire takes an emptied flow out. Its debt goes with it, but for the class's
// pass, which never falls: a workspace that sends one request at a time gets
// its turn behind those that wait.
func (c *class) retire(w *flow) {
	c.pass = max(c.pass, minPass(c.flows, w.pass))
	c.drop()
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

// forecast predicts the wait of an arriving request: the work that will be
// served before it, by the number of requests that are served at once.
func (q *Queue) forecast(r Request, e Event) Forecast {
	limit := max(e.Limit, 1)
	f := Forecast{Waiting: q.waiting, Fill: float64(e.InFlight+q.waiting) / float64(limit)}
	if e.InFlight < e.Limit && q.waiting == 0 {
		return f
	}
	ahead := q.ahead(r)
	// Requests in progress are halfway through on average: the first to end
	// frees its place after a service time by twice their number.
	f.Wait = (ahead + r.Service/2) / time.Duration(limit)
	return f
}

// ahead sums the service times of the waiting requests that go before r.
func (q *Queue) ahead(r Request) time.Duration {
	var sum time.Duration
	for p := range r.Priority {
		sum += q.classes[p].total()
	}
	c := &q.classes[r.Priority]
	var own time.Duration
	for _, w := range c.flows {
		if w.workspace == r.Workspace {
			own = w.before(r.Deadline)
		}
	}
	sum += own
	// While the own backlog is served, every other workspace gets as much.
	for _, w := range c.flows {
		if w.workspace != r.Workspace {
			sum += min(w.before(1<<62), own+r.Service)
		}
	}
	return sum
}

func (c *class) total() time.Duration {
	var sum time.Duration
	for _, w := range c.flows {
		sum += w.before(1 << 62)
	}
	return sum
}

func (w *flow) before(deadline time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range w.requests {
		if r.Deadline <= deadline {
			sum += r.Service
		}
	}
	return sum
}
