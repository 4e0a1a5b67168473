package keeper

import (
	"context"
	"math"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/placer"
)

const (
	// placementInterval is the pause between exchanges of shares.
	placementInterval = time.Second
	// maxExchangeWorkspaces bounds the workspaces in one exchange. If more
	// are active, they take turns.
	maxExchangeWorkspaces = 500
)

// placement moves rights between zones before they are needed.
type placement struct {
	server *budgetServer
	placer placer.Placer
	// next is the index among the active workspaces where the last round
	// stopped.
	next int
	// incarnations maps zones to the vault incarnation that they last
	// reported.
	incarnations map[string]uint64
}

// runPlacement periodically exchanges shares with the other zones and
// transfers the rights that the placer plans to move.
func (s *budgetServer) runPlacement(ctx context.Context) {
	p, _ := placer.New(s.keeper.settings.Policy().Placement())
	l := &placement{server: s, placer: p, incarnations: map[string]uint64{}}
	for ctx.Err() == nil {
		l.round(ctx)
		sleep(ctx, placementInterval)
	}
}

func (l *placement) round(ctx context.Context) {
	names := l.nextWorkspaces(l.server.shares.sampleActive(time.Now()))
	if len(names) == 0 || l.server.loop.currentMode() != budgeter.ModePaired {
		return
	}
	l.exchange(ctx, names)
	for _, name := range names {
		l.plan(ctx, name)
	}
}

// nextWorkspaces returns the workspaces of this round.
func (l *placement) nextWorkspaces(names []string) []string {
	if len(names) <= maxExchangeWorkspaces {
		return names
	}
	var out []string
	for range maxExchangeWorkspaces {
		l.next = (l.next + 1) % len(names)
		out = append(out, names[l.next])
	}
	return out
}

// exchange sends this zone's shares to the other zones and records theirs.
func (l *placement) exchange(ctx context.Context, names []string) {
	own, err := l.server.ownShares(ctx, names)
	if err != nil {
		return
	}
	r := &messenger.ExchangeRequest{Zone: l.server.keeper.self.Zone(), Shares: own}
	peers := l.server.keeper.peers.keepers
	replies := make([]*messenger.ExchangeReply, len(peers))
	index := map[string]int{}
	for i, p := range peers {
		index[p.process.Name()] = i
	}
	callAll(ctx, peers, func(ctx context.Context, p peer) error {
		out, err := p.budget().Exchange(ctx, r)
		replies[index[p.process.Name()]] = out
		return err
	})
	now := time.Now()
	for i, out := range replies {
		if out == nil {
			continue
		}
		zone := peers[i].process.Zone()
		l.incarnations[zone] = out.VaultIncarnation
		for _, x := range out.Shares {
			l.server.shares.recordShare(zone, x, now)
		}
	}
}

// ownShares returns this zone's unspent rights and demand for each workspace.
func (s *budgetServer) ownShares(ctx context.Context, names []string) ([]*messenger.Share, error) {
	out := make([]*messenger.Share, 0, len(names))
	err := s.loop.read(ctx, func(v *budgeter.Vault) {
		for _, name := range names {
			out = append(out, &messenger.Share{Workspace: name, UnspentTokens: v.Unspent(name)})
		}
	})
	if err != nil {
		// The loop may still be writing to out after a failed read.
		return nil, err
	}
	for _, x := range out {
		x.DemandTokensPerSecond = int64(math.Ceil(s.shares.ownDemand(x.Workspace)))
	}
	return out, nil
}

// plan runs the placer for one workspace and transfers what it decides.
func (l *placement) plan(ctx context.Context, workspace string) {
	now := time.Now()
	zone := l.server.keeper.self.Zone()
	view := placer.View{
		Zone:   zone,
		Demand: map[string]float64{zone: l.server.shares.ownDemand(workspace)},
		Shares: map[string]rattanhoist.Tokens{}, Age: map[string]time.Duration{},
	}
	for z, x := range l.server.shares.otherZones(workspace) {
		view.Demand[z] = x.demand
		view.Shares[z] = rattanhoist.Tokens(x.unspent)
		view.Age[z] = now.Sub(x.heardAt)
	}
	err := l.server.loop.read(ctx, func(v *budgeter.Vault) {
		view.Unspent = rattanhoist.Tokens(v.Unspent(workspace))
		for z, n := range v.InFlight(workspace) {
			view.Shares[z] += n
		}
	})
	if err != nil {
		return
	}
	for _, m := range l.placer.Plan(view) {
		l.transfer(ctx, workspace, m)
	}
}

// transfer moves rights of a workspace to another zone.
func (l *placement) transfer(ctx context.Context, workspace string, m placer.Move) {
	p, ok := l.server.keeper.peers.keeperOfZone(m.Zone)
	if !ok {
		return
	}
	out, err := grpcReply[*messenger.AskReply](l.server.loop.handle(ctx, budgeter.RequestTransfer{Request: &messenger.AskRequest{
		Workspace: workspace, Zone: m.Zone, WantTokens: int64(m.Tokens), VaultIncarnation: l.incarnations[m.Zone],
	}}))
	if err == nil && out.Transfer != nil {
		l.server.sendTransfers(ctx, p, &messenger.GiveRequest{Transfers: []*messenger.Transfer{out.Transfer}})
	}
}
