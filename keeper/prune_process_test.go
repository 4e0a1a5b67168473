package keeper_test

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
)

// pruned returns how much a charge history lists as single bills and how much
// as daily sums.
func (f *fleet) pruned() (single int, summed int64) {
	var r struct {
		Charges []any
		Pruned  []struct{ Tokens string }
	}
	out, _ := f.Command("budget", "history", "w", "-o", "json")
	// Warnings about unreachable zones precede the JSON.
	_, out, _ = strings.Cut("\n"+out, "\n{")
	if json.Unmarshal([]byte("{"+out), &r) != nil {
		return -1, 0
	}
	for _, x := range r.Pruned {
		n, err := strconv.ParseInt(x.Tokens, 10, 64)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		summed += n
	}
	return len(r.Charges), summed
}

// Bills must not fill a keeper's disk, and pruning must not lose the tokens
// of a bill. Requests are followed by more than the retention period, a
// killed keeper and a lost disk, which is restored from the mirror's pruned
// copy.
func TestOldBillsArePrunedToTheirSums(t *testing.T) {
	f := startFleetWith(t, launcher.Options{Net: 58, Policy: "default_timeout = 1s\nmax_timeout = 1s\nkeep_answer = 100ms\nkeep_charges = 4400ms"})
	f.timeout = time.Second
	f.topUp(zoneA+"/1", 3000)
	charged := f.mustCall(routerA1) + f.mustCall(routerA2) + f.mustCall(zoneB+"-1")
	f.Eventually("bills are pruned", func() bool {
		single, summed := f.pruned()
		return single == 0 && summed == charged
	})
	f.g.Expect(f.balances(3000, charged)).To(gomega.BeTrue())
	f.Kill(keeperA)
	f.Wipe(keeperA)
	f.Restart(keeperA)
	f.Eventually("the copy has the sums", func() bool {
		_, summed := f.pruned()
		return summed == charged && f.balances(3000, charged)
	})
	charged += f.mustCall(routerA1)
	f.Eventually("later bills are pruned", func() bool {
		single, summed := f.pruned()
		return single == 0 && summed == charged && f.balances(3000, charged)
	})
}
