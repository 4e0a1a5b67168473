package commander

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register(root, func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show zones, processes, versions, ages, shares and what is at risk", Args: exactArgs(),
		Long: `Show zones, processes, versions, ages, shares and what is at risk.

SHARE is a zone's part of all unspent rights. AT_RISK is what a router would
take along if it died now: it returns once the router's incarnation is fenced.`,
		RunE: func(c *cobra.Command, _ []string) error { return a.status(c.Context()) },
	}
})

func (a *app) status(ctx context.Context) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	r := queryAll(ctx, s, "", state)
	if a.output == outputJSON {
		return a.printStatus(r)
	}
	for _, printPart := range []func(*loader.Settings, answers[*messenger.StateReply]) error{a.printZones, a.printKeepers, a.printRouters} {
		if err := printPart(s, r); err != nil {
			return err
		}
	}
	if len(r.unreachable) > 0 {
		_, err = fmt.Fprintf(a.out, "\nout of reach: %s\n", strings.Join(r.unreachable, ", "))
	}
	if len(r.replies) == 0 {
		return merry.Errorf("%w: no process answered:\n  %s", ErrUnreachable, strings.Join(r.reasons, "\n  "))
	}
	return err
}

func (a *app) printStatus(r answers[*messenger.StateReply]) error {
	processes := []any{}
	for _, p := range r.replies {
		b, err := asJSON(p)
		if err != nil {
			return err
		}
		processes = append(processes, b)
	}
	return a.printValue(map[string]any{"processes": processes, "unreachable": r.unreachable})
}

// zoneSum holds the sums over the processes of one zone.
type zoneSum struct {
	routers, ready, keepers  int
	unspent, leased, charged int64
	frozen, atRisk           int64
}

func sumZones(states []*messenger.StateReply) (map[string]*zoneSum, int64) {
	zones, all := map[string]*zoneSum{}, int64(0)
	for _, p := range states {
		z := zones[p.Zone]
		if z == nil {
			z = &zoneSum{}
			zones[p.Zone] = z
		}
		if p.Kind == loader.KindKeeper {
			z.keepers++
			z.unspent += p.UnspentTokens
			z.leased += p.LeasedTokens
			z.charged += p.ChargedTokens
			z.frozen += p.FrozenTokens
			all += p.UnspentTokens
			continue
		}
		z.routers++
		z.atRisk += p.AtRiskTokens
		if p.Life == "ready" {
			z.ready++
		}
	}
	return zones, all
}

func (a *app) printZones(s *loader.Settings, r answers[*messenger.StateReply]) error {
	sums, all := sumZones(r.replies)
	var rows [][]any
	for _, name := range s.Zones() {
		z := sums[name]
		if z == nil {
			rows = append(rows, []any{name, "out of reach"})
			continue
		}
		rows = append(rows, []any{
			name, z.keepers, fmt.Sprintf("%d/%d", z.ready, z.routers), z.unspent, share(z.unspent, all),
			z.leased, z.charged, z.frozen, z.atRisk,
		})
	}
	return a.printTable("ZONE KEEPERS ROUTERS_READY UNSPENT SHARE LEASED CHARGED FROZEN AT_RISK", rows)
}

func share(part, all int64) string {
	if all == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", part*100/all)
}

func (a *app) printKeepers(_ *loader.Settings, r answers[*messenger.StateReply]) error {
	_, _ = fmt.Fprintln(a.out)
	var rows [][]any
	for _, p := range byKind(r.replies, loader.KindKeeper) {
		rows = append(rows, []any{p.Name, p.Zone, p.Life, orDash(p.LeaderName), p.ConfigurationVersion, showAge(p.ConfigurationAgeMs), p.AtRiskTokens})
	}
	return a.printTable("KEEPER ZONE LIFE LEADER VERSION AGE AT_RISK", rows)
}

func (a *app) printRouters(_ *loader.Settings, r answers[*messenger.StateReply]) error {
	_, _ = fmt.Fprintln(a.out)
	var rows [][]any
	for _, p := range byKind(r.replies, loader.KindRouter) {
		rows = append(rows, []any{
			p.Name, p.Zone, p.Life, p.KeeperReachable, p.ConfigurationVersion, showAge(p.ConfigurationAgeMs),
			p.UsableEndpoints, p.ActiveRequests, p.AtRiskTokens,
		})
	}
	return a.printTable("ROUTER ZONE LIFE KEEPER_REACHABLE VERSION AGE ENDPOINTS ACTIVE AT_RISK", rows)
}

func byKind(states []*messenger.StateReply, kind string) []*messenger.StateReply {
	return slices.DeleteFunc(slices.Clone(states), func(p *messenger.StateReply) bool { return p.Kind != kind })
}
