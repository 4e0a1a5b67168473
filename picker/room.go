package picker

import (
	"math"
	"time"
)

// roomEvery is how long a computed room is used.
const roomEvery = 20 * time.Millisecond

// Room returns how many requests this router may have in progress at the
// set's endpoints: their capacity less what other routers use of it.
func (s *Set) Room(t time.Time) int {
	now := s.at(t)
	if last := s.roomAt.Load(); last != 0 && int64(now.Duration)-last < int64(roomEvery) {
		return int(s.room.Load())
	}
	n := s.computeRoom(now)
	s.room.Store(int64(n))
	s.roomAt.Store(int64(now.Duration))
	return n
}

// Bounds of the room by this router's share of all requests.
const (
	shareLeast = 1.1
	// overfill lets endpoints hold a little more than they run at once: a
	// place that one router leaves free is then taken by another's request.
	overfill  = 1.15
	shareMost = 1.5
	// loadNoticed is the part of the capacity below which the share of the
	// load says nothing.
	loadNoticed = 0.2
	mostOthers  = 100
)

// computeRoom bounds the free capacity by the router's share of the load over
// the last quarter of a minute. Without the lower bound, late reports have
// all routers hold back at once while endpoints idle, and without the upper
// one have them all send at once when they hear of it.
func (s *Set) computeRoom(now instant) int {
	var capacity, free, own, all float64
	found := false
	for i := range s.candidates {
		c := &s.candidates[i]
		if !s.fresh(c, now) {
			continue
		}
		found = true
		if c.stats.gate.Blocked(now.Duration) {
			continue
		}
		capacity += overfill * c.capacity
		free += max(0, overfill*c.capacity-max(0, c.stats.others.value(0)))
		own += c.stats.ownShare.value(0)
		all += c.stats.allShare.value(0)
	}
	if !found {
		return 0
	}
	if all > loadNoticed*capacity {
		share := min(own/all, 1)
		if n := s.ledger.routers.Load(); n > 0 {
			share = (share + 1/float64(n)) / 2
		}
		fair := capacity * share
		s.service.othersPerOwn.add(min(max(all/max(own, 1)-1, 0), mostOthers), 1, now.Duration)
		free = min(max(free, shareLeast*fair), shareMost*fair)
	}
	// One request at least: a router that other routers crowd out would
	// otherwise learn nothing more.
	return max(1, int(math.Round(free)))
}
