package configurer

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
)

// Bounds of names and sizes.
const (
	maxName      = 63
	maxSelector  = 1024
	maxLabels    = 64
	maxEdits     = 10000
	maxChangeID  = 64
	maxAuthor    = 128
	maxChange    = 1 << 20
	maxModels    = 256
	maxModel     = 256
	maxKeys      = 16
	maxPrice     = 1_000_000_000
	maxAnswer    = 100_000_000
	keyHashBytes = 32
)

// Faults lists everything that is wrong with a change, by field. It costs
// time for the objects that the change names, not for the whole book.
func (b *Book) Faults(c *messenger.Change) []string {
	f := &faults{book: b, workspaces: map[string]*messenger.Workspace{}, services: map[string]*messenger.Service{}, statements: map[string]bool{}}
	if c.ChangeId == "" || len(c.ChangeId) > maxChangeID {
		f.add("change_id", "want 1 to %d characters, got %d", maxChangeID, len(c.ChangeId))
	}
	if len(c.Author) > maxAuthor {
		f.add("author", "want at most %d characters, got %d", maxAuthor, len(c.Author))
	}
	if len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		f.add("edits", "want 1 to %d, got %d", maxEdits, len(c.Edits))
		return f.list
	}
	if n := proto.Size(c); n > maxChange {
		f.add("edits", "want at most %d bytes in one change, got %d", maxChange, n)
	}
	for i, e := range c.Edits {
		f.edit(fmt.Sprintf("edits[%d]", i), e)
	}
	f.claims(c)
	return f.list
}

// faults gathers faults together with what the change makes of the book.
type faults struct {
	list []string
	book *Book
	// Workspaces, services and statements hold the objects that the change
	// has touched so far; nil or false for deleted ones.
	workspaces map[string]*messenger.Workspace
	services   map[string]*messenger.Service
	statements map[string]bool
}

func (f *faults) add(field, format string, args ...any) {
	f.list = append(f.list, field+": "+fmt.Sprintf(format, args...))
}

// claims finds models and keys that two objects would own after the change.
func (f *faults) claims(c *messenger.Change) {
	models, keys := map[string]string{}, map[string]string{}
	for i, e := range c.Edits {
		at := fmt.Sprintf("edits[%d]", i)
		if s := e.GetPutService(); s != nil && f.services[s.Name] == s {
			for _, m := range s.Models {
				if o := owner(models, f.book.models, f.services, m, s.Name); o != "" {
					f.add(at+".put_service.models", "model %q belongs to service %q already", m, o)
				}
				models[m] = s.Name
			}
		}
		if w := e.GetPutWorkspace(); w != nil && f.workspaces[w.Name] == w {
			for _, h := range w.KeyHashes {
				if o := owner(keys, f.book.keys, f.workspaces, string(h), w.Name); o != "" {
					f.add(at+".put_workspace.key_hashes", "the key belongs to workspace %q already", o)
				}
				keys[string(h)] = w.Name
			}
		}
	}
}

// owner returns who else owns a key after the change, or "".
func owner[T any](claimed, before map[string]string, touched map[string]T, key, name string) string {
	if o, ok := claimed[key]; ok {
		return o
	}
	o := before[key]
	if _, changed := touched[o]; changed || o == name {
		return ""
	}
	return o
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
	s, err := matcher.Parse(text)
	if err != nil {
		f.add(field, "%v", err)
		return
	}
	if !s.Satisfiable() {
		f.add(field, "%q can match nothing: its terms contradict each other", text)
	}
}

