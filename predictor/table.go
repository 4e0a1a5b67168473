package predictor

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
)

const (
	// crossZonePenalty is the cost, in units of predicted wait, of sending a prompt to
	// another availability zone: bodies and streams cross a link that may drop packets.
	crossZonePenalty = 30 * time.Millisecond
	// crossZonePlainPenalty is the same for plain requests, which gain nothing from cached
	// prompts there.
	crossZonePlainPenalty = 60 * time.Millisecond
	// probeOverdue is the time for which a due probe is reserved for repeatable requests.
	probeOverdue = 5 * time.Second
)

// Table holds the endpoints in service. Readers see a snapshot, which Replace replaces as a
// whole.
type Table struct {
	zone      string
	byService atomic.Pointer[map[string]*group]
	// byName maps incarnations in text form to the same endpoints.
	byName atomic.Pointer[map[string]*Endpoint]
	// byHash maps the hashes of these names to the endpoints, and serviceHashes holds the hashes
	// of the services' names.
	byHash        atomic.Pointer[map[uint32]*Endpoint]
	serviceHashes atomic.Pointer[map[uint32]bool]
	// reports is nil unless the table uses the load that other routers report.
	reports *loadReports
	// models and delays hold the latency model and the delays of each service; only Replace
	// accesses them.
	models map[string]*LatencyModel
	delays map[string]*serviceDelay
	// limits holds the limit on rejections of each service that has had endpoints. The map is
	// immutable.
	limits atomic.Pointer[map[string]*serviceLimit]
	// permits is set if requests to endpoints that limit rejections need permits.
	permits bool
}

// group holds the endpoints of one service as seen by a router of a zone. It is immutable
// apart from the caches of its subsets and of its capacity.
type group struct {
	zone      string
	endpoints []*Endpoint
	// local holds the endpoints of the router's zone, remote all others.
	local, remote []*Endpoint
	// dedicated holds the endpoints of all zones that are dedicated to very long prompts,
	// localDedicated those of the router's zone.
	dedicated      map[*Endpoint]bool
	localDedicated []*Endpoint
	// homeRing maps shared parts to their home endpoints in large groups; nil in small
	// ones.
	homeRing *ring
	// subsets caches the *group for each set of zones and version that was requested, by subsetKey.
	subsets sync.Map
	// lastCapacity is used in large groups only.
	lastCapacity capacityCache
}

// newGroup returns the group of the given endpoints for a router of a zone.
func newGroup(list []*Endpoint, zone string) *group {
	g := &group{zone: zone, endpoints: list, dedicated: selectDedicated(list)}
	for _, e := range list {
		switch {
		case e.beat.Zone != zone:
			g.remote = append(g.remote, e)
			continue
		case g.dedicated[e]:
			g.localDedicated = append(g.localDedicated, e)
		}
		g.local = append(g.local, e)
	}
	if len(list) > maxExhaustive {
		// Only the endpoints of the own zone are known equally to all routers of the zone.
		homes := g.local
		if len(homes) == 0 {
			homes = list
		}
		g.homeRing = newRing(homes)
	}
	return g
}

// subsetKey identifies the endpoints of a group in a set of zones and with a version.
type subsetKey struct {
	zones   string
	version enroller.Version
}

// subset returns the group of the endpoints that may serve a request. Home endpoints and cache sources
// are chosen from the same group, so they may serve it as well.
func (g *group) subset(a Request) *group {
	if a.Zones == nil && a.Version == "" {
		return g
	}
	k := subsetKey{zones: a.Zones.Key(), version: a.Version}
	if known, ok := g.subsets.Load(k); ok {
		return known.(*group)
	}
	var list []*Endpoint
	for _, e := range g.endpoints {
		if a.serves(e) {
			list = append(list, e)
		}
	}
	known, _ := g.subsets.LoadOrStore(k, newGroup(list, g.zone))
	return known.(*group)
}

// serves reports whether an endpoint of the request's service may serve the request.
func (a Request) serves(e *Endpoint) bool {
	return (a.Zones == nil || a.Zones.Allows(e.beat.Zone)) && (a.Version == "" || a.Version.Same(e.Version()))
}

// NewTable returns an empty table for a router in zone.
func NewTable(zone string) *Table {
	t := &Table{zone: zone, models: map[string]*LatencyModel{}, delays: map[string]*serviceDelay{}}
	t.limits.Store(&map[string]*serviceLimit{})
	t.Replace(nil)
	return t
}

// Replace replaces the endpoints in service.
func (t *Table) Replace(byService map[string][]*Endpoint) {
	groups, names, services := map[string]*group{}, map[string]*Endpoint{}, map[uint32]bool{}
	limits := maps.Clone(*t.limits.Load())
	for s, list := range byService {
		services[hashName(s)] = true
		groups[s] = newGroup(list, t.zone)
		if t.models[s] == nil {
			t.models[s], t.delays[s], limits[s] = NewLatencyModel(), newServiceDelay(), &serviceLimit{}
		}
		for _, e := range list {
			names[e.name] = e
			e.permits.Store(t.permits)
			e.putInService(t.models[s], limits[s], t.reports, t.delays[s])
		}
	}
	t.byService.Store(&groups)
	t.byName.Store(&names)
	t.limits.Store(&limits)
	byHash := indexByHash(names)
	t.byHash.Store(&byHash)
	t.serviceHashes.Store(&services)
}

// Endpoint returns the endpoint with the given name, or nil if none is in service.
func (t *Table) Endpoint(name string) *Endpoint { return (*t.byName.Load())[name] }

// Names returns the names of the endpoints in service.
func (t *Table) Names() []string { return slices.Collect(maps.Keys(*t.byName.Load())) }

