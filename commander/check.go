package commander

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
)

var _ = register(root, func(a *app) *cobra.Command {
	var strict bool
	var node string
	c := &cobra.Command{
		Use: "check", Short: "Check the settings and list every fault with its file, line, section and key", Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			if node != "" {
				return a.checkNode(node, strict)
			}
			return a.check(strict)
		},
	}
	c.Flags().StringVar(&node, "node", "", "settings of one process of a fleet, as its platform rendered them")
	c.Flags().BoolVar(&strict, "strict", false, "take warnings for faults")
	return c
})

// checkNode validates the settings of one process of a fleet.
func (a *app) checkNode(file string, strict bool) error {
	n, warnings, err := loader.LoadNode(file)
	if err != nil {
		return err
	}
	if err := a.warnOrFail(warnings, strict); err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printValue(map[string]any{"name": n.Name(), "kind": n.Kind(), "zone": n.Zone(), "warnings": warnings})
	}
	_, err = fmt.Fprintf(a.out, "%s: %s %s in %s, no faults\n", file, n.Kind(), n.Name(), n.Zone())
	return err
}

func (a *app) warnOrFail(warnings []string, strict bool) error {
	if strict && len(warnings) > 0 {
		return merry.Errorf("%w:\n  %s", loader.ErrInvalidSettings, strings.Join(warnings, "\n  "))
	}
	for _, w := range warnings {
		a.warn("%s", w)
	}
	return nil
}

func (a *app) check(strict bool) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	if err := a.warnOrFail(s.Warnings(), strict); err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printValue(map[string]any{"deployment": s.Deployment(), "processes": len(s.Processes("")), "warnings": s.Warnings()})
	}
	_, err = fmt.Fprintf(a.out, "%s: deployment %s, %d processes, no faults\n", a.settingsFile, s.Deployment(), len(s.Processes("")))
	return err
}
