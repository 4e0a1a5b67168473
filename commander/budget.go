package commander

import (
	"context"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(func(a *app) *cobra.Command {
	c := &cobra.Command{Use: "budget", Short: "Prepaid budgets of workspaces"}
	c.AddCommand(a.budgetTopUp(), a.budgetShow(), a.budgetHistory())
	return c
})

func (a *app) budgetTopUp() *cobra.Command {
	var id, zone string
	c := &cobra.Command{
		Use: "topup WORKSPACE TOKENS", Short: "Add prepaid tokens, once for each id", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil || n <= 0 {
				return merry.Errorf("%w: TOKENS: want a positive whole number, not %q", ErrUsage, args[1])
			}
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				id := topUpID(id, zone, k)
				r, err := k.budget().TopUp(ctx, &messenger.TopUpRequest{Workspace: args[0], TopUpId: id, Tokens: n})
				if err != nil {
					return merry.Errorf("top-up %s: %w", id, err)
				}
				return a.print(r, "TOP_UP\tMINTED\tREPEATED", [][]any{{id, r.MintedTokens, r.RepeatedRequest}})
			})
		},
	}
	c.Flags().StringVar(&id, "id", "", "identity ZONE/UNIQUE; resend under the same one after a lost answer")
	c.Flags().StringVar(&zone, "zone", "", "availability zone that mints, when no --id is given")
	return c
}

func topUpID(id, zone string, k *client) string {
	if id != "" {
		return id
	}
	if zone == "" {
		zone = k.settings.Zones()[0]
	}
	return zone + "/" + uuid.NewString()
}

func (a *app) budgetShow() *cobra.Command {
	return &cobra.Command{
		Use: "show WORKSPACE", Short: "Show the account of a workspace in every zone", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				r, err := k.budget().Books(ctx, &messenger.BookRequest{Workspace: args[0]})
				if err != nil {
					return err
				}
				return a.print(r, "ZONE\tMINTED\tUNSPENT\tLEASED\tCHARGED\tIN_TRANSFER\tFROZEN\tRECEIVED\tGIVEN", bookRows(r))
			})
		},
	}
}

func bookRows(r *messenger.BookReply) [][]any {
	var rows [][]any
	t := &messenger.Book{Zone: "total"}
	for _, b := range append(r.Books, t) {
		rows = append(rows, []any{b.Zone, b.MintedTokens, b.UnspentTokens, b.LeasedTokens, b.ChargedTokens, b.TransferOutTokens, b.FrozenTokens, b.ReceivedTokens, b.GivenTokens})
		if b == t {
			break
		}
		t.MintedTokens += b.MintedTokens
		t.UnspentTokens += b.UnspentTokens
		t.LeasedTokens += b.LeasedTokens
		t.ChargedTokens += b.ChargedTokens
		t.TransferOutTokens += b.TransferOutTokens
		t.FrozenTokens += b.FrozenTokens
		t.ReceivedTokens += b.ReceivedTokens
		t.GivenTokens += b.GivenTokens
	}
	for _, z := range r.UnreachableZones {
		rows = append(rows, []any{z, "unreachable"})
	}
	return rows
}

func (a *app) budgetHistory() *cobra.Command {
	return &cobra.Command{
		Use: "history WORKSPACE", Short: "List the charges of a workspace", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				r, err := k.budget().Charges(ctx, &messenger.ChargesRequest{Workspace: args[0]})
				if err != nil {
					return err
				}
				var rows [][]any
				for _, x := range r.Charges {
					rows = append(rows, []any{x.RequestId, x.Tokens, x.Service, x.Endpoint, x.Zone})
				}
				return a.print(r, "REQUEST\tTOKENS\tSERVICE\tENDPOINT\tZONE", rows)
			})
		},
	}
}
