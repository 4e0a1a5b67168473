package commander

import (
	"context"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("config", func(a *app) *cobra.Command {
	r := &messenger.HistoryRequest{}
	c := &cobra.Command{
		Use: "history", Short: "List the accepted changes in order", Args: wantArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			var out *messenger.HistoryReply
			err := a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				var err error
				out, err = k.config().History(ctx, r)
				return err
			})
			if err != nil {
				return err
			}
			var rows [][]any
			for _, e := range out.Entries {
				rows = append(rows, []any{e.Version, showTime(e.Change.AcceptedAtMs), orDash(e.Change.Author), e.Change.ChangeId, showEdits(e.Change.Edits)})
			}
			return a.print(out, "VERSION TIME AUTHOR CHANGE_ID EDITS", rows)
		},
	}
	c.Flags().Uint64Var(&r.AfterVersion, "after", 0, "only changes after this version")
	c.Flags().Uint32Var(&r.Most, "most", historyPage, "at most this many")
	return c
})
