package predictor

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
)

const (
	// crossZonePenalty is the cost of dispatching to another availability zone, in
	// queueing time: bodies and streams cross a link that may drop packets.
	crossZonePenalty = 30 * time.Millisecond
	// crossZonePlainPenalty is the same for plain requests, which find no prefix there.
	crossZonePlainPenalty = 60 * time.Millisecond
	// probeOverdue is how long a probe is left to requests that may be repeated.
	probeOverdue = 5 * time.Second
)

// Table holds the endpoints in service; it is replaced as a whole.
type Table struct {
	zone      string
	byService atomic.Pointer[map[string]*group]
	// ByName holds the same endpoints by incarnation, as text.
	byName atomic.Pointer[map[string]*Endpoint]
	// Ordinary holds what was learned of each service's endpoints; it belongs to
	// Replace.
	ordinary map[string]*Ordinary
}

// group is the endpoints of one service, as a router of a zone sees them; immutable.
type group struct {
	zone      string
	endpoints []*Endpoint
	// Near are the endpoints of the router's zone, far all others.
	near, far []*Endpoint
	// Apart holds for each zone the endpoints where its giants go, nearApart those of the
	// router's zone.
	apart     map[*Endpoint]bool
	nearApart []*Endpoint
	// Homes finds the homes of shared parts in large groups; nil in small ones.
	homes *ring
	// Subsets holds a *group for each set of zones that was asked for, by its key.
	subsets sync.Map
}

func newGroup(list []*Endpoint, zone string) *group {
	g := &group{zone: zone, endpoints: list, apart: apart(list)}
	for _, e := range list {
		switch {
		case e.beat.Zone != zone:
			g.far = append(g.far, e)
			continue
		case g.apart[e]:
			g.nearApart = append(g.nearApart, e)
		}
		g.near = append(g.near, e)
	}
	if len(list) > maxExhaustive {
		// Routers of a zone know the same endpoints of their own zone only.
		homes := g.near
		if len(homes) == 0 {
			homes = list
		}
		g.homes = newRing(homes)
	}
	return g
}

// within returns the endpoints in some zones. Whatever is chosen from it, a home of
// shared parts or a donor too, is in those zones.
func (g *group) within(z *localizer.Zones) *group {
	if z == nil {
		return g
	}
	if known, ok := g.subsets.Load(z.Key()); ok {
		return known.(*group)
	}
	var list []*Endpoint
	for _, e := range g.endpoints {
		if z.Allows(e.beat.Zone) {
			list = append(list, e)
		}
	}
	known, _ := g.subsets.LoadOrStore(z.Key(), newGroup(list, g.zone))
	return known.(*group)
}

// NewTable returns an empty table for a router in zone.
func NewTable(zone string) *Table {
	t := &Table{zone: zone, ordinary: map[string]*Ordinary{}}
	t.Replace(nil)
	return t
}

// Replace puts other endpoints in service.
func (t *Table) Replace(byService map[string][]*Endpoint) {
	groups, names := map[string]*group{}, map[string]*Endpoint{}
	for s, list := range byService {
		groups[s] = newGroup(list, t.zone)
		if t.ordinary[s] == nil {
			t.ordinary[s] = NewOrdinary()
		}
		for _, e := range list {
			names[e.name] = e
			e.serve(t.ordinary[s])
		}
	}
	t.byService.Store(&groups)
	t.byName.Store(&names)
}

// Endpoint returns the endpoint with the given name, or nil if none is in service.
func (t *Table) Endpoint(name string) *Endpoint { return (*t.byName.Load())[name] }

// Endpoints returns the endpoints of a service; callers must not change it.
func (t *Table) Endpoints(service string) []*Endpoint {
	if g := (*t.byService.Load())[service]; g != nil {
		return g.endpoints
	}
	return nil
}

// Sent notes a prompt that another router sent to an endpoint, which is named
// by its incarnation.
func (t *Table) Sent(now time.Time, name string, d Dispatch) {
	if e := (*t.byName.Load())[name]; e != nil {
		e.Sent(now, d)
	}
}

