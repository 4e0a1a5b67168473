package forwarder

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/predictor"
)

const (
	// maxWaitFraction is the part of its time that a request waits at most, so that its caller
	// can try again elsewhere.
	maxWaitFraction = 0.25
	// retryJitterFraction spreads the callers that are refused together.
	retryJitterFraction = 0.2
	// minQueueRetry is the lower bound of Retry-After, a few engine steps.
	minQueueRetry = 100 * time.Millisecond
	// startRateWindow is the time over which the rate of starts is measured: long enough for a
	// few starts at a router with a small share, short enough to follow the loss of endpoints.
	startRateWindow = 2 * time.Second
	startRateBucket = 100 * time.Millisecond
	// maxLoadAge is the age up to which a load counts as known. A request that started earlier
	// is part of every known load.
	maxLoadAge = time.Second
	// maxQueueRetry limits the time after which a refused caller is told to return. Callers give
	// up on a longer one, and endpoints may have been added by then.
	maxQueueRetry = 5 * time.Second
	// maxReportLead is how much earlier than the end of a request a report of its free slot may
	// arrive: the time of one small answer on a link in use.
	maxReportLead = 20 * time.Millisecond
	// durationGain is the weight of the newest request in the mean durations.
	durationGain = 0.1
	// defaultFirstEvent is the time to the first event before the first one was measured.
	defaultFirstEvent = 100 * time.Millisecond
	// unlimitedRoom is the room where the load of an endpoint is unknown.
	unlimitedRoom = 1 << 30
)

// queueEventKind is the type of a queueEvent.
type queueEventKind int

const (
	// queueArrive adds a request.
	queueArrive queueEventKind = iota
	// queueCancel removes a waiting request.
	queueCancel
	// queueTick updates the time and the capacity.
	queueTick
	// queueReported states that loads reported from now on include a started request.
	queueReported
	// queueEnd states that a started request has ended.
	queueEnd
)

// queueEvent is an input of a serviceQueue. Times are offsets from a fixed instant.
type queueEvent struct {
	kind    queueEventKind
	request queuedRequest
	// capacity is the capacity for the service's requests, and routers the number of routers
	// that share it. Both belong to the first three kinds.
	capacity predictor.Capacity
	routers  int
	// freed is set on a tick if an endpoint has just completed a request of this router. Endpoints
	// report their load only in answers, so that otherwise nothing would tell of the free slot while
	// all requests wait.
	freed bool
	// firstEvent is the time from the start of an ended request to its first event, and total
	// that to its end; 0 if unknown.
	firstEvent, total time.Duration
}

// queuedRequest describes a request to a serviceQueue; only id is set in events on a request that
// has arrived before.
type queuedRequest struct {
	id        uint64
	workspace string
	// priority is from 0, the highest, to 9.
	priority int
	// arrivedAt is when the router received the request, and deadline the end of its time.
	arrivedAt, deadline time.Duration
	// tokens is the unit in which workspaces share.
	tokens float64
	// returning is set if the caller came back when it was told to.
	returning bool
	// random in [0, 1) determines the jitter of Retry-After.
	random float64
}

// latestStart returns when the request has waited for the part of its time that it may wait.
func (r queuedRequest) latestStart() time.Duration {
	return r.arrivedAt + time.Duration(maxWaitFraction*float64(r.deadline-r.arrivedAt))
}

// transit is a started request that known loads may not include yet.
type transit struct {
	id uint64
	at time.Duration
	// fromReport is set if it took a slot that was reported to be free and that may be the slot of a
	// request of this router whose end is not known yet.
	fromReport bool
}

// serviceQueue decides when the requests of one service start and which of them are refused. A
// request waits only while the endpoints are known to be full. serviceQueue has no clock and no
// source of randomness, and is not safe for concurrent use.
type serviceQueue struct {
	queue *admitter.Queue
	// waiting holds the requests in queue by id.
	waiting map[uint64]queuedRequest
	// transits is ordered by time.
	transits []transit
	starts   startRate
	// slots and routers are those of the last event that stated them.
	slots, routers int
	// running is the number of started requests that have not ended.
	running int
	// meanFirstEvent and meanTotal are the mean times from a start to the first event and to the
	// end; meanTotal is 0 before the first measurement.
	meanFirstEvent, meanTotal time.Duration
	// actions is reused between steps.
	actions []admitter.Action
}

