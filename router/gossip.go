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
	// gossipInterval is the length of a round of pulls.
	gossipInterval = tracker.PullInterval
	gossipTimeout  = time.Second
	// siblingTimeout is how long a sibling may stay silent before another
	// router pulls from the other zones in its place.
	siblingTimeout = 2 * time.Second
	// relayTimeout is how long a sibling may stay silent before the other
	// siblings are asked for the news that it relays. A shorter time costs some
	// bytes; a longer one lets endpoint ages grow.
	relayTimeout = time.Second
)

// gossipPeer is the gossip state for another router that this one pulls from.
type gossipPeer struct {
	process loader.Process
	// peer is the heartbeat state of the same router.
	peer *peer
	// busy is held during a pull. It guards conn and pulled.
	busy   sync.Mutex
	conn   *grpc.ClientConn
	pulled *tracker.Peer
	// answeredAt is when the last reply arrived; it is never nil.
	answeredAt atomic.Pointer[rattanhoist.Moment]
}

// gossiper pulls endpoint news from the routers of its own zone, either all of
// them or a few in rotation. In each zone one router also pulls from one router
// of each other zone.
type gossiper struct {
	router *Router
	// perRound are the other routers of the zone.
	siblings []*gossipPeer
	// rota is nil if the zone is small enough to pull from all siblings in each
	// round. Otherwise it selects an index of ring, in which this router is
	// nil.
	rota *tracker.PullSchedule
	ring []*gossipPeer
	// pullsPerRound is the number of steps in a round, each with one pull from
	// a sibling in rotation; it is 1 without rotation.
	pullsPerRound int
	// otherZones holds the routers of every other zone, in the order in which
	// this zone's routers try them.
	otherZones map[string][]*gossipPeer
}

// newGossiper returns a gossiper with a peer for every other router of the
// settings.
func newGossiper(r *Router) *gossiper {
	g := &gossiper{router: r, otherZones: map[string][]*gossipPeer{}}
	for _, p := range r.settings.Processes(loader.KindRouter) {
		if p.Name() == r.self.Name() {
			continue
		}
		x := &gossipPeer{process: p, pulled: tracker.NewPeer(p.Name(), p.Zone() == r.self.Zone())}
		x.peer = r.peers.byName[p.Name()]
		x.answeredAt.Store(&rattanhoist.Moment{})
		if p.Zone() == r.self.Zone() {
			g.siblings = append(g.siblings, x)
		} else {
			g.otherZones[p.Zone()] = append(g.otherZones[p.Zone()], x)
		}
	}
	for _, list := range g.otherZones {
		slices.SortFunc(list, func(a, b *gossipPeer) int {
			return cmp.Compare(rank(a.process.Name(), r.self.Zone()), rank(b.process.Name(), r.self.Zone()))
		})
	}
	g.setUpRotation(r.settings.Policy().GossipSiblings())
	return g
}

// setUpRotation sets up pulls in rotation if the zone has more siblings than
// the given number per round.
func (g *gossiper) setUpRotation(perRound int) {
	g.pullsPerRound = 1
	if len(g.siblings) <= perRound {
		return
	}
	g.pullsPerRound = perRound
	g.ring = append(slices.Clone(g.siblings), nil)
	own := g.router.self.Name()
	nameOf := func(p *gossipPeer) string {
		if p == nil {
			return own
		}
		return p.process.Name()
	}
	slices.SortFunc(g.ring, func(a, b *gossipPeer) int { return cmp.Compare(nameOf(a), nameOf(b)) })
	g.rota = tracker.NewPullSchedule(len(g.ring), slices.Index(g.ring, nil))
	for _, s := range g.siblings {
		s.pulled = tracker.NewRotatedPeer(s.process.Name())
	}
}

// rank orders routers differently for each zone, which spreads the traffic
// between zones.
func rank(router, zone string) uint64 { return xxhash.Sum64String(router + "\x00" + zone) }

// close closes the connections after pulls in progress have ended.
func (g *gossiper) close() {
	for _, p := range g.all() {
		p.busy.Lock()
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.busy.Unlock()
	}
}

// all returns the routers of all zones.
func (g *gossiper) all() []*gossipPeer {
	out := slices.Clone(g.siblings)
	for _, list := range g.otherZones {
		out = append(out, list...)
	}
	return out
}

