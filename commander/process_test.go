package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracer"
)

// operated is a fleet with a workspace, a service and two endpoints.
type operated struct {
	*launcher.Fleet
	g   *gomega.WithT
	key string
}

func newOperated(t *testing.T, net int) *operated {
	f := &operated{
		Fleet: launcher.Start(t, launcher.Options{Net: net, Policy: "[trace]\nexporter = file\n"}),
		g:     gomega.NewWithT(t),
	}
	f.Eventually("keepers answer", func() bool { _, code := f.Command("config", "show"); return code == 0 })
	var made newKeyResult
	f.g.Expect(json.Unmarshal([]byte(f.MustCommand("workspace", "create", "w", "--label", "tier=gold")), &made)).To(gomega.Succeed())
	f.key = made.Key
	f.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m")
	f.MustCommand("budget", "topup", "w", "5000", "--id", "osu-hall/1")
	f.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1)
	f.StartEndpoint("engine", "llm-2", "llm", "tema-hall", 2)
	for _, p := range f.Settings().Processes(loader.KindRouter) {
		f.Eventually(p.Name()+" is ready", func() bool { return f.Ready(p.Name()) })
	}
	f.AwaitPaired()
	f.AwaitEndpoints(2)
	return f
}

func (f *operated) router(name string) loader.Process {
	p, err := f.Settings().Process(loader.KindRouter, name)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// Guards against commands that fail with real processes.
func TestOperatorsCommands(t *testing.T) {
	f := newOperated(t, 110)
	g := f.g
	file := filepath.Join(f.Dir(), "change.json")
	write(t, file, `{"edits": [{"put_statement": {"name": "all", "workspaces": "tier=gold", "endpoints": "tier=standard"}}]}`)
	out := f.MustCommand("config", "apply", file, "--wait", "--change-id", "first")
	g.Expect(out).To(gomega.ContainSubstring("accepted as version 3"))
	g.Expect(out).To(gomega.ContainSubstring("version 3 is in force at 6 routers"))
	g.Expect(f.MustCommand("config", "apply", file, "--change-id", "first")).To(gomega.ContainSubstring("accepted as version 3"))
	g.Expect(f.MustCommand("config", "history")).To(gomega.ContainSubstring("put statement all"))

	f.Eventually("both endpoints are usable", func() bool {
		return strings.Count(f.MustCommand("endpoint", "list"), " usable ") == 2
	})
	g.Expect(f.MustCommand("statement", "test", "all")).To(gomega.MatchRegexp(`(?s)workspaces: w\n.*llm-1.*llm-2`))
	g.Expect(f.MustCommand("statement", "test", "--endpoints", "zone=tema-hall")).NotTo(gomega.ContainSubstring("llm-1"))

	call := imitator.Call{Router: f.router("osu-hall-1").HTTP(), Key: f.key, RequestID: "r-1", Model: "m", Prompt: "hello", MaxTokens: 8, Stream: true}
	reply, err := call.Do(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	explained := f.MustCommand("explain", "r-1")
	for _, want := range []string{"admitted", "reserved", "picked", "dispatched", "billed", "answered", "osu-hall-1", reply.Endpoint, "of 2 candidates"} {
		g.Expect(explained).To(gomega.ContainSubstring(want))
	}
	_, code := f.Command("explain", "never-sent")
	g.Expect(code).To(gomega.Equal(ExitFailed))

	f.Eventually("books balance", func() bool { return strings.Contains(f.MustCommand("budget", "show", "w"), "\nbalanced\n") })
	g.Expect(f.MustCommand("budget", "history", "w", "--request", "r-1")).To(gomega.ContainSubstring(reply.Endpoint))
	status := f.MustCommand("status")
	g.Expect(status).To(gomega.MatchRegexp(`osu-hall +1 +2/2`))
	g.Expect(status).NotTo(gomega.ContainSubstring("out of reach"))
	f.Kill("legon-hall-keeper")
	f.Kill("legon-hall-2")
	g.Expect(f.MustCommand("status")).To(gomega.ContainSubstring("out of reach: legon-hall-2, legon-hall-keeper"))
	g.Expect(f.MustCommand("budget", "show", "w")).To(gomega.ContainSubstring("balance not known: out of reach: legon-hall"))
}

// Guards against a leaked key that is still accepted after it was rotated, because a router keeps its
// hash.
func TestRotatedKeyIsRefused(t *testing.T) {
	f := newOperated(t, 111)
	f.MustCommand("statement", "set", "all")
	call := imitator.Call{Router: f.router("tema-hall-1").HTTP(), Key: f.key, RequestID: "r-1", Model: "m", Prompt: "hello", MaxTokens: 4}
	f.Eventually("old key is served", func() bool { _, err := call.Do(context.Background()); return err == nil })
	var made newKeyResult
	f.g.Expect(json.Unmarshal([]byte(f.MustCommand("workspace", "rotate-key", "w")), &made)).To(gomega.Succeed())
	call.RequestID = "r-2"
	f.Eventually("old key is refused", func() bool {
		_, err := call.Do(context.Background())
		return err != nil && strings.Contains(err.Error(), "unknown_key")
	})
	call.Key, call.RequestID = made.Key, "r-3"
	_, err := call.Do(context.Background())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.MustCommand("workspace", "delete", "w")
	call.RequestID = "r-4"
	f.Eventually("deleted workspace is refused", func() bool {
		_, err := call.Do(context.Background())
		return err != nil && strings.Contains(err.Error(), "unknown_key")
	})
}

// Guards against spans that are missing in the trace of a request that a caller has started.
func TestSpansOfARequest(t *testing.T) {
	f := newOperated(t, 112)
	f.MustCommand("statement", "set", "all")
	// The home of a request may be the other router of the zone.
	f.AwaitInForce()
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	f.Eventually("request is answered", func() bool { return f.post(trace, "r") == http.StatusOK })
	// Of eight ids, some are at home at the other router of the zone.
	for i := range 8 {
		f.g.Expect(f.post(trace, fmt.Sprint("r-", i))).To(gomega.Equal(http.StatusOK))
	}
	// Spans are exported in batches, the last ones at the shutdown.
	f.g.Expect(f.Terminate("osu-hall-1")).To(gomega.Succeed())
	f.g.Expect(f.Terminate("osu-hall-2")).To(gomega.Succeed())
	f.g.Expect(f.Terminate("osu-hall-keeper")).To(gomega.Succeed())
	b, err := os.ReadFile(filepath.Join(f.Dir(), "trace.jsonl"))
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	names := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var s struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		f.g.Expect(json.Unmarshal([]byte(line), &s)).To(gomega.Succeed(), line)
		if s.SpanContext.TraceID == trace {
			names[s.Name]++
		}
	}
	for _, hop := range []string{tracer.HopRequest, tracer.HopAdmit, tracer.HopReserve, tracer.HopPick, tracer.HopDispatch, tracer.HopBill, tracer.HopHandOver} {
		f.g.Expect(names[hop]).To(gomega.BeNumerically(">=", 1), "span %s in %v", hop, names)
	}
	// One span is that of the router's call, the other that of the keeper.
	for _, call := range []string{"BudgetKeeper/Lease", "BudgetKeeper/Charge", "HomeRouter/Answer"} {
		f.g.Expect(names["rattanhoist.v1."+call]).To(gomega.BeNumerically(">=", 2), "%s in %v", call, names)
	}
}

// post sends a request with a caller's trace context and returns the status.
func (f *operated) post(trace, id string) int {
	body := strings.NewReader(`{"model": "m", "max_tokens": 4, "messages": [{"role": "user", "content": "x"}]}`)
	r, err := http.NewRequest(http.MethodPost, "http://"+f.router("osu-hall-1").HTTP()+"/v1/chat/completions", body)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+f.key)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against changes by invalid input of each kind, at running processes.
func TestBadInputAtRealProcesses(t *testing.T) {
	f := newOperated(t, 113)
	before := f.MustCommand("config", "show")
	for args, want := range map[string]int{
		"workspace create w":                   ExitUsage,
		"budget topup none 5 --id osu-hall/2":  ExitUsage,
		"budget topup w -5 --id osu-hall/2":    ExitUsage,
		"budget topup w 5 --id nowhere/2":      ExitUsage,
		"budget topup w 6 --id osu-hall/1":     ExitUsage,
		"service set llm --kind model":         ExitUsage,
		"statement set s --endpoints a=b=c":    ExitUsage,
		"workspace list -o yaml":               ExitUsage,
		"check --settings none.ini":            ExitUsage,
		"config apply none.json":               ExitUsage,
		"workspace create UPPER --change-id x": ExitUsage,
	} {
		out, code := f.Command(strings.Fields(args)...)
		f.g.Expect(code).To(gomega.Equal(want), "%s: %s", args, out)
	}
	f.g.Expect(f.MustCommand("config", "show")).To(gomega.Equal(before))
	f.g.Expect(f.MustCommand("budget", "show", "w")).To(gomega.MatchRegexp(`total +5000 +5000 `))

	resp, err := http.Get("http://" + f.router("osu-hall-1").Debug() + "/state")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Life            string
		KeeperReachable bool `json:"keeper_reachable"`
	}
	f.g.Expect(json.NewDecoder(resp.Body).Decode(&state)).To(gomega.Succeed())
	f.g.Expect(state.KeeperReachable).To(gomega.BeTrue())
	f.countersAreDocumented(f.router("osu-hall-1"))
}

