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
	// gossipEvery is the length of a round of pulls.
	gossipEvery   = tracker.PullEvery
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
	// Home is the same router as its beats show it.
	home *sibling
	// Busy is held during a pull; it guards conn and pulled.
	busy   sync.Mutex
	conn   *grpc.ClientConn
	pulled *tracker.Peer
	// Answered is when the last reply came; never nil.
	answered atomic.Pointer[rattanhoist.Moment]
}

// gossiper pulls news of endpoints: from the routers of the own zone, all of
// them or a few in turn, and, on one router of the zone, from one router of
// each other zone.
type gossiper struct {
	router *Router
	// Siblings are the other routers of the zone.
	siblings []*gossipPeer
	// Rota is nil where the zone is small enough to ask all in each round; it
	// counts the routers in ring, where this one is nil.
	rota *tracker.Rota
	ring []*gossipPeer
	// Parts are the pulls from siblings in turn in a round, or 1.
	parts int
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
		x.home = r.homes.all[p.Name()]
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
	g.takeTurns(r.settings.Policy().GossipSiblings())
	return g
}

// takeTurns has siblings asked in turn where there are more than a round asks.
func (g *gossiper) takeTurns(siblings int) {
	g.parts = 1
	if len(g.siblings) <= siblings {
		return
	}
	g.parts = siblings
	g.ring = append(slices.Clone(g.siblings), nil)
	own := g.router.self.Name()
	nameOf := func(p *gossipPeer) string {
		if p == nil {
			return own
		}
		return p.process.Name()
	}
	slices.SortFunc(g.ring, func(a, b *gossipPeer) int { return cmp.Compare(nameOf(a), nameOf(b)) })
	g.rota = tracker.NewRota(len(g.ring), slices.Index(g.ring, nil))
	for _, s := range g.siblings {
		s.pulled = tracker.NewPeerInTurn(s.process.Name())
	}
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
	t := time.NewTicker(gossipEvery / time.Duration(g.parts))
	defer t.Stop()
	for part := 0; ; part = (part + 1) % g.parts {
		for _, p := range g.targets(part, rattanhoist.MomentOf(time.Now())) {
			go g.pull(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// targets are the routers to pull from in one part of a round.
func (g *gossiper) targets(part int, now rattanhoist.Moment) []*gossipPeer {
	out := slices.Clone(g.siblings)
	if g.rota != nil {
		out = []*gossipPeer{g.ring[g.rota.Next(func(place int) bool { return g.lives(g.ring[place], now) })]}
	}
	if part > 0 {
		return out
	}
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
		if rank(s.process.Name(), zone) < own && g.lives(s, now) {
			return false
		}
	}
	return true
}

// lives reports whether a sibling answers: pulls, where every round asks all,
// else beats, which go to every sibling.
func (g *gossiper) lives(s *gossipPeer, now rattanhoist.Moment) bool {
	if g.rota != nil {
		return g.router.homes.alive(s.home)
	}
	return s.answers(now, siblingSilence)
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

// silent names the siblings that do not answer, where every round asks all.
func (g *gossiper) silent(now rattanhoist.Moment) []string {
	if g.rota != nil {
		return nil
	}
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
	reply, err := g.call(ctx, p, r.tracker.Request(p.pulled, r.self.Name(), r.self.Zone(), g.silent(asked), asked))
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
	if err != nil || q.Relayed {
		// The reply to a push by one that asks in turn is empty.
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
