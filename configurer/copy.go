package configurer

import (
	"google.golang.org/protobuf/proto"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// Copy is the configuration at a subscriber: what snapshots need, without
// what only the check of changes and their answers need. Snapshots share its
// memory. It is not safe for concurrent use.
type Copy struct {
	version uint64
	// Digest equals that of a Book of the same version.
	digest uint64
	// Names and keys index the same workspaces.
	names, keys index
	labels      labelSets
	services    map[string]*messenger.Service
	statements  map[string]*messenger.Statement
	members     map[string]*messenger.Member
	// Rules are compiled from services and statements, nil since a change of
	// either.
	rules *rules
}

// NewCopy returns the empty configuration, version 0.
func NewCopy() *Copy { return newCopy(0) }

func newCopy(workspaces int) *Copy {
	return &Copy{
		names: newIndex(nameHashes, workspaces), keys: newIndex(keyHashes, workspaces),
		labels:     labelSets{},
		services:   map[string]*messenger.Service{},
		statements: map[string]*messenger.Statement{},
		members:    map[string]*messenger.Member{},
	}
}

// Version returns the number of accepted changes.
func (c *Copy) Version() uint64 { return c.version }

// Digest returns a digest of the configuration: two copies of one version
// have the same.
func (c *Copy) Digest() uint64 { return c.digest }

// Load replaces the copy by a configuration.
func (c *Copy) Load(m *messenger.Configuration) {
	*c = *newCopy(len(m.Workspaces))
	c.version = m.Version
	for _, w := range m.Workspaces {
		c.setWorkspace(w.Name, w)
	}
	for _, s := range m.Services {
		setIn(&c.digest, c.services, kindService, s.Name, s)
	}
	for _, s := range m.Statements {
		setIn(&c.digest, c.statements, kindStatement, s.Name, s)
	}
	for _, x := range m.Members {
		setIn(&c.digest, c.members, kindMember, x.Name, x)
	}
}

// Apply takes an accepted change in, as the next version.
func (c *Copy) Apply(x *messenger.Change) {
	c.version++
	for _, e := range x.Edits {
		c.applyEdit(e)
	}
}

func (c *Copy) applyEdit(e *messenger.Edit) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		c.setWorkspace(k.PutWorkspace.Name, k.PutWorkspace)
	case *messenger.Edit_DeleteWorkspace:
		c.setWorkspace(k.DeleteWorkspace, nil)
	case *messenger.Edit_PutService:
		setRule(c, c.services, kindService, k.PutService.Name, k.PutService)
	case *messenger.Edit_DeleteService:
		setRule(c, c.services, kindService, k.DeleteService, nil)
	case *messenger.Edit_PutStatement:
		setRule(c, c.statements, kindStatement, k.PutStatement.Name, k.PutStatement)
	case *messenger.Edit_DeleteStatement:
		setRule(c, c.statements, kindStatement, k.DeleteStatement, nil)
	case *messenger.Edit_PutMember:
		setIn(&c.digest, c.members, kindMember, k.PutMember.Name, k.PutMember)
	case *messenger.Edit_DeleteMember:
		setIn(&c.digest, c.members, kindMember, k.DeleteMember, nil)
	}
}

func (c *Copy) setWorkspace(name string, m *messenger.Workspace) {
	if old := findName(c.names.shards, name); old != nil {
		c.digest -= old.part
		c.names.remove(old)
		c.keys.remove(old)
		c.labels.drop(old.labels)
	}
	if m == nil {
		return
	}
	w := newWorkspace(m, c.labels.take(m))
	c.digest += w.part
	c.names.add(w)
	c.keys.add(w)
}

func findName(s shards, name string) *Workspace {
	return s.find(xxhash.Sum64String(name), func(w *Workspace) bool { return w.name == name })
}

// setRule sets an object that rules are compiled from.
func setRule[T interface {
	comparable
	proto.Message
}](c *Copy, m map[string]T, kind, name string, value T) {
	c.rules = nil
	setIn(&c.digest, m, kind, name, value)
}

// Snapshot returns the configuration as it is now. It costs the workspaces
// touched since the last one, not all of them.
func (c *Copy) Snapshot() *Snapshot {
	if c.rules == nil {
		c.rules = compileRules(sorted(c.services), sorted(c.statements))
	}
	return &Snapshot{version: c.version, names: c.names.share(), keys: c.keys.share(), rules: c.rules}
}
