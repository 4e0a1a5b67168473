package configurer

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
)

// Limits on names and sizes. Lengths are in bytes unless the name says otherwise.
const (
	maxNameLength     = 63
	maxSelectorLength = 1024
	maxLabels         = 64
	maxEdits          = 10000
	maxChangeIDLength = 64
	maxAuthorLength   = 128
	maxChangeBytes    = 1 << 20
	maxModels         = 256
	maxModelLength    = 256
	maxKeys           = 16
	maxPrice          = 1_000_000_000
	maxAnswerTokens   = 100_000_000
	keyHashBytes      = 32
)

// Validate returns all validation errors of a change, each with the path of its
// field. Its cost depends on the objects that the change names, not on the size
// of the configuration.
func (b *Book) Validate(c *messenger.Change) []string {
	f := &validator{book: b, workspaces: map[string]*messenger.Workspace{}, services: map[string]*messenger.Service{}, statements: map[string]bool{}}
	if c.ChangeId == "" || len(c.ChangeId) > maxChangeIDLength {
		f.add("change_id", "want 1 to %d characters, got %d", maxChangeIDLength, len(c.ChangeId))
	}
	if len(c.Author) > maxAuthorLength {
		f.add("author", "want at most %d characters, got %d", maxAuthorLength, len(c.Author))
	}
	if len(c.Edits) == 0 || len(c.Edits) > maxEdits {
		f.add("edits", "want 1 to %d, got %d", maxEdits, len(c.Edits))
		return f.list
	}
	if n := proto.Size(c); n > maxChangeBytes {
		f.add("edits", "want at most %d bytes in one change, got %d", maxChangeBytes, n)
	}
	for i, e := range c.Edits {
		f.checkEdit(fmt.Sprintf("edits[%d]", i), e)
	}
	f.checkOwners(c)
	return f.list
}

// validator collects the errors of one change and tracks the effect of its
// edits on the configuration.
type validator struct {
	list []string
	book *Book
	// workspaces, services and statements hold the objects that the change has
	// edited so far. Deleted objects are nil or false.
	workspaces map[string]*messenger.Workspace
	services   map[string]*messenger.Service
	statements map[string]bool
}

func (f *validator) add(field, format string, args ...any) {
	f.list = append(f.list, field+": "+fmt.Sprintf(format, args...))
}

// checkOwners reports models and keys that two objects would own after the
// change.
func (f *validator) checkOwners(c *messenger.Change) {
	models, keys := map[string]string{}, map[string]string{}
	for i, e := range c.Edits {
		path := fmt.Sprintf("edits[%d]", i)
		if s := e.GetPutService(); s != nil && f.services[s.Name] == s {
			for _, m := range s.Models {
				if o := otherOwner(models, f.book.models, f.services, m, s.Name); o != "" {
					f.add(path+".put_service.models", "model %q belongs to service %q already", m, o)
				}
				models[m] = s.Name
			}
		}
		if w := e.GetPutWorkspace(); w != nil && f.workspaces[w.Name] == w {
			for _, h := range w.KeyHashes {
				if o := otherOwner(keys, f.book.keys, f.workspaces, string(h), w.Name); o != "" {
					f.add(path+".put_workspace.key_hashes", "the key belongs to workspace %q already", o)
				}
				keys[string(h)] = w.Name
			}
		}
	}
}

// otherOwner returns the name of another object that would own the key after
// the change, or "" if there is none.
func otherOwner[T any](claimed, before map[string]string, touched map[string]T, key, name string) string {
	if o, ok := claimed[key]; ok {
		return o
	}
	o := before[key]
	if _, changed := touched[o]; changed || o == name {
		return ""
	}
	return o
}

func (f *validator) checkName(field, name string) {
	ok := name != "" && len(name) <= maxNameLength
	for _, r := range name {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r))
	}
	if !ok {
		f.add(field, "%q: want 1 to %d of a-z, 0-9, '-', '_' and '.'", name, maxNameLength)
	}
}

