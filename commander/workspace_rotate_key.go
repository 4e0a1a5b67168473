package commander

import (
	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("workspace", func(a *app) *cobra.Command {
	var keepOld bool
	ch := &change{}
	c := &cobra.Command{
		Use: "rotate-key NAME", Short: "Give a workspace a new bearer key and print it, once, as JSON", Args: exactArgs("NAME"),
		Long: `Give a workspace a new bearer key and print it, once, as JSON.

The earlier keys are refused from then on. With --keep-old they stay valid, so
that callers can change over; rotate again without it to end them.`,
		RunE: func(c *cobra.Command, args []string) error {
			key := newKey()
			ch.edits = func(now *messenger.Configuration) ([]*messenger.Edit, error) {
				return rotated(now, args[0], key, keepOld)
			}
			return a.proposeKey(c.Context(), ch, args[0], key)
		},
	}
	c.Flags().BoolVar(&keepOld, "keep-old", false, "leave the earlier keys valid")
	ch.flags(c)
	return c
})

func rotated(now *messenger.Configuration, name, key string, keepOld bool) ([]*messenger.Edit, error) {
	w := findWorkspace(now, name)
	if w == nil {
		return nil, noWorkspace(name)
	}
	w = proto.CloneOf(w)
	if !keepOld {
		w.KeyHashes = nil
	}
	w.KeyHashes = append(w.KeyHashes, hashKey(key))
	return []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: w}}}, nil
}

func noWorkspace(name string) error {
	return merry.Errorf("%w: name: no workspace %q; `workspace list` lists them", ErrRefused, name)
}
