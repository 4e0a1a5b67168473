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

// Guards against a bill that is pruned so that its request is billed again,
// and against a charge that is refused as too old and never billed. Both
// happen when the watermark passes a charge that is not on two disks.
func TestWatermarkStaysBehindOpenCharges(t *testing.T) {
	g := gomega.NewWithT(t)
	policy, now := treasurer.DefaultPolicy(), time.UnixMilli(5000)
	o := treasurer.NewOutbox(&policy)
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000))
	// A clock that is set back produces no charge before the watermark.
	c := &messenger.Charge{Workspace: "w", RequestId: "1", ChargedAtMs: 4000}
	sends, ok := o.Add(now, c)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.ChargedAtMs).To(gomega.BeEquivalentTo(5000))
	now = now.Add(time.Second)
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000))
	_, sends = o.ApplyReply(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_BILLED, false))
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(5000), "one disk has it")
	now = now.Add(time.Second)
	o.ApplyReply(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_BILLED, true))
	g.Expect(o.AnsweredBefore(now)).To(gomega.BeEquivalentTo(7000))
	// The witness may have a charge that the keeper refuses. Only a fence
	// resolves it.
	sends, _ = o.Add(now, &messenger.Charge{Workspace: "w", RequestId: "2", ChargedAtMs: 8000})
	o.ApplyReply(now, sends[0], result(messenger.ChargeState_CHARGE_STATE_NOT_LEASED, true))
	g.Expect(o.AnsweredBefore(now.Add(time.Hour))).To(gomega.BeEquivalentTo(8000))
}
