package steward

import (
	"math/rand/v2"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// silentBeats is how many heartbeats an endpoint may miss: they can come
	// seconds late, and failures on the path show a crash sooner.
	silentBeats = 6
	// routerSilence is after how long a router no longer counts: it asks
	// several times a second.
	routerSilence = 3 * time.Second
	// wholeTTL is how long the ages of a list of all endpoints may stand.
	wholeTTL = 100 * time.Millisecond
	// leftTold bounds the leaves told in one answer: the newest.
	leftTold = 256
)

type router struct {
	member *messenger.FleetMember
	heard  time.Time
	// Direct says that the router itself asked here.
	direct bool
}

// roster is what a keeper heard of endpoints and routers.
type roster struct {
	mu    sync.Mutex
	table *enroller.Table
	// Fresh holds what endpoints told this very keeper since the last share.
	fresh   map[string]bool
	routers map[string]router
	// Epoch names this process, whose revisions of the table begin anew.
	epoch uint64
	// Whole holds all endpoints as of wholeAt, for the routers that ask for them together.
	whole         []*messenger.Sighting
	wholeAt       time.Time
	wholeRevision uint64
}

func newRoster(heartbeat time.Duration) *roster {
	return &roster{table: enroller.NewTable(silentBeats * heartbeat), fresh: map[string]bool{}, routers: map[string]router{}, epoch: rand.Uint64() | 1}
}

// beat takes a heartbeat in and reports whether it agrees with what is known of
// its id.
func (r *roster) beat(now time.Time, b enroller.Beat) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Accepts(b) {
		return false
	}
	r.table.Hear(now, b, 0)
	r.fresh[b.ID] = true
	return true
}

func (r *roster) leave(now time.Time, left []enroller.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range left {
		r.table.Leave(now, i)
	}
}

// resolve returns the incarnation that a message means which names the id
// alone: the newest one heard of, if any was.
func (r *roster) resolve(i enroller.Incarnation) enroller.Incarnation {
	if i.BornMS != 0 {
		return i
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if k, ok := r.table.Known(i.ID); ok {
		return k
	}
	return i
}

// hasZone reports whether an endpoint of a zone is known.
func (r *roster) hasZone(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.HasZone(zone)
}

func (r *roster) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Expire(now)
	for a, x := range r.routers {
		if now.Sub(x.heard) > routerSilence {
			delete(r.routers, a)
		}
	}
}

// news returns what was heard here since the last call.
func (r *roster) news(now time.Time, from string) *messenger.Sightings {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &messenger.Sightings{From: from}
	for _, s := range r.table.Sightings(now) {
		if r.fresh[s.Id] {
			out.Sightings = append(out.Sightings, s)
		}
	}
	clear(r.fresh)
	for _, x := range r.routers {
		if x.direct && now.Sub(x.heard) < 2*shareEvery {
			out.Routers = append(out.Routers, x.member)
		}
	}
	return out
}

// known returns all endpoints, and the revision that they are of.
func (r *roster) known(now time.Time) (*messenger.Sightings, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &messenger.Sightings{Sightings: r.table.Sightings(now)}, r.table.Revision()
}

// take takes in what another keeper heard.
func (r *roster) take(now time.Time, s *messenger.Sightings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range s.Sightings {
		b, age := enroller.BeatOf(x)
		r.table.Hear(now, b, age)
	}
	for _, m := range s.Routers {
		if x := r.routers[m.Address]; !x.direct || now.Sub(x.heard) > 2*shareEvery {
			r.routers[m.Address] = router{member: m, heard: now}
		}
	}
}

// ask notes a router's question and fills in what it is told.
func (r *roster) ask(now time.Time, q *messenger.SyncRequest, out *messenger.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := q.Router.GetAddress(); a != "" {
		r.routers[a] = router{member: q.Router, heard: now, direct: true}
	}
	if q.ListRouters || q.Revision == 0 {
		for _, x := range r.routers {
			out.Routers = append(out.Routers, x.member)
		}
	}
	out.Revision, out.Epoch = r.table.Revision(), r.epoch
	if r.tellChanges(now, q, out) || q.Revision == out.Revision && q.Epoch == 0 {
		return
	}
	if r.wholeRevision != out.Revision || now.Sub(r.wholeAt) > wholeTTL {
		r.whole, r.wholeAt, r.wholeRevision = r.table.Sightings(now), now, out.Revision
	}
	out.Endpoints = r.whole
}

// tellChanges fills in what changed since the router's revision, if that is known.
func (r *roster) tellChanges(now time.Time, q *messenger.SyncRequest, out *messenger.SyncReply) bool {
	if q.Epoch != r.epoch || q.Revision == 0 {
		return false
	}
	changed, gone, known := r.table.Changes(now, q.Revision)
	if !known {
		return false
	}
	out.Partial, out.Endpoints = true, changed
	for _, i := range gone {
		out.Gone = append(out.Gone, i.Leave())
	}
	return true
}
