package configurer

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
)

// Snapshot is a compiled, immutable configuration for the path of a request.
type Snapshot struct {
	version uint64
	// Names and keys hold the workspaces by the hashes of their names and of
	// their keys.
	names, keys shards
	*rules
	// Granted maps pair to its Grant, filled as requests come: a
	// pair is worked out once for each version, not for each request.
	granted sync.Map
}

// rules are compiled from services and statements; immutable. Versions that
// differ in workspaces only share them.
type rules struct {
	services   map[string]*messenger.Service
	byModel    map[string]*messenger.Service
	statements []compiled
}

// pair names one workspace and one service.
type pair struct{ workspace, service string }

type compiled struct {
	workspaces, services, endpoints matcher.Selector
}

// labelName is the label that every object carries besides its own.
const labelName = "name"

// Compile indexes a configuration whose changes have all been checked.
func Compile(m *messenger.Configuration) *Snapshot {
	c := NewCopy()
	c.Load(m)
	return c.Snapshot()
}

func compileRules(services []*messenger.Service, statements []*messenger.Statement) *rules {
	r := &rules{services: map[string]*messenger.Service{}, byModel: map[string]*messenger.Service{}}
	for _, v := range services {
		r.services[v.Name] = v
		for _, m := range v.Models {
			r.byModel[m] = v
		}
	}
	for _, t := range statements {
		r.addStatement(t)
	}
	return r
}

// addStatement leaves out a statement that does not parse: acceptance has
// checked every selector, so this happens only with a damaged copy, and a
// statement that grants nothing is the safe reading of it.
func (r *rules) addStatement(t *messenger.Statement) {
	w, err := matcher.Parse(t.Workspaces)
	if err != nil {
		return
	}
	v, err := matcher.Parse(t.Services)
	if err != nil {
		return
	}
	e, err := matcher.Parse(t.Endpoints)
	if err != nil {
		return
	}
	r.statements = append(r.statements, compiled{workspaces: w, services: v, endpoints: e})
}

// Version returns the configuration's version.
func (s *Snapshot) Version() uint64 { return s.version }

// WorkspaceByKey returns the workspace that a bearer key identifies.
func (s *Snapshot) WorkspaceByKey(key string) (*Workspace, error) {
	sum := sha256.Sum256([]byte(key))
	w := s.keys.find(xxhash.Sum64(sum[:]), func(w *Workspace) bool { return w.hasKey(sum) })
	if w == nil {
		return nil, rattanhoist.ErrUnknownWorkspace
	}
	return w, nil
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(name string) (*Workspace, error) {
	w := findName(s.names, name)
	if w == nil {
		return nil, rattanhoist.ErrUnknownWorkspace
	}
	return w, nil
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*messenger.Service, error) {
	v := s.services[name]
	if v == nil {
		return nil, rattanhoist.ErrUnknownService
	}
	return v, nil
}

// ChatsMayBeOnce reports whether any service of models says that its requests
// may not be repeated.
func (s *Snapshot) ChatsMayBeOnce() bool {
	for _, v := range s.byModel {
		if v.NotRepeatable {
			return true
		}
	}
	return false
}

// ServiceByModel returns the service that serves a model.
func (s *Snapshot) ServiceByModel(model string) (*messenger.Service, error) {
	v := s.byModel[model]
	if v == nil {
		return nil, rattanhoist.ErrUnknownService
	}
	return v, nil
}

// Grant is what the statements allow one workspace for one service.
type Grant struct {
	key       string
	selectors []matcher.Selector
}

// Key names the matching statements: equal keys of one snapshot are equal
// grants.
func (g Grant) Key() string { return g.key }

// Allows reports whether an endpoint may serve.
func (g Grant) Allows(e *rattanhoist.Endpoint) bool {
	for _, s := range g.selectors {
		if s.Matches(e.Labels()) {
			return true
		}
	}
	return false
}

// Grant returns what the statements allow the workspace for the service.
func (s *Snapshot) Grant(w *Workspace, v *messenger.Service) Grant {
	k := pair{workspace: w.name, service: v.Name}
	g, ok := s.granted.Load(k)
	if !ok {
		g, _ = s.granted.LoadOrStore(k, s.makeGrant(w, v))
	}
	return g.(Grant)
}

func (s *Snapshot) makeGrant(w *Workspace, v *messenger.Service) Grant {
	var g Grant
	var key []byte
	wl, vl := withName(w.Labels(), w.name), withName(maps.Clone(v.Labels), v.Name)
	for i, t := range s.statements {
		if t.workspaces.Matches(wl) && t.services.Matches(vl) {
			g.selectors = append(g.selectors, t.endpoints)
			key = binary.AppendUvarint(key, uint64(i))
		}
	}
	g.key = string(key)
	return g
}

// withName adds the name to labels, which it may change.
func withName(labels map[string]string, name string) map[string]string {
	if labels == nil {
		labels = map[string]string{}
	}
	labels[labelName] = name
	return labels
}
