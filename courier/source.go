package courier

import (
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// source is what a router knows of endpoints from one keeper.
type source struct {
	// Epoch is 0 for a keeper that does not tell changes.
	epoch, revision uint64
	// Routers holds by address the routers that the keeper named, as of routersRevision; 0
	// for none.
	routers         map[string]*messenger.FleetMember
	routersRevision uint64
	// Alive holds the endpoints that the keeper takes for alive, and renewedAt when that was
	// last noted.
	alive     map[enroller.Incarnation]bool
	renewedAt time.Time
}

const (
	// maxSharedEndpoints is how many endpoints a router hears of from every keeper that it asks.
	// Of more it hears from one, the primary source, unless that one falls silent.
	maxSharedEndpoints = 512
	// primaryTimeout is how long the primary source may be silent.
	primaryTimeout = 2 * time.Second
)

// skipsEndpoints reports whether a keeper that is asked now need not tell of endpoints, since
// the primary source does. If that one has been silent for too long, the keeper takes its place.
func (f *fleet) skipsEndpoints(now time.Time, keeper string) bool {
	if len(f.endpoints) <= maxSharedEndpoints || f.primary == keeper {
		return false
	}
	if now.Sub(f.primaryAt) < primaryTimeout {
		return true
	}
	f.primary, f.primaryAt = keeper, now
	return false
}

// hearEndpoints takes in what a keeper tells of endpoints, asked at sent.
func (f *fleet) hearEndpoints(keeper string, r *messenger.SyncReply, sent, now time.Time) {
	s := f.sources[keeper]
	switch {
	case s == nil || s.epoch != r.Epoch:
		s = &source{alive: map[enroller.Incarnation]bool{}}
		f.sources[keeper] = s
	case !r.Partial:
		s.alive = map[enroller.Incarnation]bool{}
	}
	s.epoch, s.revision = r.Epoch, r.Revision
	for _, g := range r.Gone {
		i := enroller.LeaveOf(g)
		delete(s.alive, i)
		f.roll.Forget(i)
	}
	if sent.Sub(s.renewedAt) >= f.renewAlive {
		s.renewedAt = sent
		for i := range s.alive {
			f.roll.Alive(sent, i)
		}
	}
	for _, x := range r.Endpoints {
		b, age := enroller.BeatOf(x)
		if b.Cold > 0 {
			// The age counts from the answer, not from the question.
			b.Cold += now.Sub(sent)
		}
		f.roll.Hear(sent, b, age)
		if r.Epoch != 0 {
			s.alive[b.Incarnation] = true
		}
	}
}

// listRouters takes in what a keeper tells of routers. It returns all that it names, or nil
// where it told nothing of them.
func (f *fleet) listRouters(keeper string, r *messenger.SyncReply) []*messenger.FleetMember {
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
