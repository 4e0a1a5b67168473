package picker

import "sync/atomic"

// RoundRobin is the name of the picker that cycles through the candidates.
var RoundRobin = Register("round_robin", func() Picker { return &roundRobin{} })

type roundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (r *roundRobin) Pick(q Query, s *Set) int {
	n := uint64(len(s.candidates))
	if n == 0 {
		return -1
	}
	now := s.at(q.Now)
	start := r.next.Add(1) - 1
	for k := range n {
		if i := int((start + k) % n); s.usable(&q, i, now) {
			return i
		}
	}
	return s.fallback(&q, now)
}
