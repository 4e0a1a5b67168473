package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// Drains under faults: the streams that are open, and how long each is.
const (
	// drainStreams is the number of streams that are open when a router drains,
	// and drainTokens the length of each.
	drainStreams = 40
	drainTokens  = 300
	// drainRights cover the largest possible charge of all streams.
	drainRights = drainStreams * drainTokens * 3
)

// startDrain starts three zones, with engines in the first and the second.
func startDrain(t *testing.T, net int) *fleet {
	t.Helper()
	f := startParallelFleet(t, launcher.Options{Net: net})
	for i, z := range []string{"osu-hall", "tema-hall"} {
		f.StartEndpoint("engine", fmt.Sprintf("llm-%d", i+1), "llm", z, i+1, "--capacity", "100", "--pace", "20ms")
	}
	f.awaitService(func(router, id string) call { return f.model(router, id, 4) })
	return f
}

// drainWithFaults opens streams at a router, half of them of requests whose
// home is its sibling, calls before, terminates the router while all streams
// are open, and calls after. Every stream must end complete and the process
// must exit with code 0. It returns the requests' ids.
func (f *fleet) drainWithFaults(router string, before, after func()) []string {
	f.t.Helper()
	ids := make([]string, drainStreams)
	var ended, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = idWithHome(fmt.Sprintf("stream-%d", i), osu[i%len(osu)], osu...)
		wg.Go(func() {
			_, err := f.model(router, ids[i], drainTokens).Do(context.Background())
			ended.Add(1)
			if err != nil {
				failed.Add(1)
				f.t.Error(ids[i], err)
			}
		})
	}
	f.Eventually("streams run", func() bool {
		runs := f.runs("llm-1", "llm-2")
		for _, id := range ids {
			if runs[id] == 0 {
				return false
			}
		}
		return true
	})
	before()
	stopped := make(chan error, 1)
	go func() { stopped <- f.Terminate(router) }()
	f.Eventually("healthz turns 503", func() bool { return status("http://"+f.http(router)+"/healthz") == http.StatusServiceUnavailable })
	f.g.Expect(ended.Load()).To(gomega.BeZero(), "every stream is open when the router shuts down")
	after()
	wg.Wait()
	err := <-stopped
	f.g.Expect(failed.Load()).To(gomega.BeZero())
	f.g.Expect(err).NotTo(gomega.HaveOccurred(), "exit code")
	return ids
}

// expectBilledOnce waits until no charge is still on its way to its zone and
// every request has exactly one bill over all zones.
func (f *fleet) expectBilledOnce(ids []string) {
	f.t.Helper()
	f.Eventually("no charge waits at a witness", func() bool {
		for _, p := range f.Settings().Processes(loader.KindKeeper) {
			if v := f.vault(p.Name()); v == nil || v.Witnessed != 0 {
				return false
			}
		}
		return true
	})
	f.Eventually("every request has one bill", func() bool {
		// If a zone does not answer, a warning precedes the JSON document.
		out, code := f.Command("budget", "history", workspace, "-o", "json")
		if code != 0 || !strings.HasPrefix(out, "{") {
			return false
		}
		bills := f.billsOf(out)
		for _, id := range ids {
			total := 0
			for _, n := range bills[id] {
				total += n
			}
			if total != 1 {
				return false
			}
		}
		return true
	})
}

// expectRanOnce checks that no stream was run again.
func (f *fleet) expectRanOnce(ids []string) {
	f.t.Helper()
	runs := f.runs("llm-1", "llm-2")
	for _, id := range ids {
		f.g.Expect(runs[id]).To(gomega.Equal(1), id)
	}
}

// noFault is the fault callback that does nothing.
func noFault() {}

// TestDrainInPartitionedZone guards against charges that wait for a keeper in
// another zone: the streams of a draining router would break, or their bills
// would be lost or duplicated once the zones are connected again. The zone is
// cut off from both others while the streams are open.
func TestDrainInPartitionedZone(t *testing.T) {
	f := startDrain(t, 120)
	others := []string{"tema-hall", "legon-hall"}
	ids := f.drainWithFaults("osu-hall-1", func() {
		for _, z := range others {
			f.Cut("osu-hall", z)
		}
	}, noFault)
	for _, z := range others {
		f.Heal("osu-hall", z)
	}
	f.expectBilledOnce(ids)
	f.expectRanOnce(ids)
}

