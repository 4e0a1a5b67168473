// Package admitter implements admission control: it decides which requests of
// a service are dispatched now, which are queued, and which are rejected before
// they run. Load shedders are plug-ins that register themselves under a name.
package admitter

import (
	"time"

	"rattanhoist.example/rattanhoist/registrar"
)

// Request describes a request to admission control. Times are offsets from an
// arbitrary fixed instant.
type Request struct {
	// ID is unique among the waiting requests.
	ID        uint64
	Workspace string
	// Priority ranges from 0 (highest) to Priorities-1.
	Priority int
	Deadline time.Duration
	// Tokens is the expected work, the unit of fair sharing among workspaces.
	Tokens float64
	// Service is the expected time from dispatch to the end of the response.
	Service time.Duration
	// MinService is the lower bound of the time from dispatch to the end of
	// the response; a request dispatched after Deadline-MinService is
	// certain to miss its deadline.
	MinService time.Duration
	// Returning requests go before all others of their priority.
	Returning bool
	// RandomValue in [0, 1) is the random draw for shedders that reject a
	// fraction of the requests.
	RandomValue float64
}

// Priorities is the number of priority levels.
const Priorities = 10

// Forecast holds the predicted wait of a request and the load of its service.
type Forecast struct {
	// Wait is the predicted time until the request is dispatched.
	Wait time.Duration
	// Load is the number of requests in progress and waiting, divided by the
	// concurrency limit.
	Load float64
	// Waiting is the number of requests that are already waiting.
	Waiting int
}

// Shedder decides whether an arriving request is rejected, and after which time
// its caller may retry. ShouldShed is called while the queue is locked.
type Shedder interface {
	ShouldShed(now time.Duration, r Request, f Forecast) (refused bool, after time.Duration)
}

// Default is the shedder used for names that are not registered.
const Default = "deadline"

var registry = registrar.New[func() Shedder](Default)

// Register adds a plug-in under a name and returns the name, so that it can
// be called from a package-level value.
func Register(name string, f func() Shedder) string { return registry.Register(name, f) }

// New returns a new shedder by name, or the default one and false.
func New(name string) (Shedder, bool) {
	f, ok := registry.Lookup(name)
	return f(), ok
}

// Names returns the sorted names of the registered plug-ins.
func Names() []string { return registry.Names() }
