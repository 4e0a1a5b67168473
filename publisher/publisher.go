// Package publisher defines the configuration that operators publish as one whole document
// under a number that they choose: routes, services, workspaces and limits. Of two
// documents the one with the higher number is current.
package publisher

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid says that a document is invalid and must not be published.
var ErrInvalid = merry.Sentinel("invalid configuration")

// RouteKind says how often a request of a route may run.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent RouteKind = iota
	// AtMostOnce requests may run once at most.
	AtMostOnce
	// Stream requests are answered by a series of events. They may run once at most unless
	// the stream can be resumed.
	Stream
)

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights; never negative.
	Weight int64
}

// Route assigns the requests below a path to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds how long a caller waits for the answer.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer has its full value.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream that is on time.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	Shares   []Share
	// Attempts is how many endpoints a request may be sent to.
	Attempts int
	// Public routes require no key.
	Public bool
	// PrefixAffinity is set if requests carry prompts whose prefixes endpoints may have
	// cached.
	PrefixAffinity bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
	// Regions are the only regions in which requests may be served; empty for any.
	Regions []string
}

// Repeatable reports whether a request may be sent to a second endpoint although the first
// may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run concurrently.
	Slots int
	// MemoryTokens is the memory that running requests and cached prefixes share, in
	// tokens.
	MemoryTokens int64
	// MaxTokensPerEvent bounds the tokens in one event of a stream.
	MaxTokensPerEvent int64
	// TokenBytes is the memory of one token in bytes, and LinkRate the speed at which
	// engines transfer it to each other, in bytes per second; 0 if they do not.
	TokenBytes, LinkRate float64
}

// TransferTimePerToken returns how long the transfer of one token's memory between engines
// of a zone takes; 0 if engines do not transfer memory.
func (e *Engine) TransferTimePerToken() time.Duration {
	if e.TokenBytes <= 0 || e.LinkRate <= 0 {
		return 0
	}
	return time.Duration(e.TokenBytes / e.LinkRate * float64(time.Second))
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// Connections bounds the connections to one endpoint from all routers together.
	Connections int
	// Engine is nil for plain services.
	Engine    *Engine
	ColdStart ColdStart
}

// ColdStart describes the load that endpoints of a service tolerate after their start.
type ColdStart struct {
	// Duration is how long an endpoint is cold.
	Duration time.Duration
	// MaxRequestsPerSecond is the rate that a cold endpoint tolerates; 0 for any rate.
	MaxRequestsPerSecond float64
}

// Workspace is a customer account with its keys and its prepaid tokens.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
	// Prepaid is the prepaid total in tokens; nil for no limit.
	Prepaid *int64
	// Regions are the only regions in which its requests may be served; empty for any. The
	// regions of the route apply as well.
	Regions []string
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one whole configuration. It does not change after Check.
type Document struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequiresKeys is set if the document defines workspaces at all: without them no
	// request needs a key.
	RequiresKeys bool
	Limits       Limits
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
	keys := map[routeKey]bool{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		p := routeKey{r.Host, r.Prefix}
		if keys[p] {
			return merry.Errorf("%w: two routes at %s%s", ErrInvalid, r.Host, r.Prefix)
		}
		keys[p] = true
	}
	return d.checkKeys()
}

// check returns ErrInvalid with the first fault of the route.
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

// checkKeys returns ErrInvalid if two workspaces share a key.
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
