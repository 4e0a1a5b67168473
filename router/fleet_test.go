package router_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
)

// The seed and the number of rapid checks come from FUZZ_SEED and FUZZ_CHECKS.
func init() {
	seed := "7"
	if s := os.Getenv("FUZZ_SEED"); s != "" {
		seed = s
	}
	_ = flag.Set("rapid.seed", seed)
	if n := os.Getenv("FUZZ_CHECKS"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
}

func TestMain(m *testing.M) { launcher.Main(m) }

// call is a request of a caller.
type call = imitator.Call

// fleet is a running deployment with one workspace, a model service and a plain
// service.
type fleet struct {
	*launcher.Fleet
	t   *testing.T
	g   *gomega.WithT
	key string
}

const (
	workspace     = "labone-surveys"
	prepaidTokens = "50000000"
)

// fleetSlots bounds the number of deployments that run at once.
var fleetSlots = make(chan struct{}, 3)

// startParallelFleet is startFleet for tests that may run in parallel with
// others.
func startParallelFleet(t *testing.T, o launcher.Options) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	return startFleet(t, o)
}

// startFleet starts a deployment, creates the workspace, the services and the
// budget, and waits until all routers are ready.
func startFleet(t *testing.T, o launcher.Options) *fleet {
	t.Helper()
	f := &fleet{Fleet: launcher.Start(t, o), t: t, g: gomega.NewWithT(t)}
	f.commandEventually("config", "show")
	var created struct{ Key string }
	f.Eventually("workspace is made", func() bool {
		out, code := f.Command("workspace", "create", workspace)
		return code == 0 && json.Unmarshal([]byte(out), &created) == nil
	})
	f.key = created.Key
	f.commandEventually("service", "set", "llm", "--kind", "model", "--model", "m", "--prompt-price", "1", "--answer-price", "2", "--max-answer-tokens", "4096")
	f.commandEventually("service", "set", "desk", "--kind", "plain", "--call-price", "5")
	f.commandEventually("statement", "set", "all")
	zone := f.Settings().Zones()[0]
	f.commandEventually("budget", "topup", workspace, prepaidTokens, "--id", zone+"/receipt-1")
	for _, p := range f.Settings().Processes(loader.KindRouter) {
		f.Eventually(p.Name()+" is ready", func() bool { return f.Ready(p.Name()) })
	}
	f.AwaitPaired()
	return f
}

// commandEventually repeats an idempotent operator command until it succeeds,
// because the keepers may still be starting.
func (f *fleet) commandEventually(args ...string) {
	f.t.Helper()
	f.Eventually(strings.Join(args, " "), func() bool {
		_, code := f.Command(args...)
		return code == 0
	})
}

// http returns the HTTP address of a router.
func (f *fleet) http(router string) string {
	p, err := f.Settings().Process(loader.KindRouter, router)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return p.HTTP()
}

// model returns a streamed request to the model service.
func (f *fleet) model(router, id string, tokens int64) imitator.Call {
	return imitator.Call{
		Router: f.http(router), Key: f.key, RequestID: id, Model: "m", Prompt: "room " + id,
		MaxTokens: tokens, Stream: true, Workspace: workspace, Timeout: 30 * time.Second,
	}
}

// plain returns a request to the plain service.
func (f *fleet) plain(router, id string) imitator.Call {
	return imitator.Call{
		Router: f.http(router), Key: f.key, RequestID: id, Service: "desk", Path: "/ledger/" + id,
		Prompt: "entry " + id, Workspace: workspace, Timeout: 10 * time.Second,
	}
}

// awaitService waits until a service answers through every router.
func (f *fleet) awaitService(call func(router, id string) imitator.Call) {
	f.t.Helper()
	for _, p := range f.Settings().Processes(loader.KindRouter) {
		f.Eventually("a first request through "+p.Name(), func() bool {
			_, err := call(p.Name(), "warm-"+p.Name()).Do(context.Background())
			return err == nil
		})
	}
}

// runs counts the runs of each request that have begun, according to the run
// logs.
func (f *fleet) runs(endpoints ...string) map[string]int {
	f.t.Helper()
	n := map[string]int{}
	for _, e := range endpoints {
		text, err := launcher.ReadWhole(f.RunLog(e))
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		for line := range strings.Lines(text) {
			var r imitator.Run
			f.g.Expect(json.Unmarshal([]byte(line), &r)).To(gomega.Succeed())
			if r.Event == "begin" {
				n[strings.TrimPrefix(r.RequestID, workspace+"/")]++
			}
		}
	}
	return n
}

// bills counts the charges of each request in each zone. A charge that was
// reversed because the charge of another zone counts stays in the history and
// is left out.
func (f *fleet) bills() map[string]map[string]int {
	f.t.Helper()
	return f.billsOf(f.MustCommand("budget", "history", workspace, "-o", "json"))
}

// billsOf counts the charges in the JSON of a budget history.
func (f *fleet) billsOf(history string) map[string]map[string]int {
	f.t.Helper()
	var out struct {
		Charges []struct {
			RequestID string `json:"request_id"`
			Zone      string `json:"zone"`
			Reversed  string `json:"reversed_for_zone"`
		} `json:"charges"`
	}
	f.g.Expect(json.Unmarshal([]byte(history), &out)).To(gomega.Succeed())
	n := map[string]map[string]int{}
	for _, c := range out.Charges {
		if c.Reversed != "" {
			continue
		}
		if n[c.RequestID] == nil {
			n[c.RequestID] = map[string]int{}
		}
		n[c.RequestID][c.Zone]++
	}
	return n
}

// billed counts the charges of one request over all zones.
func (f *fleet) billed(id string) int {
	f.t.Helper()
	total := 0
	for _, n := range f.bills()[id] {
		total += n
	}
	return total
}

// refusalOf returns the refusal in an error, or nil.
func refusalOf(err error) *imitator.Refusal {
	var r *imitator.Refusal
	errors.As(err, &r)
	return r
}

// ticket requests a ticket from a router.
func (f *fleet) ticket(router string) string {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+f.http(router)+"/v1/tickets", nil)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(r)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var out struct{ Ticket string }
	f.g.Expect(json.NewDecoder(resp.Body).Decode(&out)).To(gomega.Succeed())
	f.g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusCreated))
	return out.Ticket
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}
