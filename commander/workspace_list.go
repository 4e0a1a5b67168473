package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("workspace", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the workspaces", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			var rows [][]any
			for _, w := range now.Workspaces {
				rows = append(rows, []any{w.Name, len(w.KeyHashes), showLabels(w.Labels)})
			}
			return a.print(&messenger.Configuration{Version: now.Version, Workspaces: now.Workspaces}, "NAME KEYS LABELS", rows)
		},
	}
})
