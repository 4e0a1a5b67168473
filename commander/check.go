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
	c := &cobra.Command{
		Use: "check", Short: "Check the settings and list every fault with its file, line, section and key", Args: wantArgs(),
		RunE: func(*cobra.Command, []string) error { return a.check(strict) },
	}
	c.Flags().BoolVar(&strict, "strict", false, "take warnings for faults")
	return c
})

func (a *app) check(strict bool) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	if w := s.Warnings(); strict && len(w) > 0 {
		return merry.Errorf("%w:\n  %s", loader.ErrFaulty, strings.Join(w, "\n  "))
	}
	for _, w := range s.Warnings() {
		a.warn("%s", w)
	}
	if a.output == outputJSON {
		return a.printValue(map[string]any{"deployment": s.Deployment(), "processes": len(s.Processes("")), "warnings": s.Warnings()})
	}
	_, err = fmt.Fprintf(a.out, "%s: deployment %s, %d processes, no faults\n", a.settingsFile, s.Deployment(), len(s.Processes("")))
	return err
}
