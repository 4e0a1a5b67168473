// Package publisher holds a configuration that operators send as one whole
// document under a number of their own: routes, services, workspaces and
// limits. Of two documents the one with the higher number is in force.
package publisher

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid says that a document must not come into force.
var ErrInvalid = merry.Sentinel("invalid configuration")

// RouteKind says what may be repeated.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent RouteKind = iota
	// Once is a request that may run once at the most.
	Once
	// Stream is answered by a series of events; it may run once at the most
	// unless it can be resumed.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is against the sum of the route's weights; never negative.
	Weight int64
}

// Route says which service answers the requests below a path.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer earns its full worth.
	Objective time.Duration
	// Pause is the longest time between two events of an answer in time.
	Pause time.Duration
	// Priority is the rank of the route; 0 comes first.
	Priority int
	Shares   []Share
	// Attempts is how many endpoints a request may be sent to.
	Attempts int
	// Public routes ask for no key.
	Public bool
	// Affine routes carry prompts whose parts are worth finding again.
	Affine bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Regions are the only ones in which requests may be served; empty for any.
	Regions []string
}

// Repeatable reports whether a request may be sent to a second endpoint
// although the first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is the memory that running requests and cached parts share.
	MemoryTokens int64
	// Stride is how many tokens one event holds at the most.
	Stride int64
	// TokenBytes is the memory that one token takes, in bytes, and LinkRate how fast
	// engines pass it on to each other, in bytes a second; 0 where they don't.
	TokenBytes, LinkRate float64
}

// Carry returns how long engines of a zone take to pass on the memory of one token;
// 0 where they don't.
func (e *Engine) Carry() time.Duration {
	if e.TokenBytes <= 0 || e.LinkRate <= 0 {
		return 0
	}
	return time.Duration(e.TokenBytes / e.LinkRate * float64(time.Second))
}

// Service is a kind of endpoint.
type Service struct {
	Name       string
	HealthPath string
	// Connections is how many an endpoint takes from all routers together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
	Cold   Cold
}

// Cold says what endpoints of a service bear after their start.
type Cold struct {
	// Duration is how long an endpoint is cold.
	Duration time.Duration
	// PerSecond is how many requests it tolerates meanwhile; 0 for any number.
	PerSecond float64
}

// Workspace pays for its requests.
type Workspace struct {
	Name string
	Keys []string
	// Priority comes before the route's where it is set.
	Priority *int
	// Prepaid is the total of tokens; nil for no limit.
	Prepaid *int64
	// Regions are the only ones in which its requests may be served; empty for any.
	// Those of a route bind beside them.
	Regions []string
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one whole configuration. It is never changed once checked.
type Document struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed reports whether the document speaks of workspaces at all: without
	// them no request needs a key.
	Keyed  bool
	Limits Limits
}

// Check returns ErrInvalid with the first fault found.
func (d *Document) Check() error {
	if d.Number == 0 {
		return merry.Errorf("%w: the number is missing", ErrInvalid)
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	places := map[place]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		p := place{r.Host, r.Prefix}
		if places[p] {
			return merry.Errorf("%w: two routes at %s%s", ErrInvalid, r.Host, r.Prefix)
		}
		places[p] = true
	}
	return d.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return merry.Errorf("%w: route %s has no timeout", ErrInvalid, r.Name)
	}
	var sum int64
	for _, s := range r.Shares {
		if !services[s.Service] {
			return merry.Errorf("%w: route %s names the unknown service %q", ErrInvalid, r.Name, s.Service)
		}
		if s.Weight < 0 {
			return merry.Errorf("%w: route %s has a negative weight", ErrInvalid, r.Name)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return merry.Errorf("%w: the weights of route %s add up to 0", ErrInvalid, r.Name)
	}
	return nil
}

func (d *Document) checkKeys() error {
	owner := map[string]string{}
	for _, w := range d.Workspaces {
		for _, k := range w.Keys {
			if o, ok := owner[k]; ok && o != w.Name {
				return merry.Errorf("%w: workspaces %s and %s share a key", ErrInvalid, o, w.Name)
			}
			owner[k] = w.Name
		}
	}
	return nil
}
