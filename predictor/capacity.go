package predictor

import (
	"slices"
	"time"
)

// Capacity is the room for a request at the endpoints that may serve it.
type Capacity struct {
	// Known is set if the load of all these endpoints is known. Otherwise a request must not wait
	// for room, since an endpoint with unknown load may have some.
	Known bool
	// Room is the number of free slots at the endpoints whose load is known.
	Room int
	// Slots is the number of all slots there.
	Slots int
}

// Capacity returns the room for a request at the endpoints that Choose would consider.
func (t *Table) Capacity(now time.Time, a Request) Capacity {
	out := Capacity{}
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return out
	}
	out.Known = true
	for _, e := range g.inZones(a.Zones).endpoints {
		if e.gate.Blocked(a.Elapsed) || e.excluded.Load() || !e.warmup.Open(now) || slices.Contains(a.Tried, e.beat.Incarnation) {
			continue
		}
		free, slots, known := e.freeSlots(now)
		out.Known = out.Known && known
		out.Room += free
		out.Slots += slots
	}
	return out
}

// freeSlots returns the free and all slots of the endpoint, and whether its load is known.
func (e *Endpoint) freeSlots(now time.Time) (free, slots int, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots = e.beat.Slots
	if slots <= 0 || now.Sub(e.reportedAt) >= reportedLoadTTL {
		return 0, slots, false
	}
	return max(slots-e.activeRequests(now), 0), slots, true
}
