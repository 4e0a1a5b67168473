package keeper_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/imitator"
)

// Killing a real keeper many times must not let a budget be overspent, a
// request be billed twice or rights be lost. These happen if charges and
// leases that are in flight when the keeper dies are counted twice or not at
// all after its restart. Callers at two routers send requests, resending each
// under the same id until it is answered, while the zone's keeper is killed
// 20 times. Each time requests must end without it, answered or refused, and
// be answered again after the restart.
func TestBooksHoldOverTwentyKills(t *testing.T) {
	const kills, callers = 20, 4
	f := startFleet(t, 46)
	f.topUp(zoneA+"/1", 1_000_000)
	f.Eventually("the keepers are paired", func() bool {
		return f.Mode(keeperA) == budgeter.ModePaired && f.Mode(keeperB) == budgeter.ModePaired
	})
	charged := f.mustCall(routerA1) + f.mustCall(routerA2)
	var told, answers, tries atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				var r *imitator.Reply
				id := fmt.Sprintf("caller-%d-%d", n, i)
				f.Eventually(id+" is answered", func() (ok bool) {
					var err error
					r, err = f.callAs([]string{routerA1, routerA2}[n%2], id)
					tries.Add(1)
					return err == nil
				})
				told.Add(r.ChargedTokens)
				answers.Add(1)
			}
		})
	}
	for range kills {
		f.Kill(keeperA)
		before := tries.Load()
		f.Eventually("requests end without the keeper", func() bool { return tries.Load() >= before+callers })
		f.Restart(keeperA)
		f.Eventually("the keeper is paired again", func() bool { return f.Mode(keeperA) == budgeter.ModePaired })
		before = answers.Load()
		f.Eventually("answers go on", func() bool { return answers.Load() >= before+callers })
	}
	stop.Store(true)
	wg.Wait()
	charged += told.Load()
	f.Eventually("books balance", func() bool { return f.balances(1_000_000, charged) })
	f.g.Expect(f.books().FrozenTokens).To(gomega.BeZero())
	t.Logf("%d answers of %d tries, %d tokens charged", answers.Load(), tries.Load(), charged)
}
