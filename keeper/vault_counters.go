package keeper

import (
	"context"
	"expvar"
	"time"

	"rattanhoist.example/rattanhoist/budgeter"
)

// gaugeInterval is the pause between updates of the gauges.
const gaugeInterval = time.Second

var (
	vaultVars          = expvar.NewMap("budget_vault")
	countCommits       = newVaultInt("commits")
	countEvents        = newVaultInt("events")
	countRows          = newVaultInt("rows")
	countMirrored      = newVaultInt("mirrored_bytes")
	countAtRisk        = newVaultInt("commits_on_one_disk")
	countRefused       = newVaultInt("not_durable_now")
	countDuplicates    = newVaultInt("reversed_duplicates")
	gaugeMinted        = newVaultInt("minted_tokens")
	gaugeUnspent       = newVaultInt("unspent_tokens")
	gaugeLeased        = newVaultInt("leased_tokens")
	gaugeCharged       = newVaultInt("charged_tokens")
	gaugeFrozen        = newVaultInt("frozen_tokens")
	gaugeWithheld      = newVaultInt("withheld_tokens")
	gaugeUnproved      = newVaultInt("unproved")
	gaugeTransfers     = newVaultInt("transfers_under_way")
	gaugeFencing       = newVaultInt("routers_being_fenced")
	gaugeWitnessed     = newVaultInt("charges_witnessed")
	gaugeOldestCharge  = newVaultInt("oldest_charge_ms")
	gaugePrunedCharges = newVaultInt("charges_pruned")
	gaugePrunedClaims  = newVaultInt("claims_pruned")
	modeVar            = new(expvar.String)
)

func init() { vaultVars.Set("mode", modeVar) }

func newVaultInt(name string) *expvar.Int {
	v := new(expvar.Int)
	vaultVars.Set(name, v)
	return v
}

// updateGauges periodically sets the gauges to the totals over all
// workspaces.
func (s *budgetServer) updateGauges(ctx context.Context) {
	for ctx.Err() == nil {
		_ = s.loop.read(ctx, setTotals)
		sleep(ctx, gaugeInterval)
	}
}

func setTotals(v *budgeter.Vault) {
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
		{gaugeTransfers, int64(len(v.PendingTransfers()))},
		{gaugeFencing, int64(len(v.UnreleasedRouters()))},
		{gaugeWitnessed, int64(v.WitnessedCount())},
		{gaugeUnproved, unprovedGauge(v)},
		{gaugeOldestCharge, v.OldestChargeMs()},
		{gaugePrunedCharges, charges},
		{gaugePrunedClaims, claims},
	} {
		x.gauge.Set(x.value)
	}
}

func unprovedGauge(v *budgeter.Vault) int64 {
	if v.RestoreUnverified() {
		return 1
	}
	return 0
}
