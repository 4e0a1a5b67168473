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

const inForcePoll = 100 * time.Millisecond

var _ = register("config", func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "in-force", Short: "Show the version that each process serves, as the keepers know it", Args: wantArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			var out *messenger.InForceReply
			err := a.withKeeper(c.Context(), func(ctx context.Context, k *client) error {
				var err error
				out, err = k.config().InForce(ctx, &messenger.InForceRequest{})
				return err
			})
			if err != nil {
				return err
			}
			a.warnUnreachable("keepers", out.UnreachableKeepers)
			slices.SortFunc(out.Nodes, func(x, y *messenger.InForceEntry) int {
				return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Node, y.Node))
			})
			var rows [][]any
			for _, n := range out.Nodes {
				rows = append(rows, []any{n.Node, n.Zone, n.Version, showAge(n.AgeMs)})
			}
			return a.print(out, "NODE ZONE VERSION AGE", rows)
		},
	}
})

// waitInForce asks the routers themselves until each that answers serves the
// version.
func (a *app) waitInForce(ctx context.Context, version uint64) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	for {
		r := askAll(ctx, s, loader.KindRouter, state)
		behind := statesBehind(r.got, version)
		if len(behind) == 0 && len(r.got) > 0 {
			a.warnUnreachable("routers", r.unreachable)
			_, err := fmt.Fprintf(a.errOut, "version %d is in force at %d routers\n", version, len(r.got))
			return err
		}
		select {
		case <-ctx.Done():
			a.warnUnreachable("routers", r.unreachable)
			return merry.Errorf("%w: version %d is accepted but not in force at:\n  %s", ErrNotYet, version, strings.Join(behind, "\n  "))
		case <-time.After(inForcePoll):
		}
	}
}

func state(ctx context.Context, c *client) (*messenger.StateReply, error) {
	return c.operations().State(ctx, &messenger.StateRequest{})
}

func statesBehind(states []*messenger.StateReply, version uint64) []string {
	var out []string
	for _, s := range states {
		if s.ConfigurationVersion < version {
			out = append(out, fmt.Sprintf("%s: version %d, confirmed %s ago", s.Name, s.ConfigurationVersion, showAge(s.ConfigurationAgeMs)))
		}
	}
	return out
}
