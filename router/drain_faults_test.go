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
	drainStreams = 40
	drainTokens  = 300
	// drainRights cover all streams in the worst case.
	drainRights = drainStreams * drainTokens * 3
)

// startDrain starts three zones with engines in the first and the second.
func startDrain(t *testing.T, net int) *fleet {
	t.Helper()
	f := startShared(t, launcher.Options{Net: net})
	for i, z := range []string{"osu-hall", "tema-hall"} {
		f.StartEndpoint("engine", fmt.Sprintf("llm-%d", i+1), "llm", z, i+1, "--capacity", "100", "--pace", "20ms")
	}
	f.served(func(router, id string) call { return f.model(router, id, 4) })
	return f
}

// drainUnder opens streams at a router, half of them of requests whose home is
// its sibling, brings faults about, has the router shut down while all
// streams are open and brings more faults about. Every stream must end whole,
// and the process with exit code 0. It returns the requests' ids.
func (f *fleet) drainUnder(router string, before, after func()) []string {
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

// billedOnce waits until no charge is on its way to its zone and every request
// has one over all zones.
func (f *fleet) billedOnce(ids []string) {
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
		// A warning of a zone that does not answer comes before the document.
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

// ranOnce checks that no stream was run again.
func (f *fleet) ranOnce(ids []string) {
	f.t.Helper()
	runs := f.runs("llm-1", "llm-2")
	for _, id := range ids {
		f.g.Expect(runs[id]).To(gomega.Equal(1), id)
	}
}

func nothing() {}

// TestDrainInACutZone
// Symptom: streams of a router that shuts down in a cut-off zone break, or
// their bills are lost or double after the heal.
// Sequence: streams are open; the zone is cut off from both others; SIGTERM;
// the streams end; the cut heals.
// Cause it guards against: a charge that waits for a keeper beyond the cut.
func TestDrainInACutZone(t *testing.T) {
	f := startDrain(t, 120)
	others := []string{"tema-hall", "legon-hall"}
	ids := f.drainUnder("osu-hall-1", func() {
		for _, z := range others {
			f.Cut("osu-hall", z)
		}
	}, nothing)
	for _, z := range others {
		f.Heal("osu-hall", z)
	}
	f.billedOnce(ids)
	f.ranOnce(ids)
}

// TestDrainWithASilentKeeper
// Symptom: streams of a router that shuts down wait for a keeper that is up
// and silent, or are billed nowhere or twice.
// Sequence: streams are open; the zone's keeper is stopped; SIGTERM; the
// streams end and the router exits; the keeper goes on.
// Cause it guards against: charges that only the own keeper may take, and a
// hand-over at the end that waits for it without bound.
func TestDrainWithASilentKeeper(t *testing.T) {
	f := startDrain(t, 121)
	ids := f.drainUnder("osu-hall-1", func() { f.Freeze("osu-hall-keeper") }, nothing)
	f.Eventually("the next keeper has every charge", func() bool {
		v := f.vault("tema-hall-keeper")
		return v != nil && v.Witnessed == drainStreams
	})
	f.Thaw("osu-hall-keeper")
	f.billedOnce(ids)
	f.ranOnce(ids)
}

// TestDrainAfterASecondLoss
// Symptom: streams of a router that shuts down break, or their bills are gone,
// when a second VM is lost right after the first is repaired.
// Sequence: the zone's keeper and the router beside it are lost with their
// disk and come back empty; at the surviving router streams are open; as soon
// as the repair is done, the mirror's VM is lost with its disk; SIGTERM.
// Cause it guards against: charges that wait for the mirror, and a repair that
// counts before it is on two disks.
func TestDrainAfterASecondLoss(t *testing.T) {
	f := startDrain(t, 122)
	lose := func(zone string) {
		f.Kill(zone + "-keeper")
		f.Kill(zone + "-1")
		f.Wipe(zone + "-keeper")
	}
	before := f.disk("osu-hall-keeper")
	lose("osu-hall")
	f.Restart("osu-hall-keeper")
	f.Restart("osu-hall-1")
	f.Eventually("the first VM is back", func() bool { return f.Ready("osu-hall-1") })
	f.Eventually("the first VM is repaired", func() bool { return f.isPaired("osu-hall-keeper") })
	f.votesAgain("osu-hall-keeper", before)
	ids := f.drainUnder("osu-hall-2", func() { lose("tema-hall") }, nothing)
	f.Restart("tema-hall-keeper")
	f.Restart("tema-hall-1")
	f.billedOnce(ids)
	f.ranOnce(ids)
}

// TestDrainWithTwoFaults
// Symptom: streams of a router that shuts down break when the zone's keeper is
// silent and the sibling dies at the same time.
// Sequence: there was traffic, so that the router's slice covers what it takes
// over; streams are open, half of them of requests whose home is the sibling;
// the keeper is stopped; SIGTERM; the sibling is killed; the streams end and
// the router exits; the keeper goes on.
// Cause it guards against: a draining router that refuses to take over the
// runs of its own callers.
// Where the slice does not cover them, they are refused with or without a
// shutdown: no keeper that answers can lease this zone's rights.
func TestDrainWithTwoFaults(t *testing.T) {
	f := startDrain(t, 123)
	f.traffic("osu-hall-1")
	ids := f.drainUnder("osu-hall-1", func() { f.Freeze("osu-hall-keeper") }, func() { f.Kill("osu-hall-2") })
	f.Thaw("osu-hall-keeper")
	f.billedOnce(ids)
}

// traffic has a router see steady demand until it has leased ahead enough for
// all streams.
func (f *fleet) traffic(router string) {
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
	f.Eventually("the router leases ahead", func() bool { return f.left(router) >= drainRights })
}

// vaultState is what a keeper shows of its budgets.
type vaultState struct {
	Mode string
	// Witnessed counts the charges it holds for other zones.
	Witnessed int `json:"charges_witnessed"`
}

// vault returns nil where the keeper does not answer.
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

// left returns the rights that a router holds.
func (f *fleet) left(router string) (n int64) {
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