// countersAreDocumented checks that the documentation lists all counters.
func (f *operated) countersAreDocumented(p loader.Process) {
	page, err := os.ReadFile("../docs/operate/counters.md")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := http.Get("http://" + p.Debug() + "/debug/vars")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	vars := map[string]json.RawMessage{}
	f.g.Expect(json.NewDecoder(resp.Body).Decode(&vars)).To(gomega.Succeed())
	f.g.Expect(vars).To(gomega.HaveKey("router_decisions"))
	for name := range vars {
		if name != "cmdline" && name != "memstats" {
			f.g.Expect(string(page)).To(gomega.ContainSubstring("`"+name+"`"), "docs/operate/counters.md lacks %s", name)
		}
	}
}

// Guards against a stream that is cut off when an operator signals its router twice to stop.
func TestSecondSignalCutsNobodyOff(t *testing.T) {
	f := newOperated(t, 114)
	f.MustCommand("statement", "set", "slow", "--endpoints", "name=llm-slow")
	f.StartEndpoint("engine", "llm-slow", "llm", "osu-hall", 3, "--pace", "40ms")
	call := imitator.Call{Router: f.router("osu-hall-1").HTTP(), Key: f.key, RequestID: "r-0", Model: "m", Prompt: "hello", MaxTokens: 1, Stream: true}
	f.Eventually("endpoint serves", func() bool { _, err := call.Do(context.Background()); return err == nil })
	call.RequestID, call.MaxTokens = "r-1", 64
	type outcome struct {
		reply *imitator.Reply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := call.Do(context.Background())
		done <- outcome{reply, err}
	}()
	f.Eventually("request is dispatched", func() bool {
		out, _ := f.Command("explain", "r-1")
		return strings.Contains(out, "dispatched")
	})
	f.Ask("osu-hall-1")
	f.Eventually("router drains", func() bool { return strings.Contains(f.MustCommand("status"), "draining") })
	f.Ask("osu-hall-1")
	o := <-done
	f.g.Expect(o.err).NotTo(gomega.HaveOccurred())
	f.g.Expect(o.reply.Text).NotTo(gomega.BeEmpty())
	f.Eventually("router has ended", func() bool { return strings.Contains(f.MustCommand("status"), "out of reach: osu-hall-1") })
}

