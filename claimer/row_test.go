package claimer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/messenger"
)

func claimRequest(id string, attempt uint64) *messenger.ClaimRequest {
	return &messenger.ClaimRequest{
		Workspace: "w", RequestId: id, Digest: []byte("d"), DeadlineMs: 7,
		Holder: &messenger.Holder{Router: "r", Incarnation: 1, Attempt: attempt},
	}
}

func settleRequest(id string, attempt uint64, s messenger.ClaimState) *messenger.SettleRequest {
	c := claimRequest(id, attempt)
	return &messenger.SettleRequest{Workspace: c.Workspace, RequestId: id, Holder: c.Holder, State: s, AnswerDigest: []byte("a")}
}

// Guards against a request granted to a second attempt while the first may
// run. After a grant, a release and a second grant, a third attempt arrives
// with the row as it was before the last grant, another request's row, a
// damaged row or none. The failure occurs if the core trusts the row that it
// is given.
func TestStaleRowIsNotTrusted(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(noFault)
	d := w.disks[0]
	d.claim(w.now, claimRequest("id", 1))
	d.settle(w.now, settleRequest("id", 1, messenger.ClaimState_CLAIM_STATE_RELEASED))
	released := d.stored("w", "id")
	g.Expect(d.claim(w.now, claimRequest("id", 2)).Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_GRANTED))
	d.claim(w.now, claimRequest("other", 9))
	damaged := append([]byte{}, d.stored("w", "id")...)
	damaged[len(damaged)-1] ^= 1
	for _, wrong := range [][]byte{nil, {}, released, d.stored("w", "other"), damaged} {
		e := claimer.Claim{Request: claimRequest("id", 3), Stored: wrong}
		r := d.apply(d.core.Step(w.now, e)).(*messenger.ClaimReply)
		g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_UNDECIDED))
		release := settleRequest("id", 2, messenger.ClaimState_CLAIM_STATE_RELEASED)
		g.Expect(d.core.Step(w.now, claimer.Settle{Request: release, Stored: wrong})).To(gomega.HaveLen(1), "nothing is written")
		g.Expect(d.core.Matches(claimer.KeyOf("w", "id"), wrong)).To(gomega.BeFalse())
	}
	r := d.claim(w.now, claimRequest("id", 3))
	g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	g.Expect(r.Row.Holder.Attempt).To(gomega.Equal(uint64(2)))
}

// Guards against a request mistaken for another one because its key joins
// names without their lengths.
func TestKeyTellsRequestsApart(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[claimer.Key]bool{}
	for _, k := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"", "abc"}, {"abc", ""}, {"a", "bcd"}} {
		seen[claimer.KeyOf(k[0], k[1])] = true
	}
	g.Expect(seen).To(gomega.HaveLen(5))
	g.Expect(claimer.KeyOf("a", "bc")).To(gomega.Equal(claimer.KeyOf("a", "bc")))
}

// Guards against a request that runs again after an upgrade. A disk holds
// rows by name; the keeper starts, migrates them and restarts, and the
// request is repeated. A day later the row expires. The failure occurs if
// only an older version finds the rows.
func TestLegacyRowsAreMigrated(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newSimulation(noFault)
	d := w.disks[0]
	row := &messenger.ClaimRow{
		Workspace: "w", RequestId: "id", Digest: []byte("d"), Holder: claimRequest("id", 1).Holder,
		State: messenger.ClaimState_CLAIM_STATE_DONE, AnswerDigest: []byte("a"), WrittenAtMs: w.now.UnixMilli(),
	}
	value, err := proto.Marshal(row)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.rows[[2]string{claimer.BucketLegacy, "w/id"}] = value
	actions, err := d.core.MigrateRow("w/id", value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d.apply(actions)
	g.Expect(d.rows).NotTo(gomega.HaveKey([2]string{claimer.BucketLegacy, "w/id"}))
	w.restart(0)
	row.State = messenger.ClaimState_CLAIM_STATE_LOST
	value, err = proto.Marshal(row)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	actions, err = d.core.MigrateRow("w/id", value)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(actions).To(gomega.HaveLen(1), "the row that says more stays")
	row.State = messenger.ClaimState_CLAIM_STATE_DONE
	r := d.claim(w.now, claimRequest("id", 2))
	g.Expect(r.Verdict).To(gomega.Equal(messenger.ClaimVerdict_CLAIM_VERDICT_HELD))
	g.Expect(proto.Equal(r.Row, row)).To(gomega.BeTrue())
	d.apply(d.core.Step(w.now.Add(claimer.Retention-time.Millisecond), claimer.Tick{}))
	g.Expect(d.core.Len()).To(gomega.Equal(1))
	d.apply(d.core.Step(w.now.Add(claimer.Retention), claimer.Tick{}))
	g.Expect(d.core.Len()).To(gomega.BeZero())
	g.Expect(d.stored("w", "id")).To(gomega.BeNil())
}
