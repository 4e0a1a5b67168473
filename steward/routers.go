package steward

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxRouterChanges bounds the remembered changes of the router list.
	maxRouterChanges = 4096
	// foundedBefore is for how long no router has ended in a deployment that was just founded: longer than
	// any stream.
	foundedBefore = 24 * time.Hour
	// zoneLoadTTL is how old a zone's load sent to routers may be.
	zoneLoadTTL = 200 * time.Millisecond
)

// router is what a keeper knows about one router.
type router struct {
	member   *messenger.FleetMember
	lastSeen time.Time
	// direct is set if the router itself called this keeper.
	direct bool
	// leavesIndex is the log index up to which the router knows all leaves, or has been sent them in a
	// reply that it will receive as far as this keeper knows.
	leavesIndex uint64
	// sentIndex is the log index of the last reply to the router, and missedReply is set if the router's next
	// request stated less: that reply did not arrive.
	sentIndex   uint64
	missedReply bool
	// load is what the router last reported, or nil.
	load *messenger.RouterLoad
}

// routers holds the routers that a keeper has heard of recently. It is not safe for
// concurrent use.
type routers struct {
	byAddress map[string]router
	// revision grows with every change of the list; it starts at 1.
	revision uint64
	// changes is ordered by revision and complete after changesSince.
	changes      []routerChange
	changesSince uint64
	// loads caches the load of availability zones.
	loads map[string]cachedLoad
	// allKnownSince is when this keeper began to hear of routers, or long before if it founded the
	// deployment. LostAt is when it last noticed that a router has ended or started anew.
	allKnownSince, lostAt time.Time
	// lastNotified caches notifiedIndex as of notifiedAt.
	lastNotified uint64
	notifiedAt   time.Time
}

// cachedLoad is the load of a zone as computed at a time.
type cachedLoad struct {
	load *messenger.ZoneLoad
	at   time.Time
}

// routerChange records that a router was added, changed or removed.
type routerChange struct {
	revision uint64
	address  string
}

func newRouters() *routers {
	return &routers{byAddress: map[string]router{}, revision: 1, loads: map[string]cachedLoad{}}
}

// observe records that a router is alive.
func (r *routers) observe(now time.Time, m *messenger.FleetMember, direct bool) {
	old, known := r.byAddress[m.Address]
	x := router{member: m, lastSeen: now, direct: direct, load: old.load}
	if known && old.member.Incarnation == m.Incarnation {
		x.leavesIndex, x.sentIndex, x.missedReply = old.leavesIndex, old.sentIndex, old.missedReply
	}
	r.byAddress[m.Address] = x
	if known && old.member.Incarnation != m.Incarnation {
		r.lostAt = now
	}
	if !known || old.member.Zone != m.Zone || old.member.Incarnation != m.Incarnation {
		r.recordChange(m.Address)
	}
}

// keptDuration returns for how long no router has ended or started anew, as far as this keeper knows.
func (r *routers) keptDuration(now time.Time) time.Duration {
	since := r.allKnownSince
	if r.lostAt.After(since) {
		since = r.lostAt
	}
	return now.Sub(since)
}

// observeRelayed records a router that another keeper reported, unless the router itself
// called this keeper recently.
func (r *routers) observeRelayed(now time.Time, m *messenger.FleetMember) {
	if x := r.byAddress[m.Address]; !x.direct || now.Sub(x.lastSeen) > 2*shareInterval {
		r.observe(now, &messenger.FleetMember{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation}, false)
		r.setLoad(m.Address, m.Load)
	}
}

// setLoad records the load that a known router reported.
func (r *routers) setLoad(address string, l *messenger.RouterLoad) {
	if x, ok := r.byAddress[address]; ok {
		x.load = l
		r.byAddress[address] = x
	}
}

// notified records that a known router is sent all leaves up to a log index, in reply to a request that stated
// which leaves the router knows; nil if it is of an earlier version. A reply counts once it is composed, as long as
// the replies before have arrived: leaves are then acknowledged without waiting for the router's next request.
func (r *routers) notified(address, deployment string, stated *messenger.KnownLeaves, index uint64) {
	x, ok := r.byAddress[address]
	if !ok {
		return
	}
	knows := uint64(0)
	if stated.GetDeployment() == deployment {
		knows = stated.GetIndex()
	}
	x.missedReply = stated != nil && knows < x.sentIndex
	x.sentIndex, x.leavesIndex = index, index
	if x.missedReply {
		x.leavesIndex = knows
	}
	r.byAddress[address] = x
}

// zoneLoad returns the load of a zone, computed from the routers that reported theirs.
func (r *routers) zoneLoad(now time.Time, zone string) *messenger.ZoneLoad {
	if c, ok := r.loads[zone]; ok && now.Sub(c.at) < zoneLoadTTL {
		return c.load
	}
	out, sum, processor := &messenger.ZoneLoad{}, uint64(0), uint64(0)
	for _, x := range r.byAddress {
		if x.member.Zone != zone || x.load == nil {
			continue
		}
		out.Routers++
		sum += uint64(x.load.Permille)
		processor += uint64(x.load.ProcessorPermille)
		if x.load.Shedding {
			out.Shedding++
		}
	}
	if out.Routers > 0 {
		out.MeanPermille = uint32(sum / uint64(out.Routers))
		out.MeanProcessorPermille = uint32(processor / uint64(out.Routers))
	}
	r.loads[zone] = cachedLoad{load: out, at: now}
	return out
}

// expire removes routers that have been silent for longer than routerTimeout.
func (r *routers) expire(now time.Time) {
	for a, x := range r.byAddress {
		if now.Sub(x.lastSeen) > routerTimeout {
			delete(r.byAddress, a)
			r.lostAt = now
			r.recordChange(a)
		}
	}
}

// recordChange starts a new revision and drops old changes.
func (r *routers) recordChange(address string) {
	r.revision++
	r.changes = append(r.changes, routerChange{revision: r.revision, address: address})
	if n := len(r.changes); n > 2*maxRouterChanges {
		r.changesSince = r.changes[n-maxRouterChanges-1].revision
		r.changes = slices.Clone(r.changes[n-maxRouterChanges:])
	}
}

// recentDirect returns the routers that called this keeper recently.
func (r *routers) recentDirect(now time.Time) []*messenger.FleetMember {
	var out []*messenger.FleetMember
	for _, x := range r.byAddress {
		if x.direct && now.Sub(x.lastSeen) < 2*shareInterval {
			m := x.member
			out = append(out, &messenger.FleetMember{Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation, Load: x.load})
		}
	}
	return out
}

// fillList fills in the routers: those that changed since a revision if the changes are
// still known, and all routers otherwise.
func (r *routers) fillList(since uint64, out *messenger.SyncReply) {
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
