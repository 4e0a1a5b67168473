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

// putWorkspace returns a change that adds a workspace.
func putWorkspace(name string) *messenger.Change {
	return &messenger.Change{ChangeId: name, Edits: []*messenger.Edit{
		{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: &messenger.Workspace{Name: name}}},
	}}
}

// updates returns a keeper's book with one workspace for each name, and a
// function that returns the update from a given version to the latest.
func updates(names ...string) (*configurer.Book, func(from uint64) *messenger.Update) {
	b := configurer.NewBook()
	for _, n := range names {
		b.Apply(putWorkspace(n))
	}
	return b, func(from uint64) *messenger.Update {
		c, _ := b.ChangesSince(from)
		return &messenger.Update{BaseVersion: from, Changes: c, Version: b.Version(), Digest: b.Digest()}
	}
}

// newFollower returns a follower and the list of versions that it publishes.
func newFollower() (*configFollower, *[]uint64) {
	var shown []uint64
	return &configFollower{
		log: zap.NewNop(), config: configurer.NewCopy(), started: time.Now(),
		publish: func(s *configurer.Snapshot) { shown = append(shown, s.Version()) },
	}, &shown
}

// TestVersionNeverGoesBack guards against a router that serves an older
// configuration after it switched keepers. After version 3, updates arrive from
// a keeper that is at version 2, as from one behind a network partition.
func TestVersionNeverGoesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, at3 := updates("a", "b", "c")
	u := at3(0)
	u.Confirmed = true
	g.Expect(f.applyUpdate(u)).To(gomega.Succeed())
	f.publishWhenConfirmed(keeperSource{}, u)
	old, at2 := updates("a", "b")
	g.Expect(f.applyUpdate(at2(0))).To(gomega.Succeed())
	f.publishWhenConfirmed(keeperSource{}, at2(0))
	g.Expect(f.applyUpdate(&messenger.Update{Version: 2, Digest: old.Digest(), Configuration: old.Configuration()})).To(gomega.Succeed())
	g.Expect(f.config.Version()).To(gomega.Equal(uint64(3)))
	g.Expect(*shown).To(gomega.Equal([]uint64{3}))
}

// TestDivergedCopyIsReplaced guards against two routers that are at the same
// version and decide differently, which happens if only versions are compared.
// The router's copy of version 2 differs from the keeper's when the next change
// arrives.
func TestDivergedCopyIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, other := updates("a", "x")
	g.Expect(f.applyUpdate(other(0))).To(gomega.Succeed())
	b, right := updates("a", "b", "c")
	err := f.applyUpdate(right(2))
	g.Expect(errors.Is(err, errBaseMismatch)).To(gomega.BeTrue())
	g.Expect(*shown).To(gomega.BeEmpty())
	whole := &messenger.Update{Version: 3, Digest: b.Digest(), Configuration: b.Configuration(), Confirmed: true}
	g.Expect(f.applyUpdate(whole)).To(gomega.Succeed())
	f.publishWhenConfirmed(keeperSource{}, whole)
	g.Expect(*shown).To(gomega.Equal([]uint64{3}))
}

// TestStartWaitsForConfirmation guards against a router that serves an older
// configuration after a restart than before, because it takes the first copy
// that it receives for the latest. The first keeper that answers is cut off and
// behind. Only the copy of the own zone's keeper may be used unconfirmed, and
// only after confirmationTimeout.
func TestStartWaitsForConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	f, shown := newFollower()
	_, at2 := updates("a", "b")
	u := at2(0)
	u.AgeMs = 60000
	g.Expect(f.applyUpdate(u)).To(gomega.Succeed())
	own, other := keeperSource{name: "own", own: true}, keeperSource{name: "other"}
	f.publishWhenConfirmed(own, u)
	f.started = time.Now().Add(-confirmationTimeout - time.Second)
	f.publishWhenConfirmed(other, u)
	g.Expect(*shown).To(gomega.BeEmpty())
	f.publishWhenConfirmed(own, u)
	g.Expect(*shown).To(gomega.Equal([]uint64{2}))
}
