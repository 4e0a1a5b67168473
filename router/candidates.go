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
	// tableRefresh is how long a candidate table serves after the endpoints
	// changed; announcements come all the time, and a rebuild on each would
	// cost more than the requests.
	tableRefresh = 50 * time.Millisecond
	// tableStale is the age from which a request waits for the rebuild.
	tableStale = 500 * time.Millisecond
)

// grants caches the candidate tables of one configuration version.
type grants struct {
	snapshot *configurer.Snapshot
	// Pairs maps a pair to its *candidateTable.
	pairs sync.Map
	// Tables maps service and matching statements to a *candidateTable:
	// thousands of workspaces under the same statements share one.
	tables sync.Map
}

// pair names who asks for what; configuration objects are never changed, so
// their addresses identify them within one version.
type pair struct {
	workspace *configurer.Workspace
	service   *messenger.Service
}

type tableKey struct{ service, grant string }

// candidateTable holds the newest table of one group of workspaces.
type candidateTable struct {
	service string
	grant   configurer.Grant
	built   atomic.Pointer[builtTable]
	mu      sync.Mutex
}

type builtTable struct {
	set *picker.Set
	// From tells whether endpoints came, went or changed their labels; load
	// and age are renewed in place.
	from *tracker.Table
	// Revision is that of the news whose load reports have been noted.
	revision uint64
	at       time.Time
}

// candidates returns the table of endpoints that statements allow.
func (r *Router) candidates(q *request, now time.Time) *picker.Set {
	return r.table(r.currentGrants(), pair{q.workspace, q.service}).current(r, now)
}

func (r *Router) currentGrants() *grants {
	s := r.snapshot.Load()
	g := r.grants.Load()
	if g != nil && g.snapshot == s {
		return g
	}
	made := &grants{snapshot: s}
	if r.grants.CompareAndSwap(g, made) {
		return made
	}
	return r.currentGrants()
}

func (r *Router) table(g *grants, p pair) *candidateTable {
	if t, ok := g.pairs.Load(p); ok {
		return t.(*candidateTable)
	}
	grant := g.snapshot.Grant(p.workspace, p.service)
	t, _ := g.tables.LoadOrStore(tableKey{p.service.Name, grant.Key()}, &candidateTable{service: p.service.Name, grant: grant})
	g.pairs.Store(p, t)
	return t.(*candidateTable)
}

// current returns the newest table, rebuilt where the endpoints changed. One
// request rebuilds while the others use the last table, but for one that is
// stale: an idle router's table may be hours old.
func (t *candidateTable) current(r *Router, now time.Time) *picker.Set {
	revision := r.tracker.Revision()
	b := t.built.Load()
	if b != nil && (b.revision == revision || now.Sub(b.at) < tableRefresh) {
		return b.set
	}
	if b != nil && now.Sub(b.at) < tableStale {
		if !t.mu.TryLock() {
			return b.set
		}
	} else {
		t.mu.Lock()
	}
	defer t.mu.Unlock()
	if c := t.built.Load(); c != b && c.revision == revision {
		return c.set
	}
	return t.renew(r, b, revision, now)
}

// renew notes load reports, or builds a new table where endpoints changed;
// t.mu is held.
func (t *candidateTable) renew(r *Router, b *builtTable, revision uint64, now time.Time) *picker.Set {
	n := &builtTable{from: r.tracker.Table(), revision: revision, at: now}
	if b != nil && b.from == n.from {
		n.set = b.set
		n.set.Refresh()
	} else {
		n.set = r.newSet(t, n.from, now)
	}
	t.built.Store(n)
	return n.set
}

func (r *Router) newSet(t *candidateTable, from *tracker.Table, now time.Time) *picker.Set {
	var allowed []*rattanhoist.Endpoint
	for _, e := range from.Service(t.service) {
		if t.grant.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	return r.ledger.NewSet(t.service, r.self.Zone(), r.settings.Policy().EndpointMaxAge(), now, allowed)
}
