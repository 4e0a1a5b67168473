package commander

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/narrator"
)

var _ = register(root, func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "losses LOG...", Short: "Show which requests ended late or not at all, by cause", Args: minOneArg("LOG"),
		Long: `Show which requests ended late or not at all, by cause, from log files of a
fleet's routers: how many, the tokens of their prompts, the two seconds in which
most of them fell, and the routes with most of them. A caller that was refused and
comes back counts as another request.`,
		RunE: func(_ *cobra.Command, files []string) error { return a.losses(files) },
	}
})

// maxRoutesShown bounds the routes listed for one cause.
const maxRoutesShown = 3

func (a *app) losses(files []string) error {
	all, err := a.readLogs(files)
	if err != nil {
		return err
	}
	losses, requests := narrator.Losses(all)
	if requests == 0 {
		return merry.New("no request ended in these files; routers write a line for each")
	}
	if a.output == outputJSON {
		return a.printValue(losses)
	}
	var rows [][]any
	for _, l := range losses {
		rows = append(rows, []any{
			l.Cause, l.Requests, fmt.Sprintf("%.2f%%", 100*l.Share), l.Prompt, l.From.Format("15:04:05"), l.Peak, busiest(l.Routes),
		})
	}
	return a.printTable("CAUSE REQUESTS SHARE PROMPT_TOKENS MOST_AT THERE ROUTES", rows)
}

func busiest(routes map[string]int) string {
	names := slices.SortedFunc(maps.Keys(routes), func(x, y string) int { return routes[y] - routes[x] })
	var out []string
	for _, r := range names[:min(len(names), maxRoutesShown)] {
		out = append(out, fmt.Sprintf("%s %d", r, routes[r]))
	}
	return strings.Join(out, ", ")
}
