package courier

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
)

// siblingsMost bounds the routers that are remembered for lending.
const siblingsMost = 128

// meet takes the other routers in. Those that keepers no longer name stay
// known until others take their place: a keeper that has just started knows
// few.
func (f *fleet) meet(routers []*messenger.FleetMember) {
	f.known.Store(int64(max(len(routers), 1)))
	f.mu.Lock()
	defer f.mu.Unlock()
	old := map[string]*messenger.Link{}
	for _, l := range f.siblings {
		old[l.Address()] = l
	}
	var near, far []*messenger.Link
	zones := map[string]string{}
	for _, m := range routers {
		if m.Address == f.self.Address {
			continue
		}
		l := old[m.Address]
		if l == nil {
			l = messenger.NewLink(m.Address)
		}
		delete(old, m.Address)
		zones[m.Address] = m.Zone
		if m.Zone == f.self.Zone {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	for _, l := range old {
		if len(near)+len(far) < siblingsMost {
			far = append(far, l)
		}
	}
	f.siblings, f.near, f.peerZones = append(near, far...), len(near), zones
	c := f.newCircles(zones)
	f.circles.Store(&c)
}

// circles are the routers that hear of a dispatch, by the zone of its endpoint; under
// the empty name those for a zone without routers. Immutable.
type circles map[string][]netip.AddrPort

// newCircles puts the routers of an endpoint's zone first, which send it most of its
// work, then others up to maxNotifiedPeers. It needs f.mu.
func (f *fleet) newCircles(zones map[string]string) circles {
	byZone := map[string][]netip.AddrPort{"": nil}
	for _, l := range f.siblings {
		a, err := netip.ParseAddrPort(l.Address())
		if err != nil {
			f.o.Log.Warn("router is told of no dispatch", zap.String("router", l.Address()), zap.Error(err))
			continue
		}
		byZone[zones[l.Address()]] = append(byZone[zones[l.Address()]], a)
	}
	out := circles{}
	for zone, inside := range byZone {
		list := slices.Clone(inside)
		for _, other := range slices.Sorted(maps.Keys(byZone)) {
			if other != zone {
				list = append(list, byZone[other]...)
			}
		}
		out[zone] = list[:min(len(list), maxNotifiedPeers)]
	}
	return out
}

// circle returns the addresses of the routers that hear of a dispatch to a zone.
func (f *fleet) circle(zone string) []netip.AddrPort {
	c := f.circles.Load()
	if c == nil {
		return nil
	}
	if list, ok := (*c)[zone]; ok {
		return list
	}
	return (*c)[""]
}

// Dispatched tells other routers of a prompt sent to an endpoint of a zone.
func (f *fleet) Dispatched(endpoint, zone string, d predictor.Dispatch) {
	if n := f.news.Load(); n != nil {
		n.tell(f.circle(zone), &messenger.Dispatched{Endpoint: endpoint, Unread: d.Unread, Parts: d.Parts, TakesUs: d.Takes.Microseconds()})
	}
}

// Partial reports whether there are more routers than each tells.
func (f *fleet) Partial() bool { return f.Routers() > maxNotifiedPeers+1 }

// others returns the other routers, those of the zone first.
func (f *fleet) others() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.siblings
}

// zonePeers returns the other routers of the zone; callers must not change the list.
func (f *fleet) zonePeers() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.siblings[:min(f.near, len(f.siblings))]
}

// zoneCount returns how many zones have routers, as far as known.
func (f *fleet) zoneCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := map[string]bool{f.self.Zone: true}
	for _, z := range f.peerZones {
		zones[z] = true
	}
	return len(zones)
}

// remotePeers returns one router of each other zone, in random order.
func (f *fleet) remotePeers() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	byZone := map[string]*messenger.Link{}
	far := f.siblings[min(f.near, len(f.siblings)):]
	for _, i := range rand.Perm(len(far)) {
		if zone := f.peerZones[far[i].Address()]; zone != "" && byZone[zone] == nil {
			byZone[zone] = far[i]
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// turn returns the other routers, those of the zone first, both parts beginning at
// another one for each n: who asks them in this order spreads what it asks for.
func (f *fleet) turn(n int) []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := min(f.near, len(f.siblings))
	return append(rotated(f.siblings[:near], n), rotated(f.siblings[near:], n)...)
}

// rotated returns a copy that begins at the nth element.
func rotated[T any](list []T, n int) []T {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}
