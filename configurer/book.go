// Package configurer is the state machine of the configuration: it checks and
// applies changes, remembers the first answer to every change id, and
// compiles the immutable index that routers read.
package configurer

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
)

// Bounds of names and sizes.
const (
	maxName     = 63
	maxSelector = 1024
	maxLabels   = 64
	maxEdits    = 10000
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
	// Answers maps change ids to the version that each was accepted as.
	answers map[string]uint64
}

// NewBook returns the empty configuration, version 0.
func NewBook() *Book {
	return &Book{
		workspaces: map[string]*messenger.Workspace{},
		services:   map[string]*messenger.Service{},
		statements: map[string]*messenger.Statement{},
		members:    map[string]*messenger.Member{},
		answers:    map[string]uint64{},
	}
}

// Version returns the number of accepted changes.
func (b *Book) Version() uint64 { return b.version }

// Answered returns the version that a change id was accepted as.
func (b *Book) Answered(changeID string) (uint64, bool) {
	v, ok := b.answers[changeID]
	return v, ok
}

// Check answers a change without applying it: accepted means that Apply may
// follow.
func (b *Book) Check(c *messenger.Change) *messenger.ProposeReply {
	if v, ok := b.answers[c.ChangeId]; ok {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED, Version: v}
	}
	if faults := b.Faults(c); len(faults) > 0 {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_REFUSED, Version: b.version, Faults: faults}
	}
	if c.BaseVersion != b.version {
		return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT, Version: b.version}
	}
	return &messenger.ProposeReply{Outcome: messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED, Version: b.version + 1}
}

// Apply takes an accepted change in. A change id that was applied before
// changes nothing.
func (b *Book) Apply(c *messenger.Change) {
	if _, ok := b.answers[c.ChangeId]; ok {
		return
	}
	b.version++
	b.answers[c.ChangeId] = b.version
	b.applyEdits(c.Edits)
}

func (b *Book) applyEdits(edits []*messenger.Edit) {
	for _, e := range edits {
		b.applyEdit(e)
	}
}

func (b *Book) applyEdit(e *messenger.Edit) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		b.workspaces[k.PutWorkspace.Name] = k.PutWorkspace
	case *messenger.Edit_DeleteWorkspace:
		delete(b.workspaces, k.DeleteWorkspace)
	case *messenger.Edit_PutService:
		b.services[k.PutService.Name] = k.PutService
	case *messenger.Edit_DeleteService:
		delete(b.services, k.DeleteService)
	case *messenger.Edit_PutStatement:
		b.statements[k.PutStatement.Name] = k.PutStatement
	case *messenger.Edit_DeleteStatement:
		delete(b.statements, k.DeleteStatement)
	case *messenger.Edit_PutMember:
		b.members[k.PutMember.Name] = k.PutMember
	case *messenger.Edit_DeleteMember:
		delete(b.members, k.DeleteMember)
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

func sorted[T any](m map[string]T) []T {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	out := make([]T, 0, len(m))
	for _, n := range names {
		out = append(out, m[n])
	}
	return out
}

// Load replaces the book by a configuration, without its history of answers.
func (b *Book) Load(c *messenger.Configuration) {
	*b = *NewBook()
	b.version = c.Version
	for _, w := range c.Workspaces {
		b.workspaces[w.Name] = w
	}
	for _, s := range c.Services {
		b.services[s.Name] = s
	}
	for _, s := range c.Statements {
		b.statements[s.Name] = s
	}
	for _, m := range c.Members {
		b.members[m.Name] = m
	}
}

func (b *Book) clone() *Book {
	c := NewBook()
	c.Load(proto.Clone(b.Configuration()).(*messenger.Configuration))
	return c
}

// Faults lists everything that is wrong with a change, by field.
func (b *Book) Faults(c *messenger.Change) []string {
	f := &faults{}
	if c.ChangeId == "" {
		f.add("change_id", "missing")
	}
	if len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		f.add("edits", "want 1 to %d, got %d", maxEdits, len(c.Edits))
	}
	for i, e := range c.Edits {
		f.edit(fmt.Sprintf("edits[%d]", i), e, b)
	}
	if len(f.list) > 0 {
		return f.list
	}
	after := b.clone()
	after.applyEdits(c.Edits)
	after.dangling(f)
	return f.list
}

