// Package configurer implements the replicated state machine of the
// configuration. It validates and applies changes, deduplicates them by change
// ID, and compiles the immutable snapshots that routers read.
package configurer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Book holds the keepers' configuration, the replies to past changes and the
// most recent changes. It is deterministic: the same changes applied in the
// same order give the same state on every keeper. It is not safe for
// concurrent use.
type Book struct {
	version    uint64
	workspaces map[string]*messenger.Workspace
	services   map[string]*messenger.Service
	statements map[string]*messenger.Statement
	members    map[string]*messenger.Member
	// models maps each model to the name of its service, and keys maps each key
	// hash to the name of its workspace. Both must have a single owner.
	models map[string]string
	keys   map[string]string
	// digest is the sum of the hashes of all objects. A sum can be updated
	// incrementally, so a change hashes only the objects that it modifies.
	digest  uint64
	history history
}

// NewBook returns an empty configuration at version 0.
func NewBook() *Book {
	return &Book{
		workspaces: map[string]*messenger.Workspace{},
		services:   map[string]*messenger.Service{},
		statements: map[string]*messenger.Statement{},
		members:    map[string]*messenger.Member{},
		models:     map[string]string{},
		keys:       map[string]string{},
		history:    newHistory(),
	}
}

// Version returns the number of accepted changes.
func (b *Book) Version() uint64 { return b.version }

// Digest returns a digest of the configuration, which detects copies of the
// same version that differ in content.
func (b *Book) Digest() uint64 { return b.digest }

// HasWorkspace reports whether a workspace exists.
func (b *Book) HasWorkspace(name string) bool { return b.workspaces[name] != nil }

// AcceptedVersion returns the version at which a change was accepted, or false
// if the change ID is unknown, was rejected or is no longer retained.
func (b *Book) AcceptedVersion(changeID string) (uint64, bool) {
	v, ok := b.history.answers[changeID]
	return v, ok && v > 0
}

// ChangesSince returns the changes accepted after a version, or false if some
// of them are no longer retained.
func (b *Book) ChangesSince(version uint64) ([]*messenger.Change, bool) {
	n := uint64(len(b.history.recent))
	if version >= b.version {
		return nil, true
	}
	if version+n < b.version {
		return nil, false
	}
	return b.history.recent[n-(b.version-version):], true
}

// Decide accepts and applies a change, or rejects it as a conflict. The outcome
// depends only on earlier replies, the Ahead flag and the base version, so that
// keepers of different releases agree. The caller must have run Validate
// successfully at the base version.
func (b *Book) Decide(c *messenger.LogChange) *messenger.ProposeReply {
	id := c.Change.ChangeId
	if v, ok := b.history.answers[id]; ok {
		return b.reply(v, c.Change)
	}
	if c.Ahead {
		b.history.recordAnswer(id, 0)
		return b.reply(0, c.Change)
	}
	if c.Change.BaseVersion != b.version {
		return b.reply(0, c.Change)
	}
	b.Apply(c.Change)
	b.history.recordAnswer(id, b.version)
	return b.reply(b.version, c.Change)
}

// EarlyReply returns the reply to a change whose outcome is already final on
// every keeper: the change ID has a recorded reply, the base version is
// outdated, or the change is invalid at its base version. Otherwise it returns
// false.
func (b *Book) EarlyReply(c *messenger.Change) (*messenger.ProposeReply, bool) {
	if v, ok := b.history.answers[c.ChangeId]; ok {
		return b.reply(v, c), true
	}
	if c.BaseVersion < b.version {
		return b.reply(0, c), true
	}
	if faults := b.Validate(c); c.BaseVersion == b.version && len(faults) > 0 {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED, Version: b.version, Faults: faults}, true
	}
	return nil, false
}

// reply builds an acceptance at the given version, or a conflict if version is 0.
func (b *Book) reply(version uint64, c *messenger.Change) *messenger.ProposeReply {
	if version > 0 {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED, Version: version}
	}
	since, _ := b.ChangesSince(c.BaseVersion)
	return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT, Version: b.version, Since: since}
}

