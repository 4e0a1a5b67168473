package commander

import (
	"context"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(func(a *app) *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "The configuration and where it is in force"}
	c.AddCommand(a.configShow(), a.configInForce())
	return c
})

func (a *app) configShow() *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Show the configuration", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				r, err := k.config().Read(ctx, &messenger.ReadRequest{})
				if err != nil {
					return err
				}
				return a.print(r, "KIND\tNAME", objectRows(r.Configuration))
			})
		},
	}
}

func objectRows(c *messenger.Configuration) [][]any {
	rows := [][]any{{"version", c.Version}}
	for _, w := range c.Workspaces {
		rows = append(rows, []any{"workspace", w.Name})
	}
	for _, s := range c.Services {
		rows = append(rows, []any{"service", s.Name})
	}
	for _, s := range c.Statements {
		rows = append(rows, []any{"statement", s.Name})
	}
	return rows
}

func (a *app) configInForce() *cobra.Command {
	return &cobra.Command{
		Use: "in-force", Short: "Show the version that each router serves", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				r, err := k.config().InForce(ctx, &messenger.InForceRequest{})
				if err != nil {
					return err
				}
				var rows [][]any
				for _, n := range r.Nodes {
					rows = append(rows, []any{n.Node, n.Zone, n.Version})
				}
				return a.print(r, "NODE\tZONE\tVERSION", rows)
			})
		},
	}
}
