package picker

import (
	"math"
	"time"
)

// freeCapacityTTL is how long a computed free capacity is cached.
const freeCapacityTTL = 20 * time.Millisecond

// FreeCapacity returns how many requests this router may have in progress at the
// set's endpoints: their capacity minus what other routers use of it.
func (s *Set) FreeCapacity(t time.Time) int {
	now := s.at(t)
	if last := s.freeCapacityAt.Load(); last != 0 && int64(now.Duration)-last < int64(freeCapacityTTL) {
		return int(s.freeCapacity.Load())
	}
	n := s.computeFreeCapacity(now)
	s.freeCapacity.Store(int64(n))
	s.freeCapacityAt.Store(int64(now.Duration))
	return n
}

// Limits of the free capacity relative to this router's share of all requests.
const (
	minShareFactor = 1.1
	// overcommit lets endpoints queue slightly more requests than they run
	// concurrently, so that capacity that one router leaves free is used by
	// another router's request.
	overcommit     = 1.15
	maxShareFactor = 1.5
	// minLoadForShare is the fraction of the capacity that must be in use for
	// this router's share of the load to be meaningful.
	minLoadForShare = 0.2
	maxOthersPerOwn = 100
)

// computeFreeCapacity clamps the free capacity to a range around the router's
// share of the load over the last quarter of a minute. Because reports are late,
// without the lower bound all routers would hold back at the same time while
// endpoints idle, and without the upper bound all would send at the same time
// once they learn of the idle capacity.
func (s *Set) computeFreeCapacity(now instant) int {
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
		capacity += overcommit * c.capacity
		free += max(0, overcommit*c.capacity-max(0, c.stats.others.value(0)))
		own += c.stats.ownShare.value(0)
		all += c.stats.allShare.value(0)
	}
	if !found {
		return 0
	}
	if all > minLoadForShare*capacity {
		share := min(own/all, 1)
		if n := s.ledger.routers.Load(); n > 0 {
			share = (share + 1/float64(n)) / 2
		}
		fair := capacity * share
		s.service.othersPerOwn.add(min(max(all/max(own, 1)-1, 0), maxOthersPerOwn), 1, now.Duration)
		free = min(max(free, minShareFactor*fair), maxShareFactor*fair)
	}
	// At least one request is allowed: a router that is crowded out by other
	// routers would otherwise get no more samples.
	return max(1, int(math.Round(free)))
}