func (f *validator) checkSelector(field, text string) {
	if len(text) > maxSelectorLength {
		f.add(field, "longer than %d characters", maxSelectorLength)
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

func (f *validator) checkEdit(path string, e *messenger.Edit) {
	switch k := e.Kind.(type) {
	case *messenger.Edit_PutWorkspace:
		f.checkWorkspace(path+".put_workspace", k.PutWorkspace)
		f.workspaces[k.PutWorkspace.Name] = k.PutWorkspace
	case *messenger.Edit_PutService:
		f.checkService(path+".put_service", k.PutService)
		f.services[k.PutService.Name] = k.PutService
	case *messenger.Edit_PutStatement:
		f.checkStatement(path+".put_statement", k.PutStatement)
		f.statements[k.PutStatement.Name] = true
	case *messenger.Edit_DeleteWorkspace:
		_, had := f.book.workspaces[k.DeleteWorkspace]
		w, touched := f.workspaces[k.DeleteWorkspace]
		f.checkExists(path+".delete_workspace", k.DeleteWorkspace, touched && w != nil || !touched && had)
		f.workspaces[k.DeleteWorkspace] = nil
	case *messenger.Edit_DeleteService:
		_, had := f.book.services[k.DeleteService]
		s, touched := f.services[k.DeleteService]
		f.checkExists(path+".delete_service", k.DeleteService, touched && s != nil || !touched && had)
		f.services[k.DeleteService] = nil
	case *messenger.Edit_DeleteStatement:
		_, had := f.book.statements[k.DeleteStatement]
		put, touched := f.statements[k.DeleteStatement]
		f.checkExists(path+".delete_statement", k.DeleteStatement, put || !touched && had)
		f.statements[k.DeleteStatement] = false
	case *messenger.Edit_PutMember, *messenger.Edit_DeleteMember:
		f.add(path, "keepers join by the settings and their disks, not by a change")
	default:
		f.add(path, "empty edit")
	}
}

func (f *validator) checkExists(field, name string, exists bool) {
	if !exists {
		f.add(field, "%q does not exist", name)
	}
}

func (f *validator) checkLabels(field string, labels map[string]string) {
	if len(labels) > maxLabels {
		f.add(field, "more than %d labels", maxLabels)
	}
	for _, k := range sortedKeys(labels) {
		v := labels[k]
		if _, err := matcher.Parse(k + "=" + v); err != nil || k == "" || v == "" || len(k)+len(v) > maxSelectorLength {
			f.add(field, "label %q=%q: want letters, digits, '-', '_', '.' and '/'", k, v)
		}
	}
}

func (f *validator) checkWorkspace(path string, w *messenger.Workspace) {
	f.checkName(path+".name", w.Name)
	f.checkLabels(path+".labels", w.Labels)
	if len(w.KeyHashes) > maxKeys {
		f.add(path+".key_hashes", "more than %d keys", maxKeys)
	}
	for _, h := range w.KeyHashes {
		if len(h) != keyHashBytes {
			f.add(path+".key_hashes", "want SHA-256 sums of %d bytes, got %d bytes", keyHashBytes, len(h))
		}
	}
}

func (f *validator) checkService(path string, s *messenger.Service) {
	f.checkName(path+".name", s.Name)
	f.checkLabels(path+".labels", s.Labels)
	if s.Kind != messenger.ServiceKind_SERVICE_KIND_MODEL && s.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		f.add(path+".kind", "missing; want model or plain")
	}
	if s.Kind == messenger.ServiceKind_SERVICE_KIND_MODEL {
		f.checkModels(path, s)
	}
	if _, ok := picker.New(s.Picker); s.Picker != "" && !ok {
		f.add(path+".picker", "%q: want one of %s", s.Picker, strings.Join(picker.Names(), ", "))
	}
	f.checkPrice(path+".prompt_price", s.PromptPrice)
	f.checkPrice(path+".answer_price", s.AnswerPrice)
	f.checkPrice(path+".call_price", s.CallPrice)
}

func (f *validator) checkModels(path string, s *messenger.Service) {
	if len(s.Models) == 0 || len(s.Models) > maxModels {
		f.add(path+".models", "a model service needs 1 to %d models, got %d", maxModels, len(s.Models))
	}
	for _, m := range s.Models {
		if m == "" || len(m) > maxModelLength {
			f.add(path+".models", "%q: want 1 to %d characters", m, maxModelLength)
		}
	}
	if s.MaxAnswerTokens <= 0 || s.MaxAnswerTokens > maxAnswerTokens {
		f.add(path+".max_answer_tokens", "want 1 to %d, got %d", maxAnswerTokens, s.MaxAnswerTokens)
	}
}

func (f *validator) checkPrice(field string, value int64) {
	if value < 0 || value > maxPrice {
		f.add(field, "want 0 to %d, got %d", maxPrice, value)
	}
}

func (f *validator) checkStatement(path string, s *messenger.Statement) {
	f.checkName(path+".name", s.Name)
	f.checkSelector(path+".workspaces", s.Workspaces)
	f.checkSelector(path+".services", s.Services)
	f.checkSelector(path+".endpoints", s.Endpoints)
}
