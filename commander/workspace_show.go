package commander

import (
	"encoding/hex"

	"github.com/spf13/cobra"
)

// shownHash is how many bytes of a key's hash tell it from others.
const shownHash = 6

var _ = register("workspace", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Show a workspace", Args: wantArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			w := findWorkspace(now, args[0])
			if w == nil {
				return noWorkspace(args[0])
			}
			rows := [][]any{{"name", w.Name}, {"labels", showLabels(w.Labels)}}
			for _, h := range w.KeyHashes {
				rows = append(rows, []any{"key_hash", hex.EncodeToString(h[:min(len(h), shownHash)]) + "..."})
			}
			return a.print(w, "FIELD VALUE", rows)
		},
	}
})