func (f *faults) edit(at string, e *messenger.Edit) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		f.workspace(at+".put_workspace", k.PutWorkspace)
		f.workspaces[k.PutWorkspace.Name] = k.PutWorkspace
	case *messenger.Edit_PutService:
		f.service(at+".put_service", k.PutService)
		f.services[k.PutService.Name] = k.PutService
	case *messenger.Edit_PutStatement:
		f.statement(at+".put_statement", k.PutStatement)
		f.statements[k.PutStatement.Name] = true
	case *messenger.Edit_DeleteWorkspace:
		_, had := f.book.workspaces[k.DeleteWorkspace]
		w, touched := f.workspaces[k.DeleteWorkspace]
		f.exists(at+".delete_workspace", k.DeleteWorkspace, touched && w != nil || !touched && had)
		f.workspaces[k.DeleteWorkspace] = nil
	case *messenger.Edit_DeleteService:
		_, had := f.book.services[k.DeleteService]
		s, touched := f.services[k.DeleteService]
		f.exists(at+".delete_service", k.DeleteService, touched && s != nil || !touched && had)
		f.services[k.DeleteService] = nil
	case *messenger.Edit_DeleteStatement:
		_, had := f.book.statements[k.DeleteStatement]
		put, touched := f.statements[k.DeleteStatement]
		f.exists(at+".delete_statement", k.DeleteStatement, put || !touched && had)
		f.statements[k.DeleteStatement] = false
	case *messenger.Edit_PutMember, *messenger.Edit_DeleteMember:
		f.add(at, "keepers join by the settings and their disks, not by a change")
	default:
		f.add(at, "empty edit")
	}
}

func (f *faults) exists(field, name string, exists bool) {
	if !exists {
		f.add(field, "%q does not exist", name)
	}
}

func (f *faults) labels(field string, labels map[string]string) {
	if len(labels) > maxLabels {
		f.add(field, "more than %d labels", maxLabels)
	}
	for _, k := range sortedKeys(labels) {
		v := labels[k]
		if _, err := matcher.Parse(k + "=" + v); err != nil || k == "" || v == "" || len(k)+len(v) > maxSelector {
			f.add(field, "label %q=%q: want letters, digits, '-', '_', '.' and '/'", k, v)
		}
	}
}

func (f *faults) workspace(at string, w *messenger.Workspace) {
	f.name(at+".name", w.Name)
	f.labels(at+".labels", w.Labels)
	if len(w.KeyHashes) > maxKeys {
		f.add(at+".key_hashes", "more than %d keys", maxKeys)
	}
	for _, h := range w.KeyHashes {
		if len(h) != keyHashBytes {
			f.add(at+".key_hashes", "want SHA-256 sums of %d bytes, got %d bytes", keyHashBytes, len(h))
		}
	}
}

func (f *faults) service(at string, s *messenger.Service) {
	f.name(at+".name", s.Name)
	f.labels(at+".labels", s.Labels)
	if s.Kind != messenger.ServiceKind_SERVICE_KIND_MODEL && s.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		f.add(at+".kind", "missing; want model or plain")
	}
	if s.Kind == messenger.ServiceKind_SERVICE_KIND_MODEL {
		f.models(at, s)
	}
	if _, ok := picker.New(s.Picker); s.Picker != "" && !ok {
		f.add(at+".picker", "%q: want one of %s", s.Picker, strings.Join(picker.Names(), ", "))
	}
	f.price(at+".prompt_price", s.PromptPrice)
	f.price(at+".answer_price", s.AnswerPrice)
	f.price(at+".call_price", s.CallPrice)
}

func (f *faults) models(at string, s *messenger.Service) {
	if len(s.Models) == 0 || len(s.Models) > maxModels {
		f.add(at+".models", "a model service needs 1 to %d models, got %d", maxModels, len(s.Models))
	}
	for _, m := range s.Models {
		if m == "" || len(m) > maxModel {
			f.add(at+".models", "%q: want 1 to %d characters", m, maxModel)
		}
	}
	if s.MaxAnswerTokens <= 0 || s.MaxAnswerTokens > maxAnswer {
		f.add(at+".max_answer_tokens", "want 1 to %d, got %d", maxAnswer, s.MaxAnswerTokens)
	}
}

func (f *faults) price(field string, value int64) {
	if value < 0 || value > maxPrice {
		f.add(field, "want 0 to %d, got %d", maxPrice, value)
	}
}

func (f *faults) statement(at string, s *messenger.Statement) {
	f.name(at+".name", s.Name)
	f.selector(at+".workspaces", s.Workspaces)
	f.selector(at+".services", s.Services)
	f.selector(at+".endpoints", s.Endpoints)
}