// run pulls until ctx ends.
func (g *gossiper) run(ctx context.Context) {
	t := time.NewTicker(gossipInterval / time.Duration(g.pullsPerRound))
	defer t.Stop()
	for step := 0; ; step = (step + 1) % g.pullsPerRound {
		for _, p := range g.targets(step, rattanhoist.MomentOf(time.Now())) {
			go g.pull(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// targets returns the routers to pull from in one step of a round.
func (g *gossiper) targets(step int, now rattanhoist.Moment) []*gossipPeer {
	out := slices.Clone(g.siblings)
	if g.rota != nil {
		out = []*gossipPeer{g.ring[g.rota.Next(func(place int) bool { return g.isAlive(g.ring[place], now) })]}
	}
	if step > 0 {
		return out
	}
	for zone, list := range g.otherZones {
		if g.pullsFrom(zone, now) {
			out = append(out, remoteTarget(list, now))
		}
	}
	return out
}

// pullsFrom reports whether this router pulls from another zone on behalf of
// its own. That is the router with the lowest rank among those that are alive.
func (g *gossiper) pullsFrom(zone string, now rattanhoist.Moment) bool {
	own := rank(g.router.self.Name(), zone)
	for _, s := range g.siblings {
		if rank(s.process.Name(), zone) < own && g.isAlive(s, now) {
			return false
		}
	}
	return true
}

// isAlive reports whether a sibling is alive: by its replies to pulls if every
// round pulls from all siblings, otherwise by heartbeats, which every sibling
// gets.
func (g *gossiper) isAlive(s *gossipPeer, now rattanhoist.Moment) bool {
	if g.rota != nil {
		return g.router.peers.isAlive(s.peer)
	}
	return s.answeredWithin(now, siblingTimeout)
}

// remoteTarget returns the first router that answered recently. If none did, it
// tries them in turn.
func remoteTarget(list []*gossipPeer, now rattanhoist.Moment) *gossipPeer {
	for _, p := range list {
		if p.answeredWithin(now, siblingTimeout) {
			return p
		}
	}
	return list[int(now.Monotonic()/gossipInterval)%len(list)]
}

// answeredWithin reports whether the router answered a pull within the given
// time.
func (p *gossipPeer) answeredWithin(now rattanhoist.Moment, within time.Duration) bool {
	silent, ok := now.Since(*p.answeredAt.Load())
	return ok && silent < within
}

// silentSiblings names the siblings that do not answer, or none if siblings are
// pulled from in rotation.
func (g *gossiper) silentSiblings(now rattanhoist.Moment) []string {
	if g.rota != nil {
		return nil
	}
	var out []string
	for _, s := range g.siblings {
		if !s.answeredWithin(now, relayTimeout) {
			out = append(out, s.process.Name())
		}
	}
	return out
}

// pull requests news from one router, unless an earlier pull from it is still
// waiting.
func (g *gossiper) pull(ctx context.Context, p *gossipPeer) {
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	r := g.router
	asked := rattanhoist.MomentOf(time.Now())
	reply, err := g.call(ctx, p, r.tracker.Request(p.pulled, r.self.Name(), r.self.Zone(), g.silentSiblings(asked), asked))
	if err != nil {
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	r.tracker.Merge(p.pulled, reply, asked, now)
	p.answeredAt.Store(&now)
}

// call sends a gossip request. The caller holds p.busy.
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

// pushLeaving immediately tells every sibling and one router of each other zone
// that an endpoint leaves. Routers that miss the push learn it by pulls.
func (g *gossiper) pushLeaving(name string) {
	s := g.router.tracker.Left(name)
	if s == nil {
		return
	}
	now := rattanhoist.MomentOf(time.Now())
	peers := slices.Clone(g.siblings)
	for _, list := range g.otherZones {
		peers = append(peers, remoteTarget(list, now))
	}
	for _, p := range peers {
		go g.push(p, s)
	}
}

// push sends the state of a leaving endpoint to one router and merges the news
// in the reply.
func (g *gossiper) push(p *gossipPeer, s *messenger.EndpointState) {
	p.busy.Lock()
	defer p.busy.Unlock()
	asked := rattanhoist.MomentOf(time.Now())
	q := p.pulled.Request(g.router.self.Name(), g.router.self.Zone(), g.silentSiblings(asked))
	q.Left = []*messenger.EndpointState{s}
	reply, err := g.call(context.Background(), p, q)
	if err != nil || q.Relayed {
		// A router that pulls in rotation gets an empty reply to a push.
		return
	}
	g.router.tracker.Merge(p.pulled, reply, asked, rattanhoist.MomentOf(time.Now()))
}

// Gossip merges the leaving endpoints that were pushed and returns the news
// that the caller does not have.
func (s *peerServer) Gossip(_ context.Context, q *messenger.GossipRequest) (*messenger.GossipReply, error) {
	now := rattanhoist.MomentOf(time.Now())
	s.router.tracker.MergeLeaves(q, now)
	return s.router.tracker.Reply(q, now), nil
}
