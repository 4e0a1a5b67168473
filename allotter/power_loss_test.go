package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// simulatedFleet is a set of routers that settle several workspaces with one ledger.
type simulatedFleet struct {
	ledger      *allotter.Ledger
	workspaces  []string
	allocations []map[string]*allotter.Allocation
	floor       int64
	interval    time.Duration
	answered    []uint64
}

func newSimulatedFleet(routers, workspaces int, total int64, pause time.Duration) *simulatedFleet {
	f := &simulatedFleet{ledger: allotter.NewLedger(), interval: pause, answered: make([]uint64, routers)}
	f.floor = total / int64(8*routers)
	var totals []*messenger.PrepaidTotal
	for i := range workspaces {
		f.workspaces = append(f.workspaces, fmt.Sprint("w", i))
		totals = append(totals, &messenger.PrepaidTotal{Workspace: f.workspaces[i], Tokens: total})
	}
	f.ledger.SetTotals(totals)
	for range routers {
		allocations := map[string]*allotter.Allocation{}
		for _, w := range f.workspaces {
			allocations[w] = &allotter.Allocation{}
			allocations[w].SetHolders(routers)
		}
		f.allocations = append(f.allocations, allocations)
	}
	return f
}

// sendClaim sends one router's claim and applies the answer.
func (f *simulatedFleet) sendClaim(router int, now time.Time) {
	sequence++
	c := &messenger.RightsChange{
		Router: fmt.Sprint(router), Incarnation: 1, Sequence: sequence, Answered: f.answered[router], Binding: true, Sent: momentAt(now), Started: momentAt(now),
	}
	var claimed, leftOut []*allotter.Allocation
	for _, w := range f.workspaces {
		p := f.allocations[router][w]
		if !p.ClaimDue(now, f.floor, f.interval) && p.OmitFromClaim(now) {
			leftOut = append(leftOut, p)
			continue
		}
		claimed = append(claimed, p)
		c.Claims = append(c.Claims, p.NextClaim(now, w, f.floor, f.interval))
	}
	grants := f.ledger.ApplyClaims(c)
	for i, p := range claimed {
		p.ApplyGrant(grants.Grants[i], c.Claims[i], now)
	}
	for _, p := range leftOut {
		p.OmissionAnswered(false)
	}
	f.answered[router] = sequence
}

// losePower ends all routers and starts their successors at restartedAt. It returns the tokens
// that the ledger counts as spent beyond those that the routers used.
func (f *simulatedFleet) losePower(restartedAt time.Time) (writtenOff int64) {
	for i, allocations := range f.allocations {
		sequence++
		out := f.ledger.ApplyClaims(&messenger.RightsChange{
			Router: fmt.Sprint(i), Incarnation: 2, Sequence: sequence, Sent: momentAt(restartedAt), Started: momentAt(restartedAt),
		})
		_ = out
		for _, p := range allocations {
			writtenOff -= p.Used()
		}
	}
	for _, b := range f.ledger.Balances() {
		writtenOff += b.SpentByEnded
	}
	return writtenOff
}

// Guards against writing off too many tokens when all 66 routers lose power together and are back
// 1.7 s later. Each router has a few callers, so most of its 24 workspaces are idle. The total
// demand is 1.3 million tokens per second.
func TestPowerLossOfAllWritesLittleOff(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, workspaces, callers, pause = 66, 24, 5, 1375 * time.Millisecond
	const step, down = 25 * time.Millisecond, 1700 * time.Millisecond
	const perRouter = 19_400.0
	var lost int64
	const seeds = 5
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newSimulatedFleet(routers, workspaces, 50_000_000, pause)
		start := time.Unix(1000, 0)
		serves := make([][]string, routers)
		for i := range serves {
			for range callers {
				serves[i] = append(serves[i], f.workspaces[int(float64(workspaces)*r.Float64()*r.Float64())])
			}
		}
		now := start
		for at := time.Duration(0); at < 15*time.Second; at += step {
			now = start.Add(at)
			for i := range routers {
				if (at+pause*time.Duration(i)/routers)%pause < step {
					f.sendClaim(i, now)
				}
				for tokens := perRouter * step.Seconds(); r.Float64() < tokens/3_200; tokens -= 3_200 {
					n := int64(3_200 * r.ExpFloat64())
					p := f.allocations[i][serves[i][r.IntN(callers)]]
					if !p.Reserve(now, n) {
						f.sendClaim(i, now)
						if !p.RetryReserve(now, n) {
							continue
						}
					}
					p.Settle(n, n)
				}
			}
		}
		lost += f.losePower(now.Add(down))
	}
	seconds := float64(lost) / seeds / (routers * perRouter)
	t.Logf("written off beyond what was spent: %.2f s of demand", seconds)
	g.Expect(seconds).To(gomega.BeNumerically("<=", 1.5))
}
