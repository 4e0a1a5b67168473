package measurer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/placer"
)

// Times of placement in the fleet.
const (
	placeEvery   = time.Second
	demandMaxAge = 20 * time.Second
	askTimeout   = 500 * time.Millisecond
)

// tellOthers gives the zone's rights and demand to the zones that hear it.
func (k *keeperFake) tellOthers() {
	h := heard{at: k.fleet.clock.now}
	for w := range budgetWorkspaces {
		h.shares[w] = k.unspent(workspaceName(w))
		k.meters[w].Add(k.fleet.clock.now, k.zoneDemand(w))
		h.demand[w] = k.meters[w].Rate()
	}
	for z, other := range k.fleet.zones {
		if z == k.number || !k.fleet.connected(z, k.number) {
			continue
		}
		other.heard[k.number] = h
	}
	k.heard[k.number] = h
}

func (k *keeperFake) zoneDemand(workspace int) float64 {
	var sum float64
	for _, s := range k.demand[workspace] {
		if k.fleet.clock.now.Sub(s.at) < demandMaxAge {
			sum += s.rate
		}
	}
	return sum
}

// place moves rights ahead of need.
func (k *keeperFake) place() {
	for w := range budgetWorkspaces {
		for _, m := range k.fleet.placer.Plan(k.view(w)) {
			for z, other := range k.fleet.zones {
				if budgetZoneName(z) == m.Zone && k.fleet.connected(k.number, z) && !other.down {
					k.fleet.moved++
					k.give(other, workspaceName(w), m.Tokens)
				}
			}
		}
	}
}

func (k *keeperFake) give(to *keeperFake, workspace string, n rattanhoist.Tokens) {
	if n = min(n, k.unspent(workspace)); n > 0 {
		k.giveTo(to, workspace, n)
	}
}

func (k *keeperFake) view(w int) placer.View {
	now := k.fleet.clock.now
	v := placer.View{
		Zone: budgetZoneName(k.number), Unspent: k.unspent(workspaceName(w)),
		Demand: map[string]float64{}, Shares: map[string]rattanhoist.Tokens{}, Age: map[string]time.Duration{},
	}
	for z := range k.fleet.zones {
		h := k.heard[z]
		v.Demand[budgetZoneName(z)], v.Shares[budgetZoneName(z)], v.Age[budgetZoneName(z)] = h.demand[w], h.shares[w], now.Sub(h.at)
	}
	for _, t := range k.vault.PendingTransfers() {
		if t.Workspace == workspaceName(w) {
			v.Shares[t.ToZone] += rattanhoist.Tokens(t.Tokens)
		}
	}
	return v
}
