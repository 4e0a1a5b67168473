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

// roster is what a keeper heard of endpoints and routers.
type roster struct {
	mu    sync.Mutex
	table *enroller.Table
	// Fresh holds what endpoints told this very keeper since the last share.
	fresh   map[string]bool
	routers *routers
	// Epoch names this process, whose revisions of the table begin anew.
	epoch uint64
}

func newRoster(heartbeat time.Duration) *roster {
	return &roster{table: enroller.NewTable(silentBeats * heartbeat), fresh: map[string]bool{}, routers: newRouters(), epoch: rand.Uint64() | 1}
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
	r.routers.expire(now)
}

// news returns what was heard here since the last call.
func (r *roster) news(now time.Time, from string) *messenger.Sightings {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &messenger.Sightings{From: from, Sightings: r.table.SightingsOf(now, r.fresh)}
	clear(r.fresh)
	out.Routers = r.routers.direct(now)
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
		r.routers.relayed(now, m)
	}
}

// ask notes a router's question and fills in what it is told.
func (r *roster) ask(now time.Time, q *messenger.SyncRequest, out *messenger.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Router.GetAddress() != "" {
		r.routers.observe(now, q.Router, true)
		r.routers.setLoad(q.Router.Address, q.Load)
		out.ZoneLoad = r.routers.zoneLoad(now, q.Router.Zone)
	}
	if q.ListRouters || q.Revision == 0 {
		held := q.RoutersRevision
		if q.Epoch != r.epoch {
			held = 0
		}
		r.routers.list(held, out)
	}
	if q.SkipEndpoints {
		out.Epoch, out.Revision, out.Partial = q.Epoch, q.Revision, true
		return
	}
	view := r.table.View(q.Router.GetZone())
	out.Revision, out.Epoch = view.Revision(now), r.epoch
	if tellChanges(now, view, q, out) || q.Revision == out.Revision && q.Epoch == 0 {
		return
	}
	out.Endpoints = view.Sightings(now, wholeTTL)
}

// tellChanges fills in what changed since the router's revision, if that is known.
func tellChanges(now time.Time, view *enroller.View, q *messenger.SyncRequest, out *messenger.SyncReply) bool {
	if q.Epoch != out.Epoch || q.Revision == 0 {
		return false
	}
	changed, gone, known := view.Changes(now, q.Revision)
	if !known {
		return false
	}
	out.Partial, out.Endpoints = true, changed
	for _, i := range gone {
		out.Gone = append(out.Gone, i.Leave())
	}
	return true
}
