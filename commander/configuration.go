package commander

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(func(a *app) *cobra.Command {
	c := &cobra.Command{Use: "workspace", Short: "Workspaces that pay for requests"}
	c.AddCommand(a.workspaceCreate())
	return c
})

var _ = register(func(a *app) *cobra.Command {
	c := &cobra.Command{Use: "service", Short: "Services that workspaces call"}
	c.AddCommand(a.serviceSet())
	return c
})

var _ = register(func(a *app) *cobra.Command {
	c := &cobra.Command{Use: "statement", Short: "Statements of which endpoints serve whom"}
	c.AddCommand(a.statementSet())
	return c
})

const keyBytes = 24

func (a *app) workspaceCreate() *cobra.Command {
	var labels []string
	c := &cobra.Command{
		Use: "create NAME", Short: "Create a workspace and print its bearer key, once", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			l, err := parseLabels(labels)
			if err != nil {
				return err
			}
			key := newKey()
			sum := sha256.Sum256([]byte(key))
			w := &messenger.Workspace{Name: args[0], Labels: l, KeyHashes: [][]byte{sum[:]}}
			return a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				if err := k.mustBeNew(ctx, args[0]); err != nil {
					return err
				}
				r, err := k.propose(ctx, &messenger.Edit{Kind: &messenger.Edit_PutWorkspace{PutWorkspace: w}})
				if err != nil {
					return err
				}
				return a.printValue(map[string]any{"workspace": args[0], "key": key, "version": r.Version})
			})
		},
	}
	c.Flags().StringSliceVar(&labels, "label", nil, "key=value (repeatable)")
	return c
}

// mustBeNew refuses a name that exists: putting it again would replace the
// keys that callers hold.
func (c *client) mustBeNew(ctx context.Context, workspace string) error {
	now, err := c.config().Read(ctx, &messenger.ReadRequest{})
	if err != nil {
		return err
	}
	for _, w := range now.Configuration.Workspaces {
		if w.Name == workspace {
			return merry.Errorf("%w: name: workspace %q exists already", ErrRefused, workspace)
		}
	}
	return nil
}

func newKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return "rh-" + base64.RawURLEncoding.EncodeToString(b)
}

func (a *app) serviceSet() *cobra.Command {
	s := &messenger.Service{}
	var kind string
	var labels []string
	c := &cobra.Command{
		Use: "set NAME", Short: "Create or replace a service", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var err error
			if s.Labels, err = parseLabels(labels); err != nil {
				return err
			}
			s.Name = args[0]
			s.Kind = messenger.ServiceKind(messenger.ServiceKind_value["SERVICE_KIND_"+upper(kind)])
			return a.proposeOne(c.Context(), &messenger.Edit{Kind: &messenger.Edit_PutService{PutService: s}})
		},
	}
	f := c.Flags()
	f.StringVar(&kind, "kind", "", "model or plain")
	f.StringSliceVar(&s.Models, "model", nil, "model that requests may name (repeatable)")
	f.StringSliceVar(&labels, "label", nil, "key=value (repeatable)")
	f.Int64Var(&s.PromptPrice, "prompt-price", 1, "budget tokens for a prompt token")
	f.Int64Var(&s.AnswerPrice, "answer-price", 1, "budget tokens for an answer token")
	f.Int64Var(&s.CallPrice, "call-price", 1, "budget tokens for a plain call")
	f.Int64Var(&s.MaxAnswerTokens, "max-answer-tokens", 1024, "largest answer in tokens")
	f.StringVar(&s.Picker, "picker", "", "picker plug-in")
	f.BoolVar(&s.NotRepeatable, "not-repeatable", false, "calls run at most once unless the caller allows more")
	f.BoolVar(&s.ChecksFencing, "checks-fencing", false, "its endpoints refuse orders with an old fencing number")
	return c
}

func upper(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'a' && c <= 'z' {
			b[i] = c - 'a' + 'A'
		}
	}
	return string(b)
}

func (a *app) statementSet() *cobra.Command {
	s := &messenger.Statement{}
	c := &cobra.Command{
		Use: "set NAME", Short: "Create or replace a statement", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s.Name = args[0]
			return a.proposeOne(c.Context(), &messenger.Edit{Kind: &messenger.Edit_PutStatement{PutStatement: s}})
		},
	}
	c.Flags().StringVar(&s.Workspaces, "workspaces", "", "selector of workspaces; empty for all")
	c.Flags().StringVar(&s.Services, "services", "", "selector of services; empty for all")
	c.Flags().StringVar(&s.Endpoints, "endpoints", "", "selector of endpoints; empty for all")
	return c
}

func (a *app) proposeOne(ctx context.Context, e *messenger.Edit) error {
	return a.withKeeper(ctx, func(ctx context.Context, k *client) error {
		r, err := k.propose(ctx, e)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.out, "accepted as version %d\n", r.Version)
		return err
	})
}
