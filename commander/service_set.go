package commander

import (
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
)

// Defaults for a new service.
const (
	defaultPrice           = 1
	defaultMaxAnswerTokens = 1024
)

var _ = register("service", func(a *app) *cobra.Command {
	s := &messenger.Service{}
	var kind string
	var labels []string
	ch := &change{}
	c := &cobra.Command{
		Use: "set NAME", Short: "Create or replace a service", Args: exactArgs("NAME"),
		RunE: func(c *cobra.Command, args []string) error {
			s.Name = args[0]
			if err := readService(s, kind, labels); err != nil {
				return err
			}
			return a.proposeEdit(c.Context(), ch, &messenger.Edit{Kind: &messenger.Edit_PutService{PutService: s}})
		},
	}
	f := c.Flags()
	f.StringVar(&kind, "kind", "", "model or plain")
	f.StringSliceVar(&s.Models, "model", nil, "model that requests may name (repeatable)")
	f.StringSliceVar(&labels, "label", nil, "key=value (repeatable)")
	f.Int64Var(&s.PromptPrice, "prompt-price", defaultPrice, "budget tokens for a prompt token")
	f.Int64Var(&s.AnswerPrice, "answer-price", defaultPrice, "budget tokens for an answer token")
	f.Int64Var(&s.CallPrice, "call-price", defaultPrice, "budget tokens for a plain call")
	f.Int64Var(&s.MaxAnswerTokens, "max-answer-tokens", defaultMaxAnswerTokens, "largest answer in tokens")
	f.StringVar(&s.Picker, "picker", "", "picker plug-in; empty for that of the settings")
	f.BoolVar(&s.NotRepeatable, "not-repeatable", false, "calls run at most once unless the caller allows more")
	f.BoolVar(&s.ChecksFencing, "checks-fencing", false, "its endpoints refuse orders with an old fencing number")
	ch.flags(c)
	return c
})

func readService(s *messenger.Service, kind string, labels []string) error {
	v, ok := messenger.ServiceKind_value["SERVICE_KIND_"+strings.ToUpper(kind)]
	if !ok || v == 0 {
		return merry.Errorf("%w: --kind: want model or plain, not %q", ErrUsage, kind)
	}
	s.Kind = messenger.ServiceKind(v)
	if s.Picker != "" && !slices.Contains(picker.Names(), s.Picker) {
		return merry.Errorf("%w: --picker: unknown: %q; want one of %v", ErrUsage, s.Picker, picker.Names())
	}
	var err error
	s.Labels, err = parseLabels(labels)
	return err
}