// Guards against a top-up that counts twice: the keeper that mints is frozen with the request in its
// socket, the command times out, the keeper resumes and mints, and the command is repeated with the id
// that it printed.
func TestTopUpAtAFrozenKeeperCountsOnce(t *testing.T) {
	f := newOperated(t, 115)
	f.Freeze("tema-hall-keeper")
	out, code := f.Command("budget", "topup", "w", "700", "--zone", "tema-hall", "--timeout", "2s")
	f.g.Expect(code).To(gomega.Equal(ExitUnknown), out)
	_, id, ok := strings.Cut(strings.TrimSpace(out), "--id ")
	f.g.Expect(ok).To(gomega.BeTrue(), out)
	f.Thaw("tema-hall-keeper")
	f.MustCommand("budget", "topup", "w", "700", "--id", id)
	f.MustCommand("budget", "topup", "w", "700", "--id", id)
	f.g.Expect(f.MustCommand("budget", "show", "w")).To(gomega.MatchRegexp(`total +5700 `))
	// The id can't be used for another amount.
	out, code = f.Command("budget", "topup", "w", "701", "--id", id)
	f.g.Expect(code).To(gomega.Equal(ExitUsage), out)
}

// Guards against a change that is reported to be in force while a frozen router, which resumes later,
// does not have it.
func TestWaitNamesAFrozenRouter(t *testing.T) {
	f := newOperated(t, 116)
	file := filepath.Join(f.Dir(), "change.json")
	write(t, file, `{"edits": [{"put_statement": {"name": "all"}}]}`)
	f.Freeze("tema-hall-2")
	out, code := f.Command("config", "apply", file, "--wait", "--wait-timeout", "7s")
	f.g.Expect(code).To(gomega.Equal(ExitFailed), out)
	f.g.Expect(out).To(gomega.MatchRegexp(`accepted but not in force at:\n  tema-hall-2: does not answer; version \d+, reported \S+ ago`))
	f.Thaw("tema-hall-2")
	out, code = f.Command("config", "apply", file, "--wait")
	f.g.Expect(code).To(gomega.Equal(ExitOK), out)
	f.g.Expect(out).To(gomega.ContainSubstring("is in force at 6 routers"))
}

func TestSilentRoutersAreNotWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	var p progress
	p.addReported([]string{"gone", "dead", "elsewhere", "late"}, map[string]*messenger.InForceEntry{
		"dead":      {Node: "dead", Version: 3, AgeMs: 60_000},
		"elsewhere": {Node: "elsewhere", Version: 4, AgeMs: 1000},
		"late":      {Node: "late", Version: 3, AgeMs: 1000},
	}, 4)
	g.Expect(p).To(gomega.Equal(progress{
		inForce: 1,
		behind:  []string{"late: does not answer; version 3, reported 1s ago"},
		silent:  []string{"gone: does not answer, and no keeper has heard of it", "dead: does not answer; version 3, silent for 1m0s"},
	}))
}
