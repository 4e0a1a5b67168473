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
	// placeEvery is the pause between exchanges of shares.
	placeEvery = time.Second
	// exchangeMost bounds the workspaces of one exchange; with more active
	// ones each gets its turn later.
	exchangeMost = 500
)

// placement moves rights ahead of need.
type placement struct {
	server *budgetServer
	placer placer.Placer
	// Next is where the next round goes on in the active workspaces.
	next int
	// Incarnations holds the other vaults' as last heard, by zone.
	incarnations map[string]uint64
}

// place exchanges shares with the other zones and gives what the placer plans.
func (s *budgetServer) place(ctx context.Context) {
	p, _ := placer.New(s.keeper.settings.Policy().Placement())
	l := &placement{server: s, placer: p, incarnations: map[string]uint64{}}
	for ctx.Err() == nil {
		l.round(ctx)
		pause(ctx, placeEvery)
	}
}

func (l *placement) round(ctx context.Context) {
	names := l.turn(l.server.shares.active(time.Now()))
	if len(names) == 0 || l.server.loop.currentMode() != budgeter.ModePaired {
		return
	}
	l.exchange(ctx, names)
	for _, name := range names {
		l.plan(ctx, name)
	}
}

// turn returns the workspaces of this round.
func (l *placement) turn(names []string) []string {
	if len(names) <= exchangeMost {
		return names
	}
	var out []string
	for range exchangeMost {
		l.next = (l.next + 1) % len(names)
		out = append(out, names[l.next])
	}
	return out
}

func (l *placement) exchange(ctx context.Context, names []string) {
	own, err := l.server.ownShares(ctx, names)
	if err != nil {
		return
	}
	r := &messenger.ExchangeRequest{Zone: l.server.keeper.self.Zone(), Shares: own}
	peers := l.server.keeper.peers.list
	replies := make([]*messenger.ExchangeReply, len(peers))
	index := map[string]int{}
	for i, p := range peers {
		index[p.process.Name()] = i
	}
	each(ctx, peers, func(ctx context.Context, p peer) error {
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
			l.server.shares.heard(zone, x, now)
		}
	}
}

// ownShares returns this zone's shares and demand.
func (s *budgetServer) ownShares(ctx context.Context, names []string) ([]*messenger.Share, error) {
	out := make([]*messenger.Share, 0, len(names))
	err := s.loop.read(ctx, func(v *budgeter.Vault) {
		for _, name := range names {
			out = append(out, &messenger.Share{Workspace: name, UnspentTokens: v.Unspent(name)})
		}
	})
	if err != nil {
		// The loop may still be at it: out is not ours to read.
		return nil, err
	}
	for _, x := range out {
		x.DemandTokensPerSecond = int64(math.Ceil(s.shares.ownDemand(x.Workspace)))
	}
	return out, nil
}

func (l *placement) plan(ctx context.Context, workspace string) {
	now := time.Now()
	zone := l.server.keeper.self.Zone()
	view := placer.View{
		Zone:   zone,
		Demand: map[string]float64{zone: l.server.shares.ownDemand(workspace)},
		Shares: map[string]rattanhoist.Tokens{}, Age: map[string]time.Duration{},
	}
	for z, x := range l.server.shares.others(workspace) {
		view.Demand[z] = x.demand
		view.Shares[z] = rattanhoist.Tokens(x.unspent)
		view.Age[z] = now.Sub(x.heard)
	}
	err := l.server.loop.read(ctx, func(v *budgeter.Vault) {
		view.Unspent = rattanhoist.Tokens(v.Unspent(workspace))
		for z, n := range v.UnderWay(workspace) {
			view.Shares[z] += n
		}
	})
	if err != nil {
		return
	}
	for _, m := range l.placer.Plan(view) {
		l.move(ctx, workspace, m)
	}
}

func (l *placement) move(ctx context.Context, workspace string, m placer.Move) {
	p, ok := l.server.keeper.peers.zone(m.Zone)
	if !ok {
		return
	}
	out, err := answer[*messenger.AskReply](l.server.loop.handle(ctx, budgeter.Ask{Request: &messenger.AskRequest{
		Workspace: workspace, Zone: m.Zone, WantTokens: int64(m.Tokens), VaultIncarnation: l.incarnations[m.Zone],
	}}))
	if err == nil && out.Transfer != nil {
		l.server.give(ctx, p, &messenger.GiveRequest{Transfers: []*messenger.Transfer{out.Transfer}})
	}
}
