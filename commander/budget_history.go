package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("budget", func(a *app) *cobra.Command {
	r := &messenger.ChargesRequest{}
	c := &cobra.Command{
		Use: "history WORKSPACE", Short: "List the charges of a workspace, in order of time", Args: exactArgs("WORKSPACE"),
		Long: `List the charges of a workspace, in order of time.

Single charges are kept for the setting keep_charges at least. Of older days one
row for each zone says how many there were and what they cost together, so that
the tokens still add up to what "budget show" calls charged.`,
		RunE: func(c *cobra.Command, args []string) error {
			r.Workspace = args[0]
			return a.budgetHistory(c.Context(), r)
		},
	}
	c.Flags().StringVar(&r.RequestId, "request", "", "only the charge of this request id")
	c.Flags().Uint32Var(&r.Most, "most", 0, "at most this many, the latest; 0 for all")
	return c
})

func (a *app) budgetHistory(ctx context.Context, r *messenger.ChargesRequest) error {
	out, err := queryKeeper(ctx, a, func(ctx context.Context, k *client) (*messenger.ChargesReply, error) {
		return k.budget().Charges(ctx, r)
	})
	if err != nil {
		return err
	}
	a.warnUnreachable("zones", out.UnreachableZones)
	slices.SortFunc(out.Charges, func(x, y *messenger.Charge) int {
		return cmp.Or(cmp.Compare(x.ChargedAtMs, y.ChargedAtMs), cmp.Compare(x.RequestId, y.RequestId))
	})
	if n := int(r.Most); n > 0 && len(out.Charges) > n {
		out.Charges = out.Charges[len(out.Charges)-n:]
	}
	rows := a.prunedRows(r, out.Pruned)
	for _, x := range out.Charges {
		rows = append(rows, []any{showTime(x.ChargedAtMs), x.RequestId, x.Tokens, x.Service, x.Endpoint, x.Zone})
	}
	return a.print(out, "TIME REQUEST TOKENS SERVICE ENDPOINT ZONE", rows)
}

// prunedRows returns rows with daily sums of the charges that were pruned. For a list that is limited
// to some charges it prints a warning instead, because the sums include others.
func (a *app) prunedRows(r *messenger.ChargesRequest, pruned []*messenger.PrunedRow) [][]any {
	slices.SortFunc(pruned, func(x, y *messenger.PrunedRow) int {
		return cmp.Or(cmp.Compare(x.Day, y.Day), cmp.Compare(x.Zone, y.Zone))
	})
	if r.Most > 0 || r.RequestId != "" {
		if n := len(pruned); n > 0 {
			a.warn("single charges of %s and before may no longer be kept", pruned[n-1].Day)
		}
		return nil
	}
	var rows [][]any
	for _, x := range pruned {
		rows = append(rows, []any{x.Day, fmt.Sprintf("(%d charges, no longer kept singly)", x.Count), x.Tokens, "", "", x.Zone})
	}
	return rows
}
