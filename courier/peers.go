package courier

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
)

// maxPeers is the maximum number of other routers that are remembered if keepers no longer
// list them. They can still lend rights.
const maxPeers = 128

// updatePeers applies a list of routers. Routers that keepers no longer list are kept while
// there is room, since a keeper that has just started knows few.
func (f *fleetView) updatePeers(routers []*messenger.FleetMember) {
	f.routerCount.Store(int64(max(len(routers), 1)))
	f.mu.Lock()
	defer f.mu.Unlock()
	old := map[string]*messenger.Link{}
	for _, l := range f.peers {
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
		if len(near)+len(far) < maxPeers {
			far = append(far, l)
		}
	}
	f.peers, f.zonePeerCount, f.peerZones = append(near, far...), len(near), zones
	f.listedPeers.Store(newListedPeers(f.self, routers))
	if f.origins != nil {
		f.origins.setRouters(routers)
	}
	c := f.buildNotifyLists(zones)
	f.notifyLists.Store(&c)
	f.digestPeers.Store(newDigestPeers(f.self, zones))
}

// digestPeers holds the listed routers of each zone in an order that all routers know. It is
// immutable.
type digestPeers struct {
	// zone holds this router's zone, with this router at place self.
	zone []netip.AddrPort
	self int
	// others holds the other zones.
	others [][]netip.AddrPort
}

// newDigestPeers sorts the other routers, whose zones are given by address, and this one.
func newDigestPeers(self *messenger.FleetMember, zones map[string]string) *digestPeers {
	byZone := map[string][]netip.AddrPort{}
	add := func(address, zone string) {
		if a, err := netip.ParseAddrPort(address); err == nil && zone != "" {
			byZone[zone] = append(byZone[zone], a)
		}
	}
	for address, zone := range zones {
		add(address, zone)
	}
	add(self.Address, self.Zone)
	p := &digestPeers{}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[zone]
		slices.SortFunc(list, netip.AddrPort.Compare)
		if zone != self.Zone {
			p.others = append(p.others, list)
			continue
		}
		own, _ := netip.ParseAddrPort(self.Address)
		p.zone, p.self = list, max(slices.Index(list, own), 0)
	}
	return p
}

// digestTargets returns the addresses of the routers to send a load digest to.
func (f *fleetView) digestTargets(now time.Time) []netip.AddrPort {
	p := f.digestPeers.Load()
	if p == nil {
		return nil
	}
	round := predictor.GossipRound(now)
	var out []netip.AddrPort
	for _, i := range predictor.GossipTargets(round, p.self, len(p.zone)) {
		out = append(out, p.zone[i])
	}
	sizes := make([]int, len(p.others))
	for i, list := range p.others {
		sizes[i] = len(list)
	}
	if zone, i, ok := predictor.GossipRemoteTarget(round, p.self, sizes); ok {
		out = append(out, p.others[zone][i])
	}
	return out
}

// notifyLists holds the addresses of the routers that are notified of a dispatch, by the zone of
// its endpoint. The list under the empty name is for zones without routers. The map is immutable.
type notifyLists map[string][]netip.AddrPort

// buildNotifyLists orders the routers for each zone. Those of the zone itself come first, as they
// send most of the requests there, followed by others up to maxNotifiedPeers. It needs f.mu.
func (f *fleetView) buildNotifyLists(zones map[string]string) notifyLists {
	byZone := map[string][]netip.AddrPort{"": nil}
	for _, l := range f.peers {
		a, err := netip.ParseAddrPort(l.Address())
		if err != nil {
			f.options.Log.Warn("invalid router address, dispatch notices are not sent to it", zap.String("router", l.Address()), zap.Error(err))
			continue
		}
		byZone[zones[l.Address()]] = append(byZone[zones[l.Address()]], a)
	}
	out := notifyLists{}
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

// notifyTargets returns the addresses of the routers to notify of a dispatch to a zone.
func (f *fleetView) notifyTargets(zone string) []netip.AddrPort {
	c := f.notifyLists.Load()
	if c == nil {
		return nil
	}
	if list, ok := (*c)[zone]; ok {
		return list
	}
	return (*c)[""]
}

// AnnounceDispatch notifies other routers of a prompt sent to an endpoint of a zone.
func (f *fleetView) AnnounceDispatch(endpoint, zone string, d predictor.Dispatch) {
	if n := f.notifier.Load(); n != nil {
		n.notify(f.notifyTargets(zone), &messenger.Dispatched{Endpoint: endpoint, Unread: d.UncachedTokens, Parts: d.Parts, TakesUs: d.PrefillTime.Microseconds()})
	}
}

// PartialDispatches reports whether there are more routers than each of them notifies.
func (f *fleetView) PartialDispatches() bool { return f.Routers() > maxNotifiedPeers+1 }

// allPeers returns the other routers, those of this router's zone first. Callers must not
// change the list.
func (f *fleetView) allPeers() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

// zonePeers returns the other routers of this router's zone. Callers must not change the list.
func (f *fleetView) zonePeers() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers[:min(f.zonePeerCount, len(f.peers))]
}

// zoneCount returns the number of zones that are known to have routers.
func (f *fleetView) zoneCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := map[string]bool{f.self.Zone: true}
	for _, z := range f.peerZones {
		zones[z] = true
	}
	return len(zones)
}

// remotePeers returns one random router of each other zone, in random order.
func (f *fleetView) remotePeers() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	byZone := map[string]*messenger.Link{}
	far := f.peers[min(f.zonePeerCount, len(f.peers)):]
	for _, i := range rand.Perm(len(far)) {
		if zone := f.peerZones[far[i].Address()]; zone != "" && byZone[zone] == nil {
			byZone[zone] = far[i]
		}
	}
	return slices.Collect(maps.Values(byZone))
}

// rotatedPeers returns the other routers, those of this router's zone first. Both groups
// are rotated by n, so that successive callers start with different routers.
func (f *fleetView) rotatedPeers(n int) []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := min(f.zonePeerCount, len(f.peers))
	return append(rotated(f.peers[:near], n), rotated(f.peers[near:], n)...)
}

// peersByDistance returns the other routers of this router's zone and those of other zones. Callers
// must not change the lists.
func (f *fleetView) peersByDistance() (zone, others []*messenger.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := min(f.zonePeerCount, len(f.peers))
	return f.peers[:near], f.peers[near:]
}

// rotated returns a copy of a list that is rotated to start at index n modulo its length.
func rotated[T any](list []T, n int) []T {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}
