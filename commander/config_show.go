package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("config", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "show", Short: "Show the configuration", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			return a.print(now, "KIND NAME", objectRows(now))
		},
	}
})

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
	for _, m := range c.Members {
		rows = append(rows, []any{"member", m.Name})
	}
	return rows
}