// InService reports whether an endpoint may still receive requests.
func (t *Table) InService(e *Endpoint) bool {
	return (*t.byName.Load())[e.name] == e && !e.excluded.Load()
}

// Endpoints returns the endpoints of a service. Callers must not modify the slice.
func (t *Table) Endpoints(service string) []*Endpoint {
	if g := (*t.byService.Load())[service]; g != nil {
		return g.endpoints
	}
	return nil
}

// RecordDispatch records a prompt that another router sent to the endpoint with the given
// incarnation name.
func (t *Table) RecordDispatch(now time.Time, name string, d Dispatch) {
	if e := (*t.byName.Load())[name]; e != nil {
		e.RecordDispatch(now, d)
	}
}

// Request describes a request for which an endpoint is to be chosen.
type Request struct {
	Service string
	// Zones holds the zones in which the request may be served; nil stands for all.
	Zones *localizer.Zones
	// Version is the software version of the endpoints that may serve the request; "" stands for all.
	Version enroller.Version
	// Prompt is nil for plain requests.
	Prompt *Prompt
	// Tried holds the incarnations that must not be chosen, for example because the request
	// was sent there already.
	Tried []enroller.Incarnation
	// CacheTokens is the cache size of the service's endpoints in tokens; 0 if unknown.
	CacheTokens int64
	// TransferPerToken is the time to transfer one cached token between two endpoints of a
	// zone; 0 if they can't transfer any.
	TransferPerToken time.Duration
	// PartialDispatches is set if only some of the other routers tell this one about their
	// dispatches.
	PartialDispatches bool
	// Routers is the number of routers in the fleet, as far as it is known.
	Routers int
	// Repeatable is set if the request may be sent to another endpoint when this attempt
	// fails.
	Repeatable bool
	// Elapsed is the time since a fixed instant, on the clock of the endpoints' failure
	// gates.
	Elapsed time.Duration
}

// Choose assigns a request to the endpoint with the lowest cost, which is mostly the
// predicted wait. It returns nil if no endpoint is available. The caller must end the
// assignment.
func (t *Table) Choose(now time.Time, a Request) *Assignment {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return nil
	}
	g = g.subset(a)
	for {
		home := g.home(now, a)
		candidates := g.candidates(a, home)
		best, ok := t.cheapest(now, a, g, candidates, home, false)
		if !ok && len(candidates) < len(g.endpoints) {
			best, ok = t.cheapest(now, a, g, g.endpoints, home, false)
		}
		if !ok {
			// Endpoints that are blocked after failures may have recovered, and an error
			// costs no more than a refusal.
			best, ok = t.cheapest(now, a, g, g.endpoints, home, true)
		}
		if !ok {
			return nil
		}
		// A concurrent request may have used up what the endpoint still accepts.
		if atRisk, ok := best.endpoint.admit(now, a.Routers); ok {
			return best.endpoint.assign(now, a, best, atRisk)
		}
	}
}

// Serves reports whether an endpoint in service may serve a request, now or later.
func (t *Table) Serves(a Request) bool {
	g := (*t.byService.Load())[a.Service]
	return g != nil && slices.ContainsFunc(g.subset(a).endpoints, func(e *Endpoint) bool { return !e.excluded.Load() })
}

// RetryAfter returns the shortest time until an endpoint accepts a request for which Choose
// found none. It returns 0 if an endpoint accepts other requests or if the time is unknown.
func (t *Table) RetryAfter(now time.Time, a Request) time.Duration {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return 0
	}
	var least time.Duration
	for _, e := range g.subset(a).endpoints {
		at := e.warmup.OpensAt(now)
		switch {
		case e.excluded.Load() || at.IsZero():
		case !at.After(now):
			return 0
		case least == 0 || at.Sub(now) < least:
			least = at.Sub(now)
		}
	}
	return least
}

// cheapest returns the plan with the lowest cost among candidates. If blocked is set,
// endpoints that are blocked after failures are included.
func (t *Table) cheapest(now time.Time, a Request, g *group, candidates []*Endpoint, home *Endpoint, blocked bool) (best plan, ok bool) {
	var least time.Duration
	sources := findCacheSources(now, a, candidates, home)
	crossings := t.crossings(now, a)
	for _, e := range candidates {
		if !blocked && e.gate.Blocked(a.Elapsed) || e.excluded.Load() || !e.admits(now, a.Routers) || slices.Contains(a.Tried, e.beat.Incarnation) {
			continue
		}
		p, c := e.evaluate(now, a, e == home, sources)
		if g.dedicated[e] {
			c += dedicatedCost(a.Prompt, e.beat.Zone == t.zone)
		}
		if e.beat.Zone != t.zone {
			c += crossings.cost(e.beat.Zone)
		}
		c += probeCost(max(e.gate.ProbeDue(a.Elapsed), e.warmup.ProbeDue(now)), a.Repeatable)
		// Random noise keeps routers with the same information from choosing the same
		// endpoint at the same moment.
		c += time.Duration(rand.Int64N(int64(2 * time.Millisecond)))
		if !ok || c < least {
			best, least, ok = p, c, true
		}
	}
	return best, ok
}

// probeCost returns the cost of sending a request to an endpoint whose probe has been due
// for some time. Repeatable requests probe at no cost; others do only if no repeatable
// request came for probeOverdue.
func probeCost(due time.Duration, repeatable bool) time.Duration {
	if due == 0 || repeatable || due > probeOverdue {
		return 0
	}
	return unavailablePenalty
}

// crossZoneCost returns the cost of sending a request to another availability zone that is as full.
func crossZoneCost(p *Prompt) time.Duration {
	if p == nil {
		return crossZonePlainPenalty
	}
	return crossZonePenalty
}
