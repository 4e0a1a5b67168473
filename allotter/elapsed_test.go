package allotter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against overspending when the clocks of the leader and another keeper agree and the
// router's does not. A claim is delayed for 8 s by a network partition, during which the router
// spends what its bound allows. Both keepers read their clocks when the claim arrives, so they agree
// and are 8 s late. The router then loses power, and its clock is wrong when it is back.
func TestDelayedClaimIsNotDatedByKeepersAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l, p := newLedger(100_000_000), &allotter.Allocation{}
	for range 10 {
		runRequests(p, now, 20, time.Second)
		now = now.Add(time.Second)
		sendClaim(l, "a", 1, p, now, now)
	}
	sequence++
	delayed := &messenger.RightsChange{
		Router: "a", Incarnation: 1, Sequence: sequence, Answered: sequence - 1, Sent: momentAt(now), Started: momentAt(now), Binding: true,
		Claims: []*messenger.RightsClaim{p.NextClaim(now, workspace, 0, 250*time.Millisecond)},
	}
	runRequests(p, now, 20, 8*time.Second)
	now = now.Add(8 * time.Second)
	delayed.Sent.LeaderMs, delayed.Sent.KeeperMs = now.UnixMilli(), now.UnixMilli()
	l.ApplyClaims(delayed)
	end := momentAt(now.Add(time.Second))
	end.BootMs, end.RouterMs = 77, end.RouterMs+60_000
	l.ApplyClaims(&messenger.RightsChange{Router: "a", Incarnation: 2, Sequence: 1, Sent: end, Started: end})
	g.Expect(l.Balances()[0].SpentByEnded).To(gomega.BeNumerically(">=", p.Used()), "tokens used that could be granted again")
}
