package treasurer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
)

// Names of the launcher's default deployment.
const (
	zone    = "osu-hall"
	keeper  = zone + "-keeper"
	routerA = zone + "-1"
	routerB = zone + "-2"
)

// deployment is a set of real processes with one workspace and one engine.
type deployment struct {
	*launcher.Fleet
	g   *gomega.WithT
	key string
	// prices holds the price reported to the caller, by request.
	mu     sync.Mutex
	prices map[string]int64
}

func start(t *testing.T, net, paid int, pace string) *deployment {
	d := &deployment{Fleet: launcher.Start(t, launcher.Options{Net: net}), g: gomega.NewWithT(t), prices: map[string]int64{}}
	var made struct{ Key string }
	d.Eventually("workspace is made", func() bool {
		out, code := d.Command("workspace", "create", "w")
		return code == 0 && json.Unmarshal([]byte(out), &made) == nil
	})
	d.key = made.Key
	d.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m", "--answer-price", "1", "--max-answer-tokens", "64")
	d.MustCommand("statement", "set", "all")
	d.StartEndpoint("engine", "llm-1", "llm", zone, 1, "--pace", pace)
	for _, r := range []string{routerA, routerB} {
		d.Eventually(r+" is ready", func() bool { return d.Ready(r) })
	}
	d.Eventually("top-up", func() bool {
		_, code := d.Command("budget", "topup", "w", strconv.Itoa(paid), "--id", zone+"/1")
		return code == 0
	})
	d.AwaitPaired()
	return d
}

// trySend sends a request and reports whether it succeeded.
func (d *deployment) trySend(router, id string) bool { return d.send(router, id) == nil }

// send sends a request and records its price.
func (d *deployment) send(router, id string) error {
	p, err := d.Settings().Process(loader.KindRouter, router)
	d.g.Expect(err).NotTo(gomega.HaveOccurred())
	c := imitator.Call{
		Router: p.HTTP(), Key: d.key, RequestID: id, Model: "m", Prompt: "hello", MaxTokens: 8,
		Stream: true, Workspace: "w", Timeout: 10 * time.Second,
	}
	r, err := c.Do(context.Background())
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prices[id] = r.ChargedTokens
	return nil
}

// books returns the sums over all zones.
func (d *deployment) books() (unspent, leased, charged int64) {
	var r struct{ Books []map[string]any }
	out, _ := d.Command("budget", "show", "w", "-o", "json")
	_ = json.Unmarshal([]byte(out), &r)
	sum := func(field string) (n int64) {
		for _, b := range r.Books {
			x, _ := strconv.ParseInt(fmt.Sprint(b[field]), 10, 64)
			n += x
		}
		return n
	}
	return sum("unspent_tokens"), sum("leased_tokens"), sum("charged_tokens")
}

func (d *deployment) reportedTokens() (n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.prices {
		n += p
	}
	return n
}

// Guards against budget lost when a router dies, and against a retried
// request billed twice. A router with open streams is killed (kill -9) and
// restarted, callers retry under the same request ids, and both routers shut down
// gracefully. The failure occurs if rights of a dead incarnation never
// return, if shutdown does not wait for a return, or if a retry creates a
// second bill.
func TestAllRightsReturnAfterRouterCrash(t *testing.T) {
	const paid = 3000
	d := start(t, 50, paid, "60ms")
	d.Eventually("first answer", func() bool { return d.trySend(routerA, "first") })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { d.trySend([]string{routerA, routerB}[i%2], fmt.Sprint("r", i)) })
	}
	d.Eventually("rights are leased", func() bool { _, leased, _ := d.books(); return leased > 0 })
	d.Kill(routerA)
	wg.Wait()
	d.Restart(routerA)
	d.Eventually("router is ready", func() bool { return d.Ready(routerA) })
	for i := range 8 {
		id := fmt.Sprint("r", i)
		d.Eventually("retry of "+id, func() bool { return d.trySend(routerA, id) })
	}
	d.g.Expect(d.Terminate(routerA)).To(gomega.Succeed())
	d.g.Expect(d.Terminate(routerB)).To(gomega.Succeed())
	d.Eventually("every token is back or billed once", func() bool {
		unspent, leased, charged := d.books()
		return leased == 0 && charged == d.reportedTokens() && unspent+charged == paid
	})
	d.g.Expect(d.prices).To(gomega.HaveLen(9))
}

// Guards against a zone that answers nothing while its keeper's VM restarts,
// and against lost bills from that time. Requests continue on leased rights
// after the zone's keeper is killed (kill -9), until it is restarted. The
// failure occurs if only the own keeper can accept charges.
func TestRequestsContinueWithoutTheKeeper(t *testing.T) {
	const paid = 100_000
	d := start(t, 51, paid, "1ms")
	for i := range 6 {
		for _, r := range []string{routerA, routerB} {
			d.Eventually("warm up", func() bool { return d.trySend(r, fmt.Sprint("warm-", r, i)) })
		}
	}
	d.Kill(keeper)
	for i := range 3 {
		d.g.Expect(d.send(routerA, fmt.Sprint("away-", i))).To(gomega.Succeed(), "the slice and the witness carry on")
	}
	d.Restart(keeper)
	for i := range 3 {
		id := fmt.Sprint("away-", i)
		d.Eventually("answer to "+id, func() bool { return d.trySend(routerA, id) })
	}
	d.Eventually("the bills of that time are in the book", func() bool {
		_, _, charged := d.books()
		return charged == d.reportedTokens()
	})
}

// Guards against a request refused in one zone while a router of another zone
// holds idle rights. One router leases a small budget completely before a
// request arrives in another zone. The failure occurs if a zone grants only
// what its keeper has not leased.
func TestRightsLeasedInAnotherZoneAreReached(t *testing.T) {
	d := start(t, 52, 80, "1ms")
	// Routers learn of the service and of the endpoint at different times, and refuse until then.
	d.AwaitInForce()
	d.AwaitEndpoints(1)
	d.Eventually("first answer", func() bool { return d.trySend("tema-hall-1", "a") })
	unspent, leased, _ := d.books()
	d.g.Expect(unspent).To(gomega.BeZero(), "the first lease takes all of a small budget")
	d.g.Expect(leased).To(gomega.BeNumerically(">", 0))
	d.g.Expect(d.send(routerA, "b")).To(gomega.Succeed())
}
