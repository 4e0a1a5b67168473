package measurer

import (
	"context"
	"fmt"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Budgets is the name of the experiment on overspend and false refusals.
var Budgets = Register(Experiment{
	Name: "budgets", Short: "overspend and false refusals under faults, beside two baselines",
	Run: runBudgets,
})

const budgetSeed = 20260101

// fault is something that happens to the deployment at a time.
type fault struct {
	at time.Duration
	do func(*budgetRun)
}

// budgetCase is one case of faults.
type budgetCase struct {
	name   string
	faults []fault
	// Baselines reports whether the baselines know the fault.
	baselines bool
}

// hotZone is where most of the busiest workspace's traffic is.
const hotZone = 1

// budgetCases returns the cases of the experiment; extra is what a top-up on
// the cut side brings.
func budgetCases(extra rattanhoist.Tokens) []budgetCase {
	cutAt, healAt := 15*time.Minute, 75*time.Minute
	cut := fault{cutAt, func(r *budgetRun) { r.cut(hotZone, true) }}
	heal := fault{healAt, func(r *budgetRun) { r.cut(hotZone, false) }}
	topUp := fault{30 * time.Minute, func(r *budgetRun) { r.topUp(hotZone, 0, extra, "second") }}
	return []budgetCase{
		{name: "steady", baselines: true},
		{name: "zone cut for an hour", baselines: true, faults: []fault{cut, heal}},
		{name: "cut and top-up on the cut side", baselines: true, faults: []fault{cut, topUp, heal}},
		{name: "router killed with open streams", baselines: true, faults: []fault{
			{20 * time.Minute, func(r *budgetRun) { r.kill(hotZone, 0) }},
			{20*time.Minute + 10*time.Second, func(r *budgetRun) { r.restart(hotZone, 0) }},
		}},
		{name: "keeper's disk lost", faults: []fault{
			{20 * time.Minute, func(r *budgetRun) { r.ledger.loseDisk(hotZone) }},
			{20*time.Minute + 10*time.Second, func(r *budgetRun) { r.ledger.repair(hotZone) }},
		}},
		{name: "second VM lost right after the repair", faults: []fault{
			{20 * time.Minute, func(r *budgetRun) { r.ledger.loseDisk(hotZone) }},
			{20*time.Minute + 10*time.Second, func(r *budgetRun) { r.ledger.repair(hotZone) }},
			{20*time.Minute + 11*time.Second, func(r *budgetRun) {
				r.ledger.loseDisk(hotZone + 1)
				r.kill(hotZone+1, 0)
			}},
			{20*time.Minute + 21*time.Second, func(r *budgetRun) {
				r.ledger.repair(hotZone + 1)
				r.restart(hotZone+1, 0)
			}},
		}},
	}
}

func runBudgets(ctx context.Context, r *Report) error {
	calls := traffic(budgetSeed, trafficTime)
	for _, c := range budgetCases(paid(calls)[0] / 10) {
		for _, l := range budgetLedgers(c) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			clock := newVirtualClock()
			run := newBudgetRun(clock, l.make(clock))
			run.play(calls, c.faults)
			run.report(r, c.name+", "+l.name)
		}
	}
	budgetSlopes(r)
	return nil
}

type namedLedger struct {
	name string
	make func(*virtualClock) ledger
}

func budgetLedgers(c budgetCase) []namedLedger {
	var out []namedLedger
	for _, name := range []string{"demand", "false_refusals", "overspend"} {
		out = append(out, namedLedger{name, func(k *virtualClock) ledger { return newEscrow(k, name) }})
	}
	if c.baselines {
		out = append(out,
			namedLedger{"one ledger", func(k *virtualClock) ledger { return newSingleLedger(k, 0) }},
			namedLedger{"equal split", func(k *virtualClock) ledger { return newFixedSplit(k) }})
	}
	return out
}

// report adds the figures of one run.
func (r *budgetRun) report(to *Report, name string) {
	per := 1000 / float64(r.tally.requests)
	to.Figure(name, "overspent", float64(r.ledger.overspent()), "tokens")
	to.Figure(name, "false_refusals", float64(r.tally.falseRefusals)*per, "per 1000 requests")
	to.Figure(name, "false_refusals_during_fault", float64(r.tally.faulty)*per, "per 1000 requests")
	to.Figure(name, "refused_before_all_was_charged", float64(r.tally.uncharged)*per, "per 1000 requests")
	to.Figure(name, "true_refusals", float64(r.tally.trueRefusals)*per, "per 1000 requests")
	if f, ok := r.ledger.(*escrow); ok {
		to.Figure(name, "tokens_missing_at_the_end", float64(f.missing(&r.book)), "tokens")
		to.Figure(name, "charges_refused", float64(f.unbilled), "charges")
	}
}

// missing is what the vaults' books and the flat book differ by, summed over
// the workspaces: 0 when every token came back or was billed once.
func (f *escrow) missing(book *flatBook) rattanhoist.Tokens {
	var n rattanhoist.Tokens
	for w := range budgetWorkspaces {
		b := f.books(w)
		total := b.UnspentTokens + b.LeasedTokens + b.ChargedTokens + b.TransferOutTokens + b.FrozenTokens
		n += abs(book.minted[w]-rattanhoist.Tokens(total)) + abs(book.charged[w]-rattanhoist.Tokens(b.ChargedTokens))
	}
	return n
}

func abs(n rattanhoist.Tokens) rattanhoist.Tokens { return max(n, -n) }

var _ = fmt.Sprint
