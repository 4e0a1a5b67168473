package commander

import (
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("service", func(a *app) *cobra.Command {
	ch := &change{}
	c := &cobra.Command{
		Use: "delete NAME", Short: "Delete a service: new requests for it are refused", Args: exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			return a.proposeEdit(c.Context(), ch, &messenger.Edit{Kind: &messenger.Edit_DeleteService{DeleteService: args[0]}})
		},
	}
	ch.flags(c)
	return c
})
