package tracker

import "time"

// Pulls of a router from its siblings.
const (
	// PullEvery is the length of a round of pulls.
	PullEvery = 500 * time.Millisecond
	// DefaultSiblings is how many siblings are asked in a round.
	DefaultSiblings = 2
)

// Rota says which sibling is asked next where a zone has more than are asked
// in a round. The routers of the zone stand in a ring, and each asks the one
// 1 further, then 2, 4, 8 and so on: whatever one of them knows has gone round
// after one turn, since every distance is a sum of those. Siblings drawn at
// random would need about half as long again, and more now and then. Not safe
// for concurrent use.
type Rota struct {
	// Routers counts those of the zone, this one included; self is its place.
	routers, self int
	// Distance is that of the next sibling, at least 1.
	distance int
}

// NewRota returns the rota of the router at a place in a zone of so many.
func NewRota(routers, self int) *Rota { return &Rota{routers: routers, self: self, distance: 1} }

// Next returns the place of the sibling to ask now. Where that one does not
// answer, it is the first after it that does; where none does, that one.
func (r *Rota) Next(answers func(place int) bool) int {
	first := r.distance
	if r.distance *= 2; r.distance >= r.routers {
		r.distance = 1
	}
	for i := range r.routers - 1 {
		// Distances from 1 to routers - 1, so that no router asks itself.
		if p := r.at(1 + (first-1+i)%(r.routers-1)); answers(p) {
			return p
		}
	}
	return r.at(first)
}

func (r *Rota) at(distance int) int { return (r.self + distance) % r.routers }