// dangling finds names that two parts of the configuration both claim.
func (b *Book) dangling(f *faults) {
	models := map[string]string{}
	for _, s := range sorted(b.services) {
		for _, m := range s.Models {
			if other, ok := models[m]; ok {
				f.add("service "+s.Name+".models", "model %q belongs to service %q already", m, other)
			}
			models[m] = s.Name
		}
	}
	keys := map[string]string{}
	for _, w := range sorted(b.workspaces) {
		for _, h := range w.KeyHashes {
			if other, ok := keys[string(h)]; ok {
				f.add("workspace "+w.Name+".key_hashes", "the key belongs to workspace %q already", other)
			}
			keys[string(h)] = w.Name
		}
	}
}

type faults struct{ list []string }

func (f *faults) add(field, format string, args ...any) {
	f.list = append(f.list, field+": "+fmt.Sprintf(format, args...))
}

func (f *faults) name(field, name string) {
	ok := name != "" && len(name) <= maxName
	for _, r := range name {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}
	if !ok {
		f.add(field, "%q: want 1 to %d of a-z, 0-9, '-', '_' and '.'", name, maxName)
	}
}

func (f *faults) selector(field, text string) {
	if len(text) > maxSelector {
		f.add(field, "longer than %d characters", maxSelector)
		return
	}
	if _, err := matcher.Parse(text); err != nil {
		f.add(field, "%v", err)
	}
}

func (f *faults) edit(at string, e *messenger.Edit, b *Book) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		f.workspace(at+".put_workspace", k.PutWorkspace)
	case *messenger.Edit_PutService:
		f.service(at+".put_service", k.PutService)
	case *messenger.Edit_PutStatement:
		f.statement(at+".put_statement", k.PutStatement)
	case *messenger.Edit_PutMember:
		f.name(at+".put_member.name", k.PutMember.Name)
	case *messenger.Edit_DeleteWorkspace:
		exists(f, at+".delete_workspace", b.workspaces, k.DeleteWorkspace)
	case *messenger.Edit_DeleteService:
		exists(f, at+".delete_service", b.services, k.DeleteService)
	case *messenger.Edit_DeleteStatement:
		exists(f, at+".delete_statement", b.statements, k.DeleteStatement)
	case *messenger.Edit_DeleteMember:
		exists(f, at+".delete_member", b.members, k.DeleteMember)
	default:
		f.add(at, "empty edit")
	}
}

func exists[T any](f *faults, field string, m map[string]T, name string) {
	if _, ok := m[name]; !ok {
		f.add(field, "%q does not exist", name)
	}
}

func (f *faults) labels(field string, labels map[string]string) {
	if len(labels) > maxLabels {
		f.add(field, "more than %d labels", maxLabels)
	}
	for k, v := range labels {
		if _, err := matcher.Parse(k + "=" + v); err != nil || k == "" || v == "" {
			f.add(field, "label %q=%q: want letters, digits, '-', '_', '.' and '/'", k, v)
		}
	}
}

func (f *faults) workspace(at string, w *messenger.Workspace) {
	f.name(at+".name", w.Name)
	f.labels(at+".labels", w.Labels)
	for _, h := range w.KeyHashes {
		if len(h) != 32 {
			f.add(at+".key_hashes", "want SHA-256 sums of 32 bytes, got %d bytes", len(h))
		}
	}
}

func (f *faults) service(at string, s *messenger.Service) {
	f.name(at+".name", s.Name)
	f.labels(at+".labels", s.Labels)
	if s.Kind == messenger.ServiceKind_SERVICE_KIND_UNSPECIFIED {
		f.add(at+".kind", "missing; want model or plain")
	}
	if s.Kind == messenger.ServiceKind_SERVICE_KIND_MODEL && len(s.Models) == 0 {
		f.add(at+".models", "a model service needs at least one model")
	}
	if s.Kind == messenger.ServiceKind_SERVICE_KIND_MODEL && s.MaxAnswerTokens <= 0 {
		f.add(at+".max_answer_tokens", "want a positive number, got %d", s.MaxAnswerTokens)
	}
	for _, p := range []struct {
		key   string
		value int64
	}{{"prompt_price", s.PromptPrice}, {"answer_price", s.AnswerPrice}, {"call_price", s.CallPrice}} {
		if p.value < 0 {
			f.add(at+"."+p.key, "negative: %d", p.value)
		}
	}
}

func (f *faults) statement(at string, s *messenger.Statement) {
	f.name(at+".name", s.Name)
	f.selector(at+".workspaces", s.Workspaces)
	f.selector(at+".services", s.Services)
	f.selector(at+".endpoints", s.Endpoints)
}
