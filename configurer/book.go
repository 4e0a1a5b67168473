// Package configurer is the state machine of the configuration: it checks and
// applies changes, remembers the first answer to every change id, and
// compiles the immutable index that routers read.
package configurer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Book is the configuration with its history of answers. It is not safe for
// concurrent use. Applying the same changes in the same order gives the same
// book everywhere.
type Book struct {
	version    uint64
	workspaces map[string]*messenger.Workspace
	services   map[string]*messenger.Service
	statements map[string]*messenger.Statement
	members    map[string]*messenger.Member
	// Models and keys map what must be unique to its owner's name.
	models map[string]string
	keys   map[string]string
	// Digest is the sum of the hashes of all objects, so that a change costs
	// only the objects that it touches.
	digest  uint64
	history history
}

// NewBook returns the empty configuration, version 0.
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

// Digest returns a digest of the configuration: two copies of one version
// have the same.
func (b *Book) Digest() uint64 { return b.digest }

// HasWorkspace reports whether a workspace exists.
func (b *Book) HasWorkspace(name string) bool { return b.workspaces[name] != nil }

// Answered returns the version that a change id was accepted as.
func (b *Book) Answered(changeID string) (uint64, bool) {
	v, ok := b.history.answers[changeID]
	return v, ok && v > 0
}

// Since returns the accepted changes after a version, or false where they are
// no longer kept.
func (b *Book) Since(version uint64) ([]*messenger.Change, bool) {
	n := uint64(len(b.history.recent))
	if version >= b.version {
		return nil, true
	}
	if version+n < b.version {
		return nil, false
	}
	return b.history.recent[n-(b.version-version):], true
}

// Decide answers a change and applies it where it is accepted. Only the
// change id and the base version decide, so that keepers of different
// releases agree; Faults must have passed at the base version.
func (b *Book) Decide(c *messenger.LogChange) *messenger.ProposeReply {
	id := c.Change.ChangeId
	if v, ok := b.history.answers[id]; ok {
		return b.answer(v, c.Change)
	}
	if c.Ahead {
		b.history.note(id, 0)
		return b.answer(0, c.Change)
	}
	if c.Change.BaseVersion != b.version {
		return b.answer(0, c.Change)
	}
	b.Apply(c.Change)
	b.history.note(id, b.version)
	return b.answer(b.version, c.Change)
}

// Peek answers a change where no keeper will ever answer it otherwise: it is
// accepted already, its base version is past, or it has faults at its base.
func (b *Book) Peek(c *messenger.Change) (*messenger.ProposeReply, bool) {
	if v, ok := b.history.answers[c.ChangeId]; ok {
		return b.answer(v, c), true
	}
	if c.BaseVersion < b.version {
		return b.answer(0, c), true
	}
	if faults := b.Faults(c); c.BaseVersion == b.version && len(faults) > 0 {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED, Version: b.version, Faults: faults}, true
	}
	return nil, false
}

// answer returns the acceptance as a version, or the conflict for version 0.
func (b *Book) answer(version uint64, c *messenger.Change) *messenger.ProposeReply {
	if version > 0 {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED, Version: version}
	}
	since, _ := b.Since(c.BaseVersion)
	return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT, Version: b.version, Since: since}
}

// Apply takes an accepted change in, as the next version.
func (b *Book) Apply(c *messenger.Change) {
	b.version++
	b.history.add(c)
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
		setIn(&b.digest, b.statements, kindStatement, k.PutStatement.Name, k.PutStatement)
	case *messenger.Edit_DeleteStatement:
		setIn(&b.digest, b.statements, kindStatement, k.DeleteStatement, nil)
	case *messenger.Edit_PutMember:
		setIn(&b.digest, b.members, kindMember, k.PutMember.Name, k.PutMember)
	case *messenger.Edit_DeleteMember:
		setIn(&b.digest, b.members, kindMember, k.DeleteMember, nil)
	}
}

func (b *Book) setWorkspace(name string, w *messenger.Workspace) {
	b.moveKeys(name, w)
	setIn(&b.digest, b.workspaces, kindWorkspace, name, w)
}

func (b *Book) moveKeys(name string, w *messenger.Workspace) {
	for _, h := range b.workspaces[name].GetKeyHashes() {
		disown(b.keys, string(h), name)
	}
	for _, h := range w.GetKeyHashes() {
		b.keys[string(h)] = name
	}
}

func (b *Book) setService(name string, s *messenger.Service) {
	for _, m := range b.services[name].GetModels() {
		disown(b.models, m, name)
	}
	for _, m := range s.GetModels() {
		b.models[m] = name
	}
	setIn(&b.digest, b.services, kindService, name, s)
}

// disown frees a key unless another object of the same change has it already.
func disown(owners map[string]string, key, owner string) {
	if owners[key] == owner {
		delete(owners, key)
	}
}

// setIn replaces or, with a nil value, deletes an object, and keeps the digest.
func setIn[T interface {
	comparable
	proto.Message
}](digest *uint64, m map[string]T, kind, name string, value T) {
	var none T
	if old, ok := m[name]; ok {
		*digest -= hash(kind, old)
		delete(m, name)
	}
	if value != none {
		*digest += hash(kind, value)
		m[name] = value
	}
}

// Configuration returns the whole configuration in name order.
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

// Load replaces the book by a configuration, without its history of answers.
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
		setIn(&b.digest, b.statements, kindStatement, s.Name, s)
	}
	for _, m := range c.Members {
		setIn(&b.digest, b.members, kindMember, m.Name, m)
	}
}
