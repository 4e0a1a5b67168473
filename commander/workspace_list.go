package commander

import (
	"context"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("workspace", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the workspaces", Args: wantArgs(),
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

// readConfiguration returns the configuration that a majority confirms or,
// where none answers, one keeper's copy, with a warning.
func (a *app) readConfiguration(ctx context.Context) (*messenger.Configuration, error) {
	s, err := a.load()
	if err != nil {
		return nil, err
	}
	out, err := readOnce(ctx, s, true)
	if !passing(err) {
		return out.GetConfiguration(), refusal(err)
	}
	if out, err = readOnce(ctx, s, false); err != nil {
		return nil, refusal(err)
	}
	a.warn("no majority of keepers answers; this copy was last confirmed %s ago", showAge(out.AgeMs))
	return out.Configuration, nil
}

func readOnce(ctx context.Context, s *loader.Settings, confirmed bool) (*messenger.ReadReply, error) {
	var out *messenger.ReadReply
	err := oneRound(ctx, s, func(ctx context.Context, k *client) error {
		var err error
		out, err = k.config().Read(ctx, &messenger.ReadRequest{Confirmed: confirmed})
		return err
	})
	return out, err
}
