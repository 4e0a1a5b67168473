package commander

import (
	"strings"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("service", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the services", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			var rows [][]any
			for _, s := range now.Services {
				rows = append(rows, []any{s.Name, kindName(s.Kind), orDash(strings.Join(s.Models, ",")), showLabels(s.Labels)})
			}
			return a.print(&messenger.Configuration{Version: now.Version, Services: now.Services}, "NAME KIND MODELS LABELS", rows)
		},
	}
})

func kindName(k messenger.ServiceKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "SERVICE_KIND_"))
}
