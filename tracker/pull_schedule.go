package tracker

import "time"

// Intervals and numbers of the pulls from siblings, the other routers of the zone.
const (
	// PullInterval is the duration of a round of pulls.
	PullInterval = 500 * time.Millisecond
	// DefaultSiblingsPerRound is the number of siblings to pull from in a round.
	DefaultSiblingsPerRound = 2
)

// PullSchedule selects the next sibling to pull from in a zone that has more
// siblings than one round covers. The routers form a ring, and each one pulls
// from the routers at distance 1, 2, 4, 8 and so on. What one router knows has
// reached all others after one cycle, because every distance is a sum of these.
// With siblings drawn at random, that would take about half as long again on
// average. It is not safe for concurrent use.
type PullSchedule struct {
	// Routers is the number of routers in the zone, including this one, and self
	// the position of this one.
	routers, self int
	// Distance is the distance of the next sibling, at least 1.
	distance int
}

// NewPullSchedule returns the schedule of the router at position self in a zone
// of the given number of routers.
func NewPullSchedule(routers, self int) *PullSchedule {
	return &PullSchedule{routers: routers, self: self, distance: 1}
}

// Next returns the position of the sibling to pull from now. If that one does not
// answer, it returns the next one that does, or the original one if none does.
func (r *PullSchedule) Next(answers func(place int) bool) int {
	first := r.distance
	if r.distance *= 2; r.distance >= r.routers {
		r.distance = 1
	}
	for i := range r.routers - 1 {
		// Distances range from 1 to routers - 1, so that no router pulls from itself.
		if p := r.at(1 + (first-1+i)%(r.routers-1)); answers(p) {
			return p
		}
	}
	return r.at(first)
}

func (r *PullSchedule) at(distance int) int { return (r.self + distance) % r.routers }
