// Package picker chooses the endpoint of a request. Pickers are plug-ins that
// register themselves under a name; they read an immutable Set and this
// router's own atomic counters, and take no lock.
package picker

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/registrar"
)

// Query is what a picker knows of the request.
type Query struct {
	Now      time.Time
	Deadline time.Time
	// Prefix is a hash of the prompt's head; 0 when there is none.
	Prefix uint64
	// PromptTokens estimates the length of the prompt.
	PromptTokens int64
	// MaxAnswer bounds the answer in tokens.
	MaxAnswer int64
	// NotRepeatable keeps the request away from endpoints on probation.
	NotRepeatable bool
	// Seed is a random word; the same query with the same seed gives the same
	// choice.
	Seed uint64
	// Tried lists the endpoints that failed this request already.
	Tried []*Stats
}

func (q *Query) tried(s *Stats) bool { return len(q.Tried) > 0 && slices.Contains(q.Tried, s) }

// Picker chooses among candidates; it returns -1 when none will do.
type Picker interface {
	Pick(q Query, s *Set) int
}

// Default is the picker for names that are not registered.
const Default = "deadline"

var registry = registrar.New[func() Picker](Default)

// Register adds a plug-in under a name and returns the name, so that it can
// be called from a package-level value.
func Register(name string, f func() Picker) string { return registry.Register(name, f) }

// New returns a new picker by name, or the default one and false.
func New(name string) (Picker, bool) {
	f, ok := registry.Lookup(name)
	return f(), ok
}

// Names lists the registered plug-ins in order.
func Names() []string { return registry.Names() }
