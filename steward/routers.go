package steward

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxRouterChanges bounds the changes of the list of routers that are remembered.
	maxRouterChanges = 4096
	// zoneLoadTTL is how old the load of a zone may be that routers are told.
	zoneLoadTTL = 200 * time.Millisecond
)

// router is what a keeper heard of one router.
type router struct {
	member *messenger.FleetMember
	heard  time.Time
	// Direct says that the router itself asked here.
	direct bool
	// Load is as the router told last, or nil.
	load *messenger.RouterLoad
}

// routers are the routers that a keeper has heard of lately. It is not safe for concurrent
// use.
type routers struct {
	byAddress map[string]router
	// Revision grows with every change of the list; it begins at 1.
	revision uint64
	// Changes is ordered by revision and complete after changesSince.
	changes      []routerChange
	changesSince uint64
	// Loads caches the load of availability zones.
	loads map[string]cachedLoad
}

type cachedLoad struct {
	load *messenger.ZoneLoad
	at   time.Time
}

type routerChange struct {
	revision uint64
	address  string
}

func newRouters() *routers {
	return &routers{byAddress: map[string]router{}, revision: 1, loads: map[string]cachedLoad{}}
}

// observe records that a router was heard of.
func (r *routers) observe(now time.Time, m *messenger.FleetMember, direct bool) {
	old, known := r.byAddress[m.Address]
	r.byAddress[m.Address] = router{member: m, heard: now, direct: direct, load: old.load}
	if !known || old.member.Zone != m.Zone || old.member.Incarnation != m.Incarnation {
		r.note(m.Address)
	}
}

// relayed records that another keeper heard of a router, unless it was heard here lately.
func (r *routers) relayed(now time.Time, m *messenger.FleetMember) {
	if x := r.byAddress[m.Address]; !x.direct || now.Sub(x.heard) > 2*shareEvery {
		r.observe(now, &messenger.FleetMember{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation}, false)
		r.setLoad(m.Address, m.Load)
	}
}

func (r *routers) setLoad(address string, l *messenger.RouterLoad) {
	if x, ok := r.byAddress[address]; ok {
		x.load = l
		r.byAddress[address] = x
	}
}

// zoneLoad returns the load of the routers of a zone that told theirs.
func (r *routers) zoneLoad(now time.Time, zone string) *messenger.ZoneLoad {
	if c, ok := r.loads[zone]; ok && now.Sub(c.at) < zoneLoadTTL {
		return c.load
	}
	out, sum := &messenger.ZoneLoad{}, uint64(0)
	for _, x := range r.byAddress {
		if x.member.Zone != zone || x.load == nil {
			continue
		}
		out.Routers++
		sum += uint64(x.load.Permille)
		if x.load.Shedding {
			out.Shedding++
		}
	}
	if out.Routers > 0 {
		out.MeanPermille = uint32(sum / uint64(out.Routers))
	}
	r.loads[zone] = cachedLoad{load: out, at: now}
	return out
}

// expire forgets routers that fell silent.
func (r *routers) expire(now time.Time) {
	for a, x := range r.byAddress {
		if now.Sub(x.heard) > routerSilence {
			delete(r.byAddress, a)
			r.note(a)
		}
	}
}

func (r *routers) note(address string) {
	r.revision++
	r.changes = append(r.changes, routerChange{revision: r.revision, address: address})
	if n := len(r.changes); n > 2*maxRouterChanges {
		r.changesSince = r.changes[n-maxRouterChanges-1].revision
		r.changes = slices.Clone(r.changes[n-maxRouterChanges:])
	}
}

// direct returns the routers that asked here lately.
func (r *routers) direct(now time.Time) []*messenger.FleetMember {
	var out []*messenger.FleetMember
	for _, x := range r.byAddress {
		if x.direct && now.Sub(x.heard) < 2*shareEvery {
			m := x.member
			out = append(out, &messenger.FleetMember{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Load: x.load})
		}
	}
	return out
}

// list fills in the routers: what changed since a revision where that is known, else all.
func (r *routers) list(since uint64, out *messenger.SyncReply) {
	out.RoutersRevision = r.revision
	if since == 0 || since < r.changesSince || since > r.revision {
		for _, a := range slices.Sorted(maps.Keys(r.byAddress)) {
			out.Routers = append(out.Routers, r.byAddress[a].member)
		}
		return
	}
	out.RoutersPartial = true
	seen := map[string]bool{}
	for i := len(r.changes) - 1; i >= 0 && r.changes[i].revision > since; i-- {
		a := r.changes[i].address
		if seen[a] {
			continue
		}
		seen[a] = true
		if x, ok := r.byAddress[a]; ok {
			out.Routers = append(out.Routers, x.member)
		} else {
			out.RoutersGone = append(out.RoutersGone, a)
		}
	}
}
