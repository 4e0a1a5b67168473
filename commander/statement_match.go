package commander

import (
	"context"
	"fmt"
	"maps"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/matcher"
	"rattanhoist.example/rattanhoist/messenger"
)

// selectors holds the compiled selectors of a statement.
type selectors struct{ workspaces, services, endpoints matcher.Selector }

func compileStatement(s *messenger.Statement) (selectors, error) {
	var out selectors
	for _, f := range []struct {
		flag, text string
		to         *matcher.Selector
	}{
		{"--workspaces", s.Workspaces, &out.workspaces},
		{"--services", s.Services, &out.services},
		{"--endpoints", s.Endpoints, &out.endpoints},
	} {
		sel, err := matcher.Parse(f.text)
		if err != nil {
			return out, merry.Errorf("%w: %s: %w", ErrUsage, f.flag, err)
		}
		*f.to = sel
	}
	return out, nil
}

// match holds what a statement selects now.
type match struct {
	statement            *messenger.Statement
	workspaces, services []string
	endpoints            []observedEndpoint
	// allWorkspaces, allServices and allEndpoints are the numbers of which it selects.
	allWorkspaces, allServices, allEndpoints int
	unreachable                              []string
}

func (a *app) matchNow(ctx context.Context, s *messenger.Statement) (*match, error) {
	sel, err := compileStatement(s)
	if err != nil {
		return nil, err
	}
	now, err := a.readConfiguration(ctx)
	if err != nil {
		return nil, err
	}
	seen, err := a.endpoints(ctx, "")
	if err != nil {
		return nil, err
	}
	return matchAll(s, sel, now, seen), nil
}

func matchAll(s *messenger.Statement, sel selectors, now *messenger.Configuration, seen *observedEndpoints) *match {
	m := &match{
		statement: s, allWorkspaces: len(now.Workspaces), allServices: len(now.Services),
		allEndpoints: len(seen.list), unreachable: seen.unreachable,
	}
	for _, w := range now.Workspaces {
		if sel.workspaces.Matches(named(w.Labels, w.Name)) {
			m.workspaces = append(m.workspaces, w.Name)
		}
	}
	services := map[string]bool{}
	for _, v := range now.Services {
		if sel.services.Matches(named(v.Labels, v.Name)) {
			m.services = append(m.services, v.Name)
			services[v.Name] = true
		}
	}
	for _, e := range seen.list {
		if services[e.state.Service] && sel.endpoints.Matches(e.state.Labels) {
			m.endpoints = append(m.endpoints, e)
		}
	}
	return m
}

func named(labels map[string]string, name string) map[string]string {
	out := maps.Clone(labels)
	if out == nil {
		out = map[string]string{}
	}
	out["name"] = name
	return out
}

// warnings returns a line for each selector that matches nothing. It is accepted, because what it
// selects may be added later, but it is often a typing error.
func (m *match) warnings() []string {
	var out []string
	for _, f := range []struct {
		field, text string
		matched, of int
	}{
		{"workspaces", m.statement.Workspaces, len(m.workspaces), m.allWorkspaces},
		{"services", m.statement.Services, len(m.services), m.allServices},
		{"endpoints", m.statement.Endpoints, len(m.endpoints), m.allEndpoints},
	} {
		if f.matched == 0 {
			out = append(out, fmt.Sprintf("%s: selector %q matches none of %d now", f.field, f.text, f.of))
		}
	}
	return out
}