// Apply applies an accepted change and increments the version.
func (b *Book) Apply(c *messenger.Change) {
	b.version++
	b.history.appendChange(c)
	for _, e := range c.Edits {
		b.applyEdit(e)
	}
}

func (b *Book) applyEdit(e *messenger.Edit) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		b.setWorkspace(k.PutWorkspace.Name, k.PutWorkspace)
	case *messenger.Edit_DeleteWorkspace:
		b.setWorkspace(k.DeleteWorkspace, nil)
	case *messenger.Edit_PutService:
		b.setService(k.PutService.Name, k.PutService)
	case *messenger.Edit_DeleteService:
		b.setService(k.DeleteService, nil)
	case *messenger.Edit_PutStatement:
		setObject(&b.digest, b.statements, kindStatement, k.PutStatement.Name, k.PutStatement)
	case *messenger.Edit_DeleteStatement:
		setObject(&b.digest, b.statements, kindStatement, k.DeleteStatement, nil)
	case *messenger.Edit_PutMember:
		setObject(&b.digest, b.members, kindMember, k.PutMember.Name, k.PutMember)
	case *messenger.Edit_DeleteMember:
		setObject(&b.digest, b.members, kindMember, k.DeleteMember, nil)
	}
}

func (b *Book) setWorkspace(name string, w *messenger.Workspace) {
	b.updateKeyOwners(name, w)
	setObject(&b.digest, b.workspaces, kindWorkspace, name, w)
}

func (b *Book) updateKeyOwners(name string, w *messenger.Workspace) {
	for _, h := range b.workspaces[name].GetKeyHashes() {
		releaseKey(b.keys, string(h), name)
	}
	for _, h := range w.GetKeyHashes() {
		b.keys[string(h)] = name
	}
}

func (b *Book) setService(name string, s *messenger.Service) {
	for _, m := range b.services[name].GetModels() {
		releaseKey(b.models, m, name)
	}
	for _, m := range s.GetModels() {
		b.models[m] = name
	}
	setObject(&b.digest, b.services, kindService, name, s)
}

// releaseKey removes a key from owners, unless an earlier edit of the same
// change has already assigned it to another object.
func releaseKey(owners map[string]string, key, owner string) {
	if owners[key] == owner {
		delete(owners, key)
	}
}

// setObject replaces an object, or deletes it if value is nil, and updates the
// digest.
func setObject[T interface {
	comparable
	proto.Message
}](digest *uint64, m map[string]T, kind, name string, value T) {
	var none T
	if old, ok := m[name]; ok {
		*digest -= objectDigest(kind, old)
		delete(m, name)
	}
	if value != none {
		*digest += objectDigest(kind, value)
		m[name] = value
	}
}

// Configuration returns the whole configuration, with objects sorted by name.
func (b *Book) Configuration() *messenger.Configuration {
	return &messenger.Configuration{
		Version:    b.version,
		Workspaces: sorted(b.workspaces),
		Services:   sorted(b.services),
		Statements: sorted(b.statements),
		Members:    sorted(b.members),
	}
}

func sortedKeys[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func sorted[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, n := range sortedKeys(m) {
		out = append(out, m[n])
	}
	return out
}

// Load replaces the state with a configuration and clears the history of
// replies and changes.
func (b *Book) Load(c *messenger.Configuration) {
	*b = *NewBook()
	b.version = c.Version
	for _, w := range c.Workspaces {
		b.setWorkspace(w.Name, w)
	}
	for _, s := range c.Services {
		b.setService(s.Name, s)
	}
	for _, s := range c.Statements {
		setObject(&b.digest, b.statements, kindStatement, s.Name, s)
	}
	for _, m := range c.Members {
		setObject(&b.digest, b.members, kindMember, m.Name, m)
	}
}
