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

// claimKeeper returns a server that decides, on an empty disk.
func claimKeeper(t *testing.T) (*claimServer, *storer.Store) {
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

// decide steps the events in one batch, as calls that come together are.
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

// TestClaimsOfOneBatch
// Symptom: a keeper grants a claim that the same commit gives to another
// attempt, or stops where several calls for one request come together.
// Sequence: claim, release, claim, a third claim and the second's end in one
// batch; a fourth claim after it, and another after a restart.
// Cause it guards against: rows read from the disk that the batch has changed.
func TestClaimsOfOneBatch(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := claimKeeper(t)
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

// TestDamagedClaimStopsTheKeeper
// Symptom: a request runs twice after its row was damaged on the disk.
// Cause it guards against: deciding by a row that nobody wrote.
func TestDamagedClaimStopsTheKeeper(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := claimKeeper(t)
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

// TestAllRowsAreCopied
// Symptom: a keeper with a new disk grants what its lost disk had granted.
// Sequence: more rows than one message holds, some stored by an older version
// under their names, are read in parts.
// Cause it guards against: rows lost at the seam of two parts or in the move.
func TestAllRowsAreCopied(t *testing.T) {
	g := gomega.NewWithT(t)
	s, store := claimKeeper(t)
	var events []claimer.Event
	for i := range 2*rowsPart - 1 {
		events = append(events, claimEvent(fmt.Sprint(i), 1))
	}
	s.decide(t, events...)
	old, err := proto.Marshal(&messenger.ClaimRow{
		Workspace: "w", RequestId: "old", State: messenger.ClaimState_CLAIM_STATE_GRANTED, WrittenAtMs: time.Now().UnixMilli(),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(store.Apply([]storer.Row{{Bucket: claimer.BucketNamed, Key: "w/old", Value: old}})).To(gomega.Succeed())
	s = restartedClaims(t, store)
	seen := map[string]bool{}
	parts := 0
	for next, more := "", true; more; more = next != "" {
		part := &messenger.RowsReply{}
		next, err = s.rowsFrom(next, part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(part.Rows).To(gomega.HaveLen(rowsPart))
		for _, r := range part.Rows {
			seen[r.RequestId] = true
		}
		parts++
	}
	g.Expect(parts).To(gomega.Equal(2))
	g.Expect(seen).To(gomega.HaveLen(2 * rowsPart))
	g.Expect(seen).To(gomega.HaveKey("old"))
	g.Expect(verdictOf(s.decide(t, claimEvent("old", 2))[0])).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
}
