package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracker"
)

const (
	// gossipEvery is the time between two pulls from one router.
	gossipEvery   = 500 * time.Millisecond
	gossipTimeout = time.Second
	// siblingSilence is how long a sibling may fail to answer before another
	// router pulls from the other zones in its place.
	siblingSilence = 2 * time.Second
	// relaySilence is how long until other siblings are asked for what it
	// tells; too early costs some bytes, too late ages.
	relaySilence = time.Second
)

// gossipPeer is another router that this one pulls from.
type gossipPeer struct {
	process loader.Process
	// Busy is held during a pull; it guards conn and pulled.
	busy   sync.Mutex
	conn   *grpc.ClientConn
	pulled *tracker.Peer
	// Answered is when the last reply came; never nil.
	answered atomic.Pointer[rattanhoist.Moment]
}

// gossiper pulls news of endpoints: from every router of the own zone, and,
// on one router of the zone, from one router of each other zone.
type gossiper struct {
	router *Router
	// Siblings are the other routers of the zone.
	siblings []*gossipPeer
	// Abroad lists the routers of every other zone in the order in which this
	// zone asks them.
	abroad map[string][]*gossipPeer
}

func newGossiper(r *Router) *gossiper {
	g := &gossiper{router: r, abroad: map[string][]*gossipPeer{}}
	for _, p := range r.settings.Processes(loader.KindRouter) {
		if p.Name() == r.self.Name() {
			continue
		}
		x := &gossipPeer{process: p, pulled: tracker.NewPeer(p.Name(), p.Zone() == r.self.Zone())}
		x.answered.Store(&rattanhoist.Moment{})
		if p.Zone() == r.self.Zone() {
			g.siblings = append(g.siblings, x)
		} else {
			g.abroad[p.Zone()] = append(g.abroad[p.Zone()], x)
		}
	}
	for _, list := range g.abroad {
		slices.SortFunc(list, func(a, b *gossipPeer) int {
			return cmp.Compare(rank(a.process.Name(), r.self.Zone()), rank(b.process.Name(), r.self.Zone()))
		})
	}
	return g
}

// rank orders routers differently for each zone, so that the work between
// zones is spread.
func rank(router, zone string) uint64 { return xxhash.Sum64String(router + "\x00" + zone) }

func (g *gossiper) close() {
	for _, p := range g.all() {
		p.busy.Lock()
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.busy.Unlock()
	}
}

func (g *gossiper) all() []*gossipPeer {
	out := slices.Clone(g.siblings)
	for _, list := range g.abroad {
		out = append(out, list...)
	}
	return out
}

// run pulls until ctx ends.
func (g *gossiper) run(ctx context.Context) {
	t := time.NewTicker(gossipEvery)
	defer t.Stop()
	for {
		for _, p := range g.targets(rattanhoist.MomentOf(time.Now())) {
			go g.pull(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// targets are the routers to pull from now.
func (g *gossiper) targets(now rattanhoist.Moment) []*gossipPeer {
	out := slices.Clone(g.siblings)
	for zone, list := range g.abroad {
		if g.pullsFrom(zone, now) {
			out = append(out, abroadTarget(list, now))
		}
	}
	return out
}

// pullsFrom reports whether this router is the one of its zone that pulls
// from another zone: the first in rank among those that answer.
func (g *gossiper) pullsFrom(zone string, now rattanhoist.Moment) bool {
	own := rank(g.router.self.Name(), zone)
	for _, s := range g.siblings {
		if rank(s.process.Name(), zone) < own && s.answers(now, siblingSilence) {
			return false
		}
	}
	return true
}

// abroadTarget returns the first router that answered lately; while none has,
// it goes through them in turn.
func abroadTarget(list []*gossipPeer, now rattanhoist.Moment) *gossipPeer {
	for _, p := range list {
		if p.answers(now, siblingSilence) {
			return p
		}
	}
	return list[int(now.Steady()/gossipEvery)%len(list)]
}

// answers reports whether the router has answered within a time.
func (p *gossipPeer) answers(now rattanhoist.Moment, within time.Duration) bool {
	silent, ok := now.Since(*p.answered.Load())
	return ok && silent < within
}

// silent names the siblings that do not answer.
func (g *gossiper) silent(now rattanhoist.Moment) []string {
	var out []string
	for _, s := range g.siblings {
		if !s.answers(now, relaySilence) {
			out = append(out, s.process.Name())
		}
	}
	return out
}

// pull asks one router for news, unless an earlier pull from it still waits.
func (g *gossiper) pull(ctx context.Context, p *gossipPeer) {
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	r := g.router
	asked := rattanhoist.MomentOf(time.Now())
	reply, err := g.call(ctx, p, p.pulled.Request(r.self.Name(), r.self.Zone(), g.silent(asked)))
	if err != nil {
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	r.tracker.Merge(p.pulled, reply, asked, now)
	p.answered.Store(&now)
}

// call must be made with the peer's busy lock held.
func (g *gossiper) call(ctx context.Context, p *gossipPeer, q *messenger.GossipRequest) (*messenger.GossipReply, error) {
	if p.conn == nil {
		conn, err := g.router.dialer.Dial(p.process.RPC())
		if err != nil {
			return nil, err
		}
		p.conn = conn
	}
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	return messenger.NewRouterPeerClient(p.conn).Gossip(ctx, q)
}

// pushLeft tells at once that an endpoint leaves: every sibling and one router
// of each other zone. Pulls bring it to those that the push misses.
func (g *gossiper) pushLeft(name string) {
	s := g.router.tracker.Left(name)
	if s == nil {
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	peers := slices.Clone(g.siblings)
	for _, list := range g.abroad {
		peers = append(peers, abroadTarget(list, now))
	}
	for _, p := range peers {
		go g.push(p, s)
	}
}

func (g *gossiper) push(p *gossipPeer, s *messenger.EndpointState) {
	p.busy.Lock()
	defer p.busy.Unlock()
	asked := rattanhoist.MomentOf(time.Now())
	q := p.pulled.Request(g.router.self.Name(), g.router.self.Zone(), g.silent(asked))
	q.Left = []*messenger.EndpointState{s}
	reply, err := g.call(context.Background(), p, q)
	if err != nil {
		return
	}
	g.router.tracker.Merge(p.pulled, reply, asked, rattanhoist.MomentOf(time.Now()))
}

// Gossip takes pushed leaves and answers with what the puller does not know.
func (s *peerServer) Gossip(_ context.Context, q *messenger.GossipRequest) (*messenger.GossipReply, error) {
	now := rattanhoist.MomentOf(time.Now())
	s.router.tracker.TakeLeft(q, now)
	return s.router.tracker.Reply(q, now), nil
}
