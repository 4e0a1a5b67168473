package commander

import (
	"cmp"
	"context"
	"slices"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("config", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "in-force", Short: "Show the version that each process serves, as the keepers know it", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error { return a.configInForce(c.Context()) },
	}
})

func (a *app) configInForce(ctx context.Context) error {
	out, err := queryKeeper(ctx, a, inForce)
	if err != nil {
		return err
	}
	a.warnUnreachable("keepers", out.UnreachableKeepers)
	slices.SortFunc(out.Nodes, func(x, y *messenger.InForceEntry) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Node, y.Node))
	})
	var rows [][]any
	for _, n := range out.Nodes {
		rows = append(rows, []any{n.Node, n.Zone, n.Version, showAge(n.AgeMs)})
	}
	return a.print(out, "NODE ZONE VERSION AGE", rows)
}

// inForce queries the version that each process serves, for queryKeeper.
func inForce(ctx context.Context, k *client) (*messenger.InForceReply, error) {
	return k.config().InForce(ctx, &messenger.InForceRequest{})
}
