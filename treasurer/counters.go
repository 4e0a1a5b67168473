package treasurer

import "expvar"

// counters are the package's metrics, for all treasurers of the process.
var counters = struct {
	active, leases, returns, recalls, refused, fenced *expvar.Int
	batches, charges, witnessed, inDoubt, notLeased   *expvar.Int
	noDisk, oneDisk, atRiskTokens, dropped            *expvar.Int
}{
	active:       expvar.NewInt("budget_active_workspaces"),
	leases:       expvar.NewInt("budget_lease_calls"),
	returns:      expvar.NewInt("budget_return_calls"),
	recalls:      expvar.NewInt("budget_recalls"),
	refused:      expvar.NewInt("budget_refusals"),
	fenced:       expvar.NewInt("budget_incarnations_fenced"),
	batches:      expvar.NewInt("charge_calls"),
	charges:      expvar.NewInt("charges_sent"),
	witnessed:    expvar.NewInt("charges_sent_to_witness"),
	inDoubt:      expvar.NewInt("charges_in_doubt"),
	notLeased:    expvar.NewInt("charges_not_leased"),
	noDisk:       expvar.NewInt("charges_on_no_disk"),
	oneDisk:      expvar.NewInt("charges_on_one_disk"),
	atRiskTokens: expvar.NewInt("charges_at_risk_tokens"),
	dropped:      expvar.NewInt("charges_forgotten_on_one_disk"),
}
