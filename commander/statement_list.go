package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("statement", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the statements", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			var rows [][]any
			for _, s := range now.Statements {
				rows = append(rows, []any{s.Name, orAll(s.Workspaces), orAll(s.Services), orAll(s.Endpoints)})
			}
			return a.print(&messenger.Configuration{Version: now.Version, Statements: now.Statements}, "NAME WORKSPACES SERVICES ENDPOINTS", rows)
		},
	}
})

func orAll(selector string) string {
	if selector == "" {
		return "(all)"
	}
	return selector
}
