package treasurer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/treasurer"
)

func result(state messenger.ChargeState, twoDisks bool) *messenger.ChargeReply {
	return &messenger.ChargeReply{Results: []*messenger.ChargeResult{{State: state}}, TwoDisks: twoDisks}
}

// Symptom: a bill is pruned and its request billed again, or a charge is refused
// as too old and its answer never billed. Cause: a promise that is ahead of a
// charge which two disks don't have.
func TestPromiseStaysBehindOpenCharges(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, now := treasurer.DefaultPolicy(), time.UnixMilli(5000)
	o := treasurer.NewOutbox(&policy)
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000))
	// A clock that is set back makes no charge of a time that was promised.
	c := &messenger.Charge{Workspace: "w", RequestId: "1", ChargedAtMs: 4000}
	sends, ok := o.Add(now, c)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.ChargedAtMs).To(gomega.BeEquivalentTo(5000))
	now = now.Add(time.Second)
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000))
	_, sends = o.Answered(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_BILLED, false))
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000), "one disk has it")
	now = now.Add(time.Second)
	o.Answered(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_BILLED, true))
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(7000))
	// What the keeper refuses may be at the witness: only a fence tells.
	sends, _ = o.Add(now, &messenger.Charge{Workspace: "w", RequestId: "2", ChargedAtMs: 8000})
	o.Answered(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_NOT_LEASED, true))
	g.Expect(o.AnsweredBefore(now.Add(time.Hour))).To(gomega.BeEquivalentTo(8000))
}
