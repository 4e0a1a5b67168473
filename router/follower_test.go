package router

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

func putWorkspace(name string) *messenger.Change {
	return &messenger.Change{ChangeId: name, Edits: []*messenger.Edit{
		{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: name}}},
	}}
}

// updates returns the keeper's book and the update from one version on.
func updates(names ...string) (*configurer.Book, func(from uint64) *messenger.Update) {
	b := configurer.NewBook()
	for _, n := range names {
		b.Apply(putWorkspace(n))
	}
	return b, func(from uint64) *messenger.Update {
		c, _ := b.Since(from)
		return &messenger.Update{BaseVersion: from, Changes: c, Version: b.Version(), Digest: b.Digest()}
	}
}

func newFollower() (*follower, *[]uint64) {
	var shown []uint64
	return &follower{
		log: zap.NewNop(), book: configurer.NewCopy(), started: time.Now(),
		show: func(s *configurer.Snapshot) { shown = append(shown, s.Version()) },
	}, &shown
}

// TestVersionNeverGoesBack: symptom, a router that changed its keeper serves
// an older configuration. Sequence: version 3 from one keeper, then a stream
// of a keeper that is at version 2. Cause: a keeper behind a cut answers first.
func TestVersionNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, at3 := updates("a", "b", "c")
	u := at3(0)
	u.Confirmed = true
	g.Expect(f.take(u)).To(gomega.Succeed())
	f.showWhenKnown(source{}, u)
	old, at2 := updates("a", "b")
	g.Expect(f.take(at2(0))).To(gomega.Succeed())
	f.showWhenKnown(source{}, at2(0))
	g.Expect(f.take(&messenger.Update{Version: 2, Digest: old.Digest(), Configuration: old.Configuration()})).To(gomega.Succeed())
	g.Expect(f.book.Version()).To(gomega.Equal(uint64(3)))
	g.Expect(*shown).To(gomega.Equal([]uint64{3}))
}

// TestDifferentCopyIsReplaced: symptom, two routers of one version decide
// differently. Sequence: the router's copy of version 2 is another one than
// the keeper's; the next change arrives. Cause: only versions are compared.
func TestDifferentCopyIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, other := updates("a", "x")
	g.Expect(f.take(other(0))).To(gomega.Succeed())
	b, right := updates("a", "b", "c")
	err := f.take(right(2))
	g.Expect(errors.Is(err, errBase)).To(gomega.BeTrue())
	g.Expect(*shown).To(gomega.BeEmpty())
	whole := &messenger.Update{Version: 3, Digest: b.Digest(), Configuration: b.Configuration(), Confirmed: true}
	g.Expect(f.take(whole)).To(gomega.Succeed())
	f.showWhenKnown(source{}, whole)
	g.Expect(*shown).To(gomega.Equal([]uint64{3}))
}

// TestStartWaitsForConfirmation: symptom, a router serves an older
// configuration after its restart than before. Sequence: the first keeper
// that answers is cut off and behind. Cause: the first copy is taken for the
// latest; only the own zone's keeper may be, once no other confirms.
func TestStartWaitsForConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, at2 := updates("a", "b")
	u := at2(0)
	u.AgeMs = 60000
	g.Expect(f.take(u)).To(gomega.Succeed())
	own, other := source{name: "own", own: true}, source{name: "other"}
	f.showWhenKnown(own, u)
	f.started = time.Now().Add(-confirmWait - time.Second)
	f.showWhenKnown(other, u)
	g.Expect(*shown).To(gomega.BeEmpty())
	f.showWhenKnown(own, u)
	g.Expect(*shown).To(gomega.Equal([]uint64{2}))
}