// Ask describes a request that needs an endpoint.
type Ask struct {
	Service string
	// Zones is where the request may be served; nil for everywhere.
	Zones *localizer.Zones
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// Tried holds the incarnations that the request was sent to already.
	Tried []enroller.Incarnation
	// Memory is what an endpoint of the service keeps, in tokens; 0 where unknown.
	Memory int64
	// Carry is how long it takes two endpoints of a zone to pass on what one keeps of
	// one token; 0 where they can't.
	Carry time.Duration
	// Partial says that only some of the other routers tell this one what they send.
	Partial bool
	// Repeatable says that the request may go to another endpoint if this one fails.
	Repeatable bool
	// Since counts from any fixed instant, for the gates.
	Since time.Duration
}

// Choose returns work at the endpoint with the shortest predicted wait, or nil
// where none is in service. The work must be ended.
func (t *Table) Choose(now time.Time, a Ask) *Work {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return nil
	}
	g = g.within(a.Zones)
	for {
		home := g.home(now, a)
		candidates := g.candidates(a, home)
		best, ok := t.best(now, a, g, candidates, home, false)
		if !ok && len(candidates) < len(g.endpoints) {
			best, ok = t.best(now, a, g, g.endpoints, home, false)
		}
		if !ok {
			// Every endpoint is blocked: one that failed may have recovered, and
			// an error costs no more than a refusal.
			best, ok = t.best(now, a, g, g.endpoints, home, true)
		}
		if !ok {
			return nil
		}
		// Another request may have taken what a cold endpoint still got.
		if best.endpoint.warmup.Admit(now) {
			return best.endpoint.begin(now, a, best)
		}
	}
}

// RetryAfter returns the shortest time until an endpoint may be sent the request, for which
// Choose has found none; 0 if one is open to other requests or the time is unknown.
func (t *Table) RetryAfter(now time.Time, a Ask) time.Duration {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return 0
	}
	var least time.Duration
	for _, e := range g.within(a.Zones).endpoints {
		at := e.warmup.OpensAt(now)
		switch {
		case e.lost.Load() || at.IsZero():
		case !at.After(now):
			return 0
		case least == 0 || at.Sub(now) < least:
			least = at.Sub(now)
		}
	}
	return least
}

// best returns the plan with the shortest predicted wait among candidates.
func (t *Table) best(now time.Time, a Ask, g *group, candidates []*Endpoint, home *Endpoint, blocked bool) (best plan, ok bool) {
	var least time.Duration
	donors := donors(now, a, candidates, home)
	for _, e := range candidates {
		if !blocked && e.gate.Blocked(a.Since) || e.lost.Load() || !e.warmup.Open(now) || slices.Contains(a.Tried, e.beat.Incarnation) {
			continue
		}
		p, c := e.offer(now, a, e == home, donors)
		if g.apart[e] {
			c += apartCost(a.Prompt, e.beat.Zone == t.zone)
		}
		if e.beat.Zone != t.zone {
			c += crossZoneCost(a.Prompt)
		}
		c += probeCost(max(e.gate.ProbeDue(a.Since), e.warmup.ProbeDue(now)), a.Repeatable)
		// A little noise keeps routers that know the same from choosing the
		// same endpoint at the same moment.
		c += time.Duration(rand.Int64N(int64(2 * time.Millisecond)))
		if !ok || c < least {
			best, least, ok = p, c, true
		}
	}
	return best, ok
}

// probeCost is the cost of sending a request to an endpoint whose probe has been due for a
// time. Requests that may be repeated probe at no cost; others stand in only if none of
// those came for probeOverdue.
func probeCost(due time.Duration, repeatable bool) time.Duration {
	if due == 0 || repeatable || due > probeOverdue {
		return 0
	}
	return fullCost
}

func crossZoneCost(p *Prompt) time.Duration {
	if p == nil {
		return crossZonePlainPenalty
	}
	return crossZonePenalty
}
