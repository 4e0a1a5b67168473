package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

func TestMain(m *testing.M) { launcher.Main(m) }

const (
	crowdNet = 212
	// memoryMB is the memory of each process in megabytes.
	memoryMB = 96
	// manyDescriptors and fewDescriptors are limits on the descriptors of a process.
	manyDescriptors = 4100
	fewDescriptors  = 300

	router = "osu-hall-2"
	keeper = "osu-hall-keeper"
)

// deployment is a fleet with a workspace and an engine.
type deployment struct {
	*launcher.Fleet
	t              *testing.T
	g              *gomega.WithT
	key            string
	maxDescriptors int64
	usages         map[string]*launcher.Usage
	requests       int
}

func start(t *testing.T, maxDescriptors int64) *deployment {
	t.Helper()
	const mebibyte = 1 << 20
	d := &deployment{t: t, g: gomega.NewWithT(t), maxDescriptors: maxDescriptors, usages: map[string]*launcher.Usage{}}
	d.Fleet = launcher.Start(t, launcher.Options{Net: crowdNet, Zones: []string{"osu-hall"}, Policy: fmt.Sprintf(
		"memory_bytes = %d\nmax_descriptors = %d\nmax_body_bytes = %d\n", memoryMB*mebibyte, maxDescriptors, launcher.LegalBodyBytes)})
	var made struct{ Key string }
	d.Eventually("workspace is made", func() bool {
		out, code := d.Command("workspace", "create", "w")
		return code == 0 && json.Unmarshal([]byte(out), &made) == nil
	})
	d.key = made.Key
	d.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m")
	d.MustCommand("statement", "set", "all")
	d.MustCommand("budget", "topup", "w", "500000", "--id", "osu-hall/1")
	d.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1)
	d.expectServed()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	d.usages[router] = d.WatchUsage(router, fmt.Sprintf("127.%d.1.2", crowdNet), done)
	d.usages[keeper] = d.WatchUsage(keeper, fmt.Sprintf("127.%d.1.1", crowdNet), done)
	return d
}

// process returns the settings of a process.
func (d *deployment) process(kind, name string) loader.Process {
	p, err := d.Settings().Process(kind, name)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

func (d *deployment) routerProcess() loader.Process { return d.process(loader.KindRouter, router) }
func (d *deployment) keeperProcess() loader.Process { return d.process(loader.KindKeeper, keeper) }

// expectServed repeats one ordinary request, one change and a question at each debug address until they are answered.
func (d *deployment) expectServed() {
	d.t.Helper()
	d.Eventually("request is answered", func() bool {
		d.requests++
		call := imitator.Call{Router: d.routerProcess().HTTP(), Key: d.key, RequestID: fmt.Sprint("r", d.requests), Model: "m", Prompt: "hello", MaxTokens: 8, Stream: true, Timeout: 5 * time.Second}
		_, err := call.Do(context.Background())
		return err == nil
	})
	d.Eventually("configuration is read", func() bool { _, code := d.Command("config", "show"); return code == 0 })
	for _, p := range []loader.Process{d.routerProcess(), d.keeperProcess()} {
		d.Eventually("state of "+p.Name(), func() bool {
			a, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + p.Debug() + "/debug/vars")
			if err != nil {
				return false
			}
			_ = a.Body.Close()
			return a.StatusCode == http.StatusOK
		})
	}
}

// expectWithinBounds checks that the processes live and have stayed within their memory and descriptors.
func (d *deployment) expectWithinBounds() {
	d.t.Helper()
	const mebibyte = 1 << 20
	g := gomega.NewWithT(d.t)
	for _, name := range slices.Sorted(maps.Keys(d.usages)) {
		u := d.usages[name]
		d.t.Logf("%s: %d MB at the most, %d MB unread, %d descriptors", name, u.Memory()/mebibyte, u.Unread()/mebibyte, u.Descriptors())
		g.Expect(d.Alive(name)).To(gomega.BeTrue(), "%s lives", name)
		g.Expect(u.Memory()).To(gomega.BeNumerically("<=", memoryMB*mebibyte), "memory of %s", name)
		g.Expect(u.Descriptors()).To(gomega.BeNumerically("<=", d.maxDescriptors), "descriptors of %s", name)
	}
}

// expectCrowdIsBorne sends a crowd of each kind to a target of a new deployment.
func expectCrowdIsBorne(t *testing.T, targetOf func(*deployment) launcher.Target, sets ...map[string]launcher.Misbehavior) {
	launcher.EachKind(t, sets, func(t *testing.T, kind string, m launcher.Misbehavior) {
		descriptors := int64(manyDescriptors)
		if launcher.TakesDescriptors(kind) {
			descriptors = fewDescriptors
		}
		d := start(t, descriptors)
		launcher.Visit(t.Context(), targetOf(d), kind, m)
		d.expectServed()
		d.expectWithinBounds()
	})
}

// Guards against a router that clients of its chat interface end.
func TestRouterBearsCrowdsWithChats(t *testing.T) {
	expectCrowdIsBorne(t, func(d *deployment) launcher.Target {
		return launcher.At(d.routerProcess().HTTP(), http.MethodPost, "/v1/chat/completions")
	}, launcher.MisbehaviorsAnywhere, launcher.MisbehaviorsWithBodies)
}

// Guards against a router that clients end at a path that leads nowhere.
func TestRouterBearsCrowdsWithoutAPath(t *testing.T) {
	expectCrowdIsBorne(t, func(d *deployment) launcher.Target {
		return launcher.At(d.routerProcess().HTTP(), http.MethodPost, "/none")
	}, launcher.MisbehaviorsAnywhere)
}

// Guards against a router that clients of its debug address end.
func TestRouterBearsCrowdsAtItsDebugAddress(t *testing.T) {
	expectCrowdIsBorne(t, func(d *deployment) launcher.Target {
		return launcher.At(d.routerProcess().Debug(), http.MethodGet, "/debug/vars")
	}, launcher.MisbehaviorsAnywhere)
}

// Guards against a router that clients end at its port for other processes.
func TestRouterBearsCrowdsAtItsPeerPort(t *testing.T) {
	expectCrowdIsBorne(t, func(d *deployment) launcher.Target {
		return launcher.At(d.routerProcess().RPC(), http.MethodPost, messenger.Operations_State_FullMethodName)
	}, launcher.MisbehaviorsOfPeers)
}

// Guards against a keeper that clients end at its port for routers and operators.
func TestKeeperBearsCrowdsAtItsPort(t *testing.T) {
	expectCrowdIsBorne(t, func(d *deployment) launcher.Target {
		return launcher.At(d.keeperProcess().RPC(), http.MethodPost, messenger.Operations_State_FullMethodName)
	}, launcher.MisbehaviorsOfPeers)
}

// Guards against a crowd that an operator can't tell from other troubles.
func TestDebugAddressShowsThePorts(t *testing.T) {
	d := start(t, manyDescriptors)
	a, err := http.Get("http://" + d.routerProcess().Debug() + "/metrics")
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, port := range []string{"callers", "processes", "debug"} {
		d.g.Expect(string(b)).To(gomega.ContainSubstring(fmt.Sprintf("rattanhoist_port_connections_max{port=%q}", port)))
	}
}
