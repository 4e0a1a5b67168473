package configurer

import (
	"google.golang.org/protobuf/proto"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

// Copy holds a subscriber's copy of the configuration. Unlike Book, it has no
// data for validating changes or replying to them. Snapshots share its memory.
// It is not safe for concurrent use.
type Copy struct {
	version uint64
	// digest equals the digest of a Book at the same version.
	digest uint64
	// names and keys index the same workspaces, by name and by key hash.
	names, keys index
	labels      labelSets
	services    map[string]*messenger.Service
	statements  map[string]*messenger.Statement
	members     map[string]*messenger.Member
	// rules caches the compiled services and statements. A change to either
	// resets it to nil.
	rules *rules
}

// NewCopy returns an empty configuration at version 0.
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

// Digest returns a digest of the configuration, which detects copies of the
// same version that differ in content.
func (c *Copy) Digest() uint64 { return c.digest }

// Load replaces the content with a configuration.
func (c *Copy) Load(m *messenger.Configuration) {
	*c = *newCopy(len(m.Workspaces))
	c.version = m.Version
	for _, w := range m.Workspaces {
		c.setWorkspace(w.Name, w)
	}
	for _, s := range m.Services {
		setObject(&c.digest, c.services, kindService, s.Name, s)
	}
	for _, s := range m.Statements {
		setObject(&c.digest, c.statements, kindStatement, s.Name, s)
	}
	for _, x := range m.Members {
		setObject(&c.digest, c.members, kindMember, x.Name, x)
	}
}

// Apply applies an accepted change and increments the version.
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
		setRuleObject(c, c.services, kindService, k.PutService.Name, k.PutService)
	case *messenger.Edit_DeleteService:
		setRuleObject(c, c.services, kindService, k.DeleteService, nil)
	case *messenger.Edit_PutStatement:
		setRuleObject(c, c.statements, kindStatement, k.PutStatement.Name, k.PutStatement)
	case *messenger.Edit_DeleteStatement:
		setRuleObject(c, c.statements, kindStatement, k.DeleteStatement, nil)
	case *messenger.Edit_PutMember:
		setObject(&c.digest, c.members, kindMember, k.PutMember.Name, k.PutMember)
	case *messenger.Edit_DeleteMember:
		setObject(&c.digest, c.members, kindMember, k.DeleteMember, nil)
	}
}

func (c *Copy) setWorkspace(name string, m *messenger.Workspace) {
	if old := findName(c.names.shards, name); old != nil {
		c.digest -= old.digest
		c.names.remove(old)
		c.keys.remove(old)
		c.labels.release(old.labels)
	}
	if m == nil {
		return
	}
	w := newWorkspace(m, c.labels.acquire(m))
	c.digest += w.digest
	c.names.add(w)
	c.keys.add(w)
}

func findName(s shards, name string) *Workspace {
	return s.find(xxhash.Sum64String(name), func(w *Workspace) bool { return w.name == name })
}

// setRuleObject replaces or deletes a service or statement and invalidates the
// compiled rules.
func setRuleObject[T interface {
	comparable
	proto.Message
}](c *Copy, m map[string]T, kind, name string, value T) {
	c.rules = nil
	setObject(&c.digest, m, kind, name, value)
}

// Snapshot returns an immutable view of the current configuration. Its cost
// depends on the number of workspaces changed since the last snapshot, not on
// the total number.
func (c *Copy) Snapshot() *Snapshot {
	if c.rules == nil {
		c.rules = compileRules(sorted(c.services), sorted(c.statements))
	}
	return &Snapshot{version: c.version, names: c.names.share(), keys: c.keys.share(), rules: c.rules}
}
