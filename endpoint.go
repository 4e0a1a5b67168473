package rattanhoist

import (
	"sync/atomic"
	"time"
)

// Endpoint is an announced back end as one router sees it. What it is never
// changes; its load, its age and whether it leaves are renewed in place, so
// that readers of an older table see them at once.
type Endpoint struct {
	// Name is unique in the deployment.
	name    string
	service string
	zone    string
	address string
	// Labels are never changed after construction.
	labels      map[string]string
	incarnation Incarnation
	// Capacity is the number of requests that run at once; at least 1.
	capacity      int64
	checksFencing bool
	// HeldUntil is when a damped endpoint may be used again.
	heldUntil Moment
	// Renewal is never nil.
	renewal atomic.Pointer[renewal]
}

// renewal is the part of an announcement that changes; immutable.
type renewal struct {
	load int64
	// Heard is a moment at or before which the announcement was made, so
	// that the age reckoned from it is never too small.
	heard Moment
	// Leaving is final for an incarnation.
	leaving bool
}

// EndpointFields carries the fields of an announcement to NewEndpoint.
type EndpointFields struct {
	Name, Service, Zone, Address string
	Labels                       map[string]string
	Incarnation                  Incarnation
	Capacity, Load               int64
	Heard                        time.Time
	Leaving                      bool
	ChecksFencing                bool
	// HeldUntil is zero for an endpoint that is not damped.
	HeldUntil Moment
}

// NewEndpoint returns the endpoint that the fields describe.
func NewEndpoint(f EndpointFields) *Endpoint {
	e := &Endpoint{
		name: f.Name, service: f.Service, zone: f.Zone, address: f.Address,
		labels: f.Labels, incarnation: f.Incarnation,
		capacity: max(f.Capacity, 1), checksFencing: f.ChecksFencing, heldUntil: f.HeldUntil,
	}
	e.renewal.Store(&renewal{load: f.Load, heard: MomentOf(f.Heard), leaving: f.Leaving})
	return e
}

// Renew replaces load and age. Only one writer at a time may call it.
func (e *Endpoint) Renew(load int64, heard Moment) {
	e.renewal.Store(&renewal{load: load, heard: heard, leaving: e.Leaving()})
}

// Leave marks the endpoint as leaving, for good. Only one writer at a time
// may call it.
func (e *Endpoint) Leave() {
	r := *e.renewal.Load()
	r.leaving = true
	e.renewal.Store(&r)
}

// Name returns the unique name.
func (e *Endpoint) Name() string { return e.name }

// Service returns the service that the endpoint serves.
func (e *Endpoint) Service() string { return e.service }

// Zone returns the availability zone.
func (e *Endpoint) Zone() string { return e.zone }

// Address returns host:port of the HTTP server.
func (e *Endpoint) Address() string { return e.address }

// Labels returns the labels; callers must not change them.
func (e *Endpoint) Labels() map[string]string { return e.labels }

// Incarnation returns the start that made the announcement.
func (e *Endpoint) Incarnation() Incarnation { return e.incarnation }

// Capacity returns how many requests run at once.
func (e *Endpoint) Capacity() int64 { return e.capacity }

// ChecksFencing reports whether the endpoint refuses an order with an old
// fencing number.
func (e *Endpoint) ChecksFencing() bool { return e.checksFencing }

// Load returns the requests in progress as last reported.
func (e *Endpoint) Load() int64 { return e.renewal.Load().load }

// Heard returns when the announcement was made at the earliest.
func (e *Endpoint) Heard() time.Time { return e.renewal.Load().heard.Time() }

// HeardMoment is Heard by both clocks.
func (e *Endpoint) HeardMoment() Moment { return e.renewal.Load().heard }

// Leaving reports whether the endpoint takes no new work.
func (e *Endpoint) Leaving() bool { return e.renewal.Load().leaving }

// UsableAt reports whether new work may be sent at now: the endpoint does not
// leave, is not held back and was heard less than maxAge ago by both clocks.
func (e *Endpoint) UsableAt(now Moment, maxAge time.Duration) bool {
	r := e.renewal.Load()
	if r.leaving || !e.heldUntil.IsZero() && now.Before(e.heldUntil) {
		return false
	}
	age, ok := now.Since(r.heard)
	return ok && age < maxAge
}
