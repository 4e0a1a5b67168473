package commander

import (
	"cmp"
	"context"
	"slices"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("budget", func(a *app) *cobra.Command {
	r := &messenger.ChargesRequest{}
	c := &cobra.Command{
		Use: "history WORKSPACE", Short: "List the charges of a workspace, in order of time", Args: wantArgs("WORKSPACE"),
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
	out, err := askKeeper(ctx, a, func(ctx context.Context, k *client) (*messenger.ChargesReply, error) {
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
	var rows [][]any
	for _, x := range out.Charges {
		rows = append(rows, []any{showTime(x.ChargedAtMs), x.RequestId, x.Tokens, x.Service, x.Endpoint, x.Zone})
	}
	return a.print(out, "TIME REQUEST TOKENS SERVICE ENDPOINT ZONE", rows)
}
