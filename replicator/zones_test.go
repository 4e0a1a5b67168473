package replicator_test

import (
	"testing"
	"time"

	"rattanhoist.example/rattanhoist/replicator"
)

// isSpread reports whether three voters are committed, one in each zone.
func (p *pool) isSpread() bool {
	zones := map[string]bool{}
	committed := p.nodes[p.leaderName()].core.CommittedVoters()
	for _, v := range committed {
		zones[zoneOfNode(v.Name)] = true
	}
	return len(committed) == 3 && len(zones) == 3
}

// TestVotersAreSpreadOverZones guards against a majority of voters in one
// availability zone, which the loss of that zone would take. The first voters
// are the first three of nine keepers by name, all in one zone.
func TestVotersAreSpreadOverZones(t *testing.T) {
	p := newZonedPool(t, 9, 3, replicator.DefaultTiming(), zoneOfNode)
	p.runUntil(t, "a leader", func() bool { return p.leaderName() != "" })
	p.runUntil(t, "one voter in each zone", p.isSpread)
}

// TestVotersOfALostZoneAreReplacedInOthers guards against spreading voters
// while one of them is lost: it is replaced first, and the others go on.
func TestVotersOfALostZoneAreReplacedInOthers(t *testing.T) {
	p := newZonedPool(t, 9, 3, replicator.DefaultTiming(), zoneOfNode)
	p.runUntil(t, "a leader", func() bool { return p.leaderName() != "" })
	p.runUntil(t, "one voter in each zone", p.isSpread)
	lost := zoneOfNode(p.leaderName())
	for _, a := range p.names {
		for _, b := range p.names {
			if (zoneOfNode(a) == lost) != (zoneOfNode(b) == lost) {
				p.cut[a+b] = true
			}
		}
	}
	p.runUntil(t, "a leader outside", func() bool {
		for _, n := range p.names {
			if zoneOfNode(n) != lost && p.nodes[n].core.Role() == replicator.Leader {
				return true
			}
		}
		return false
	})
	p.cut = map[string]bool{}
	p.runUntil(t, "one voter in each zone again", p.isSpread)
}

// runUntil lets time pass and messages flow until a condition holds.
func (p *pool) runUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		p.tick(25 * time.Millisecond)
		for n := 2 * len(p.messages); n > 0 && len(p.messages) > 0; n-- {
			p.deliver(0, false)
		}
		if p.leaderName() != "" && holds() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}
