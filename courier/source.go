package courier

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// keeperSource is the state received from one keeper.
type keeperSource struct {
	// epoch is 0 for a keeper that doesn't send changes.
	epoch, revision uint64
	// routers holds the routers that the keeper listed, by address, as of routersRevision,
	// which is 0 if there are none.
	routers         map[string]*messenger.FleetMember
	routersRevision uint64
	// alive holds the endpoints that the keeper considers alive. aliveRecordedAt is when
	// that was last recorded in the endpoint table.
	alive           map[enroller.Incarnation]bool
	aliveRecordedAt time.Time
	repliedAt       time.Time
}

const (
	// maxSharedEndpoints is the number of endpoints up to which all keepers that are asked
	// report endpoints. With more, only the primary source reports them, unless it falls silent.
	maxSharedEndpoints = 512
	// primaryTimeout is how long the primary source may be silent before another keeper
	// takes its place.
	primaryTimeout = 2 * time.Second
)

// skipEndpoints reports whether a request to a keeper need not ask for endpoints, because
// the primary source reports them. If that one has been silent for too long, the keeper
// becomes the primary source.
func (f *fleetView) skipEndpoints(now time.Time, keeper string) bool {
	if len(f.endpoints) <= maxSharedEndpoints || f.primarySource == keeper {
		return false
	}
	if now.Sub(f.primaryAt) < primaryTimeout {
		return true
	}
	f.primarySource, f.primaryAt = keeper, now
	return false
}

// updateEndpoints applies a keeper's report about endpoints, requested at sent.
func (f *fleetView) updateEndpoints(keeper string, r *messenger.SyncReply, sent, now time.Time) {
	s := f.sources[keeper]
	switch {
	case s == nil || s.epoch != r.Epoch:
		s = &keeperSource{alive: map[enroller.Incarnation]bool{}}
		f.sources[keeper] = s
	case !r.Partial:
		s.alive = map[enroller.Incarnation]bool{}
	}
	s.epoch, s.revision, s.repliedAt = r.Epoch, r.Revision, now
	for _, g := range r.Gone {
		i := enroller.IncarnationFromLeave(g)
		delete(s.alive, i)
		f.registered.Forget(i)
	}
	if sent.Sub(s.aliveRecordedAt) >= f.aliveInterval {
		s.aliveRecordedAt = sent
		for i := range s.alive {
			f.registered.MarkAlive(sent, i)
		}
	}
	for _, x := range r.Endpoints {
		if r.Epoch != 0 {
			s.alive[enroller.Incarnation{ID: x.Id, BornMS: x.BornMs}] = true
		}
	}
	for _, x := range r.Endpoints {
		b, age := enroller.HeartbeatFromSighting(x)
		if b.ColdRemaining > 0 {
			// The remaining cold time counts from the reply, not from the request.
			b.ColdRemaining += now.Sub(sent)
		}
		if i, ok := f.registered.AtAddress(b.Address); ok && i.ID != b.ID && b.Sequence > 0 && !f.listed(now, i) {
			f.registered.Forget(i)
		}
		f.registered.Observe(sent, b, age)
	}
}

// listed reports whether any keeper that replied recently considers an incarnation alive.
func (f *fleetView) listed(now time.Time, i enroller.Incarnation) bool {
	for _, s := range f.sources {
		if s.alive[i] && now.Sub(s.repliedAt) < primaryTimeout {
			return true
		}
	}
	return false
}

// updateRouters applies a keeper's report about routers. It returns all routers that the
// keeper lists, or nil if it reported none.
func (f *fleetView) updateRouters(keeper string, r *messenger.SyncReply) []*messenger.FleetMember {
	s := f.sources[keeper]
	if s == nil || r.RoutersRevision == 0 {
		return r.Routers
	}
	if !r.RoutersPartial {
		s.routers = map[string]*messenger.FleetMember{}
	}
	for _, m := range r.Routers {
		s.routers[m.Address] = m
	}
	for _, a := range r.RoutersGone {
		delete(s.routers, a)
	}
	s.routersRevision = r.RoutersRevision
	return slices.Collect(maps.Values(s.routers))
}
