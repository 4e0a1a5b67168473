package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("statement", func(a *app) *cobra.Command {
	ch := &change{}
	c := &cobra.Command{
		Use: "delete NAME", Short: "Delete a statement: what only it allowed gets no new work", Args: exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return a.proposeEdit(c.Context(), ch, &messenger.Edit{Kind: &messenger.Edit_DeleteStatement{DeleteStatement: args[0]}})
		},
	}
	ch.flags(c)
	return c
})
