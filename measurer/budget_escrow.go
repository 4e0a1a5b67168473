package measurer

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/placer"
)

// escrow is the product's cores as one fleet: vaults, slices, accounts,
// outboxes and a placer, with small fakes around them.
type escrow struct {
	clock  *virtualClock
	placer placer.Placer
	zones  [budgetZones]*keeperFake
	cut    [budgetZones][budgetZones]bool
	index  map[string]int
	// Unbilled counts charges that a keeper refused.
	unbilled int
	moved    int
	traffic  trafficBytes
}

// trafficBytes counts the bytes of messages, without the transport's frames.
type trafficBytes struct{ leases, charges int64 }

func (t *trafficBytes) control(m proto.Message) { t.leases += int64(proto.Size(m)) }
func (t *trafficBytes) charge(m proto.Message)  { t.charges += int64(proto.Size(m)) }

func newEscrow(c *virtualClock, placement string) *escrow {
	f := &escrow{clock: c, index: map[string]int{}}
	f.placer, _ = placer.New(placement)
	for w := range budgetWorkspaces {
		f.index[workspaceName(w)] = w
	}
	for z := range f.zones {
		f.zones[z] = newKeeperFake(f, z)
		for n := range f.zones[z].routers {
			f.zones[z].routers[n] = newRouterFake(f.zones[z], n)
		}
	}
	c.every(placeEvery, func() bool {
		f.placeAll()
		return true
	})
	return f
}

func (f *escrow) placeAll() {
	for _, k := range f.zones {
		if !k.down {
			k.resend()
			k.tellOthers()
		}
	}
	for _, k := range f.zones {
		if !k.down {
			k.place()
		}
	}
}

func (f *escrow) connected(a, b int) bool { return !f.cut[a][b] }

func (f *escrow) topUp(zone, workspace int, n rattanhoist.Tokens, id string) {
	k := f.zones[zone]
	if k.down {
		f.clock.after(retryTopUp, func() { f.topUp(zone, workspace, n, id) })
		return
	}
	_, err := k.step(budgeter.Mint{Request: &messenger.TopUpRequest{
		Workspace: workspaceName(workspace), TopUpId: budgetZoneName(zone) + "/" + id, Tokens: int64(n),
	}})
	if err != nil {
		panic(fmt.Sprintf("top-up refused: %v", err))
	}
}

func (f *escrow) router(c *running) *routerFake { return f.zones[c.zone].routers[c.router] }

func (f *escrow) reserve(c *running, decided func(bool)) { f.router(c).reserve(c, decided) }

func (f *escrow) settle(c *running) { f.router(c).settle(c) }

// drop does nothing: what a dead router holds comes back when it is fenced.
func (f *escrow) drop(*running) {}

func (f *escrow) reachable(a, b int, yes bool) { f.cut[a][b], f.cut[b][a] = !yes, !yes }

func (f *escrow) kill(zone, router int) { f.zones[zone].routers[router].alive = false }

func (f *escrow) restart(zone, router int) { f.zones[zone].routers[router].start() }

// books returns the sums over the zones for a workspace.
func (f *escrow) books(workspace int) *messenger.Book {
	t := &messenger.Book{}
	for _, k := range f.zones {
		b := k.vault.Book(workspaceName(workspace))
		t.MintedTokens += b.MintedTokens
		t.UnspentTokens += b.UnspentTokens
		t.LeasedTokens += b.LeasedTokens
		t.ChargedTokens += b.ChargedTokens
		t.TransferOutTokens += b.TransferOutTokens
		t.FrozenTokens += b.FrozenTokens
	}
	return t
}

func (f *escrow) overspent() rattanhoist.Tokens {
	var n rattanhoist.Tokens
	for w := range budgetWorkspaces {
		b := f.books(w)
		n += rattanhoist.Tokens(max(b.ChargedTokens-b.MintedTokens, 0))
	}
	return n
}
