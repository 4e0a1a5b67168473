package claimer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/messenger"
)

func claimOf(id string, attempt uint64) *messenger.ClaimRequest {
	return &messenger.ClaimRequest{
		Workspace: "w", RequestId: id, Digest: []byte("d"), DeadlineMs: 7,
		Holder: &messenger.Holder{Router: "r", Incarnation: 1, Attempt: attempt},
	}
}

func endOf(id string, attempt uint64, s messenger.ClaimState) *messenger.SettleRequest {
	c := claimOf(id, attempt)
	return &messenger.SettleRequest{Workspace: c.Workspace, RequestId: id, Holder: c.Holder, State: s, AnswerDigest: []byte("a")}
}

// TestStaleRowGrantsNothing
// Symptom: a request is granted to a second attempt while the first may run.
// Sequence: an attempt is granted, releases, a second one is granted; a third
// one comes, and the shell reads the row as it was before the last grant, or
// another request's, a damaged one or none.
// Cause it guards against: a core that believes whatever row it is given.
func TestStaleRowGrantsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(none)
	d := w.disks[0]
	d.claim(w.now, claimOf("id", 1))
	d.settle(w.now, endOf("id", 1, messenger.ClaimState_CLAIM_STATE_RELEASED))
	released := d.stored("w", "id")
	g.Expect(d.claim(w.now, claimOf("id", 2)).Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED))
	d.claim(w.now, claimOf("other", 9))
	damaged := append([]byte{}, d.stored("w", "id")...)
	damaged[len(damaged)-1] ^= 1
	for _, wrong := range [][]byte{nil, {}, released, d.stored("w", "other"), damaged} {
		e := claimer.Claim{Request: claimOf("id", 3), Stored: wrong}
		r := d.apply(d.core.Step(w.now, e)).(*messenger.ClaimReply)
		g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED))
		release := endOf("id", 2, messenger.ClaimState_CLAIM_STATE_RELEASED)
		g.Expect(d.core.Step(w.now, claimer.Settle{Request: release, Stored: wrong})).To(gomega.HaveLen(1), "nothing is written")
		g.Expect(d.core.Matches(claimer.KeyOf("w", "id"), wrong)).To(gomega.BeFalse())
	}
	r := d.claim(w.now, claimOf("id", 3))
	g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	g.Expect(r.Row.Holder.Attempt).To(gomega.Equal(uint64(2)))
}

// TestKeyTellsRequestsApart
// Symptom: a request is refused as another one's.
// Cause it guards against: keys of names put together without their lengths.
func TestKeyTellsRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[claimer.Key]bool{}
	for _, k := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"", "abc"}, {"abc", ""}, {"a", "bcd"}} {
		seen[claimer.KeyOf(k[0], k[1])] = true
	}
	g.Expect(seen).To(gomega.HaveLen(5))
	g.Expect(claimer.KeyOf("a", "bc")).To(gomega.Equal(claimer.KeyOf("a", "bc")))
}

// TestNamedRowsAreMoved
// Symptom: after an upgrade a request that ran is granted again.
// Sequence: a disk holds rows by name; the keeper starts, moves them, starts
// again, and the request comes back; a day later the row is forgotten.
// Cause it guards against: rows that only an older version finds.
func TestNamedRowsAreMoved(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(none)
	d := w.disks[0]
	row := &messenger.ClaimRow{
		Workspace: "w", RequestId: "id", Digest: []byte("d"), Holder: claimOf("id", 1).Holder,
		State: messenger.ClaimState_CLAIM_STATE_DONE, AnswerDigest: []byte("a"), WrittenAtMs: w.now.UnixMilli(),
	}
	value, err := proto.Marshal(row)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.rows[[2]string{claimer.BucketNamed, "w/id"}] = value
	actions, err := d.core.Move("w/id", value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.apply(actions)
	g.Expect(d.rows).NotTo(gomega.HaveKey([2]string{claimer.BucketNamed, "w/id"}))
	w.restart(0)
	row.State = messenger.ClaimState_CLAIM_STATE_LOST
	value, err = proto.Marshal(row)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	actions, err = d.core.Move("w/id", value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(actions).To(gomega.HaveLen(1), "the row that says more stays")
	row.State = messenger.ClaimState_CLAIM_STATE_DONE
	r := d.claim(w.now, claimOf("id", 2))
	g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	g.Expect(proto.Equal(r.Row, row)).To(gomega.BeTrue())
	d.apply(d.core.Step(w.now.Add(claimer.Horizon-time.Millisecond), claimer.Tick{}))
	g.Expect(d.core.Len()).To(gomega.Equal(1))
	d.apply(d.core.Step(w.now.Add(claimer.Horizon), claimer.Tick{}))
	g.Expect(d.core.Len()).To(gomega.BeZero())
	g.Expect(d.stored("w", "id")).To(gomega.BeNil())
}
