package tracker

import (
	"maps"
	"slices"
	"strings"

	"rattanhoist.example/rattanhoist"
)

// Table lists the endpoints of each service; immutable, but for what
// endpoints renew in place.
type Table struct {
	// Each list is sorted by name.
	byService map[string][]*rattanhoist.Endpoint
}

// Service returns the endpoints of a service; callers must not change it.
// An entry whose age passes the bound must not be used: Usable tells.
func (t *Table) Service(name string) []*rattanhoist.Endpoint { return t.byService[name] }

// All returns every endpoint, in order of service and name.
func (t *Table) All() []*rattanhoist.Endpoint {
	var out []*rattanhoist.Endpoint
	for _, s := range t.Services() {
		out = append(out, t.byService[s]...)
	}
	return out
}

// Services returns the sorted names of the services that have endpoints.
func (t *Table) Services() []string { return slices.Sorted(maps.Keys(t.byService)) }

func byName(e *rattanhoist.Endpoint, name string) int { return strings.Compare(e.Name(), name) }

// without returns a table without the endpoint of a name; it copies the list
// of one service and shares the rest.
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

// with returns a table with an endpoint that is not in it.
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
