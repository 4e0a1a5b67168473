package enroller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxRemoteEndpoints bounds the endpoints of one service that routers are sent for
	// each availability zone other than their own.
	maxRemoteEndpoints = 64
	// minPerVersion is how many endpoints of each software version are among them, so that routers
	// can resume streams of every version.
	minPerVersion = 4
	// The minimum time between two refreshes of a view is refreshIntervalPerEndpoint for
	// each endpoint beyond unthrottledEndpoints, so that refreshes take the same share of
	// a processor at any size.
	refreshIntervalPerEndpoint = 20 * time.Microsecond
	unthrottledEndpoints       = 1000
	// maxViewChanges bounds the changes that a view remembers, and maxViewChangeBytes the ids in them.
	maxViewChanges     = 4096
	maxViewChangeBytes = 256 << 10
)

// View is the part of a table that is sent to the routers of one availability zone: all
// endpoints of the zone, and a sample of those of each other zone, the same for all
// routers of the zone. It is not safe for concurrent use.
type View struct {
	table *Table
	zone  string
	// revision grows with every change of the members.
	revision uint64
	// tableRevision is the table's revision at the last refresh, and refreshedAt its time.
	tableRevision uint64
	refreshedAt   time.Time
	// members holds the endpoints that routers are sent, by id.
	members map[string]member
	// changes is ordered by revision and complete after changesSince.
	changes      []viewChange
	changesSince uint64
	// changesBytes is the size of the ids in changes.
	changesBytes int
	// cached holds all sightings as of cachedAt.
	cached         []*messenger.Sighting
	cachedAt       time.Time
	cachedRevision uint64
}

// member is an endpoint of a view as last sent to routers.
type member struct {
	incarnation Incarnation
	// entryRevision is the revision of the table entry at the last refresh.
	entryRevision uint64
}

// viewChange records that a member was added, changed or removed.
type viewChange struct {
	revision uint64
	// removed is set if the incarnation is no longer a member.
	removed     bool
	incarnation Incarnation
}

// View returns the view of an availability zone; "" stands for all endpoints.
func (t *Table) View(zone string) *View {
	v := t.views[zone]
	if v == nil {
		v = &View{table: t, zone: zone, members: map[string]member{}}
		t.views[zone] = v
	}
	return v
}

// Refresh brings the view up to date if the last refresh is long enough ago, and returns
// the view's revision.
func (v *View) Refresh(now time.Time) uint64 {
	pause := time.Duration(max(len(v.table.entries)-unthrottledEndpoints, 0)) * refreshIntervalPerEndpoint
	if v.tableRevision != v.table.revision && now.Sub(v.refreshedAt) >= pause {
		v.updateMembers()
		v.tableRevision, v.refreshedAt = v.table.revision, now
	}
	return v.revision
}

// updateMembers selects the members again and records the changes.
func (v *View) updateMembers() {
	selected := v.table.selectMembers(v)
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[id]
		if e := selected[id]; e == nil || e.heartbeat.Incarnation != m.incarnation {
			delete(v.members, id)
			v.recordChange(m.incarnation, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		e := selected[id]
		if m, ok := v.members[id]; !ok || m.entryRevision != e.revision {
			v.members[id] = member{incarnation: e.heartbeat.Incarnation, entryRevision: e.revision}
			v.recordChange(e.heartbeat.Incarnation, false)
		}
	}
}

// recordChange starts a new revision and drops old changes.
func (v *View) recordChange(i Incarnation, removed bool) {
	v.revision++
	v.changes = append(v.changes, viewChange{revision: v.revision, removed: removed, incarnation: i})
	v.changesBytes += len(i.ID)
	if len(v.changes) > 2*maxViewChanges || v.changesBytes > 2*maxViewChangeBytes {
		v.dropChanges()
	}
}

// dropChanges drops the oldest changes beyond maxViewChanges and maxViewChangeBytes.
func (v *View) dropChanges() {
	drop := 0
	for ; len(v.changes)-drop > maxViewChanges || v.changesBytes > maxViewChangeBytes; drop++ {
		v.changesBytes -= len(v.changes[drop].incarnation.ID)
		v.changesSince = v.changes[drop].revision
	}
	v.changes = slices.Clone(v.changes[drop:])
}

// serviceZone is the key of the endpoints of a service in a zone.
type serviceZone struct{ service, zone string }

// selectMembers returns the endpoints that belong to a view.
func (t *Table) selectMembers(v *View) map[string]*entry {
	out := make(map[string]*entry, len(v.members))
	remote := map[serviceZone][]*entry{}
	for id, e := range t.entries {
		_, isMember := v.members[id]
		if v.zone == "" || e.heartbeat.Zone == v.zone || isMember && e.heartbeat.Leaving {
			out[id] = e
			continue
		}
		if !e.heartbeat.Leaving {
			g := serviceZone{e.heartbeat.Service, e.heartbeat.Zone}
			remote[g] = append(remote[g], e)
		}
	}
	for _, list := range remote {
		if len(list) > maxRemoteEndpoints {
			list = sample(list, v.zone)
		}
		for _, e := range list {
			out[e.heartbeat.ID] = e
		}
	}
	return out
}

// sample returns the maxRemoteEndpoints entries with the highest hashes of zone and id, and among them
// minPerVersion of each version while there is room: a change of the list then changes few of them.
func sample(list []*entry, zone string) []*entry {
	type ranked struct {
		entry *entry
		hash  uint64
	}
	all := make([]ranked, len(list))
	for i, e := range list {
		all[i] = ranked{entry: e, hash: xxhash.Sum64String(zone + "\x00" + e.heartbeat.ID)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.heartbeat.ID, b.entry.heartbeat.ID))
	})
	out, rest := make([]*entry, 0, maxRemoteEndpoints), make([]*entry, 0, len(all))
	versions := map[Version]int{}
	for _, r := range all {
		v := r.entry.heartbeat.Version
		if versions[v]++; versions[v] <= minPerVersion && len(out) < maxRemoteEndpoints {
			out = append(out, r.entry)
		} else {
			rest = append(rest, r.entry)
		}
	}
	return append(out, rest[:maxRemoteEndpoints-len(out)]...)
}

// Changes returns the members that changed after a revision, and the incarnations that are
// no longer members. It returns false if the changes since then are no longer known.
func (v *View) Changes(now time.Time, since uint64) (changed []*messenger.Sighting, removed []Incarnation, complete bool) {
	if since < v.changesSince || since > v.revision {
		return nil, nil, false
	}
	seen := map[Incarnation]bool{}
	for i := len(v.changes) - 1; i >= 0 && v.changes[i].revision > since; i-- {
		c := v.changes[i]
		if seen[c.incarnation] {
			continue
		}
		seen[c.incarnation] = true
		e := v.table.entries[c.incarnation.ID]
		switch {
		case c.removed:
			removed = append(removed, c.incarnation)
		case e != nil && e.heartbeat.Incarnation == c.incarnation:
			changed = append(changed, e.sighting(now))
		}
	}
	return changed, removed, true
}

// Sightings returns all members with their ages, which may be out of date by maxAge;
// callers must not change them.
func (v *View) Sightings(now time.Time, maxAge time.Duration) []*messenger.Sighting {
	if v.cached != nil && v.cachedRevision == v.revision && now.Sub(v.cachedAt) <= maxAge {
		return v.cached
	}
	v.cached, v.cachedAt, v.cachedRevision = make([]*messenger.Sighting, 0, len(v.members)), now, v.revision
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		if e := v.table.entries[id]; e != nil {
			v.cached = append(v.cached, e.sighting(now))
		}
	}
	return v.cached
}
