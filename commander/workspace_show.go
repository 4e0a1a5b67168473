package commander

import (
	"encoding/hex"

	"github.com/spf13/cobra"
)

// hashPrefixBytes is the number of bytes of a key's hash that are shown.
const hashPrefixBytes = 6

var _ = register("workspace", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Show a workspace", Args: exactArgs("NAME"),
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
				rows = append(rows, []any{"key_hash", hex.EncodeToString(h[:min(len(h), hashPrefixBytes)]) + "..."})
			}
			return a.print(w, "FIELD VALUE", rows)
		},
	}
})
