package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(root, func(a *app) *cobra.Command {
	var workspace string
	var logs []string
	c := &cobra.Command{
		Use: "explain REQUEST_ID", Short: "Show each decision taken for a request, and why", Args: exactArgs("REQUEST_ID"),
		Long: `Show each decision taken for a request, and why.

Routers remember the decisions of their latest requests, in memory. Decisions
of several routers are put in order by their clocks. The bill is on disk: see
` + "`budget history WORKSPACE --request REQUEST_ID`" + `.

With --logs the story is read from log files of a fleet's processes instead,
with what they believed meanwhile. Clocks that differ are set right by when each
process learned of configurations.`,
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return a.explainLogs(logs, args[0])
			}
			return a.explain(c.Context(), workspace, args[0])
		},
	}
	c.Flags().StringSliceVar(&logs, "logs", nil, "log files, by commas or given again")
	c.Flags().StringVar(&workspace, "workspace", "", "only requests of this workspace")
	return c
})

func (a *app) explain(ctx context.Context, workspace, id string) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	r := queryAll(ctx, s, loader.KindRouter, func(ctx context.Context, c *client) (*messenger.ExplainReply, error) {
		return c.operations().Explain(ctx, &messenger.ExplainRequest{Workspace: workspace, RequestId: id})
	})
	a.warnUnreachable("routers", r.unreachable)
	out := &messenger.ExplainReply{Decisions: mergeDecisions(r.replies)}
	if len(out.Decisions) == 0 {
		return merry.Errorf("%d routers answered and none remembers request %q; its bill, if any, is in `budget history WORKSPACE --request %s`", len(r.replies), id, id)
	}
	return a.print(out, "TIME ROUTER WORKSPACE DECISION ENDPOINT TOKENS WHY", decisionRows(out.Decisions))
}

func mergeDecisions(replies []*messenger.ExplainReply) []*messenger.Decision {
	var out []*messenger.Decision
	for _, r := range replies {
		out = append(out, r.Decisions...)
	}
	slices.SortStableFunc(out, func(x, y *messenger.Decision) int {
		return cmp.Or(cmp.Compare(x.AtUs, y.AtUs), cmp.Compare(x.Router, y.Router))
	})
	return out
}

func decisionRows(list []*messenger.Decision) [][]any {
	var rows [][]any
	for _, d := range list {
		rows = append(rows, []any{
			time.UnixMicro(d.AtUs).UTC().Format("15:04:05.000000"), d.Router, d.Workspace,
			strings.ToLower(strings.TrimPrefix(d.Kind.String(), "DECISION_KIND_")),
			orDash(d.Endpoint), showTokens(d.Tokens), why(d),
		})
	}
	return rows
}

func showTokens(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func why(d *messenger.Decision) string {
	var parts []string
	if d.Code != "" {
		parts = append(parts, d.Code)
	}
	if d.Candidates > 0 {
		parts = append(parts, fmt.Sprintf("1 of %d candidates", d.Candidates))
	}
	if d.Reason != "" {
		parts = append(parts, d.Reason)
	}
	return strings.Join(parts, "; ")
}
