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

// TestBooksHoldOverTwentyKills
// Symptom: a budget is spent beyond what was paid, a request is billed twice
// or rights are gone, after a real keeper was killed many times.
// Sequence: callers at two routers send requests, again under the same id
// until answered; meanwhile the zone's keeper is killed 20 times; each time
// requests end without it, answered or refused, it comes back, and answers go
// on.
// Cause it guards against: charges and leases that are under way when the
// keeper dies, and counted twice or not at all after it is back.
func TestBooksHoldOverTwentyKills(t *testing.T) {
	const kills, callers = 20, 4
	f := start(t, 46)
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
