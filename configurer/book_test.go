package configurer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

func putWorkspace(name string, key byte) *messenger.Edit {
	h := make([]byte, 32)
	h[0] = key
	return &messenger.Edit{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: name, KeyHashes: [][]byte{h}}}}
}

func putStatement(name, workspaces string) *messenger.Edit {
	return &messenger.Edit{Kind: &messenger.Edit_PutStatement{PutStatement: &messenger.Statement{Name: name, Workspaces: workspaces}}}
}

func change(id string, base uint64, edits ...*messenger.Edit) *messenger.LogChange {
	return &messenger.LogChange{Change: &messenger.Change{ChangeId: id, BaseVersion: base, Edits: edits}}
}

// TestEveryFaultListed guards against validation that stops at the first error.
// An operator would fix one error, resend the change and get the next error.
func TestEveryFaultListed(t *testing.T) {
	g := gomega.NewWithT(t)
	b := configurer.NewBook()
	b.Apply(change("a", 0, putWorkspace("w", 1)).Change)
	faults := b.Validate(change("", 1,
		putWorkspace("Bad Name", 2),
		putWorkspace("other", 1),
		putStatement("s", "a=x,!a"),
		putStatement("t", "a=x,a in (y, z)"),
		putStatement("u", "a in x"),
		&messenger.Edit{Kind: &messenger.Edit_DeleteService{DeleteService: "nowhere"}},
		&messenger.Edit{Kind: &messenger.Edit_PutService{PutService: &messenger.Service{Name: "v", Kind: 1, Picker: "no_such"}}},
		&messenger.Edit{},
	).Change)
	for _, want := range []string{
		"change_id: ", "edits[0].put_workspace.name: ", "edits[1].put_workspace.key_hashes: the key belongs to workspace \"w\"",
		"edits[2].put_statement.workspaces: ", "edits[3].put_statement.workspaces: ", "edits[4].put_statement.workspaces: ",
		"edits[5].delete_service: ", "edits[6].put_service.models: ", "edits[6].put_service.max_answer_tokens: ",
		"edits[6].put_service.picker: ", "edits[7]: ",
	} {
		g.Expect(faults).To(gomega.ContainElement(gomega.HavePrefix(want)))
	}
	g.Expect(faults).To(gomega.HaveLen(11))
	g.Expect(b.Validate(change("b", 1, putWorkspace("w", 3), putWorkspace("other", 1)).Change)).To(gomega.BeEmpty())
}

// TestFirstAnswerStays guards against a resent change getting a different reply
// than the first time. An accepted change is sent again after other changes and
// a restored snapshot. A change whose base version was ahead is sent again once
// the configuration has reached that version.
func TestFirstAnswerStays(t *testing.T) {
	g := gomega.NewWithT(t)
	b := configurer.NewBook()
	g.Expect(b.Decide(change("a", 0, putWorkspace("w", 1))).Version).To(gomega.Equal(uint64(1)))
	ahead := change("ahead", 2, putWorkspace("x", 2))
	ahead.Ahead = true
	g.Expect(b.Decide(ahead).Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
	g.Expect(b.Decide(change("b", 1, putWorkspace("y", 3))).Version).To(gomega.Equal(uint64(2)))
	s, err := b.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := configurer.NewBook()
	g.Expect(c.Restore(s)).To(gomega.Succeed())
	g.Expect(c.Digest()).To(gomega.Equal(b.Digest()))
	g.Expect(c.Decide(change("a", 0, putWorkspace("w", 1))).Version).To(gomega.Equal(uint64(1)))
	g.Expect(c.Decide(change("ahead", 2, putWorkspace("x", 2))).Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
	lost := c.Decide(change("c", 1, putWorkspace("z", 4)))
	g.Expect(lost.Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
	g.Expect(lost.Since).To(gomega.HaveLen(1))
	g.Expect(lost.Since[0].ChangeId).To(gomega.Equal("b"))
	g.Expect(c.Version()).To(gomega.Equal(uint64(2)))
}

// TestHorizonNeverCountsTwice guards against applying a change twice if it is
// sent again after its reply was discarded. This happens if duplicates are
// detected only by change ID.
func TestHorizonNeverCountsTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	b := configurer.NewBook()
	for i := range configurer.MaxAnswers + 2 {
		b.Decide(change(fmt.Sprint(i), b.Version(), putWorkspace("w", byte(i))))
	}
	v := b.Version()
	g.Expect(b.Decide(change("0", 0, putWorkspace("w", 0))).Outcome).To(gomega.Equal(messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT))
	g.Expect(b.Version()).To(gomega.Equal(v))
}

// TestDigestFollowsContent guards against undetected differences between two
// copies of the same version.
func TestDigestFollowsContent(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := configurer.NewBook(), configurer.NewBook()
	a.Apply(change("a", 0, putWorkspace("w", 1), putWorkspace("x", 2)).Change)
	b.Apply(change("a", 0, putWorkspace("x", 2), putWorkspace("w", 1)).Change)
	g.Expect(a.Digest()).To(gomega.Equal(b.Digest()))
	b.Apply(change("b", 1, putWorkspace("w", 3)).Change)
	g.Expect(a.Digest()).NotTo(gomega.Equal(b.Digest()))
	c := configurer.NewBook()
	c.Load(b.Configuration())
	g.Expect(c.Digest()).To(gomega.Equal(b.Digest()))
}

func large() *configurer.Book {
	b := configurer.NewBook()
	for i := range 42000 {
		w := putWorkspace(fmt.Sprintf("workspace-%d", i), 0)
		h := w.GetPutWorkspace().KeyHashes[0]
		h[1], h[2], h[3] = byte(i), byte(i>>8), byte(i>>16)
		b.Apply(change(fmt.Sprint(i), uint64(i), w).Change)
	}
	b.Apply(change("s", b.Version(), putStatement("all", "")).Change)
	return b
}

func BenchmarkCompile42000(b *testing.B) {
	k := large()
	for b.Loop() {
		configurer.Compile(k.Configuration())
	}
}

func BenchmarkFaults42000(b *testing.B) {
	k := large()
	c := change("x", k.Version(), putWorkspace("workspace-7", 9)).Change
	for b.Loop() {
		k.Validate(c)
	}
}

func BenchmarkSnapshot42000(b *testing.B) {
	k := large()
	var size int
	for b.Loop() {
		s, err := k.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(s)
	}
	b.ReportMetric(float64(size), "bytes")
}

// TestFaultsCostOnlyTheChange guards against validation that copies all
// workspaces, which blocks the leader on every change. The time limit is
// generous because the host may be busy.
func TestFaultsCostOnlyTheChange(t *testing.T) {
	k := large()
	c := change("x", k.Version(), putWorkspace("workspace-7", 9)).Change
	start := time.Now()
	for range 100 {
		k.Validate(c)
	}
	if d := time.Since(start) / 100; d > 10*time.Millisecond {
		t.Fatalf("one check took %s", d)
	}
}
