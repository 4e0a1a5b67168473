// Package picker implements load balancing: it chooses the endpoint of a
// request. Pickers are plug-ins that register themselves under a name. They read
// an immutable Set and this router's own atomic counters without locking.
package picker

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/registrar"
)

// Query describes a request to a picker.
type Query struct {
	Now      time.Time
	Deadline time.Time
	// Prefix is a hash of the beginning of the prompt, 0 if there is none.
	Prefix uint64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// MaxAnswer is the maximum length of the response in tokens, 0 for
	// responses without tokens.
	MaxAnswer int64
	// NotRepeatable excludes ejected endpoints that are due for a probe.
	NotRepeatable bool
	// Seed is a random number that makes the choice reproducible: the same
	// query with the same seed gives the same choice.
	Seed uint64
	// Tried lists the endpoints at which this request already failed.
	Tried []*Stats
}

func (q *Query) tried(s *Stats) bool { return len(q.Tried) > 0 && slices.Contains(q.Tried, s) }

// Picker returns the index of the chosen candidate, or -1 if none is suitable.
type Picker interface {
	Pick(q Query, s *Set) int
}

// Default is the picker used for names that are not registered.
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

// Names returns the sorted names of the registered plug-ins.
func Names() []string { return registry.Names() }
