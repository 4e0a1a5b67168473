package predictor

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/permitter"
)

const (
	// rejectionMemory is how long an endpoint that rejected a request is considered full.
	rejectionMemory = time.Second
	// denialMemory is how long no permit is asked for after one was denied: a few short answers.
	denialMemory = 20 * time.Millisecond
	// While an endpoint limits rejections, 1/reservedSlotsDivisor of its slots are left for requests
	// that this router does not know of yet.
	reservedSlotsDivisor = 4
)

// maxRecentRejections bounds the rejections that are remembered for an endpoint.
const maxRecentRejections = 64

// recordRejection records that the endpoint rejected a request of this router for want of room.
func (e *Endpoint) recordRejection(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejectedAt = now
	e.rejections = slices.DeleteFunc(e.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionMemory })
	if len(e.rejections) < maxRecentRejections {
		e.rejections = append(e.rejections, now)
	}
}

// RecentRejections returns how many requests of this router the endpoint has rejected in the last
// rejectionMemory.
func (e *Endpoint) RecentRejections(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.rejections {
		if now.Sub(at) < rejectionMemory {
			n++
		}
	}
	return n
}

// LastRejection returns when the endpoint last rejected a request of this router, and whether that was
// within rejectionMemory.
func (e *Endpoint) LastRejection(now time.Time) (at time.Time, recent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejectedAt, now.Sub(e.rejectedAt) < rejectionMemory
}

// Belief is what a router knew of an endpoint's room when it chose the endpoint for a request.
type Belief struct {
	// LimitKnown is set if the router knew that the endpoint limits rejections.
	LimitKnown bool
	// AtRisk is set if the request took a token of the router's share of the rejections, and
	// Permitted if it got a permit.
	AtRisk, Permitted bool
	// Load is the newest known load, and LoadAge its age. LoadKnown is set if it was recent
	// enough to be used.
	Load      Load
	LoadAge   time.Duration
	LoadKnown bool
	// Own is the number of this router's other requests there, and Unreported how many of them the
	// load does not include.
	Own, Unreported int
}

// Reason says why the request was sent, in a word for counters.
func (b Belief) Reason() string {
	switch {
	case b.Permitted:
		return "permitted"
	case !b.LimitKnown:
		return "limit_unknown"
	case b.AtRisk:
		return "at_risk"
	case !b.LoadKnown:
		return "load_unknown"
	}
	return "room"
}

// belief returns what is known of the endpoint's room. The caller holds e.mu.
func (e *Endpoint) belief(now time.Time, atRisk bool) Belief {
	return Belief{
		LimitKnown: e.limitsRejections(now), AtRisk: atRisk, Load: e.reported, LoadAge: now.Sub(e.reportedAt),
		LoadKnown: e.loadKnown(now), Own: e.running, Unreported: e.unreported(now),
	}
}

// Belief returns what was known of the endpoint's room when it was chosen.
func (w *Assignment) Belief() Belief { return w.belief }

// mayReject reports whether the endpoint limits rejections and might reject a request now, as far as
// this router knows its load. It may hold fewer waiting requests than usual, so that only free slots
// count as room. The other routers of the fleet are assumed to have sent there, since its last report, as
// many requests each as this one.
func (e *Endpoint) mayReject(now time.Time, routers int) bool {
	if !e.limitsRejections(now) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.rejectedAt) < rejectionMemory || e.reported.Waiting > 0 && e.loadKnown(now) {
		return true
	}
	slots := e.beat.Slots
	unknown := max(routers-1, 0) * e.unreported(now)
	return slots > 0 && e.activeRequests(now)+unknown >= slots-reservedSlots(slots)
}

// unreported returns the number of requests of this router at the endpoint that its last report does not
// include.
func (e *Endpoint) unreported(now time.Time) int {
	if e.reports == nil || !e.loadKnown(now) {
		return e.running
	}
	return e.dispatchedSince(e.reportedAt)
}

// usableSlots returns how many of the endpoint's slots routers use together.
func (e *Endpoint) usableSlots(now time.Time, slots int) int {
	if e.NeedsPermit(now) {
		return permitter.Limit(slots)
	}
	return slots
}

// reservedSlots returns how many slots are left free at an endpoint that limits rejections.
func reservedSlots(slots int) int { return (slots + reservedSlotsDivisor - 1) / reservedSlotsDivisor }

// EnablePermits makes routers ask for a permit for each request to an endpoint that limits rejections.
// It must be called before endpoints are put in service.
func (t *Table) EnablePermits() { t.permits = true }

// NeedsPermit reports whether a request may be sent to the endpoint only with a permit: the endpoint
// limits rejections, and the router that grants permits can know how many requests it has room for.
func (e *Endpoint) NeedsPermit(now time.Time) bool {
	return e.permits.Load() && e.beat.Slots > 0 && e.limitsRejections(now)
}

// AllNeedPermits reports whether there are endpoints of a service, all of which need permits.
func (t *Table) AllNeedPermits(now time.Time, service string) bool {
	list := t.Endpoints(service)
	return len(list) > 0 && !slices.ContainsFunc(list, func(e *Endpoint) bool { return !e.NeedsPermit(now) })
}

// RecordDenial records that a permit was denied.
func (e *Endpoint) RecordDenial(now time.Time) { e.deniedAt.Store(now.UnixNano()) }

// mayAsk reports whether a permit may be granted now, as far as this router knows.
func (e *Endpoint) mayAsk(now time.Time) bool {
	if now.UnixNano()-e.deniedAt.Load() < int64(denialMemory) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.rejectedAt) >= rejectionMemory
}

// ReportedLoad returns the newest load that any router observed, and when. It returns the zero time if
// there is none.
func (e *Endpoint) ReportedLoad() (Load, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reported, e.reportedAt
}

// Permitted records that the request got a permit.
func (w *Assignment) Permitted() { w.belief.Permitted = true }

// admits reports whether the endpoint may be sent a request now, in a fleet of so many routers.
func (e *Endpoint) admits(now time.Time, routers int) bool {
	if e.NeedsPermit(now) {
		return e.warmup.Open(now) && e.mayAsk(now)
	}
	return e.warmup.Open(now) && (!e.mayReject(now, routers) || e.warmup.RiskOpen(now))
}

// admit reports whether the endpoint may be sent a request now, and counts it if so. AtRisk is set if
// the endpoint might reject the request.
func (e *Endpoint) admit(now time.Time, routers int) (atRisk, ok bool) {
	atRisk = !e.NeedsPermit(now) && e.mayReject(now, routers)
	if atRisk && !e.warmup.AdmitRisk(now) {
		return atRisk, false
	}
	return atRisk, e.warmup.Admit(now)
}
