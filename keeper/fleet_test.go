package keeper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/imitator"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

func TestMain(m *testing.M) { launcher.Main(m) }

// Names of the launcher's default deployment.
const (
	zoneA, zoneB, zoneC = "osu-hall", "tema-hall", "legon-hall"
	keeperA, keeperB    = zoneA + "-keeper", zoneB + "-keeper"
	routerA1, routerA2  = zoneA + "-1", zoneA + "-2"
)

// fleet is a deployment with one workspace, one service and engines in zones
// A and B.
type fleet struct {
	*launcher.Fleet
	g   *gomega.WithT
	key string
	n   int
	// timeout is the deadline of requests.
	timeout time.Duration
}

func startFleet(t *testing.T, net int) *fleet { return startFleetWith(t, launcher.Options{Net: net}) }

func startFleetWith(t *testing.T, o launcher.Options) *fleet {
	f := &fleet{Fleet: launcher.Start(t, o), g: gomega.NewWithT(t), timeout: 5 * time.Second}
	f.Eventually("keepers answer", func() bool { _, code := f.Command("config", "show"); return code == 0 })
	var made struct{ Key string }
	f.Eventually("workspace is made", func() bool {
		out, code := f.Command("workspace", "create", "w")
		return code == 0 && json.Unmarshal([]byte(out), &made) == nil
	})
	f.key = made.Key
	f.MustCommand("service", "set", "llm", "--kind", "model", "--model", "m", "--answer-price", "1", "--max-answer-tokens", "64")
	f.MustCommand("statement", "set", "all")
	for i, z := range []string{zoneA, zoneB} {
		f.StartEndpoint("engine", "llm-"+z, "llm", z, i+1)
	}
	for _, r := range []string{routerA1, routerA2, zoneB + "-1"} {
		f.Eventually(r+" is ready", func() bool { return f.Ready(r) })
	}
	f.AwaitPaired()
	return f
}

func (f *fleet) topUp(id string, n int) {
	f.Eventually("top-up "+id, func() bool {
		_, code := f.Command("budget", "topup", "w", strconv.Itoa(n), "--id", id)
		return code == 0
	})
}

// call sends a request with a new id to a router.
func (f *fleet) call(router string) (*imitator.Reply, error) {
	f.n++
	return f.callAs(router, fmt.Sprint("r", f.n))
}

// callAs sends a request with the given id.
func (f *fleet) callAs(router, id string) (*imitator.Reply, error) {
	p, err := f.Settings().Process(loader.KindRouter, router)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	c := imitator.Call{
		Router: p.HTTP(), Key: f.key, RequestID: id, Model: "m",
		Prompt: "hello", MaxTokens: 8, Stream: true, Workspace: "w", Timeout: f.timeout,
	}
	return c.Do(context.Background())
}

// mustCall sends new requests until one is answered and returns its price.
func (f *fleet) mustCall(router string) (price int64) {
	f.Eventually("a request at "+router, func() bool {
		r, err := f.call(router)
		if err == nil {
			price = r.ChargedTokens
		}
		return err == nil
	})
	return price
}

func (f *fleet) books() *messenger.Book {
	total := &messenger.Book{}
	var r struct {
		Books []map[string]any
	}
	out, _ := f.Command("budget", "show", "w", "-o", "json")
	_ = json.Unmarshal([]byte(out), &r)
	for _, b := range r.Books {
		total.MintedTokens += parseNumber(b["minted_tokens"])
		total.ReceivedTokens += parseNumber(b["received_tokens"])
		total.UnspentTokens += parseNumber(b["unspent_tokens"])
		total.LeasedTokens += parseNumber(b["leased_tokens"])
		total.ChargedTokens += parseNumber(b["charged_tokens"])
		total.GivenTokens += parseNumber(b["given_tokens"])
		total.FrozenTokens += parseNumber(b["frozen_tokens"])
	}
	return total
}

func parseNumber(v any) int64 {
	n, _ := strconv.ParseInt(fmt.Sprint(v), 10, 64)
	return n
}

// balances reports whether every paid token is accounted for and the charges
// match what the callers were told.
func (f *fleet) balances(paid, charged int64) bool {
	b := f.books()
	return b.MintedTokens == paid && b.ChargedTokens == charged &&
		b.UnspentTokens+b.LeasedTokens+b.ChargedTokens+b.FrozenTokens+b.GivenTokens-b.ReceivedTokens == paid
}

// budget returns a client of a keeper, authenticated as a member of the
// deployment.
func (f *fleet) budget(t *testing.T, keeper string) messenger.BudgetKeeperClient {
	p, err := f.Settings().Process(loader.KindKeeper, keeper)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := messenger.NewDialer("test", messenger.RoleMember, f.Settings().DeploymentKey()).Dial(p.RPC())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return messenger.NewBudgetKeeperClient(c)
}

func (f *fleet) holdings(t *testing.T, router string) *messenger.HoldingsReply {
	p, err := f.Settings().Process(loader.KindRouter, router)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	c, err := messenger.NewDialer("test", messenger.RoleMember, f.Settings().DeploymentKey()).Dial(p.RPC())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	h, err := messenger.NewRouterPeerClient(c).Holdings(context.Background(), &messenger.HoldingsRequest{})
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return h
}
