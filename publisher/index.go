package publisher

import (
	"strings"

	"rattanhoist.example/rattanhoist/localizer"
)

// routeKey identifies a route by its host and path prefix.
type routeKey struct{ host, prefix string }

// Index looks up the route, the service and the workspace of a request in a document;
// immutable.
type Index struct {
	document   *Document
	routes     map[routeKey]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	// routeZones and workspaceZones hold the zones allowed by routes and workspaces that
	// are restricted to regions. intersections holds the zones that a route and a
	// workspace both allow, by the keys of the two zone sets.
	routeZones     map[*Route]*localizer.Zones
	workspaceZones map[*Workspace]*localizer.Zones
	intersections  map[[2]string]*localizer.Zones
	// ranked is set if the document states more than one priority.
	ranked bool
}

// lowestPriority is the number of the lowest priority; 0 is the highest.
const lowestPriority = 9

// NewIndex returns the index of a checked document; l maps zones to regions.
func NewIndex(d *Document, l *localizer.Localizer) *Index {
	x := &Index{
		document: d, routes: map[routeKey]*Route{},
		services: map[string]*Service{}, workspaces: map[string]*Workspace{},
		routeZones: map[*Route]*localizer.Zones{}, workspaceZones: map[*Workspace]*localizer.Zones{}, intersections: map[[2]string]*localizer.Zones{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routes[routeKey{r.Host, r.Prefix}] = r
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, k := range w.Keys {
			x.workspaces[k] = w
		}
	}
	x.resolveZones(l)
	x.ranked = d.statesPriorities()
	return x
}

// statesPriorities reports whether the routes and workspaces state more than one priority within
// the limits.
func (d *Document) statesPriorities() bool {
	stated := map[int]bool{}
	for _, r := range d.Routes {
		stated[limitPriority(r.Priority)] = true
	}
	for _, w := range d.Workspaces {
		if w.Priority != nil {
			stated[limitPriority(*w.Priority)] = true
		}
	}
	return len(stated) > 1
}

// limitPriority returns the priority within the limits that is nearest to p.
func limitPriority(p int) int { return min(max(p, 0), lowestPriority) }

// Ranked reports whether the document states more than one priority.
func (x *Index) Ranked() bool { return x.ranked }

// Priority returns the priority of a request from 0, the highest, to 9: that of the workspace,
// else that of the route. w is nil if the request belongs to no workspace.
func (x *Index) Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return limitPriority(*w.Priority)
	}
	return limitPriority(r.Priority)
}

// resolveZones determines the zones that the regions of routes and workspaces allow.
func (x *Index) resolveZones(l *localizer.Localizer) {
	for i := range x.document.Routes {
		r := &x.document.Routes[i]
		if z := l.InRegions(r.Regions); z != nil {
			x.routeZones[r] = z
		}
	}
	for i := range x.document.Workspaces {
		w := &x.document.Workspaces[i]
		if z := l.InRegions(w.Regions); z != nil {
			x.workspaceZones[w] = z
		}
	}
	for _, a := range x.routeZones {
		for _, b := range x.workspaceZones {
			if k := [2]string{a.Key(), b.Key()}; x.intersections[k] == nil {
				x.intersections[k] = a.Intersect(b)
			}
		}
	}
}

// Zones returns the zones in which a request may be served, nil for all; w is nil if the
// request belongs to no workspace.
func (x *Index) Zones(r *Route, w *Workspace) *localizer.Zones {
	a, b := x.routeZones[r], x.workspaceZones[w]
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	return x.intersections[[2]string{a.Key(), b.Key()}]
}

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.document }

// Number returns the document's number.
func (x *Index) Number() uint64 { return x.document.Number }

// Route returns the route with the longest prefix of the path, or nil. It looks up the
// path truncated after each of its slashes, the last one first.
func (x *Index) Route(host, path string) *Route {
	host = NormalizeHost(host)
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := x.routes[routeKey{host, path[:i+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Workspace returns the workspace that holds a key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.workspaces[key] }

// NormalizeHost returns a host in the form that routes use: in lower case, without a port.
func NormalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
