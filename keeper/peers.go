package keeper

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// peerTimeout bounds one call to another process: a cut zone must not hold up
// the answer of the others.
const peerTimeout = 500 * time.Millisecond

// peer is another keeper, or a router of the zone.
type peer struct {
	process loader.Process
	conn    *grpc.ClientConn
}

func (p peer) budget() messenger.BudgetKeeperClient {
	return messenger.NewBudgetKeeperClient(p.conn)
}

func (p peer) configuration() messenger.ConfigurationKeeperClient {
	return messenger.NewConfigurationKeeperClient(p.conn)
}

func (p peer) router() messenger.RouterPeerClient {
	return messenger.NewRouterPeerClient(p.conn)
}

// peers are the processes that a keeper calls; immutable.
type peers struct {
	self loader.Process
	// List holds the other keepers in the order of the settings.
	list []peer
	// Routers holds the zone's routers.
	routers []peer
	// Mirror is the name of the next keeper of another zone in the settings,
	// as a ring; empty where there is none.
	mirror string
}

func newPeers(s *loader.Settings, self loader.Process, d *messenger.Dialer) (*peers, func(), error) {
	p := &peers{self: self, mirror: mirrorOf(s, self)}
	cleanUp := func() {
		for _, x := range append(p.list, p.routers...) {
			_ = x.conn.Close()
		}
	}
	for _, other := range s.Processes("") {
		isKeeper := other.Kind() == loader.KindKeeper
		if isKeeper && other.Name() == self.Name() || !isKeeper && other.Zone() != self.Zone() {
			continue
		}
		conn, err := d.Dial(other.RPC())
		if err != nil {
			cleanUp()
			return nil, nil, err
		}
		if isKeeper {
			p.list = append(p.list, peer{process: other, conn: conn})
		} else {
			p.routers = append(p.routers, peer{process: other, conn: conn})
		}
	}
	return p, cleanUp, nil
}

// mirrorOf returns the name of the next keeper of another zone.
func mirrorOf(s *loader.Settings, self loader.Process) string {
	all := s.Processes(loader.KindKeeper)
	for i, k := range all {
		if k.Name() != self.Name() {
			continue
		}
		for n := 1; n < len(all); n++ {
			if next := all[(i+n)%len(all)]; next.Zone() != self.Zone() {
				return next.Name()
			}
		}
	}
	return ""
}

// zone returns the first keeper of a zone.
func (p *peers) zone(name string) (peer, bool) {
	for _, x := range p.list {
		if x.process.Zone() == name {
			return x, true
		}
	}
	return peer{}, false
}

func (p *peers) name(name string) (peer, bool) {
	for _, x := range p.list {
		if x.process.Name() == name {
			return x, true
		}
	}
	return peer{}, false
}

// markHolders returns the keepers that keep this one's solo marks: the mirror
// is the one that is lost when a mark is left.
func (p *peers) markHolders() []peer {
	var out []peer
	for _, x := range p.list {
		if x.process.Name() != p.mirror {
			out = append(out, x)
		}
	}
	return out
}

// routersElsewhere returns the zone's routers on other VMs: one on this VM
// would be lost together with the disk.
func (p *peers) routersElsewhere() []peer {
	var out []peer
	for _, x := range p.routers {
		if host(x.process) != host(p.self) {
			out = append(out, x)
		}
	}
	return out
}

func host(p loader.Process) string {
	h, _, err := net.SplitHostPort(p.RPC())
	if err != nil {
		return p.RPC()
	}
	return h
}

// each calls f for every other keeper at once, each within peerTimeout, and
// returns the peers whose call failed.
func (p *peers) each(ctx context.Context, f func(context.Context, peer) error) []peer {
	return each(ctx, p.list, f)
}

func each(ctx context.Context, list []peer, f func(context.Context, peer) error) []peer {
	var wg sync.WaitGroup
	failed := make([]bool, len(list))
	for i, x := range list {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			failed[i] = f(ctx, x) != nil
		})
	}
	wg.Wait()
	var out []peer
	for i, bad := range failed {
		if bad {
			out = append(out, list[i])
		}
	}
	return out
}

// firstOf calls f for every peer at once and returns nil as soon as one call
// succeeds, or the last error.
func firstOf(ctx context.Context, list []peer, f func(context.Context, peer) error) error {
	results := make(chan error, len(list))
	for _, x := range list {
		go func() { results <- f(ctx, x) }()
	}
	var err error = errNotYet
	for range list {
		last := <-results
		if last == nil {
			return nil
		}
		err = last
	}
	return err
}
