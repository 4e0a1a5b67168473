package configurer

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"sync"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
)

// Snapshot is a compiled, immutable configuration for the path of a request.
type Snapshot struct {
	version    uint64
	byKey      map[[sha256.Size]byte]*messenger.Workspace
	workspaces map[string]*messenger.Workspace
	services   map[string]*messenger.Service
	byModel    map[string]*messenger.Service
	statements []compiled
	// Granted maps pair to its Grant, filled as requests come: a
	// pair is worked out once for each version, not for each request.
	granted sync.Map
}

// pair names one workspace and one service.
type pair struct{ workspace, service string }

type compiled struct {
	workspaces, services, endpoints matcher.Selector
}

// labelName is the label that every object carries besides its own.
const labelName = "name"

// Compile indexes a configuration whose changes have all been checked.
func Compile(c *messenger.Configuration) *Snapshot {
	s := &Snapshot{
		version:    c.Version,
		byKey:      map[[sha256.Size]byte]*messenger.Workspace{},
		workspaces: map[string]*messenger.Workspace{},
		services:   map[string]*messenger.Service{},
		byModel:    map[string]*messenger.Service{},
	}
	for _, w := range c.Workspaces {
		s.workspaces[w.Name] = w
		for _, h := range w.KeyHashes {
			s.byKey[[sha256.Size]byte(h)] = w
		}
	}
	for _, v := range c.Services {
		s.services[v.Name] = v
		for _, m := range v.Models {
			s.byModel[m] = v
		}
	}
	for _, t := range c.Statements {
		s.addStatement(t)
	}
	return s
}

// addStatement leaves out a statement that does not parse: acceptance has
// checked every selector, so this happens only with a damaged copy, and a
// statement that grants nothing is the safe reading of it.
func (s *Snapshot) addStatement(t *messenger.Statement) {
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
	s.statements = append(s.statements, compiled{workspaces: w, services: v, endpoints: e})
}

// Version returns the configuration's version.
func (s *Snapshot) Version() uint64 { return s.version }

// WorkspaceByKey returns the workspace that a bearer key identifies.
func (s *Snapshot) WorkspaceByKey(key string) (*messenger.Workspace, error) {
	w := s.byKey[sha256.Sum256([]byte(key))]
	if w == nil {
		return nil, rattanhoist.ErrUnknownWorkspace
	}
	return w, nil
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(name string) (*messenger.Workspace, error) {
	w := s.workspaces[name]
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
func (s *Snapshot) Grant(w *messenger.Workspace, v *messenger.Service) Grant {
	k := pair{workspace: w.Name, service: v.Name}
	g, ok := s.granted.Load(k)
	if !ok {
		g, _ = s.granted.LoadOrStore(k, s.makeGrant(w, v))
	}
	return g.(Grant)
}

func (s *Snapshot) makeGrant(w *messenger.Workspace, v *messenger.Service) Grant {
	var g Grant
	var key []byte
	wl, vl := withName(w.Labels, w.Name), withName(v.Labels, v.Name)
	for i, t := range s.statements {
		if t.workspaces.Matches(wl) && t.services.Matches(vl) {
			g.selectors = append(g.selectors, t.endpoints)
			key = binary.AppendUvarint(key, uint64(i))
		}
	}
	g.key = string(key)
	return g
}

func withName(labels map[string]string, name string) map[string]string {
	out := maps.Clone(labels)
	if out == nil {
		out = map[string]string{}
	}
	out[labelName] = name
	return out
}
