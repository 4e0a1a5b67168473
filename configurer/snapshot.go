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

// Snapshot is a compiled, immutable configuration used to handle requests.
type Snapshot struct {
	version uint64
	// names and keys hold the workspaces by the hashes of their names and of
	// their keys.
	names, keys shards
	*rules
	// grants caches a Grant for each grantKey. It is filled on demand, so that a
	// grant is computed once per version rather than once per request.
	grants sync.Map
}

// rules holds the compiled services and statements; immutable. Versions that
// differ only in workspaces share it.
type rules struct {
	services   map[string]*messenger.Service
	byModel    map[string]*messenger.Service
	statements []compiledStatement
}

// grantKey identifies a workspace and a service by name.
type grantKey struct{ workspace, service string }

// compiledStatement holds the parsed selectors of a statement.
type compiledStatement struct {
	workspaces, services, endpoints matcher.Selector
}

// labelName is the implicit label that holds an object's name.
const labelName = "name"

// Compile builds a snapshot of a configuration, whose changes must have been
// validated.
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

// addStatement compiles a statement and ignores one that can't be parsed.
// Selectors are validated before a change is accepted, so parsing fails only on
// a damaged copy. Granting nothing is then the safe choice.
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
	r.statements = append(r.statements, compiledStatement{workspaces: w, services: v, endpoints: e})
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

// HasNonRepeatableModel reports whether any model service forbids repeating its
// requests.
func (s *Snapshot) HasNonRepeatableModel() bool {
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

// Grant holds the endpoint selectors of all statements that match one workspace
// and one service.
type Grant struct {
	key       string
	selectors []matcher.Selector
}

// Key identifies the matching statements. Grants of the same snapshot are equal
// if their keys are equal.
func (g Grant) Key() string { return g.key }

// Allows reports whether an endpoint may serve the workspace's requests.
func (g Grant) Allows(e *rattanhoist.Endpoint) bool {
	for _, s := range g.selectors {
		if s.Matches(e.Labels()) {
			return true
		}
	}
	return false
}

// Grant returns the workspace's grant for the service, computed on first use.
func (s *Snapshot) Grant(w *Workspace, v *messenger.Service) Grant {
	k := grantKey{workspace: w.name, service: v.Name}
	g, ok := s.grants.Load(k)
	if !ok {
		g, _ = s.grants.LoadOrStore(k, s.computeGrant(w, v))
	}
	return g.(Grant)
}

func (s *Snapshot) computeGrant(w *Workspace, v *messenger.Service) Grant {
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

// withName adds the implicit name label. It modifies labels unless they are nil.
func withName(labels map[string]string, name string) map[string]string {
	if labels == nil {
		labels = map[string]string{}
	}
	labels[labelName] = name
	return labels
}
