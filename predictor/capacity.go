package predictor

import (
	"slices"
	"sync"
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

// capacityInterval is how often all endpoints of a large service are examined for room.
const capacityInterval = 50 * time.Millisecond

// Capacity returns the room for a request at the endpoints that Choose would consider. In a large
// service, they are examined once in capacityInterval, so that the cost of a request does not depend
// on their number.
func (t *Table) Capacity(now time.Time, a Request) Capacity {
	g := (*t.byService.Load())[a.Service]
	if g == nil {
		return Capacity{}
	}
	g = g.subset(a)
	if len(g.endpoints) <= maxExhaustive {
		return capacityOf(now, a, g.endpoints)
	}
	return g.lastCapacity.get(now, func() Capacity { return capacityOf(now, a, g.endpoints) })
}

// CountsDispatches reports whether Capacity counts what this router has sent to endpoints since they
// last reported their load.
func (t *Table) CountsDispatches() bool { return t.reports != nil }

// capacityCache holds the capacity of a group for capacityInterval.
type capacityCache struct {
	mu    sync.Mutex
	value Capacity
	at    time.Time
}

// get returns the cached capacity, or a new one if that is too old.
func (c *capacityCache) get(now time.Time, examine func() Capacity) Capacity {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() || now.Sub(c.at) >= capacityInterval {
		c.value, c.at = examine(), now
	}
	return c.value
}

// capacityOf returns the room for a request at the given endpoints.
func capacityOf(now time.Time, a Request, list []*Endpoint) Capacity {
	out := Capacity{Known: true}
	for _, e := range list {
		if e.gate.Blocked(a.Elapsed) || e.excluded.Load() || !e.warmup.Open(now) || slices.Contains(a.Tried, e.beat.Incarnation) {
			continue
		}
		free, slots, known := e.freeSlots(now)
		out.Known = out.Known && known
		out.Room += free
		out.Slots += slots
	}
	// Without any candidate, Choose tries endpoints that are blocked after failures.
	out.Known = out.Known && out.Slots > 0
	return out
}

// freeSlots returns the free and all slots of the endpoint, and whether its load is known.
func (e *Endpoint) freeSlots(now time.Time) (free, slots int, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots = e.beat.Slots
	if slots <= 0 || !e.loadKnown(now) {
		return 0, slots, false
	}
	free = e.usableSlots(now, slots) - e.activeRequests(now)
	if !e.permits.Load() && e.limitsRejections(now) {
		free -= reservedSlots(slots)
	}
	return max(free, 0), slots, true
}
