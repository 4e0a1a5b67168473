package keeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
)

// A router that was away for long must catch up, and one whose copy differs
// must get a new one. There are more changes than are kept as deltas, so that
// the log goes through snapshots as well. Subscribers start at version 1, one
// version behind, and with a different copy; then the keeper restarts from
// the snapshot.
func TestSubscriberFarBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := &faultyStore{rows: map[string]map[string][]byte{}}
		l, err := newLogLoop("a", nil, store, rand.New(rand.NewPCG(1, 1)), zap.NewNop(), func(*messenger.LogMessage) {})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = l.Run(ctx) }()
		c := &cluster{t: t, ctx: ctx, loops: map[string]*logLoop{"a": l}}
		const changes = 6000
		for i := range uint64(changes) {
			g.Expect(c.acceptAt(fmt.Sprint("change-", i), i)).To(gomega.Equal(i + 1))
		}
		s := &configurationServer{loop: l}
		far, _, err := s.update(ctx, &subscriberState{version: 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(far.Configuration.GetVersion()).To(gomega.Equal(uint64(changes)))
		near, _, err := s.update(ctx, &subscriberState{version: changes - 2})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(near.Configuration).To(gomega.BeNil())
		g.Expect(near.Changes).To(gomega.HaveLen(2))
		other, _, err := s.update(ctx, &subscriberState{version: changes, digest: near.Digest + 1})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(other.Configuration.GetVersion()).To(gomega.Equal(uint64(changes)))
		cancel()
		synctest.Wait()
		g.Expect(store.rows["log_snapshot"]).To(gomega.HaveLen(1))
		g.Expect(len(store.rows["log_entries"])).To(gomega.BeNumerically("<", changes))
		again, err := newLogLoop("a", nil, store, rand.New(rand.NewPCG(1, 2)), zap.NewNop(), func(*messenger.LogMessage) {})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again.book.Version()).To(gomega.Equal(uint64(changes)))
		g.Expect(again.book.Digest()).To(gomega.Equal(near.Digest))
		first := again.book.Decide(&messenger.LogChange{Change: &messenger.Change{ChangeId: "change-7", BaseVersion: 7}})
		g.Expect(first.Version).To(gomega.Equal(uint64(8)), "the first answer is part of the snapshot")
	})
}
