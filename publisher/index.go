package publisher

import "strings"

type place struct{ host, prefix string }

// Index finds the route, the service and the workspace of a request in a
// document; immutable.
type Index struct {
	document   *Document
	routes     map[place]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// NewIndex returns the index of a checked document.
func NewIndex(d *Document) *Index {
	x := &Index{
		document: d, routes: map[place]*Route{},
		services: map[string]*Service{}, workspaces: map[string]*Workspace{},
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
	return x
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
