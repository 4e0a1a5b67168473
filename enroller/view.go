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
	// maxRemoteEndpoints bounds the endpoints of one service that routers are told of in
	// each availability zone other than their own.
	maxRemoteEndpoints = 64
	// refreshPause for each endpoint beyond eagerEndpoints is the least time between two
	// refreshes of a view, so that they take the same part of a processor at any size.
	refreshPause   = 20 * time.Microsecond
	eagerEndpoints = 1000
	// maxViewChanges bounds the changes that a view remembers.
	maxViewChanges = 4096
)

// View is the part of a table that the routers of one availability zone are told of: all
// endpoints of the zone, and a sample of those of each other zone, the same for all routers
// of the zone. It is not safe for concurrent use.
type View struct {
	table *Table
	zone  string
	// Revision grows with every change of what routers are told.
	revision uint64
	// Shown is the table's revision as of the last refresh, at refreshedAt.
	shown       uint64
	refreshedAt time.Time
	// Members holds what routers are told of, by id.
	members map[string]member
	// Changes is ordered by revision and complete after changesSince.
	changes      []viewChange
	changesSince uint64
	// Whole caches all sightings as of wholeAt.
	whole         []*messenger.Sighting
	wholeAt       time.Time
	wholeRevision uint64
}

type member struct {
	incarnation Incarnation
	// Entry is the revision of the table's entry that routers were told.
	entry uint64
}

type viewChange struct {
	revision uint64
	// Gone is set if the incarnation is no longer a member.
	gone        bool
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

// Revision refreshes the view and returns its revision.
func (v *View) Revision(now time.Time) uint64 {
	pause := time.Duration(max(len(v.table.entries)-eagerEndpoints, 0)) * refreshPause
	if v.shown != v.table.revision && now.Sub(v.refreshedAt) >= pause {
		v.refresh()
		v.shown, v.refreshedAt = v.table.revision, now
	}
	return v.revision
}

func (v *View) refresh() {
	selected := v.table.selectFor(v)
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[id]
		if e := selected[id]; e == nil || e.beat.Incarnation != m.incarnation {
			delete(v.members, id)
			v.note(m.incarnation, true)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(selected)) {
		e := selected[id]
		if m, ok := v.members[id]; !ok || m.entry != e.revision {
			v.members[id] = member{incarnation: e.beat.Incarnation, entry: e.revision}
			v.note(e.beat.Incarnation, false)
		}
	}
}

func (v *View) note(i Incarnation, gone bool) {
	v.revision++
	v.changes = append(v.changes, viewChange{revision: v.revision, gone: gone, incarnation: i})
	if n := len(v.changes); n > 2*maxViewChanges {
		v.changesSince = v.changes[n-maxViewChanges-1].revision
		v.changes = slices.Clone(v.changes[n-maxViewChanges:])
	}
}

// group is the endpoints of a service in a zone.
type group struct{ service, zone string }

// selectFor returns the endpoints of a view.
func (t *Table) selectFor(v *View) map[string]*entry {
	out := make(map[string]*entry, len(v.members))
	remote := map[group][]*entry{}
	for id, e := range t.entries {
		_, told := v.members[id]
		if v.zone == "" || e.beat.Zone == v.zone || told && e.beat.Leaving {
			out[id] = e
			continue
		}
		if !e.beat.Leaving {
			g := group{e.beat.Service, e.beat.Zone}
			remote[g] = append(remote[g], e)
		}
	}
	for _, list := range remote {
		if len(list) > maxRemoteEndpoints {
			list = sample(list, v.zone)
		}
		for _, e := range list {
			out[e.beat.ID] = e
		}
	}
	return out
}

// sample returns the maxRemoteEndpoints entries with the highest hashes of entry and zone: a
// change of the list changes few of them.
func sample(list []*entry, zone string) []*entry {
	type ranked struct {
		entry *entry
		hash  uint64
	}
	all := make([]ranked, len(list))
	for i, e := range list {
		all[i] = ranked{entry: e, hash: xxhash.Sum64String(zone + "\x00" + e.beat.ID)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.beat.ID, b.entry.beat.ID))
	})
	out := make([]*entry, maxRemoteEndpoints)
	for i := range out {
		out[i] = all[i].entry
	}
	return out
}

// Changes returns the members that changed after a revision, and those that are none any
// more. It returns false where that is no longer known.
func (v *View) Changes(now time.Time, since uint64) (changed []*messenger.Sighting, gone []Incarnation, known bool) {
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
		case c.gone:
			gone = append(gone, c.incarnation)
		case e != nil && e.beat.Incarnation == c.incarnation:
			changed = append(changed, e.sighting(now))
		}
	}
	return changed, gone, true
}

// Sightings returns all members with their ages as of at most maxAge ago; callers must not
// change them.
func (v *View) Sightings(now time.Time, maxAge time.Duration) []*messenger.Sighting {
	if v.whole != nil && v.wholeRevision == v.revision && now.Sub(v.wholeAt) <= maxAge {
		return v.whole
	}
	v.whole, v.wholeAt, v.wholeRevision = make([]*messenger.Sighting, 0, len(v.members)), now, v.revision
	for _, id := range slices.Sorted(maps.Keys(v.members)) {
		if e := v.table.entries[id]; e != nil {
			v.whole = append(v.whole, e.sighting(now))
		}
	}
	return v.whole
}
