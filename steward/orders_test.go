package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Symptom: after a loss of power of all VMs, all rights that routers held count
// as spent, and most requests are refused for the rest of the day. Sequence: the
// routers are back before there is a leader; their claims wait 0.3 s at a
// keeper. Cause: the leader's clock, read when the claims reach it, does not
// agree with the routers'.
func TestAClaimThatWaitedIsOfTheTimeItWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := time.UnixMilli(50_000)
	change := &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: &messenger.RightsChange{
		Sent:    &messenger.RightsMoment{RouterMs: 50_000},
		Started: &messenger.RightsMoment{RouterMs: 49_000, AgeMs: 1_000},
	}}}
	const held = 300 * time.Millisecond
	late := aged(change, held)
	stamp(late.GetRights(), sent.Add(held), func(m *messenger.RightsMoment, at int64) { m.LeaderMs = at })
	g.Expect(late.GetRights().Sent.LeaderMs).To(gomega.Equal(int64(50_000)))
	g.Expect(late.GetRights().Started.LeaderMs).To(gomega.Equal(int64(49_000)))
	g.Expect(change.GetRights().Sent.AgeMs).To(gomega.BeZero(), "it may be sent again, and is aged anew")
}
