// Package admitter decides which requests of a service are dispatched now,
// which wait, and which are refused before they run. Shedders are plug-ins
// that register themselves under a name.
package admitter

import (
	"time"

	"rattanhoist.example/rattanhoist/registrar"
)

// Request is what admission knows of a request. Times count from any fixed
// instant.
type Request struct {
	// ID is unique among the requests that wait.
	ID        uint64
	Workspace string
	// Priority is 0 (first) to Priorities-1.
	Priority int
	Deadline time.Duration
	// Tokens is the expected work; workspaces share the service by it.
	Tokens float64
	// Service is the expected time from dispatch to the end of the answer.
	Service time.Duration
	// Least is the shortest time from dispatch to the end that is thinkable;
	// past Deadline-Least the request can't be met any more.
	Least time.Duration
	// Random in [0, 1) decides for shedders that shed a share.
	Random float64
}

// Priorities is the number of priorities.
const Priorities = 10

// Forecast is what the state of the service means for a request.
type Forecast struct {
	// Wait is the time until the request would be dispatched.
	Wait time.Duration
	// Fill is the work in progress and waiting by what may be in progress.
	Fill float64
	// Waiting is how many requests wait already.
	Waiting int
}

// Shedder decides whether a request is let in; a refused one is told when to
// come back. Shed is called under the queue's lock.
type Shedder interface {
	Shed(now time.Duration, r Request, f Forecast) (refused bool, after time.Duration)
}

// Default is the shedder for names that are not registered.
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

// Names lists the registered plug-ins in order.
func Names() []string { return registry.Names() }