func newServiceQueue() *serviceQueue {
	q := &serviceQueue{waiting: map[uint64]queuedRequest{}, meanFirstEvent: defaultFirstEvent}
	q.queue = admitter.NewQueue(admitter.DefaultBounds, lateShedder{q})
	return q
}

// Waiting returns the number of waiting requests.
func (q *serviceQueue) Waiting() int { return q.queue.Waiting() }

// Step applies an event and returns the resulting actions, which are valid until the next step.
func (q *serviceQueue) Step(now time.Duration, e queueEvent) []admitter.Action {
	q.actions = q.actions[:0]
	switch e.kind {
	case queueReported:
		q.removeTransit(e.request.id)
		return nil
	case queueEnd:
		q.removeTransit(e.request.id)
		q.running--
		q.learn(e)
		return nil
	}
	q.slots, q.routers = e.capacity.Slots, e.routers
	if e.kind == queueCancel {
		delete(q.waiting, e.request.id)
		q.step(now, q.beforeExpiry(now), 0, admitter.Event{Kind: admitter.Cancel, Request: admitter.Request{ID: e.request.id}})
	}
	q.startWaiting(now, q.Room(now, e.capacity))
	if e.freed && q.Waiting() > 0 && q.freesSlot(now) {
		q.startWaiting(now, 1)
		q.transits[len(q.transits)-1].fromReport = false
	}
	switch {
	case e.kind == queueArrive && q.Room(now, e.capacity) > 0:
		q.start(now, e.request.id)
	case e.kind == queueArrive:
		q.waiting[e.request.id] = e.request
		q.step(now, now, 0, admitter.Event{Kind: admitter.Arrive, Request: q.admitterRequest(e.request)})
	default:
		q.step(now, now, 0, admitter.Event{Kind: admitter.Tick})
	}
	return q.actions
}

// Room returns how many requests may start at the given capacity. It is not limited unless the load
// of all endpoints is known, and if there is no endpoint at all: waiting would not help then.
func (q *serviceQueue) Room(now time.Duration, c predictor.Capacity) int {
	if !c.Known || c.Slots <= 0 {
		return unlimitedRoom
	}
	for len(q.transits) > 0 && now-q.transits[0].at > maxLoadAge {
		q.transits = q.transits[1:]
	}
	return max(c.Room-len(q.transits), 0)
}

// slotShare returns this router's even share of all slots.
func (q *serviceQueue) slotShare() float64 { return float64(q.slots) / float64(max(q.routers, 1)) }

// freesSlot reports whether the end of a request of this router frees a slot that no request was
// started for yet. Beyond the router's even share of the slots it may be one that other routers
// were told of, or that of a request which waited at a full endpoint, or at one that has left.
func (q *serviceQueue) freesSlot(now time.Duration) bool {
	if float64(q.running) >= q.slotShare() {
		return false
	}
	for i := len(q.transits) - 1; i >= 0 && now-q.transits[i].at <= maxReportLead; i-- {
		if q.transits[i].fromReport {
			q.transits[i].fromReport = false
			return false
		}
	}
	return true
}

// startWaiting starts waiting requests while there is room. It does so before any of them expires,
// so that no request is refused while there is room.
func (q *serviceQueue) startWaiting(now time.Duration, room int) {
	if room > 0 && q.Waiting() > 0 {
		q.step(now, q.beforeExpiry(now), room, admitter.Event{Kind: admitter.Tick})
	}
}

// beforeExpiry returns the latest time up to now at which no waiting request expires.
func (q *serviceQueue) beforeExpiry(now time.Duration) time.Duration {
	if expiry, ok := q.queue.NextExpiry(); ok {
		return min(now, expiry)
	}
	return now
}

// step passes an event to the queue at the given room and records the resulting actions. at is the
// queue's time.
func (q *serviceQueue) step(now, at time.Duration, room int, e admitter.Event) {
	e.Limit = max(q.slots, room, 1)
	e.InFlight = e.Limit - room
	for _, a := range q.queue.Step(at, e) {
		r := q.waiting[a.ID]
		delete(q.waiting, a.ID)
		if a.Verdict == admitter.Start {
			q.start(now, a.ID)
			continue
		}
		q.actions = append(q.actions, admitter.Action{ID: a.ID, Verdict: a.Verdict, RetryAfter: q.retryAfter(now, r)})
	}
}

// start records the start of a request.
func (q *serviceQueue) start(now time.Duration, id uint64) {
	q.transits = append(q.transits, transit{id: id, at: now, fromReport: true})
	q.running++
	q.starts.add(now)
	q.actions = append(q.actions, admitter.Action{ID: id, Verdict: admitter.Start})
}

