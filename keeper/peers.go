package keeper

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// peerTimeout bounds one call to another keeper: a cut zone must not hold up
// the answer of the others.
const peerTimeout = 500 * time.Millisecond

// peer is another keeper.
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

// peers are the other keepers of the deployment; immutable.
type peers struct {
	list []peer
}

func newPeers(s *loader.Settings, self loader.Process, d *messenger.Dialer) (*peers, func(), error) {
	p := &peers{}
	cleanUp := func() {
		for _, x := range p.list {
			_ = x.conn.Close()
		}
	}
	for _, other := range s.Processes(loader.KindKeeper) {
		if other.Name() == self.Name() {
			continue
		}
		conn, err := d.Dial(other.RPC())
		if err != nil {
			cleanUp()
			return nil, nil, err
		}
		p.list = append(p.list, peer{process: other, conn: conn})
	}
	return p, cleanUp, nil
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

// each calls f for every peer at once, each within peerTimeout, and returns
// the peers whose call failed.
func (p *peers) each(ctx context.Context, f func(context.Context, peer) error) []peer {
	var wg sync.WaitGroup
	failed := make([]bool, len(p.list))
	for i, x := range p.list {
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
			out = append(out, p.list[i])
		}
	}
	return out
}
