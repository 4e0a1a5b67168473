package rattanhoist

import (
	"sync/atomic"
	"time"
)

// Endpoint is a back end as one router knows it from its announcements. Its
// identity is immutable. Its load, its age and whether it is leaving are updated
// in place, so that readers of an older table see the update at once.
type Endpoint struct {
	// Name is unique within the deployment.
	name    string
	service string
	zone    string
	address string
	// Labels are never changed after construction.
	labels      map[string]string
	incarnation Incarnation
	// Capacity is the number of requests that can run concurrently; at least 1.
	capacity      int64
	checksFencing bool
	// HeldUntil is when an endpoint held back for quick restarts may be used again.
	heldUntil Moment
	// Renewal is never nil.
	renewal atomic.Pointer[renewal]
}

// renewal holds the fields that later announcements change. A renewal is immutable
// and is replaced as a whole.
type renewal struct {
	load int64
	// announcedAt is no later than the time of the announcement, so that the age
	// computed from it is never too small.
	announcedAt Moment
	// leaving is never reset for an incarnation.
	leaving bool
}

// EndpointFields holds the fields of an announcement, as arguments of NewEndpoint.
type EndpointFields struct {
	Name, Service, Zone, Address string
	Labels                       map[string]string
	Incarnation                  Incarnation
	Capacity, Load               int64
	AnnouncedAt                  time.Time
	Leaving                      bool
	ChecksFencing                bool
	// HeldUntil is zero for an endpoint that is not held back for quick restarts.
	HeldUntil Moment
}

// NewEndpoint returns an endpoint with the given fields. A capacity below 1 is
// raised to 1.
func NewEndpoint(f EndpointFields) *Endpoint {
	e := &Endpoint{
		name: f.Name, service: f.Service, zone: f.Zone, address: f.Address,
		labels: f.Labels, incarnation: f.Incarnation,
		capacity: max(f.Capacity, 1), checksFencing: f.ChecksFencing, heldUntil: f.HeldUntil,
	}
	e.renewal.Store(&renewal{load: f.Load, announcedAt: MomentOf(f.AnnouncedAt), leaving: f.Leaving})
	return e
}

// Renew sets the load and the time of the latest announcement. Calls of Renew and
// MarkLeaving must not overlap.
func (e *Endpoint) Renew(load int64, announcedAt Moment) {
	e.renewal.Store(&renewal{load: load, announcedAt: announcedAt, leaving: e.Leaving()})
}

// MarkLeaving marks the endpoint as leaving permanently. Calls of Renew and MarkLeaving must
// not overlap.
func (e *Endpoint) MarkLeaving() {
	r := *e.renewal.Load()
	r.leaving = true
	e.renewal.Store(&r)
}

// Name returns the name, which is unique within the deployment.
func (e *Endpoint) Name() string { return e.name }

// Service returns the service that the endpoint serves.
func (e *Endpoint) Service() string { return e.service }

// Zone returns the availability zone.
func (e *Endpoint) Zone() string { return e.zone }

// Address returns the host:port of the endpoint's HTTP server.
func (e *Endpoint) Address() string { return e.address }

// Labels returns the labels; callers must not change them.
func (e *Endpoint) Labels() map[string]string { return e.labels }

// Incarnation returns the incarnation that made the announcement.
func (e *Endpoint) Incarnation() Incarnation { return e.incarnation }

// Capacity returns the number of requests that can run concurrently.
func (e *Endpoint) Capacity() int64 { return e.capacity }

// ChecksFencing reports whether the endpoint rejects orders with an outdated
// fencing number.
func (e *Endpoint) ChecksFencing() bool { return e.checksFencing }

// Load returns the number of requests in progress that was last reported.
func (e *Endpoint) Load() int64 { return e.renewal.Load().load }

// AnnouncedAt returns the earliest time at which the latest announcement can have been made.
func (e *Endpoint) AnnouncedAt() time.Time { return e.renewal.Load().announcedAt.Time() }

// AnnouncedAtMoment returns the same time as AnnouncedAt, as read from both clocks.
func (e *Endpoint) AnnouncedAtMoment() Moment { return e.renewal.Load().announcedAt }

// Leaving reports whether the endpoint is leaving and accepts no new requests.
func (e *Endpoint) Leaving() bool { return e.renewal.Load().leaving }

// UsableAt reports whether new requests may be sent at now: the endpoint is not
// leaving, is not held back, and its latest announcement is less than maxAge old by
// both clocks.
func (e *Endpoint) UsableAt(now Moment, maxAge time.Duration) bool {
	r := e.renewal.Load()
	if r.leaving || !e.heldUntil.IsZero() && now.Before(e.heldUntil) {
		return false
	}
	age, ok := now.Since(r.announcedAt)
	return ok && age < maxAge
}
