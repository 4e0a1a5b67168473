package predictor

import "time"

const (
	// rejectionMemory is how long an endpoint that rejected a request is considered full.
	rejectionMemory = time.Second
	// While an endpoint limits rejections, 1/reservedSlotsDivisor of its slots are left for requests
	// that this router does not know of yet.
	reservedSlotsDivisor = 4
)

// recordRejection records that the endpoint rejected a request of this router for want of room.
func (e *Endpoint) recordRejection(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejectedAt = now
}

// mayReject reports whether the endpoint limits rejections and might reject a request now, as far as
// this router knows its load. It may hold fewer waiting requests than usual, so that only free slots
// count as room. The other routers of the fleet are assumed to have sent there, since its last report, as
// many requests each as this one.
func (e *Endpoint) mayReject(now time.Time, routers int) bool {
	if !e.warmup.LimitsRejections() {
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

// reservedSlots returns how many slots are left free at an endpoint that limits rejections.
func reservedSlots(slots int) int { return (slots + reservedSlotsDivisor - 1) / reservedSlotsDivisor }

// admits reports whether the endpoint may be sent a request now, in a fleet of so many routers.
func (e *Endpoint) admits(now time.Time, routers int) bool {
	return e.warmup.Open(now) && (!e.mayReject(now, routers) || e.warmup.RiskOpen(now))
}

// admit reports whether the endpoint may be sent a request now, and counts it if so.
func (e *Endpoint) admit(now time.Time, routers int) bool {
	if e.mayReject(now, routers) && !e.warmup.AdmitRisk(now) {
		return false
	}
	return e.warmup.Admit(now)
}
