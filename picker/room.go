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
	now := s.since(t)
	if last := s.roomAt.Load(); last != 0 && int64(now)-last < int64(roomEvery) {
		return int(s.room.Load())
	}
	n := s.computeRoom(now)
	s.room.Store(int64(n))
	s.roomAt.Store(int64(now))
	return n
}

func (s *Set) computeRoom(now time.Duration) int {
	room := 0.0
	found := false
	for i := range s.candidates {
		c := &s.candidates[i]
		if !s.fresh(c, now) || c.stats.gate.Blocked(now) {
			continue
		}
		found = true
		others := c.work(now) - float64(c.stats.inFlight.Load())
		room += max(0, c.capacity-others)
	}
	if !found {
		return 0
	}
	// One request at least: a router that other routers crowd out would
	// otherwise learn nothing more.
	return max(1, int(math.Round(room)))
}
