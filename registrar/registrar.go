// Package registrar keeps plug-ins by name. A plug-in registers itself
// through a package-level value; look-up falls back to a default.
package registrar

import (
	"maps"
	"slices"
)

// Registry holds the plug-ins of one kind. It is filled while packages are
// initialised and only read afterwards.
type Registry[P any] struct {
	// Fallback is the name used for names that are not registered.
	fallback string
	plugins  map[string]P
}

// New returns a registry whose default has the name.
func New[P any](fallback string) *Registry[P] {
	return &Registry[P]{fallback: fallback, plugins: map[string]P{}}
}

// Register adds a plug-in under a name and returns the name.
func (r *Registry[P]) Register(name string, p P) string {
	r.plugins[name] = p
	return name
}

// Lookup returns a plug-in by name, or the default one and false.
func (r *Registry[P]) Lookup(name string) (P, bool) {
	if p, ok := r.plugins[name]; ok {
		return p, true
	}
	return r.plugins[r.fallback], false
}

// Names lists the registered names in order.
func (r *Registry[P]) Names() []string { return slices.Sorted(maps.Keys(r.plugins)) }
