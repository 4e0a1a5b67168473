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

// peerTimeout bounds one call to another process, so that a zone behind a
// network partition does not delay the answers of the others.
const peerTimeout = 500 * time.Millisecond

// peer is another keeper, or a router of the same zone.
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

// peers holds the processes that a keeper calls. It is immutable.
type peers struct {
	self loader.Process
	// keepers holds the other keepers in the order of the settings.
	keepers []peer
	// routers holds the routers of this zone.
	routers []peer
	// mirror is the name of the keeper that mirrors this one: the next in the
	// settings, taken as a ring, that is of another zone. It is empty if
	// there is none.
	mirror string
}

func newPeers(s *loader.Settings, self loader.Process, d *messenger.Dialer) (*peers, func(), error) {
	p := &peers{self: self, mirror: mirrorName(s, self)}
	cleanUp := func() {
		for _, x := range append(p.keepers, p.routers...) {
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
			p.keepers = append(p.keepers, peer{process: other, conn: conn})
		} else {
			p.routers = append(p.routers, peer{process: other, conn: conn})
		}
	}
	return p, cleanUp, nil
}

// mirrorName returns the name of the next keeper in the settings that is of
// another zone.
func mirrorName(s *loader.Settings, self loader.Process) string {
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

// keeperOfZone returns the first keeper of a zone.
func (p *peers) keeperOfZone(name string) (peer, bool) {
	for _, x := range p.keepers {
		if x.process.Zone() == name {
			return x, true
		}
	}
	return peer{}, false
}

func (p *peers) keeperByName(name string) (peer, bool) {
	for _, x := range p.keepers {
		if x.process.Name() == name {
			return x, true
		}
	}
	return peer{}, false
}

// soloMarkHolders returns the keepers that may store this keeper's solo
// marks. The mirror is excluded, because a mark is stored only when the
// mirror has been lost.
func (p *peers) soloMarkHolders() []peer {
	var out []peer
	for _, x := range p.keepers {
		if x.process.Name() != p.mirror {
			out = append(out, x)
		}
	}
	return out
}

// routersOnOtherVMs returns the zone's routers on other VMs. A router on this
// VM would be lost together with the disk.
func (p *peers) routersOnOtherVMs() []peer {
	var out []peer
	for _, x := range p.routers {
		if hostOf(x.process) != hostOf(p.self) {
			out = append(out, x)
		}
	}
	return out
}

func hostOf(p loader.Process) string {
	h, _, err := net.SplitHostPort(p.RPC())
	if err != nil {
		return p.RPC()
	}
	return h
}

// callKeepers calls f for every other keeper concurrently, each call bounded
// by peerTimeout, and returns the peers whose call failed.
func (p *peers) callKeepers(ctx context.Context, f func(context.Context, peer) error) []peer {
	return callAll(ctx, p.keepers, f)
}

// callAll calls f for every listed peer concurrently, each call bounded by
// peerTimeout, and returns the peers whose call failed.
func callAll(ctx context.Context, list []peer, f func(context.Context, peer) error) []peer {
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

// firstSuccess calls f for every peer concurrently. It returns nil as soon as
// one call succeeds, otherwise the last error, or errNotDurable for an empty
// list.
func firstSuccess(ctx context.Context, list []peer, f func(context.Context, peer) error) error {
	results := make(chan error, len(list))
	for _, x := range list {
		go func() { results <- f(ctx, x) }()
	}
	var err error = errNotDurable
	for range list {
		last := <-results
		if last == nil {
			return nil
		}
		err = last
	}
	return err
}
