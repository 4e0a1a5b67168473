package launcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/loader"
)

// queryTimeout bounds one query of the state of a process.
const queryTimeout = time.Second

// AwaitPaired waits until the vault of each keeper has a complete copy at its mirror. Until then, a
// keeper that is partitioned or loses its mirror does not answer, so tests must not cause faults before.
func (f *Fleet) AwaitPaired() {
	f.t.Helper()
	for _, p := range f.settings.Processes(loader.KindKeeper) {
		f.Eventually(p.Name()+" is paired with its mirror", func() bool {
			return f.Mode(p.Name()) == budgeter.ModePaired
		})
	}
}

// AwaitEndpoints waits until each router may use at least the given number of endpoints. Until then, it
// may refuse requests that other routers would serve.
func (f *Fleet) AwaitEndpoints(n int) {
	f.t.Helper()
	f.Eventually("every router may use the endpoints", func() bool {
		var r struct {
			Processes []struct {
				Kind            string
				UsableEndpoints string `json:"usable_endpoints"`
			}
		}
		out, code := f.Command("status", "-o", "json")
		if code != 0 || json.Unmarshal([]byte(out), &r) != nil {
			return false
		}
		ready := 0
		for _, p := range r.Processes {
			if k, err := strconv.Atoi(p.UsableEndpoints); err == nil && p.Kind == loader.KindRouter && k >= n {
				ready++
			}
		}
		return ready == len(f.settings.Processes(loader.KindRouter))
	})
}

// Mode returns the mirror mode from the counters of a keeper, or "" if it does not answer.
func (f *Fleet) Mode(keeper string) string {
	f.t.Helper()
	p, err := f.settings.Process(loader.KindKeeper, keeper)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := get("http://" + p.Debug() + "/debug/vars")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		BudgetVault struct{ Mode string } `json:"budget_vault"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return ""
	}
	return vars.BudgetVault.Mode
}

// AwaitInForce waits until each router serves the latest configuration. Until then, a router may refuse
// requests of a new workspace.
func (f *Fleet) AwaitInForce() {
	f.t.Helper()
	var latest struct{ Version string }
	if err := json.Unmarshal([]byte(f.MustCommand("config", "show", "-o", "json")), &latest); err != nil {
		f.t.Fatal(err)
	}
	f.Eventually("version "+latest.Version+" in force", func() bool {
		return f.serving(latest.Version) == len(f.settings.Processes(loader.KindRouter))
	})
}

// serving returns the number of routers that serve a version.
func (f *Fleet) serving(version string) int {
	var r struct {
		Nodes []struct{ Node, Version string }
	}
	out, code := f.Command("config", "in-force", "-o", "json")
	if code != 0 || json.Unmarshal([]byte(out), &r) != nil {
		return 0
	}
	n := 0
	for _, x := range r.Nodes {
		if x.Version == version {
			n++
		}
	}
	return n
}

// Ready reports whether a router states that it is ready.
func (f *Fleet) Ready(router string) bool {
	p, err := f.settings.Process(loader.KindRouter, router)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := get("http://" + p.HTTP() + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// get queries a process, for at most queryTimeout, which includes reading the body.
func get(url string) (*http.Response, error) {
	c := http.Client{Timeout: queryTimeout}
	return c.Get(url)
}
