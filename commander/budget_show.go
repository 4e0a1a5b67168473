package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

// The books of the zones are not read at the same time: tokens that are transferred between two reads
// are missed or counted twice. A difference is reported only if it persists over several reads.
const (
	maxBalanceTries = 4
	balancePause    = 250 * time.Millisecond
)

var _ = register("budget", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "show WORKSPACE", Short: "Show the account of a workspace in every zone, and whether it balances", Args: exactArgs("WORKSPACE"),
		Long: `Show the account of a workspace in every zone, and whether it balances.

Over all zones: minted = unspent + leased + charged + frozen + given - received.
A zone that is out of reach is named, and nothing is said of the balance then.
Rights in transfer are part of given until the other zone has received them.`,
		RunE: func(c *cobra.Command, args []string) error { return a.budgetShow(c.Context(), args[0]) },
	}
})

// account is the account of a workspace in all zones.
type account struct {
	books       *messenger.BookReply
	total       *messenger.Book
	balanced    bool
	difference  int64
	unreachable []string
}

func (a *app) budgetShow(ctx context.Context, workspace string) error {
	acc, err := a.readAccount(ctx, workspace)
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printAccount(acc)
	}
	rows := [][]any{}
	for _, b := range append(acc.books.Books, acc.total) {
		rows = append(rows, []any{b.Zone, b.MintedTokens, b.UnspentTokens, b.LeasedTokens, b.ChargedTokens, b.TransferOutTokens, b.FrozenTokens, b.ReceivedTokens, b.GivenTokens})
	}
	if err := a.printTable("ZONE MINTED UNSPENT LEASED CHARGED IN_TRANSFER FROZEN RECEIVED GIVEN", rows); err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, acc.verdict())
	return err
}

// readAccount reads the books until they balance, at most maxBalanceTries times.
func (a *app) readAccount(ctx context.Context, workspace string) (*account, error) {
	for try := 1; ; try++ {
		r, err := queryKeeper(ctx, a, func(ctx context.Context, k *client) (*messenger.BookReply, error) {
			return k.budget().Books(ctx, &messenger.BookRequest{Workspace: workspace})
		})
		if err != nil {
			return nil, err
		}
		acc := newAccount(r)
		if acc.balanced || len(acc.unreachable) > 0 || try == maxBalanceTries {
			return acc, nil
		}
		select {
		case <-ctx.Done():
			return acc, nil
		case <-time.After(balancePause):
		}
	}
}

func newAccount(r *messenger.BookReply) *account {
	t := &messenger.Book{Zone: "total"}
	for _, b := range r.Books {
		t.Workspace = b.Workspace
		t.MintedTokens += b.MintedTokens
		t.UnspentTokens += b.UnspentTokens
		t.LeasedTokens += b.LeasedTokens
		t.ChargedTokens += b.ChargedTokens
		t.TransferOutTokens += b.TransferOutTokens
		t.FrozenTokens += b.FrozenTokens
		t.ReceivedTokens += b.ReceivedTokens
		t.GivenTokens += b.GivenTokens
	}
	accounted := t.UnspentTokens + t.LeasedTokens + t.ChargedTokens + t.FrozenTokens + t.GivenTokens - t.ReceivedTokens
	d := t.MintedTokens - accounted
	return &account{books: r, total: t, difference: d, balanced: d == 0 && len(r.UnreachableZones) == 0, unreachable: r.UnreachableZones}
}

func (acc *account) verdict() string {
	switch {
	case len(acc.unreachable) > 0:
		return "balance not known: out of reach: " + strings.Join(acc.unreachable, ", ")
	case acc.balanced:
		return "balanced"
	default:
		return fmt.Sprintf("NOT BALANCED: minted - accounted for = %d tokens", acc.difference)
	}
}

func (a *app) printAccount(acc *account) error {
	b, err := asJSON(acc.books)
	if err != nil {
		return err
	}
	out := map[string]json.RawMessage{}
	if err := json.Unmarshal(b, &out); err != nil {
		return err
	}
	if out["total"], err = asJSON(acc.total); err != nil {
		return err
	}
	out["balance"], err = asJSON(acc.verdict())
	if err != nil {
		return err
	}
	return a.printValue(out)
}
