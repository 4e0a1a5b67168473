package predictor

import (
	"math/rand/v2"
	"time"
)

const (
	// GossipInterval is how often a router sends a digest to gossipFanout routers of its zone and to
	// one of another zone. That is a constant rate at any size of a fleet, and four rounds, which
	// fit into the lifetime of an observation, reach 4^4 routers.
	GossipInterval = 250 * time.Millisecond
	gossipFanout   = 3
)

// GossipRound returns the number of the round at a time of day. Clocks that disagree make the
// numbers of datagrams that routers receive less even, and change nothing else.
func GossipRound(now time.Time) int64 {
	return max(now.UnixMilli(), 0) / GossipInterval.Milliseconds()
}

// GossipTargets returns the places of the routers to send to in a round, for the router at place self
// of the n routers of its zone, in an order that all of them know. The distances are the same for
// all routers, so each router receives as many digests as it sends: with targets drawn at random,
// a few routers of 200 would get none for half a second. All others have their turn before one is
// repeated.
func GossipTargets(round int64, self, n int) []int {
	others := n - 1
	if others <= 0 {
		return nil
	}
	perCycle := int64((others + gossipFanout - 1) / gossipFanout)
	order := rand.New(rand.NewPCG(uint64(round/perCycle), uint64(n))).Perm(others)
	start := int(round%perCycle) * gossipFanout
	var out []int
	for _, distance := range order[start:min(start+gossipFanout, others)] {
		out = append(out, (self+1+distance)%n)
	}
	return out
}

// GossipRemoteTarget returns the place of the router of another zone to send to in a round, for the
// router at place self of its own zone. The zones, with the given numbers of routers, take turns.
func GossipRemoteTarget(round int64, self int, routers []int) (zone, place int, ok bool) {
	if len(routers) == 0 {
		return 0, 0, false
	}
	turn := int(round%int64(len(routers)) + int64(self))
	zone = turn % len(routers)
	if routers[zone] == 0 {
		return 0, 0, false
	}
	// The distance changes with each turn of the zone, by a step that no small number divides.
	const step = 61
	distance := int(round/int64(len(routers))%int64(routers[zone])) * step
	return zone, (self + distance) % routers[zone], true
}