// TestDrainWithSilentKeeper guards against charges that only the zone's own
// keeper may take, and against an unbounded wait for it at the end of the
// drain. The keeper is stopped while the streams are open and continues after
// the router has exited.
func TestDrainWithSilentKeeper(t *testing.T) {
	f := startDrain(t, 121)
	ids := f.drainWithFaults("osu-hall-1", func() { f.Freeze("osu-hall-keeper") }, noFault)
	f.Eventually("the next keeper has every charge", func() bool {
		v := f.vault("tema-hall-keeper")
		return v != nil && v.Witnessed == drainStreams
	})
	f.Thaw("osu-hall-keeper")
	f.expectBilledOnce(ids)
	f.expectRanOnce(ids)
}

// TestDrainAfterSecondDiskLoss guards against charges that wait for the mirror,
// and against a repair that counts as done before the data is on two disks. The
// zone's keeper and one router lose their disk and come back empty; as soon as
// the repair is done, the VM of the mirror is lost with its disk, while streams
// are open at the draining router.
func TestDrainAfterSecondDiskLoss(t *testing.T) {
	f := startDrain(t, 122)
	lose := func(zone string) {
		f.Kill(zone + "-keeper")
		f.Kill(zone + "-1")
		f.Wipe(zone + "-keeper")
	}
	before := f.confirmedVoter("osu-hall-keeper")
	lose("osu-hall")
	f.Restart("osu-hall-keeper")
	f.Restart("osu-hall-1")
	f.Eventually("the first VM is back", func() bool { return f.Ready("osu-hall-1") })
	f.Eventually("the first VM is repaired", func() bool { return f.isPaired("osu-hall-keeper") })
	f.awaitNewVoter("osu-hall-keeper", before)
	ids := f.drainWithFaults("osu-hall-2", func() { lose("tema-hall") }, noFault)
	f.Restart("tema-hall-keeper")
	f.Restart("tema-hall-1")
	f.expectBilledOnce(ids)
	f.expectRanOnce(ids)
}

// TestDrainWithTwoFaults guards against a draining router that refuses to take
// over the runs of its own callers. The zone's keeper is stopped and the
// sibling, home of half of the requests, is killed during the drain.
//
// Earlier traffic makes the router lease enough rights for the runs that it
// takes over. Without them these runs would be refused with or without a drain,
// because no keeper that answers can lease this zone's rights.
func TestDrainWithTwoFaults(t *testing.T) {
	f := startDrain(t, 123)
	f.leaseAhead("osu-hall-1")
	ids := f.drainWithFaults("osu-hall-1", func() { f.Freeze("osu-hall-keeper") }, func() { f.Kill("osu-hall-2") })
	f.Thaw("osu-hall-keeper")
	f.expectBilledOnce(ids)
}

// leaseAhead generates steady traffic at a router until it holds enough rights
// for all streams.
func (f *fleet) leaseAhead(router string) {
	f.t.Helper()
	var wg sync.WaitGroup
	var enough atomic.Bool
	for i := range drainStreams {
		wg.Go(func() {
			for n := 0; !enough.Load(); n++ {
				id := idWithHome(fmt.Sprintf("earlier-%d-%d", i, n), router, osu...)
				if _, err := f.model(router, id, drainTokens/10).Do(context.Background()); err != nil {
					f.t.Error(err)
				}
			}
		})
	}
	defer wg.Wait()
	defer enough.Store(true)
	f.Eventually("the router leases ahead", func() bool { return f.heldRights(router) >= drainRights })
}

// vaultState is the part of a keeper's budget counters that the tests read.
type vaultState struct {
	Mode string
	// Witnessed counts the charges that the keeper holds for other zones.
	Witnessed int `json:"charges_witnessed"`
}

// vault returns the budget counters of a keeper, or nil if it does not answer.
func (f *fleet) vault(keeper string) *vaultState {
	p, err := f.Settings().Process(loader.KindKeeper, keeper)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Get("http://" + p.Debug() + "/debug/vars")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		BudgetVault *vaultState `json:"budget_vault"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return nil
	}
	return vars.BudgetVault
}

// isPaired reports whether a keeper's budgets are on two disks.
func (f *fleet) isPaired(keeper string) bool {
	v := f.vault(keeper)
	return v != nil && v.Mode == budgeter.ModePaired
}

// heldRights returns the tokens of all rights that a router holds.
func (f *fleet) heldRights(router string) (n int64) {
	f.t.Helper()
	p, err := f.Settings().Process(loader.KindRouter, router)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := messenger.NewDialer("test", messenger.RoleMember, f.Settings().DeploymentKey()).Dial(p.RPC())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	h, err := messenger.NewRouterPeerClient(c).Holdings(context.Background(), &messenger.HoldingsRequest{})
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, x := range h.Holdings {
		n += x.OutstandingTokens
	}
	return n
}
