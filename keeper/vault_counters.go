package keeper

import (
	"context"
	"expvar"
	"time"

	"rattanhoist.example/rattanhoist/budgeter"
)

// gaugeEvery is the pause between updates of the gauges.
const gaugeEvery = time.Second

var (
	vaultVars       = expvar.NewMap("budget_vault")
	countCommits    = vaultInt("commits")
	countEvents     = vaultInt("events")
	countRows       = vaultInt("rows")
	countMirrored   = vaultInt("mirrored_bytes")
	countAtRisk     = vaultInt("commits_on_one_disk")
	countRefused    = vaultInt("not_durable_now")
	countDuplicates = vaultInt("reversed_duplicates")
	gaugeMinted     = vaultInt("minted_tokens")
	gaugeUnspent    = vaultInt("unspent_tokens")
	gaugeLeased     = vaultInt("leased_tokens")
	gaugeCharged    = vaultInt("charged_tokens")
	gaugeFrozen     = vaultInt("frozen_tokens")
	gaugeWithheld   = vaultInt("withheld_tokens")
	gaugeUnproved   = vaultInt("unproved")
	gaugeTransfers  = vaultInt("transfers_under_way")
	gaugeFencing    = vaultInt("routers_being_fenced")
	gaugeWitnessed  = vaultInt("charges_witnessed")
	gaugeOldest     = vaultInt("oldest_charge_ms")
	gaugePruned     = vaultInt("charges_pruned")
	gaugeForgotten  = vaultInt("claims_pruned")
	textMode        = new(expvar.String)
)

func init() { vaultVars.Set("mode", textMode) }

func vaultInt(name string) *expvar.Int {
	v := new(expvar.Int)
	vaultVars.Set(name, v)
	return v
}

// gauges updates the sums over all workspaces.
func (s *budgetServer) gauges(ctx context.Context) {
	for ctx.Err() == nil {
		_ = s.loop.read(ctx, setGauges)
		pause(ctx, gaugeEvery)
	}
}

func setGauges(v *budgeter.Vault) {
	t := v.Totals()
	charges, claims := v.Pruned()
	for _, x := range []struct {
		gauge *expvar.Int
		value int64
	}{
		{gaugeMinted, t.MintedTokens},
		{gaugeUnspent, t.UnspentTokens},
		{gaugeLeased, t.LeasedTokens},
		{gaugeCharged, t.ChargedTokens},
		{gaugeFrozen, t.FrozenTokens},
		{gaugeWithheld, t.WithheldTokens},
		{gaugeTransfers, int64(len(v.Pending()))},
		{gaugeFencing, int64(len(v.Fencing()))},
		{gaugeWitnessed, int64(v.WitnessedCount())},
		{gaugeUnproved, unproved(v)},
		{gaugeOldest, v.OldestChargeMs()},
		{gaugePruned, charges},
		{gaugeForgotten, claims},
	} {
		x.gauge.Set(x.value)
	}
}

func unproved(v *budgeter.Vault) int64 {
	if v.Unproved() {
		return 1
	}
	return 0
}
