// Package registrar provides registries of plug-ins by name. A plug-in registers itself
// in the initializer of a package-level variable. Lookup falls back to a default.
package registrar

import (
	"maps"
	"slices"
)

// Registry holds the plug-ins of one kind. It isn't safe for concurrent writes: it is
// filled during package initialization and only read afterwards.
type Registry[P any] struct {
	// Fallback is the name of the plug-in that Lookup returns for unregistered names.
	fallback string
	plugins  map[string]P
}

// New returns an empty registry whose default plug-in is registered under fallback.
func New[P any](fallback string) *Registry[P] {
	return &Registry[P]{fallback: fallback, plugins: map[string]P{}}
}

// Register adds a plug-in under a name and returns the name, so that it can
// initialize a package-level variable.
func (r *Registry[P]) Register(name string, p P) string {
	r.plugins[name] = p
	return name
}

// Lookup returns the plug-in with the name and true, or the default and false.
func (r *Registry[P]) Lookup(name string) (P, bool) {
	if p, ok := r.plugins[name]; ok {
		return p, true
	}
	return r.plugins[r.fallback], false
}

// Names returns the registered names in ascending order.
func (r *Registry[P]) Names() []string { return slices.Sorted(maps.Keys(r.plugins)) }