func (q *serviceQueue) removeTransit(id uint64) {
	q.transits = slices.DeleteFunc(q.transits, func(t transit) bool { return t.id == id })
}

// learn updates the mean durations with those of an ended request.
func (q *serviceQueue) learn(e queueEvent) {
	if e.firstEvent > 0 {
		q.meanFirstEvent += time.Duration(durationGain * float64(e.firstEvent-q.meanFirstEvent))
	}
	switch {
	case e.total <= 0:
	case q.meanTotal == 0:
		q.meanTotal = e.total
	default:
		q.meanTotal += time.Duration(durationGain * float64(e.total-q.meanTotal))
	}
}

// admitterRequest describes a request to the queue. Its minimum service time is such that it expires
// at its latest start.
func (q *serviceQueue) admitterRequest(r queuedRequest) admitter.Request {
	return admitter.Request{
		ID: r.id, Workspace: r.workspace, Priority: r.priority, Deadline: r.deadline, Tokens: r.tokens,
		Service: q.meanFirstEvent, MinService: r.deadline - r.latestStart(), Returning: r.returning,
	}
}

// rate returns the requests per second that this router can start, or 0 before a request has ended:
// the rate of the last seconds, or this router's even share of the slots' rate if that is higher. As
// long as the endpoints are not full, the former is only the rate of arrivals.
func (q *serviceQueue) rate(now time.Duration) float64 {
	if q.meanTotal <= 0 {
		return 0
	}
	return max(q.starts.perSecond(now), q.slotShare()/q.meanTotal.Seconds())
}

// retryAfter returns when the waiting requests of a refused request's priority and higher ones will
// have started, with jitter.
func (q *serviceQueue) retryAfter(now time.Duration, r queuedRequest) time.Duration {
	after := retryDelay
	if rate := q.rate(now); rate > 0 {
		ahead := 1
		for _, w := range q.waiting {
			if w.priority <= r.priority {
				ahead++
			}
		}
		after = time.Duration(float64(ahead) / rate * float64(time.Second))
	}
	after = min(max(after, minQueueRetry), maxQueueRetry)
	// Callers are told whole milliseconds.
	return (after + time.Duration(retryJitterFraction*r.random*float64(after))).Round(time.Millisecond)
}

// lateShedder refuses arriving requests whose first event would come after their deadline, or that
// would wait for longer than they may.
type lateShedder struct{ q *serviceQueue }

// ShouldShed implements admitter.Shedder. The wait is calculated from the place in the queue and from
// the rate of starts, since other routers use the same slots.
func (s lateShedder) ShouldShed(now time.Duration, r admitter.Request, f admitter.Forecast) (bool, time.Duration) {
	rate := s.q.rate(now)
	if rate <= 0 {
		return false, 0
	}
	// The queue assumes that all slots serve its requests one after the other.
	places := float64(f.Wait) * float64(max(s.q.slots, 1)) / float64(max(s.q.meanFirstEvent, 1))
	wait := min(places/rate, startRateLimit.Seconds())
	return now+time.Duration(wait*float64(time.Second))+max(r.Service, r.MinService) > r.Deadline, 0
}

// startRateLimit bounds predicted waits to the range of time.Duration.
const startRateLimit = time.Hour

// startRate measures the rate of starts over startRateWindow.
type startRate struct {
	counts [startRateWindow / startRateBucket]int
	// bucket is the number of the newest bucket since the fixed instant.
	bucket int64
	// first is the time of the first start; known is set once there was one.
	first time.Duration
	known bool
}

// advance clears the buckets that began since the last call.
func (s *startRate) advance(now time.Duration) {
	n := int64(len(s.counts))
	b := int64(now / startRateBucket)
	for i := max(s.bucket+1, b-n+1); i <= b; i++ {
		s.counts[i%n] = 0
	}
	s.bucket = max(s.bucket, b)
}

func (s *startRate) add(now time.Duration) {
	s.advance(now)
	if !s.known {
		s.first, s.known = now, true
	}
	s.counts[s.bucket%int64(len(s.counts))]++
}

// perSecond returns the rate, which is 0 without any start in the window.
func (s *startRate) perSecond(now time.Duration) float64 {
	s.advance(now)
	sum := 0
	for _, n := range s.counts {
		sum += n
	}
	over := min(max(now-s.first, startRateBucket), startRateWindow)
	return float64(sum) / over.Seconds()
}
