package keeper_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// routerVars holds a router's configuration counters.
type routerVars struct {
	Version int64  `json:"version"`
	Keeper  string `json:"keeper"`
}

// servedVersion returns the version that a router serves, or -1 if unknown.
func servedVersion(f *launcher.Fleet, router string) int64 { return varsOf(f, router).Version }

func varsOf(f *launcher.Fleet, router string) routerVars {
	none := routerVars{Version: -1}
	p, err := f.Settings().Process(loader.KindRouter, router)
	if err != nil {
		return none
	}
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + p.Debug() + "/debug/vars")
	if err != nil {
		return none
	}
	defer func() { _ = r.Body.Close() }()
	var v struct {
		Configuration routerVars `json:"configuration"`
	}
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		return none
	}
	return v.Configuration
}

func servedEverywhere(f *launcher.Fleet, version int64) func() bool {
	return func() bool {
		for _, p := range f.Settings().Processes(loader.KindRouter) {
			if servedVersion(f, p.Name()) != version {
				return false
			}
		}
		return true
	}
}

// A zone behind a network partition must continue to serve when its router
// restarts, and not from an older configuration. A commit index that is lost
// in a restart, or a router that waits for an unreachable majority, would
// break this. The zone is cut off, the others accept a change, the zone's
// keeper and then its router restart, and the partition heals.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	f := launcher.Start(t, launcher.Options{Net: 64})
	o := newOperator(t, f)
	o.leader(keepers...)
	r := rand.New(rand.NewPCG(1, 4))
	for _, id := range []string{"one", "two", "three"} {
		o.accept(id, r)
	}
	f.Eventually("all routers serve version 3", servedEverywhere(f, 3))
	f.Cut("osu-hall", "tema-hall")
	f.Cut("osu-hall", "legon-hall")
	var won *messenger.ProposeReply
	f.Eventually("the rest accepts", func() bool {
		var err error
		won, err = o.propose("tema-hall-keeper", "four", 3)
		return err == nil && won.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED
	})
	f.Eventually("the rest serves version 4", func() bool { return servedVersion(f, "tema-hall-1") == 4 && servedVersion(f, "legon-hall-2") == 4 })
	g.Expect(servedVersion(f, "osu-hall-2")).To(gomega.Equal(int64(3)))
	f.Kill("osu-hall-keeper")
	f.Restart("osu-hall-keeper")
	repeatCut(f)
	f.Kill("osu-hall-1")
	f.Restart("osu-hall-1")
	restarted := time.Now()
	repeatCut(f)
	f.Eventually("the restarted router serves", func() bool { return f.Ready("osu-hall-1") })
	t.Logf("the router was ready %s after its restart in the cut zone", time.Since(restarted).Round(time.Millisecond))
	g.Expect(servedVersion(f, "osu-hall-1")).To(gomega.Equal(int64(3)))
	stale := o.read("osu-hall-keeper", false)
	g.Expect(stale.Configuration.Version).To(gomega.Equal(uint64(3)))
	g.Expect(stale.AgeMs).To(gomega.Equal(int64(-1)), "a copy that nobody confirmed since the start has no age")
	f.Heal("osu-hall", "tema-hall")
	f.Heal("osu-hall", "legon-hall")
	f.Eventually("all routers serve version 4", servedEverywhere(f, 4))
}

// repeatCut repeats the cut until a newly started process applies it: a
// process opens its fault port some milliseconds after its start.
func repeatCut(f *launcher.Fleet) {
	f.Eventually("the cut reaches restarted processes", func() bool {
		f.Cut("osu-hall", "tema-hall")
		f.Cut("osu-hall", "legon-hall")
		for _, p := range f.Settings().Processes("") {
			if p.Zone() != "osu-hall" {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Debug()+"/debug/vars", nil)
			r, err := http.DefaultClient.Do(q)
			cancel()
			if err != nil {
				return false
			}
			_ = r.Body.Close()
		}
		f.Cut("osu-hall", "tema-hall")
		f.Cut("osu-hall", "legon-hall")
		return true
	})
}

// A router must not stay at an old version while its zone's keeper is frozen,
// as it would with a stream that stays open but silent, and must return to
// that keeper later. The keeper is frozen, the others accept a change, and
// the keeper resumes.
func TestRouterLeavesSilentKeeper(t *testing.T) {
	t.Parallel()
	f := launcher.Start(t, launcher.Options{Net: 65})
	o := newOperator(t, f)
	o.leader(keepers...)
	r := rand.New(rand.NewPCG(1, 5))
	o.accept("one", r)
	f.Eventually("all routers serve version 1", servedEverywhere(f, 1))
	home := func() bool { return varsOf(f, "osu-hall-1").Keeper == "osu-hall-keeper" }
	f.Eventually("the router follows its zone's keeper", home)
	f.Freeze("osu-hall-keeper")
	f.Eventually("the rest accepts", func() bool {
		out, err := o.propose("tema-hall-keeper", "two", 1)
		return err == nil && out.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED
	})
	f.Eventually("all routers serve version 2", servedEverywhere(f, 2))
	f.Thaw("osu-hall-keeper")
	f.Eventually("the keeper catches up", func() bool { return o.version("osu-hall-keeper") == 2 })
	f.Eventually("the router comes back to its zone's keeper", home)
}
