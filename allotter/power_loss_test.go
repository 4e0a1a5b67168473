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

// fleetOfPurses is routers that settle several workspaces with one ledger.
type fleetOfPurses struct {
	ledger     *allotter.Ledger
	workspaces []string
	purses     []map[string]*allotter.Purse
	floor      int64
	pause      time.Duration
	answered   []uint64
}

func newFleetOfPurses(routers, workspaces int, total int64, pause time.Duration) *fleetOfPurses {
	f := &fleetOfPurses{ledger: allotter.NewLedger(), pause: pause, answered: make([]uint64, routers)}
	f.floor = total / int64(8*routers)
	var totals []*messenger.PrepaidTotal
	for i := range workspaces {
		f.workspaces = append(f.workspaces, fmt.Sprint("w", i))
		totals = append(totals, &messenger.PrepaidTotal{Workspace: f.workspaces[i], Tokens: total})
	}
	f.ledger.SetTotals(totals)
	for range routers {
		purses := map[string]*allotter.Purse{}
		for _, w := range f.workspaces {
			purses[w] = &allotter.Purse{}
			purses[w].Among(routers)
		}
		f.purses = append(f.purses, purses)
	}
	return f
}

// settle sends one router's claim and takes the answer in.
func (f *fleetOfPurses) settle(router int, now time.Time) {
	sequence++
	c := &messenger.RightsChange{
		Router: fmt.Sprint(router), Incarnation: 1, Sequence: sequence, Answered: f.answered[router], Binding: true, Sent: moment(now), Started: moment(now),
	}
	var named, leftOut []*allotter.Purse
	for _, w := range f.workspaces {
		p := f.purses[router][w]
		if !p.Due(now, f.floor, f.pause) && p.LeaveOut(now) {
			leftOut = append(leftOut, p)
			continue
		}
		named = append(named, p)
		c.Claims = append(c.Claims, p.Claim(now, w, f.floor, f.pause))
	}
	grants := f.ledger.Claim(c)
	for i, p := range named {
		p.Granted(grants.Grants[i], c.Claims[i], now)
	}
	for _, p := range leftOut {
		p.LeftOut(false)
	}
	f.answered[router] = sequence
}

// loss ends all routers: power fails at died, and their successors start at back. It
// returns the tokens written off beyond what was spent.
func (f *fleetOfPurses) loss(back time.Time) (lost int64) {
	for i, purses := range f.purses {
		sequence++
		out := f.ledger.Claim(&messenger.RightsChange{
			Router: fmt.Sprint(i), Incarnation: 2, Sequence: sequence, Sent: moment(back), Started: moment(back),
		})
		_ = out
		for _, p := range purses {
			lost -= p.Used()
		}
	}
	for _, b := range f.ledger.Balances() {
		lost += b.Ended
	}
	return lost
}

// Pattern: all of 66 routers lose power together and are back 1.7 s later. Each has a few
// callers, so most of its 24 workspaces are idle; 1.3 million tokens a second in all.
func TestPowerLossOfAllWritesLittleOff(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, workspaces, callers, pause = 66, 24, 5, 1375 * time.Millisecond
	const step, down = 25 * time.Millisecond, 1700 * time.Millisecond
	const perRouter = 19_400.0
	var lost int64
	const seeds = 5
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleetOfPurses(routers, workspaces, 50_000_000, pause)
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
					f.settle(i, now)
				}
				for tokens := perRouter * step.Seconds(); r.Float64() < tokens/3_200; tokens -= 3_200 {
					n := int64(3_200 * r.ExpFloat64())
					p := f.purses[i][serves[i][r.IntN(callers)]]
					if !p.Reserve(now, n) {
						f.settle(i, now)
						if !p.Retry(now, n) {
							continue
						}
					}
					p.Settle(n, n)
				}
			}
		}
		lost += f.loss(now.Add(down))
	}
	seconds := float64(lost) / seeds / (routers * perRouter)
	t.Logf("written off beyond what was spent: %.2f s of demand", seconds)
	g.Expect(seconds).To(gomega.BeNumerically("<=", 1.5))
}
