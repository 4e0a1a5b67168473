package measurer

import "rattanhoist.example/rattanhoist"

// runGroup is one case against one ledger, at some seeds.
type runGroup struct {
	name string
	runs []*budgetRun
}

func (g *runGroup) report(r *Report) {
	g.figure(r, "overspent", "tokens", func(b *budgetRun) float64 { return float64(b.ledger.overspent()) })
	g.perThousand(r, "false_refusals", func(t *tally) int { return t.falseRefusals })
	g.perThousand(r, "false_refusals_during_fault", func(t *tally) int { return t.faulty })
	g.perThousand(r, "refused_before_all_was_charged", func(t *tally) int { return t.uncharged })
	g.perThousand(r, "true_refusals", func(t *tally) int { return t.trueRefusals })
	if g.runs[0].tally.killed > 0 {
		g.figure(r, "streams_killed", "streams", func(b *budgetRun) float64 { return float64(b.tally.killed) })
	}
	if _, ours := g.runs[0].ledger.(*escrow); !ours {
		return
	}
	g.figure(r, "tokens_missing_at_the_end", "tokens", func(b *budgetRun) float64 {
		return float64(b.ledger.(*escrow).missing(&b.book))
	})
	g.figure(r, "charges_refused", "charges", func(b *budgetRun) float64 { return float64(b.ledger.(*escrow).unbilled) })
	g.figure(r, "moves_between_zones", "moves", func(b *budgetRun) float64 { return float64(b.ledger.(*escrow).moved) })
}

func (g *runGroup) perThousand(r *Report, metric string, of func(*tally) int) {
	g.figure(r, metric, "per 1000 requests", func(b *budgetRun) float64 {
		return 1000 * float64(of(&b.tally)) / float64(b.tally.requests)
	})
}

// figure adds the mean over the seeds and, where there are several, the worst.
func (g *runGroup) figure(r *Report, metric, unit string, of func(*budgetRun) float64) {
	var sum, worst float64
	for _, b := range g.runs {
		sum += of(b)
		worst = max(worst, of(b))
	}
	r.Figure(g.name, metric, sum/float64(len(g.runs)), unit)
	if len(g.runs) > 1 {
		r.Figure(g.name, "worst_seed_"+metric, worst, unit)
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
