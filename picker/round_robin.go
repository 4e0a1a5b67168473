package picker

import "sync/atomic"

// RoundRobin is the name of the picker that takes the candidates in turn.
var RoundRobin = Register("round_robin", func() Picker { return &roundRobin{} })

type roundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (r *roundRobin) Pick(_ Query, c []Candidate) int {
	if len(c) == 0 {
		return -1
	}
	return int((r.next.Add(1) - 1) % uint64(len(c)))
}
