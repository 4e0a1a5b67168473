package commander

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("workspace", func(a *app) *cobra.Command {
	var labels []string
	ch := &change{}
	c := &cobra.Command{
		Use: "create NAME", Short: "Create a workspace and print its bearer key, once, as JSON", Args: exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			l, err := parseLabels(labels)
			if err != nil {
				return err
			}
			return a.workspaceCreate(c.Context(), ch, args[0], l)
		},
	}
	c.Flags().StringSliceVar(&labels, "label", nil, "key=value (repeatable)")
	ch.flags(c)
	return c
})

func (a *app) workspaceCreate(ctx context.Context, ch *change, name string, labels map[string]string) error {
	key := newKey()
	w := &messenger.Workspace{Name: name, Labels: labels, KeyHashes: [][]byte{hashKey(key)}}
	ch.edits = func(c *messenger.Configuration) ([]*messenger.Edit, error) {
		// An edit for an existing name would replace the keys that callers use.
		if findWorkspace(c, name) != nil {
			return nil, merry.Errorf("%w: name: workspace %q exists already", ErrRefused, name)
		}
		return []*messenger.Edit{{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: w}}}, nil
	}
	return a.proposeKey(ctx, ch, name, key)
}

const keyBytes = 24

func newKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return "rh-" + base64.RawURLEncoding.EncodeToString(b)
}

func hashKey(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

func findWorkspace(c *messenger.Configuration, name string) *messenger.Workspace {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// newKeyResult is the output of a command that generates a key.
type newKeyResult struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	ChangeID  string `json:"change_id"`
	Outcome   string `json:"outcome"`
}

// Outcomes of a command that generates a key.
const (
	outcomeAccepted = "accepted"
	outcomeUnknown  = "unknown"
	// outcomeEarlier states that an earlier attempt was accepted: the key that it printed is in
	// force, and the key of this attempt is not.
	outcomeEarlier = "accepted_with_the_key_printed_before"
)

// proposeKey proposes a change with a new key and prints the key. It does so even if the outcome is
// unknown, because the key may be in force and is stored nowhere else.
func (a *app) proposeKey(ctx context.Context, ch *change, workspace, key string) error {
	resent := ch.id != ""
	r, err := a.propose(ctx, ch)
	out := newKeyResult{Workspace: workspace, Key: key, ChangeID: ch.id}
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		out.Outcome = outcomeUnknown
		return errors.Join(err, a.printValue(out))
	case err != nil:
		return err
	}
	out.Outcome, out.Version = outcomeAccepted, r.Version
	if resent {
		if err := a.compareKey(ctx, ch, &out); err != nil {
			return err
		}
	}
	return a.printValue(out)
}

// compareKey finds out whether a repeated command's key is in force. The keeper answers a repeated
// change as it answered the first one, which had another key.
func (a *app) compareKey(ctx context.Context, ch *change, out *newKeyResult) error {
	return a.withKeeper(ctx, func(ctx context.Context, k *client) error {
		h, err := k.config().History(ctx, &messenger.HistoryRequest{AfterVersion: out.Version - 1, Most: 1})
		if err != nil {
			return err
		}
		for _, e := range h.Entries {
			if e.Change.ChangeId == ch.id && !containsKey(e.Change.Edits, hashKey(out.Key)) {
				out.Key, out.Outcome = "", outcomeEarlier
			}
		}
		return nil
	})
}

func containsKey(edits []*messenger.Edit, hash []byte) bool {
	return slices.ContainsFunc(edits, func(e *messenger.Edit) bool {
		return slices.ContainsFunc(e.GetPutWorkspace().GetKeyHashes(), func(h []byte) bool { return slices.Equal(h, hash) })
	})
}
