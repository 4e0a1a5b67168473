package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("statement", func(a *app) *cobra.Command {
	s := &messenger.Statement{}
	c := &cobra.Command{
		Use: "test [NAME]", Short: "Show what selectors, or a statement, match now, and change nothing", Args: optionalArg("NAME"),
		Long: "Show what selectors, or a statement, match now, and change nothing.\n\n" + selectorHelp,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return a.statementTest(c.Context(), s)
			}
			named, err := a.statement(c.Context(), args[0])
			if err != nil {
				return err
			}
			return a.statementTest(c.Context(), named)
		},
	}
	selectorFlags(c, s)
	return c
})

func (a *app) statement(ctx context.Context, name string) (*messenger.Statement, error) {
	now, err := a.readConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range now.Statements {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, merry.Errorf("%w: name: no statement %q; `statement list` lists them", ErrRefused, name)
}

func (a *app) statementTest(ctx context.Context, s *messenger.Statement) error {
	m, err := a.matchNow(ctx, s)
	if err != nil {
		return err
	}
	for _, w := range m.warnings() {
		a.warn("%s", w)
	}
	a.warnUnreachable("routers", m.unreachable)
	if a.output == outputJSON {
		var names []string
		for _, e := range m.endpoints {
			names = append(names, e.state.Name)
		}
		return a.printValue(map[string]any{
			"workspaces": m.workspaces, "services": m.services, "endpoints": names,
			"unreachable_routers": m.unreachable,
		})
	}
	_, _ = fmt.Fprintf(a.out, "workspaces: %s\nservices:   %s\n\n", orDash(strings.Join(m.workspaces, ", ")), orDash(strings.Join(m.services, ", ")))
	return a.printTable(endpointHeader, endpointRows(m.endpoints))
}
