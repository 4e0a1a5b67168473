package commander

import (
	"context"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("statement", func(a *app) *cobra.Command {
	s := &messenger.Statement{}
	ch := &change{}
	c := &cobra.Command{
		Use: "set NAME", Short: "Create or replace a statement", Args: exactArgs("NAME"),
		Long: "Create or replace a statement.\n\n" + selectorHelp,
		RunE: func(c *cobra.Command, args []string) error {
			s.Name = args[0]
			return a.statementSet(c.Context(), ch, s)
		},
	}
	selectorFlags(c, s)
	ch.flags(c)
	return c
})

const selectorHelp = `A selector is a list of terms joined by commas, all of which must hold:
key=value, key!=value, key in (a, b), key notin (a, b), key, !key. Every
workspace and service carries the label name; every endpoint name, zone and
service. An empty selector matches everything.`

func selectorFlags(c *cobra.Command, s *messenger.Statement) {
	c.Flags().StringVar(&s.Workspaces, "workspaces", "", "selector of workspaces; empty for all")
	c.Flags().StringVar(&s.Services, "services", "", "selector of services; empty for all")
	c.Flags().StringVar(&s.Endpoints, "endpoints", "", "selector of endpoints; empty for all")
}

func (a *app) statementSet(ctx context.Context, ch *change, s *messenger.Statement) error {
	if _, err := compileStatement(s); err != nil {
		return err
	}
	if err := a.proposeEdit(ctx, ch, &messenger.Edit{Kind: &messenger.Edit_PutStatement{PutStatement: s}}); err != nil {
		return err
	}
	m, err := a.matchNow(ctx, s)
	if err != nil {
		a.warn("the statement is accepted; what it matches could not be looked up: %v", err)
		return nil
	}
	for _, w := range m.warnings() {
		a.warn("%s", w)
	}
	return nil
}
