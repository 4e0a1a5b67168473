package router

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/tracker"
)

const (
	// tableRefreshInterval is the minimum time between two updates of a
	// candidate table. Announcements arrive all the time; an update for each of
	// them would cost more than serving the requests.
	tableRefreshInterval = 50 * time.Millisecond
	// tableMaxAge is the age at which requests wait for an update of the table
	// instead of using the last one.
	tableMaxAge = 500 * time.Millisecond
)

// candidateCache holds the candidate tables of one configuration version.
type candidateCache struct {
	snapshot *configurer.Snapshot
	// byCaller maps a workspaceService to its *candidateTable.
	byCaller sync.Map
	// byGrant maps a tableKey to its *candidateTable. Thousands of workspaces
	// with the same matching statements share one table.
	byGrant sync.Map
}

// workspaceService identifies a caller's workspace and the requested service.
// Configuration objects are immutable, so their addresses identify them within
// one configuration version.
type workspaceService struct {
	workspace *configurer.Workspace
	service   *messenger.Service
}

// tableKey identifies a service and the statements that grant access to it.
type tableKey struct{ service, grant string }

// candidateTable holds the latest candidates for all workspaces that have the
// same access to a service.
type candidateTable struct {
	service string
	grant   configurer.Grant
	latest  atomic.Pointer[builtTable]
	mu      sync.Mutex
}

// builtTable is one state of a candidate table.
type builtTable struct {
	set *picker.Set
	// endpoints is the tracker's table that set was built from. It is replaced
	// when endpoints appear, disappear or change their labels; load and age are
	// updated in place.
	endpoints *tracker.Table
	// revision is the tracker revision up to which load reports have been
	// applied.
	revision uint64
	builtAt  time.Time
}

// candidates returns the endpoints that the statements allow for a request.
func (r *Router) candidates(q *request, now time.Time) *picker.Set {
	return r.candidateTable(r.currentCandidates(), workspaceService{q.workspace, q.service}).current(r, now)
}

// currentCandidates returns the cache for the configuration in use and replaces
// the cache of an earlier version.
func (r *Router) currentCandidates() *candidateCache {
	s := r.snapshot.Load()
	g := r.candidateTables.Load()
	if g != nil && g.snapshot == s {
		return g
	}
	fresh := &candidateCache{snapshot: s}
	if r.candidateTables.CompareAndSwap(g, fresh) {
		return fresh
	}
	return r.currentCandidates()
}

// candidateTable returns the table for a workspace and a service and creates it
// on first use.
func (r *Router) candidateTable(g *candidateCache, p workspaceService) *candidateTable {
	if t, ok := g.byCaller.Load(p); ok {
		return t.(*candidateTable)
	}
	grant := g.snapshot.Grant(p.workspace, p.service)
	t, _ := g.byGrant.LoadOrStore(tableKey{p.service.Name, grant.Key()}, &candidateTable{service: p.service.Name, grant: grant})
	g.byCaller.Store(p, t)
	return t.(*candidateTable)
}

// current returns the latest candidates and updates the table if the tracker
// has news. One request updates the table while others use the previous one,
// unless that is older than tableMaxAge: the table of an idle router may be
// hours old.
func (t *candidateTable) current(r *Router, now time.Time) *picker.Set {
	revision := r.tracker.Revision()
	b := t.latest.Load()
	if b != nil && (b.revision == revision || now.Sub(b.builtAt) < tableRefreshInterval) {
		return b.set
	}
	if b != nil && now.Sub(b.builtAt) < tableMaxAge {
		if !t.mu.TryLock() {
			return b.set
		}
	} else {
		t.mu.Lock()
	}
	defer t.mu.Unlock()
	if c := t.latest.Load(); c != b && c.revision == revision {
		return c.set
	}
	return t.update(r, b, revision, now)
}

// update applies new load reports, or builds a new set if the endpoints have
// changed. The caller holds t.mu.
func (t *candidateTable) update(r *Router, b *builtTable, revision uint64, now time.Time) *picker.Set {
	n := &builtTable{endpoints: r.tracker.Table(), revision: revision, builtAt: now}
	if b != nil && b.endpoints == n.endpoints {
		n.set = b.set
		n.set.Refresh()
	} else {
		n.set = r.buildSet(t, n.endpoints, now)
	}
	t.latest.Store(n)
	return n.set
}

// buildSet builds a set of the service's endpoints that the statements allow.
func (r *Router) buildSet(t *candidateTable, from *tracker.Table, now time.Time) *picker.Set {
	var allowed []*rattanhoist.Endpoint
	for _, e := range from.Service(t.service) {
		if t.grant.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	return r.ledger.NewSet(t.service, r.self.Zone(), r.settings.Policy().EndpointMaxAge(), now, allowed)
}
