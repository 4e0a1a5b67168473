package rattanhoist

import "time"

// Endpoint is an announced back end as one router sees it. It is immutable;
// a new announcement makes a new Endpoint.
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
	capacity int64
	load     int64
	// Heard is when the announcement was made, on the local clock.
	heard   time.Time
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
}

// NewEndpoint returns the endpoint that the fields describe.
func NewEndpoint(f EndpointFields) *Endpoint {
	return &Endpoint{
		name: f.Name, service: f.Service, zone: f.Zone, address: f.Address,
		labels: f.Labels, incarnation: f.Incarnation,
		capacity: max(f.Capacity, 1), load: f.Load, heard: f.Heard, leaving: f.Leaving,
	}
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

// Load returns the requests in progress as last reported.
func (e *Endpoint) Load() int64 { return e.load }

// Heard returns when the announcement was made.
func (e *Endpoint) Heard() time.Time { return e.heard }

// Leaving reports whether the endpoint takes no new work.
func (e *Endpoint) Leaving() bool { return e.leaving }
