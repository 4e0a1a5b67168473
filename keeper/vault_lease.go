package keeper

import (
	"context"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// Lease grants rights to a router. If the zone holds too few, it first
// recalls unreserved rights from the zone's other routers and requests rights
// from the other zones. The reply can then distinguish a spent budget from
// rights that are out of reach.
func (s *budgetServer) Lease(ctx context.Context, r *messenger.LeaseRequest) (*messenger.LeaseReply, error) {
	s.shares.recordDemand(r.Workspace, r.Router, float64(r.DemandTokensPerSecond), time.Now())
	g := &rightsCollector{server: s, workspace: r.Workspace, want: r.WantTokens, held: map[string]int64{}}
	if s.loop.currentMode() != budgeter.ModeStarting && g.shortfall(ctx) > 0 {
		g.recallFromRouters(ctx, r.Router)
		g.requestFromZones(ctx)
	}
	out, err := grpcReply[*messenger.LeaseReply](s.loop.handle(ctx, budgeter.Lease{Request: r}))
	if err != nil {
		return nil, err
	}
	for _, n := range g.held {
		out.HeldTokens += n
	}
	out.UnreachableZones, out.ElsewhereTokens = g.unreachable, s.shares.unspentElsewhere(r.Workspace)
	return out, nil
}

// rightsCollector brings rights of one workspace to this zone.
type rightsCollector struct {
	server      *budgetServer
	workspace   string
	want        int64
	unreachable []string
	// held maps each zone that answered to the rights that it can't give at
	// present.
	held map[string]int64
}

// shortfall returns how many tokens the zone lacks; it is not positive if the
// zone has enough.
func (g *rightsCollector) shortfall(ctx context.Context) int64 {
	unspent, err := readVault(ctx, g.server.loop, func(v *budgeter.Vault) int64 { return v.Unspent(g.workspace) })
	if err != nil {
		return 0
	}
	return g.want - unspent
}

// recallFromRouters recalls unused rights from all routers with a lease,
// except the one that is asking.
func (g *rightsCollector) recallFromRouters(ctx context.Context, asking string) {
	n := g.shortfall(ctx)
	if n <= 0 {
		return
	}
	holders, _ := readVault(ctx, g.server.loop, func(v *budgeter.Vault) []string { return v.RoutersWithLeases(g.workspace) })
	var others []peer
	for _, p := range g.server.keeper.peers.routers {
		for _, name := range holders {
			if name == p.process.Name() && name != asking {
				others = append(others, p)
			}
		}
	}
	callAll(ctx, others, func(ctx context.Context, p peer) error {
		_, err := p.router().Recall(ctx, &messenger.RecallRequest{Workspace: g.workspace, WantTokens: n})
		return err
	})
}

// requestFromZones requests an equal part from every other zone, and then the
// rest from those that have more left: two rounds, and never more than is
// missing.
func (g *rightsCollector) requestFromZones(ctx context.Context) {
	n := g.shortfall(ctx)
	list := g.server.keeper.peers.keepers
	if n <= 0 || len(list) == 0 {
		return
	}
	part := (n + int64(len(list)) - 1) / int64(len(list))
	left := g.requestRound(ctx, list, func(peer) int64 { return part })
	for _, p := range list {
		if _, answered := left[p.process.Zone()]; !answered {
			g.unreachable = append(g.unreachable, p.process.Zone())
		}
	}
	n = g.shortfall(ctx)
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
		g.requestRound(ctx, richer, func(p peer) int64 { return parts[p.process.Zone()] })
	}
}

// requestRound sends requests to all peers concurrently and returns what each
// has left.
func (g *rightsCollector) requestRound(ctx context.Context, list []peer, want func(peer) int64) map[string]int64 {
	var mu sync.Mutex
	left := map[string]int64{}
	callAll(ctx, list, func(ctx context.Context, p peer) error {
		out, err := g.requestFrom(ctx, p, want(p))
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
		g.server.shares.setUnspent(g.workspace, zone, n, time.Now())
	}
	return left
}

// requestFrom requests rights from one zone and accepts the transfer.
func (g *rightsCollector) requestFrom(ctx context.Context, p peer, n int64) (*messenger.AskReply, error) {
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
	// The rights are available here even if the reply to Give is withheld as
	// not durable yet.
	_, _ = g.server.Give(ctx, &messenger.GiveRequest{Transfers: []*messenger.Transfer{out.Transfer}})
	return out, nil
}
