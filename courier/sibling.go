package courier

import (
	"net/netip"

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
	for _, m := range routers {
		if m.Address == f.self.Address {
			continue
		}
		l := old[m.Address]
		if l == nil {
			l = messenger.NewLink(m.Address)
		}
		delete(old, m.Address)
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
	f.siblings = append(near, far...)
	var addresses []netip.AddrPort
	for _, l := range f.siblings {
		a, err := netip.ParseAddrPort(l.Address())
		if err != nil {
			f.o.Log.Warn("router is told of no dispatch", zap.String("router", l.Address()), zap.Error(err))
			continue
		}
		addresses = append(addresses, a)
	}
	f.near.Store(&addresses)
}

// neighbours returns the other routers' addresses for datagrams.
func (f *fleet) neighbours() []netip.AddrPort {
	if a := f.near.Load(); a != nil {
		return *a
	}
	return nil
}

// Dispatched tells the other routers of a prompt sent to an endpoint.
func (f *fleet) Dispatched(endpoint string, d predictor.Dispatch) {
	if n := f.news.Load(); n != nil {
		n.tell(&messenger.Dispatched{Endpoint: endpoint, Unread: d.Unread, Parts: d.Parts, TakesUs: d.Takes.Microseconds()})
	}
}

// Partial reports whether there are more routers than each tells.
func (f *fleet) Partial() bool { return f.Routers() > toldMost+1 }

// others returns the other routers, those of the zone first.
func (f *fleet) others() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.siblings
}
