package tracker

import (
	"maps"
	"slices"
	"strings"

	"rattanhoist.example/rattanhoist"
)

// Table lists the endpoints of each service. It is immutable, except that load
// and age of endpoints are updated in place.
type Table struct {
	// Each list is sorted by name.
	byService map[string][]*rattanhoist.Endpoint
}

// Service returns the endpoints of a service, which callers must not modify.
// Endpoints for which Tracker.Usable returns false must not be used.
func (t *Table) Service(name string) []*rattanhoist.Endpoint { return t.byService[name] }

// All returns all endpoints, sorted by service and name.
func (t *Table) All() []*rattanhoist.Endpoint {
	var out []*rattanhoist.Endpoint
	for _, s := range t.Services() {
		out = append(out, t.byService[s]...)
	}
	return out
}

// Services returns the names of the services that have endpoints, sorted.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.byService)) }

func byName(e *rattanhoist.Endpoint, name string) int { return strings.Compare(e.Name(), name) }

// without returns a copy of the table without an endpoint. The lists of all
// other services are shared.
func (t *Table) without(e *rattanhoist.Endpoint) *Table {
	list := t.byService[e.Service()]
	i, ok := slices.BinarySearchFunc(list, e.Name(), byName)
	if !ok {
		return t
	}
	out := maps.Clone(t.byService)
	if len(list) == 1 {
		delete(out, e.Service())
	} else {
		out[e.Service()] = slices.Concat(list[:i], list[i+1:])
	}
	return &Table{byService: out}
}

// with returns a copy of the table with an additional endpoint.
func (t *Table) with(e *rattanhoist.Endpoint) *Table {
	list := t.byService[e.Service()]
	i, _ := slices.BinarySearchFunc(list, e.Name(), byName)
	out := maps.Clone(t.byService)
	if out == nil {
		out = map[string][]*rattanhoist.Endpoint{}
	}
	out[e.Service()] = slices.Concat(list[:i], []*rattanhoist.Endpoint{e}, list[i:])
	return &Table{byService: out}
}
