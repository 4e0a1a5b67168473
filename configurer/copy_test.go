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
	simulationCount = 20
	simulationSteps = 60
	copyNames       = 150
	copyKeys        = 300
)

// copySimulation applies the same changes to a keeper's Book and a router's Copy.
// It retains every snapshot with the content that it must continue to return.
type copySimulation struct {
	random *rand.Rand
	book   *configurer.Book
	copied *configurer.Copy
	// workspaces maps names to workspaces, and owners maps keys to the names of
	// their workspaces.
	workspaces map[string]*messenger.Workspace
	owners     map[int]string
	taken      []takenSnapshot
}

type takenSnapshot struct {
	snapshot *configurer.Snapshot
	version  uint64
	want     map[string]*messenger.Workspace
	owners   map[int]string
	picker   string
}

func newCopySimulation(seed uint64) *copySimulation {
	return &copySimulation{
		random: rand.New(rand.NewPCG(seed, 1)), book: configurer.NewBook(), copied: configurer.NewCopy(),
		workspaces: map[string]*messenger.Workspace{}, owners: map[int]string{},
	}
}

func copyKey(i int) string { return fmt.Sprintf("key-%d", i) }

// edit returns edits that put or delete a random workspace. If it assigns a key
// of another workspace, it also deletes that workspace, in random order.
func (w *copySimulation) edit() []*messenger.Edit {
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
	w.workspaces[name] = m
	out[0].Kind = &messenger.Edit_PutWorkspace{PutWorkspace: m}
	w.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (w *copySimulation) drop(name string) {
	delete(w.workspaces, name)
	maps.DeleteFunc(w.owners, func(_ int, owner string) bool { return owner == name })
}

func (w *copySimulation) step(n int) {
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
		snapshot: w.copied.Snapshot(), version: w.book.Version(), want: maps.Clone(w.workspaces), owners: maps.Clone(w.owners), picker: picker,
	})
}

// mismatch describes the first difference between the snapshot and its expected
// content, or returns "".
func (t takenSnapshot) mismatch() string {
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

// TestCopyFollowsBook guards against routers at the same version that decide
// differently, because a Copy applies a change differently than the keeper's
// Book, and against a configuration that changes during a request, because a
// later change writes to memory shared with a snapshot. The test takes a snapshot
// after each of many changes that put, delete and move keys, sometimes reloads
// the whole configuration, and checks all snapshots at the end.
func TestCopyFollowsBook(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range simulationCount {
		w := newCopySimulation(uint64(seed))
		for n := range simulationSteps {
			w.step(n)
			g.Expect(w.copied.Digest()).To(gomega.Equal(w.book.Digest()), "seed %d, version %d", seed, w.book.Version())
		}
		for _, s := range w.taken {
			g.Expect(s.mismatch()).To(gomega.BeEmpty(), "seed %d", seed)
		}
	}
}

// TestCopyTakesNewStatements guards against a router that still grants access
// which a replaced statement no longer allows, because the compiled rules were
// not invalidated when the statement changed.
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
