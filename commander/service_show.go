package commander

import (
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("service", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "show NAME", Short: "Show a service", Args: exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			now, err := a.readConfiguration(c.Context())
			if err != nil {
				return err
			}
			for _, s := range now.Services {
				if s.Name == args[0] {
					return a.print(s, "FIELD VALUE", serviceRows(s))
				}
			}
			return merry.Errorf("%w: name: no service %q; `service list` lists them", ErrRefused, args[0])
		},
	}
})

func serviceRows(s *messenger.Service) [][]any {
	return [][]any{
		{"name", s.Name},
		{"kind", kindName(s.Kind)},
		{"models", orDash(strings.Join(s.Models, ","))},
		{"labels", showLabels(s.Labels)},
		{"prompt_price", s.PromptPrice},
		{"answer_price", s.AnswerPrice},
		{"call_price", s.CallPrice},
		{"max_answer_tokens", s.MaxAnswerTokens},
		{"picker", orDash(s.Picker)},
		{"not_repeatable", s.NotRepeatable},
		{"checks_fencing", s.ChecksFencing},
	}
}
