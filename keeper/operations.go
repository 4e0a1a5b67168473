package keeper

import (
	"context"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// operationsServer implements the calls that operators make.
type operationsServer struct {
	messenger.UnimplementedOperationsServer
	keeper *Keeper
}

// State describes the keeper and the totals of its zone's accounts.
func (s *operationsServer) State(ctx context.Context, _ *messenger.StateRequest) (*messenger.StateReply, error) {
	k := s.keeper
	c, err := k.config.Read(ctx, &messenger.ReadRequest{})
	if err != nil {
		return nil, err
	}
	out := &messenger.StateReply{
		Name: k.self.Name(), Kind: k.self.Kind(), Zone: k.self.Zone(), Life: "ready",
		ConfigurationVersion: c.Configuration.Version, ConfigurationAgeMs: c.AgeMs, LeaderName: c.LeaderName,
	}
	err = k.budget.loop.read(ctx, func(v *budgeter.Vault) { sumBooks(out, v, c.Configuration.Workspaces) })
	return out, err
}

func sumBooks(out *messenger.StateReply, v *budgeter.Vault, workspaces []*messenger.Workspace) {
	for _, w := range workspaces {
		b := v.Book(w.Name)
		out.MintedTokens += b.MintedTokens
		out.UnspentTokens += b.UnspentTokens
		out.LeasedTokens += b.LeasedTokens
		out.ChargedTokens += b.ChargedTokens
		out.FrozenTokens += b.FrozenTokens
		out.AtRiskTokens += b.LeasedTokens + b.FrozenTokens + b.TransferOutTokens
	}
}
