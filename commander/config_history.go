package commander

import (
	"context"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

const defaultLast = 50

var _ = register("config", func(a *app) *cobra.Command {
	var last, after uint64
	c := &cobra.Command{
		Use: "history", Short: "List the latest accepted changes in order", Args: exactArgs(),
		Long: `List the latest accepted changes in order.

Keepers keep the latest 2,048 changes whole, and fewer where they are large.`,
		RunE: func(c *cobra.Command, _ []string) error {
			out := &messenger.HistoryReply{}
			err := a.withKeeper(c.Context(), func(ctx context.Context, k *client) (err error) {
				if c.Flags().Changed("after") {
					out, err = k.config().History(ctx, &messenger.HistoryRequest{AfterVersion: after})
					return err
				}
				out.Entries, err = k.lastChanges(ctx, last)
				return err
			})
			if err != nil {
				return err
			}
			return a.print(out, "VERSION TIME AUTHOR CHANGE_ID EDITS", historyRows(out.Entries))
		},
	}
	c.Flags().Uint64Var(&after, "after", 0, "all changes after this version")
	c.Flags().Uint64Var(&last, "last", defaultLast, "at most this many, the latest")
	return c
})

func historyRows(entries []*messenger.HistoryEntry) [][]any {
	var rows [][]any
	for _, e := range entries {
		rows = append(rows, []any{e.Version, showTime(e.Change.AcceptedAtMs), orDash(e.Change.Author), e.Change.ChangeId, showEdits(e.Change.Edits)})
	}
	return rows
}
