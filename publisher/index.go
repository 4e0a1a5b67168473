package publisher

import (
	"strings"

	"rattanhoist.example/rattanhoist/localizer"
)

type place struct{ host, prefix string }

// Index finds the route, the service and the workspace of a request in a
// document; immutable.
type Index struct {
	document   *Document
	routes     map[place]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
	// ByRoute and byWorkspace hold where requests may be served, for those that are
	// bound; both holds what each two of these allow together, by their keys.
	byRoute     map[*Route]*localizer.Zones
	byWorkspace map[*Workspace]*localizer.Zones
	both        map[[2]string]*localizer.Zones
}

// NewIndex returns the index of a checked document; l knows the regions of zones.
func NewIndex(d *Document, l *localizer.Localizer) *Index {
	x := &Index{
		document: d, routes: map[place]*Route{},
		services: map[string]*Service{}, workspaces: map[string]*Workspace{},
		byRoute: map[*Route]*localizer.Zones{}, byWorkspace: map[*Workspace]*localizer.Zones{}, both: map[[2]string]*localizer.Zones{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routes[place{r.Host, r.Prefix}] = r
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
	x.locate(l)
	return x
}

// locate resolves the regions that bind routes and workspaces.
func (x *Index) locate(l *localizer.Localizer) {
	for i := range x.document.Routes {
		r := &x.document.Routes[i]
		if z := l.Within(r.Regions); z != nil {
			x.byRoute[r] = z
		}
	}
	for i := range x.document.Workspaces {
		w := &x.document.Workspaces[i]
		if z := l.Within(w.Regions); z != nil {
			x.byWorkspace[w] = z
		}
	}
	for _, a := range x.byRoute {
		for _, b := range x.byWorkspace {
			if k := [2]string{a.Key(), b.Key()}; x.both[k] == nil {
				x.both[k] = a.And(b)
			}
		}
	}
}

// Zones returns where a request of a route may be served, nil for everywhere; w is nil
// where no workspace pays.
func (x *Index) Zones(r *Route, w *Workspace) *localizer.Zones {
	a, b := x.byRoute[r], x.byWorkspace[w]
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	return x.both[[2]string{a.Key(), b.Key()}]
}

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.document }

// Number returns the document's number.
func (x *Index) Number() uint64 { return x.document.Number }

// Route returns the route with the longest prefix that begins the path, or
// nil. It looks up the path cut off after each of its slashes, last one first.
func (x *Index) Route(host, path string) *Route {
	host = Host(host)
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := x.routes[place{host, path[:i+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Workspace returns the workspace that holds a key, or nil.
func (x *Index) Workspace(key string) *Workspace { return x.workspaces[key] }

// Host returns a host as routes name it: in lower case, without a port.
func Host(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
