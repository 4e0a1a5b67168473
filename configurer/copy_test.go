package configurer_test

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	copyWorlds = 20
	copySteps  = 60
	copyNames  = 150
	copyKeys   = 300
)

// copyWorld feeds the same changes to a keeper's book and to a router's copy,
// and keeps snapshots with what each of them must go on showing.
type copyWorld struct {
	random *rand.Rand
	book   *configurer.Book
	copied *configurer.Copy
	// Now maps names to workspaces, owners keys to names.
	now    map[string]*messenger.Workspace
	owners map[int]string
	taken  []takenSnapshot
}

type takenSnapshot struct {
	snapshot *configurer.Snapshot
	version  uint64
	want     map[string]*messenger.Workspace
	owners   map[int]string
	picker   string
}

func newCopyWorld(seed uint64) *copyWorld {
	return &copyWorld{
		random: rand.New(rand.NewPCG(seed, 1)), book: configurer.NewBook(), copied: configurer.NewCopy(),
		now: map[string]*messenger.Workspace{}, owners: map[int]string{},
	}
}

func copyKey(i int) string { return fmt.Sprintf("key-%d", i) }

// edit puts or deletes a workspace; a key moves to its new owner, whose old
// owner is put without it before or after.
func (w *copyWorld) edit() []*messenger.Edit {
	name := fmt.Sprintf("workspace-%d", w.random.IntN(copyNames))
	if w.random.IntN(4) == 0 {
		w.drop(name)
		return []*messenger.Edit{{Kind: &messenger.Edit_DeleteWorkspace{DeleteWorkspace: name}}}
	}
	w.drop(name)
	out := []*messenger.Edit{{}}
	m := &messenger.Workspace{Name: name, Labels: map[string]string{"tier": fmt.Sprint(w.random.IntN(3))}}
	if w.random.IntN(3) == 0 {
		m.Labels["own"] = name
	}
	for range w.random.IntN(4) {
		k := w.random.IntN(copyKeys)
		sum := sha256.Sum256([]byte(copyKey(k)))
		if old := w.owners[k]; old != "" && old != name {
			w.drop(old)
			out = append(out, &messenger.Edit{Kind: &messenger.Edit_DeleteWorkspace{DeleteWorkspace: old}})
		}
		m.KeyHashes = append(m.KeyHashes, sum[:])
		w.owners[k] = name
	}
	w.now[name] = m
	out[0].Kind = &messenger.Edit_PutWorkspace{PutWorkspace: m}
	w.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (w *copyWorld) drop(name string) {
	delete(w.now, name)
	maps.DeleteFunc(w.owners, func(_ int, owner string) bool { return owner == name })
}

func (w *copyWorld) step(n int) {
	c := &messenger.Change{ChangeId: fmt.Sprint(n), BaseVersion: w.book.Version()}
	for range 1 + w.random.IntN(10) {
		c.Edits = append(c.Edits, w.edit()...)
	}
	picker := fmt.Sprint("picker-", n/3)
	c.Edits = append(c.Edits, &messenger.Edit{Kind: &messenger.Edit_PutService{PutService: &messenger.Service{Name: "chat", Models: []string{"m"}, Picker: picker}}})
	w.book.Apply(c)
	if w.random.IntN(10) == 0 {
		w.copied.Load(w.book.Configuration())
	} else {
		w.copied.Apply(c)
	}
	w.taken = append(w.taken, takenSnapshot{
		snapshot: w.copied.Snapshot(), version: w.book.Version(), want: maps.Clone(w.now), owners: maps.Clone(w.owners), picker: picker,
	})
}

// fault returns the first thing that the snapshot shows otherwise, or "".
func (t takenSnapshot) fault() string {
	service, err := t.snapshot.ServiceByModel("m")
	if err != nil || service.Picker != t.picker || t.snapshot.Version() != t.version {
		return fmt.Sprintf("version %d shows version %d, service %v", t.version, t.snapshot.Version(), service)
	}
	for i := range copyNames {
		name := fmt.Sprintf("workspace-%d", i)
		got, err := t.snapshot.Workspace(name)
		want := t.want[name]
		if (err == nil) != (want != nil) || err == nil && (got.Name() != name || !maps.Equal(got.Labels(), want.Labels)) {
			return fmt.Sprintf("version %d: %s: %v, want %v", t.version, name, err, want.GetLabels())
		}
	}
	for k := range copyKeys {
		got, err := t.snapshot.WorkspaceByKey(copyKey(k))
		if (err == nil) != (t.owners[k] != "") || err == nil && got.Name() != t.owners[k] {
			return fmt.Sprintf("version %d: key %d: %v, want the owner %q", t.version, k, err, t.owners[k])
		}
	}
	return ""
}

// TestCopyFollowsBook
// Symptom: two routers of one version decide differently, or a request sees
// the configuration change under it.
// Sequence: changes that put, delete and move keys, each followed by a
// snapshot, with whole copies now and then; then all snapshots are read again.
// Cause it guards against: a copy that takes a change otherwise than the
// keeper's book, and snapshots that share memory which a later change writes.
func TestCopyFollowsBook(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range copyWorlds {
		w := newCopyWorld(uint64(seed))
		for n := range copySteps {
			w.step(n)
			g.Expect(w.copied.Digest()).To(gomega.Equal(w.book.Digest()), "seed %d, version %d", seed, w.book.Version())
		}
		for _, s := range w.taken {
			g.Expect(s.fault()).To(gomega.BeEmpty(), "seed %d", seed)
		}
	}
}

// TestCopyTakesNewStatements
// Symptom: a router goes on granting what a statement no longer allows.
// Sequence: a statement is put, a snapshot taken, the statement replaced.
// Cause it guards against: rules kept over a change of statements.
func TestCopyTakesNewStatements(t *testing.T) {
	g := gomega.NewWithT(t)
	c := configurer.NewCopy()
	c.Apply(change("a", 0, putWorkspace("w", 1), putStatement("s", "name=w")).Change)
	first := c.Snapshot()
	c.Apply(change("b", 1, putStatement("s", "name=x")).Change)
	second := c.Snapshot()
	w, err := second.Workspace("w")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v := &messenger.Service{Name: "v"}
	g.Expect(first.Grant(w, v).Key()).NotTo(gomega.BeEmpty())
	g.Expect(second.Grant(w, v).Key()).To(gomega.BeEmpty())
	c.Apply(change("c", 2, putStatement("s", "name=w")).Change)
	g.Expect(c.Snapshot().Grant(w, v).Key()).To(gomega.Equal(first.Grant(w, v).Key()))
}

func BenchmarkOneChange42000(b *testing.B) {
	c := configurer.NewCopy()
	c.Load(large().Configuration())
	x := change("x", 0, putWorkspace("workspace-7", 9)).Change
	for b.Loop() {
		c.Apply(x)
		c.Snapshot()
	}
}

func BenchmarkWorkspaceByKey42000(b *testing.B) {
	c := configurer.NewCopy()
	c.Load(large().Configuration())
	s := c.Snapshot()
	for b.Loop() {
		_, _ = s.WorkspaceByKey("a key that nobody has")
		_, _ = s.Workspace("workspace-41999")
	}
}
