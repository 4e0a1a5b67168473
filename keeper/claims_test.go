package keeper

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// newOpenClaimServer returns a server with an empty disk that already decides
// claims.
func newOpenClaimServer(t *testing.T) (*claimServer, *storer.Store) {
	t.Helper()
	store := newHolder(t).store
	s := restartedClaims(t, store)
	s.decide(t, claimer.Open{})
	return s, store
}

func restartedClaims(t *testing.T, store *storer.Store) *claimServer {
	t.Helper()
	s, err := newClaimServer(&Keeper{store: store})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return s
}

// decide steps the events in one batch, as for calls that arrive together.
func (s *claimServer) decide(t *testing.T, events ...claimer.Event) (out []proto.Message) {
	t.Helper()
	var batch []claimCall
	for _, e := range events {
		batch = append(batch, claimCall{event: e, done: make(chan claimReply, 1)})
	}
	gomega.NewWithT(t).Expect(s.commit(batch)).To(gomega.Succeed())
	for _, c := range batch {
		out = append(out, (<-c.done).message)
	}
	return out
}

func claimEvent(id string, attempt uint64) claimer.Claim {
	return claimer.Claim{Request: &messenger.ClaimRequest{
		Workspace: "w", RequestId: id, Digest: []byte("d"), Holder: &messenger.Holder{Router: "r", Attempt: attempt},
	}}
}

func settleEvent(id string, attempt uint64, s messenger.ClaimState) claimer.Settle {
	return claimer.Settle{Request: &messenger.SettleRequest{
		Workspace: "w", RequestId: id, Holder: &messenger.Holder{Router: "r", Attempt: attempt}, State: s,
	}}
}

func verdictOf(m proto.Message) messenger.ClaimVerdict { return m.(*messenger.ClaimReply).Verdict }

// A keeper must not grant a claim that the same commit gives to another
// attempt, nor stop when several calls for one request arrive together. Both
// would happen if it read rows from the disk that the batch has already
// changed. One batch holds a claim, its release, a second claim, a third, and
// the end of the second; further claims follow after the batch and after a
// restart.
func TestClaimsOfOneBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := newOpenClaimServer(t)
	out := s.decide(
		t, claimEvent("id", 1), settleEvent("id", 1, messenger.ClaimState_CLAIM_STATE_RELEASED),
		claimEvent("id", 2), claimEvent("id", 3), settleEvent("id", 2, messenger.ClaimState_CLAIM_STATE_DONE),
	)
	g.Expect(verdictOf(out[0])).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED))
	g.Expect(verdictOf(out[2])).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED))
	g.Expect(verdictOf(out[3])).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	for _, x := range []*claimServer{s, restartedClaims(t, store)} {
		r := x.decide(t, claimEvent("id", 4))[0].(*messenger.ClaimReply)
		g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
		g.Expect(r.Row.State).To(gomega.Equal(messenger.ClaimState_CLAIM_STATE_DONE))
		g.Expect(r.Row.Holder.Attempt).To(gomega.Equal(uint64(2)))
		g.Expect(r.Row.Digest).To(gomega.Equal([]byte("d")))
	}
}

// A keeper that decided by a damaged row could let a request run twice. It
// must stop when a row on the disk differs from what was written.
func TestDamagedClaimStopsTheKeeper(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := newOpenClaimServer(t)
	s.decide(t, claimEvent("id", 1), claimEvent("other", 1))
	key := claimer.KeyOf("w", "id").Row()
	other, err := store.Get(claimer.BucketClaims, claimer.KeyOf("w", "other").Row())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, wrong := range [][]byte{nil, other} {
		g.Expect(store.Apply([]storer.Row{{Bucket: claimer.BucketClaims, Key: key, Value: wrong}})).To(gomega.Succeed())
		err := s.commit([]claimCall{{event: claimEvent("id", 2), done: make(chan claimReply, 1)}})
		g.Expect(errors.Is(err, storer.ErrStore)).To(gomega.BeTrue())
	}
}

// A keeper with a new disk must not grant again what its lost disk had
// granted. This guards against rows lost between two parts of a copy, or in
// the migration of rows that an older version stored by name. There are more
// rows than fit in one message.
func TestAllRowsAreCopied(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := newOpenClaimServer(t)
	var events []claimer.Event
	for i := range 2*maxRowsPerMessage - 1 {
		events = append(events, claimEvent(fmt.Sprint(i), 1))
	}
	s.decide(t, events...)
	old, err := proto.Marshal(&messenger.ClaimRow{
		Workspace: "w", RequestId: "old", State: messenger.ClaimState_CLAIM_STATE_GRANTED, WrittenAtMs: time.Now().UnixMilli(),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.Apply([]storer.Row{{Bucket: claimer.BucketLegacy, Key: "w/old", Value: old}})).To(gomega.Succeed())
	s = restartedClaims(t, store)
	seen := map[string]bool{}
	parts := 0
	for next, more := "", true; more; more = next != "" {
		part := &messenger.RowsReply{}
		next, err = s.readRowsFrom(next, part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(part.Rows).To(gomega.HaveLen(maxRowsPerMessage))
		for _, r := range part.Rows {
			seen[r.RequestId] = true
		}
		parts++
	}
	g.Expect(parts).To(gomega.Equal(2))
	g.Expect(seen).To(gomega.HaveLen(2 * maxRowsPerMessage))
	g.Expect(seen).To(gomega.HaveKey("old"))
	g.Expect(verdictOf(s.decide(t, claimEvent("old", 2))[0])).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
}
