package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

var _ = register("endpoint", func(a *app) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "list", Short: "List the endpoints that routers know, with their ages", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error { return a.endpointList(c.Context(), service) },
	}
	c.Flags().StringVar(&service, "service", "", "only the endpoints of this service")
	return c
})

// observedEndpoint is the state of an endpoint at the routers.
type observedEndpoint struct {
	// state is that of the latest announcement.
	state *messenger.EndpointState
	// oldest is the maximum age of the announcement at a router, in milliseconds.
	oldest int64
	// routers is the number of routers that know the endpoint, and usable of those that would use it.
	routers, usable int
}

// observedEndpoints holds the endpoints, ordered by service and name, and the routers that did not
// answer.
type observedEndpoints struct {
	list        []observedEndpoint
	unreachable []string
}

func (a *app) endpoints(ctx context.Context, service string) (*observedEndpoints, error) {
	s, err := a.load()
	if err != nil {
		return nil, err
	}
	r := queryAll(ctx, s, loader.KindRouter, func(ctx context.Context, c *client) (*messenger.EndpointsReply, error) {
		return c.operations().Endpoints(ctx, &messenger.EndpointsRequest{Service: service})
	})
	return mergeEndpoints(r), nil
}

func mergeEndpoints(r answers[*messenger.EndpointsReply]) *observedEndpoints {
	byName := map[string]*observedEndpoint{}
	for _, reply := range r.replies {
		for _, e := range reply.Endpoints {
			seen := byName[e.Name]
			if seen == nil {
				seen = &observedEndpoint{state: e}
				byName[e.Name] = seen
			}
			seen.add(e, reply.MaxAgeMs)
		}
	}
	out := &observedEndpoints{unreachable: r.unreachable}
	for _, e := range byName {
		out.list = append(out.list, *e)
	}
	slices.SortFunc(out.list, func(a, b observedEndpoint) int {
		return cmp.Or(cmp.Compare(a.state.Service, b.state.Service), cmp.Compare(a.state.Name, b.state.Name))
	})
	return out
}

func (s *observedEndpoint) add(e *messenger.EndpointState, maxAge int64) {
	s.routers++
	s.oldest = max(s.oldest, int64(e.AgeMs))
	if !e.Leaving && int64(e.AgeMs) < maxAge {
		s.usable++
	}
	if newer := cmp.Compare(e.Incarnation, s.state.Incarnation); newer > 0 || newer == 0 && e.AgeMs < s.state.AgeMs {
		s.state = e
	}
}

func (a *app) endpointList(ctx context.Context, service string) error {
	seen, err := a.endpoints(ctx, service)
	if err != nil {
		return err
	}
	a.warnUnreachable("routers", seen.unreachable)
	if a.output == outputTable {
		return a.printTable(endpointHeader, endpointRows(seen.list))
	}
	out := &messenger.EndpointsReply{}
	for _, e := range seen.list {
		out.Endpoints = append(out.Endpoints, e.state)
	}
	return a.printValue(out)
}

const endpointHeader = "NAME SERVICE ZONE ADDRESS LOAD AGE OLDEST_AGE STATE ROUTERS LABELS"

func endpointRows(list []observedEndpoint) [][]any {
	var rows [][]any
	for _, e := range list {
		s := e.state
		rows = append(rows, []any{
			s.Name, s.Service, s.Zone, s.Address, fmt.Sprintf("%d/%d", s.Load, s.Capacity),
			showAge(int64(s.AgeMs)), showAge(e.oldest), e.stateName(), e.routers, showLabels(s.Labels),
		})
	}
	return rows
}

func (s *observedEndpoint) stateName() string {
	switch {
	case s.state.Leaving:
		return "leaving"
	case s.usable == 0:
		return "silent"
	case s.usable < s.routers:
		return fmt.Sprintf("usable_at_%d", s.usable)
	default:
		return "usable"
	}
}
