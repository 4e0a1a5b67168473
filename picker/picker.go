// Package picker chooses the endpoint of a request. Pickers are plug-ins that
// register themselves under a name.
package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Candidate is an endpoint that may serve the request.
type Candidate struct {
	Endpoint *rattanhoist.Endpoint
	// InFlight is the number of this router's own requests there.
	InFlight int64
}

// Query is what a picker knows of the request.
type Query struct {
	Now      time.Time
	Deadline time.Time
	Zone     string
	// Prefix is a hash of the prompt's head; 0 when there is none.
	Prefix uint64
	Rand   *rand.Rand
}

// Picker chooses among candidates; it returns -1 when none will do.
type Picker interface {
	Pick(q Query, c []Candidate) int
}

// Default is the picker for names that are not registered.
const Default = "two_choices"

var registry = map[string]func() Picker{}

// Register adds a plug-in under a name and returns the name, so that it can
// be called from a package-level value.
func Register(name string, f func() Picker) string {
	registry[name] = f
	return name
}

// New returns a new picker by name, or the default one and false.
func New(name string) (Picker, bool) {
	if f := registry[name]; f != nil {
		return f(), true
	}
	return registry[Default](), false
}

// Names lists the registered plug-ins in order.
func Names() []string {
	var names []string
	for n := range registry {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
