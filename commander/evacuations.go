package commander

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

// fleetCallTimeout bounds the query of a keeper of a fleet.
const fleetCallTimeout = 3 * time.Second

var _ = register(root, func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "evacuations KEEPER", Short: "Show the evacuated zones of a fleet on a platform, as a keeper holds them", Args: exactArgs("KEEPER"),
		Long: `Show the evacuated zones of a fleet on a platform, as a keeper holds them.

KEEPER is its internal address, IP:PORT. A keeper that lags shows what it has;
the revision counts the changes.`,
		RunE: func(c *cobra.Command, args []string) error { return a.evacuations(c.Context(), args[0]) },
	}
})

func (a *app) evacuations(ctx context.Context, keeper string) error {
	l := messenger.NewLink(keeper)
	defer l.Close()
	var r *messenger.FleetDocumentReply
	err := l.Call(ctx, fleetCallTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		r, err = c.Fetch(ctx, &messenger.FleetDocumentRequest{})
		return err
	})
	if err != nil {
		return err
	}
	out := r.Evacuations
	if out == nil {
		out = &messenger.Evacuations{}
	}
	var rows [][]any
	for _, zone := range out.Zones {
		rows = append(rows, []any{zone, "evacuated", out.Revision})
	}
	for _, z := range out.Returned {
		rows = append(rows, []any{z.Zone, "returned " + (time.Duration(z.AgeMs) * time.Millisecond).Round(time.Second).String() + " ago", out.Revision})
	}
	return a.print(out, "ZONE STATE REVISION", rows)
}
