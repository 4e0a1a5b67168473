package keeper

import (
	"context"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// Lease grants rights to a router. Where the zone holds too few, it recalls
// unreserved rights from the zone's other routers and asks the other zones
// first, so that a refusal tells what is spent from what is out of reach.
func (s *budgetServer) Lease(ctx context.Context, r *messenger.LeaseRequest) (*messenger.LeaseReply, error) {
	s.shares.demand(r.Workspace, r.Router, float64(r.DemandTokensPerSecond), time.Now())
	g := &gathering{server: s, workspace: r.Workspace, want: r.WantTokens, held: map[string]int64{}}
	if s.loop.currentMode() != budgeter.ModeStarting && g.missing(ctx) > 0 {
		g.recall(ctx, r.Router)
		g.askAll(ctx)
	}
	out, err := answer[*messenger.LeaseReply](s.loop.handle(ctx, budgeter.Lease{Request: r}))
	if err != nil {
		return nil, err
	}
	for _, n := range g.held {
		out.HeldTokens += n
	}
	out.UnreachableZones, out.ElsewhereTokens = g.silent, s.shares.elsewhere(r.Workspace)
	return out, nil
}

// gathering brings rights of one workspace to this zone.
type gathering struct {
	server    *budgetServer
	workspace string
	want      int64
	silent    []string
	// Held maps zones that answered to the rights that they can't give now.
	held map[string]int64
}

func (g *gathering) missing(ctx context.Context) int64 {
	unspent, err := readVault(ctx, g.server.loop, func(v *budgeter.Vault) int64 { return v.Unspent(g.workspace) })
	if err != nil {
		return 0
	}
	return g.want - unspent
}

// recall asks the other routers that have a lease.
func (g *gathering) recall(ctx context.Context, asking string) {
	n := g.missing(ctx)
	if n <= 0 {
		return
	}
	holders, _ := readVault(ctx, g.server.loop, func(v *budgeter.Vault) []string { return v.Lessees(g.workspace) })
	var others []peer
	for _, p := range g.server.keeper.peers.routers {
		for _, name := range holders {
			if name == p.process.Name() && name != asking {
				others = append(others, p)
			}
		}
	}
	each(ctx, others, func(ctx context.Context, p peer) error {
		_, err := p.router().Recall(ctx, &messenger.RecallRequest{Workspace: g.workspace, WantTokens: n})
		return err
	})
}

// askAll asks every other zone for an equal part, and then those that have
// more left for the rest: two rounds, and never more than is missing.
func (g *gathering) askAll(ctx context.Context) {
	n := g.missing(ctx)
	list := g.server.keeper.peers.list
	if n <= 0 || len(list) == 0 {
		return
	}
	part := (n + int64(len(list)) - 1) / int64(len(list))
	left := g.round(ctx, list, func(peer) int64 { return part })
	for _, p := range list {
		if _, answered := left[p.process.Zone()]; !answered {
			g.silent = append(g.silent, p.process.Zone())
		}
	}
	n = g.missing(ctx)
	var richer []peer
	parts := map[string]int64{}
	for _, p := range list {
		zone := p.process.Zone()
		if take := min(n, left[zone]); take > 0 {
			richer = append(richer, p)
			parts[zone] = take
			n -= take
		}
	}
	if len(richer) > 0 {
		g.round(ctx, richer, func(p peer) int64 { return parts[p.process.Zone()] })
	}
}

// round asks the peers at once and returns what each has left.
func (g *gathering) round(ctx context.Context, list []peer, want func(peer) int64) map[string]int64 {
	var mu sync.Mutex
	left := map[string]int64{}
	each(ctx, list, func(ctx context.Context, p peer) error {
		out, err := g.ask(ctx, p, want(p))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		left[p.process.Zone()] = out.LeftTokens
		g.held[p.process.Zone()] = out.HeldTokens
		return nil
	})
	for zone, n := range left {
		g.server.shares.left(g.workspace, zone, n, time.Now())
	}
	return left
}

func (g *gathering) ask(ctx context.Context, p peer, n int64) (*messenger.AskReply, error) {
	incarnation, err := readVault(ctx, g.server.loop, (*budgeter.Vault).Incarnation)
	if err != nil {
		return nil, err
	}
	out, err := p.budget().Ask(ctx, &messenger.AskRequest{
		Workspace: g.workspace, Zone: g.server.keeper.self.Zone(), WantTokens: n, VaultIncarnation: incarnation,
	})
	if err != nil || out.Transfer == nil {
		return out, err
	}
	// The rights count here even where the answer to Give may not leave yet.
	_, _ = g.server.Give(ctx, &messenger.GiveRequest{Transfers: []*messenger.Transfer{out.Transfer}})
	return out, nil
}
