package allotter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// Each of 63 routers receives one request of a small workspace in 2.6 s, of varying size as
// prompts are, and the total is 1.3 times the demand of a day of 41 s. The tokens that all routers
// hold for 14 s of such demand are a third of the day's demand. They must be returned in time for
// at most 1% of the requests to be refused.
func TestSparseDemandCanUseTheTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, perSecond, mean, seconds = 63, 0.38, 3_000, 41
	total := float64(routers) * perSecond * mean * seconds * 13 / 10
	const pause, floor = 1300 * time.Millisecond, int64(7_595)
	r := rand.New(rand.NewPCG(1, 1))
	l := newLedger(int64(total))
	start := time.Unix(1000, 0)
	allocations := make([]*allotter.Allocation, routers)
	claimed := make([]time.Time, routers)
	for i := range allocations {
		allocations[i], claimed[i] = &allotter.Allocation{}, start.Add(-time.Duration(i)*pause/routers)
	}
	claim := func(i int, now time.Time) {
		c := allocations[i].NextClaim(now, workspace, floor, pause)
		sequence++
		grants := l.ApplyClaims(&messenger.RightsChange{
			Router: strconv.Itoa(i), Incarnation: 9, Claims: []*messenger.RightsClaim{c}, Sequence: sequence,
			Answered: sequence - 1, Sent: momentAt(now), Started: momentAt(now),
		})
		allocations[i].ApplyGrant(grants.Grants[0], c, now)
		claimed[i] = now
	}
	var sent, refused int
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < seconds*time.Second; at += step {
		now := start.Add(at)
		for i, p := range allocations {
			if now.Sub(claimed[i]) > pause && p.ClaimDue(now, floor, pause) {
				claim(i, now)
			}
			if r.Float64() > perSecond*step.Seconds() {
				continue
			}
			n := int64(mean * r.ExpFloat64())
			sent++
			got := p.Reserve(now, n)
			if !got {
				claim(i, now)
				got = p.RetryReserve(now, n)
			}
			if got {
				p.Settle(n, n)
			} else {
				refused++
			}
		}
		if at%(5*time.Second) == 0 {
			b := l.Balances()[0]
			t.Logf("%v: left %d%%, held %d%%, spent %d%%", at, 100*b.Unallocated/b.Total, 100*(b.Held-b.Spent)/b.Total, 100*b.Spent/b.Total)
		}
	}
	g.Expect(refused*100).To(gomega.BeNumerically("<=", sent), "refused of %d", sent)
}

// 78 routers hold 24 workspaces ahead of demand, an eighth of an even share of each, or 8,000
// tokens of 5 million. Twelve of them lose power for 3.5 s, 1.6 s after their last claims, and the
// bounds of the claims before those may still be in force. At least half of the unrequested tokens
// must be recovered: all of them would be 1.9% of totals of which users are owed 97%.
func TestTokensOfIdleWorkspacesAreRecoveredFromCrashedRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	const total, floor, pause = int64(5_000_000), int64(8_000), 1600 * time.Millisecond
	l := newLedger(total)
	now := time.Unix(1000, 0)
	settle := func(i int, p *allotter.Allocation, at time.Time) {
		c := p.NextClaim(at, workspace, floor, pause)
		sequence++
		grants := l.ApplyClaims(&messenger.RightsChange{
			Router: strconv.Itoa(i), Incarnation: 9, Claims: []*messenger.RightsClaim{c}, Sequence: sequence,
			Answered: sequence - 1, Sent: momentAt(at), Started: momentAt(at),
		})
		p.ApplyGrant(grants.Grants[0], c, at)
	}
	var held int64
	for i := range 78 {
		p := &allotter.Allocation{}
		p.SetHolders(78)
		for round := range 3 {
			settle(i, p, now.Add(time.Duration(round)*pause))
		}
		if i < 12 {
			held += floor
		}
	}
	crashedAt := now.Add(3 * pause)
	restartedAt := crashedAt.Add(3500 * time.Millisecond)
	var lost int64
	for i := range 12 {
		sequence++
		out := l.ApplyClaims(&messenger.RightsChange{
			Router: strconv.Itoa(i), Incarnation: 10, Sequence: sequence, Sent: momentAt(restartedAt), Started: momentAt(restartedAt),
		})
		lost += out.WrittenOff
	}
	g.Expect(held).To(gomega.BeNumerically(">", total/60))
	g.Expect(lost).To(gomega.BeNumerically("<=", held/2), "of %d held ahead", held)
}
