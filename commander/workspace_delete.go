package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("workspace", func(a *app) *cobra.Command {
	ch := &change{}
	c := &cobra.Command{
		Use: "delete NAME", Short: "Delete a workspace: its keys are refused from then on", Args: exactArgs("NAME"),
		Long: `Delete a workspace: its keys are refused from then on.

Its budget stays in the books; a workspace that is created again under the
name has it.`,
		RunE: func(c *cobra.Command, args []string) error {
			return a.proposeEdit(c.Context(), ch, &messenger.Edit{Kind: &messenger.Edit_DeleteWorkspace{DeleteWorkspace: args[0]}})
		},
	}
	ch.flags(c)
	return c
})
