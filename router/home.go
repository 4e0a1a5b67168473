package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// heartbeatInterval is the pause between two heartbeats to a sibling.
	heartbeatInterval = 250 * time.Millisecond
	// peerTimeout is how long after a router was last heard it is considered
	// dead; it is then no longer the home of any request.
	peerTimeout = time.Second
	// recordQueueSize bounds the run records that wait for a heartbeat. Further
	// records are dropped and counted; without a record a stream can't be
	// resumed, but no answer becomes wrong.
	recordQueueSize = 4096
)

// peer is another router of the deployment.
type peer struct {
	process loader.Process
	conn    *grpc.ClientConn
	client  messenger.HomeRouterClient
	// lastHeard is when the peer last answered, in nanoseconds after the start.
	lastHeard atomic.Int64
	// lastAttempt is when a heartbeat to the peer last ended in time, answered
	// or not.
	lastAttempt atomic.Int64
	// reachedSince is since when the peer has reached this router, or
	// notReachable.
	reachedSince atomic.Int64
	draining     atomic.Bool
	// wake makes the next heartbeat go out at once.
	wake chan struct{}
	// session ends when the peer is considered dead. A new one starts when the
	// peer is heard again.
	session atomic.Pointer[session]
	// mu is held to start or end a session, so that a peer that is alive always
	// has one.
	mu      sync.Mutex
	records chan *messenger.RunRecord
}

// session is the context of everything that waits for one incarnation of a
// peer.
type session struct {
	context.Context
	cancel context.CancelFunc
	// startedAt is in nanoseconds after the router's start.
	startedAt int64
	// incarnation is the peer's incarnation, or 0 until a heartbeat reply has
	// told it.
	incarnation uint64
}

// newSession starts a session of an incarnation.
func newSession(startedAt int64, incarnation uint64) *session {
	ctx, end := context.WithCancel(context.Background())
	return &session{Context: ctx, cancel: end, startedAt: startedAt, incarnation: incarnation}
}

// peerTable holds the state of the deployment's other routers and assigns
// requests to their home: the router of the zone that runs a request, chosen by
// rendezvous hashing. The lists are immutable; the states change atomically.
type peerTable struct {
	self  loader.Process
	start time.Time
	// siblings are the peers of the own zone; byName holds all peers.
	siblings []*peer
	byName   map[string]*peer
	// hasSettled is set once settled has returned true.
	hasSettled atomic.Bool
}

// newPeerTable connects to all other routers; the returned function closes the
// connections.
func newPeerTable(s *loader.Settings, self loader.Process, d *messenger.Dialer) (*peerTable, func(), error) {
	h := &peerTable{self: self, start: time.Now(), byName: map[string]*peer{}}
	cleanUp := func() {
		for _, x := range h.byName {
			_ = x.conn.Close()
		}
	}
	for _, p := range s.Processes(loader.KindRouter) {
		if p.Name() == self.Name() {
			continue
		}
		conn, err := d.Dial(p.RPC())
		if err != nil {
			cleanUp()
			return nil, nil, err
		}
		x := &peer{process: p, conn: conn, client: messenger.NewHomeRouterClient(conn), records: make(chan *messenger.RunRecord, recordQueueSize), wake: make(chan struct{}, 1)}
		x.lastHeard.Store(-int64(peerTimeout))
		x.reachedSince.Store(notReachable)
		x.session.Store(newSession(0, 0))
		x.session.Load().cancel()
		h.byName[p.Name()] = x
		if p.Zone() == self.Zone() {
			h.siblings = append(h.siblings, x)
		}
	}
	return h, cleanUp, nil
}

// recordReply stores the reply to a heartbeat. A session belongs to one
// incarnation: calls that wait for a router that has since been restarted would
// wait for nothing. A session that markAlive started continues, because the
// message that it noted came over the connection of the heartbeat.
func (h *peerTable) recordReply(x *peer, b *messenger.BeatReply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.session.Load()
	switch {
	case l.Err() == nil && l.incarnation == 0:
		x.session.Store(&session{Context: l.Context, cancel: l.cancel, startedAt: l.startedAt, incarnation: b.Incarnation})
	case l.Err() != nil || l.incarnation != b.Incarnation:
		l.cancel()
		x.session.Store(newSession(h.sinceStart(), b.Incarnation))
	}
	x.draining.Store(b.Draining)
	x.lastHeard.Store(h.sinceStart())
	h.setReachedFor(x, b.ReachedForMs)
}

// markAlive records a message of a peer that is not a reply to a heartbeat.
func (h *peerTable) markAlive(x *peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.session.Load().Err() != nil {
		x.session.Store(newSession(h.sinceStart(), 0))
	}
	x.lastHeard.Store(h.sinceStart())
}

// isAlive reports whether a peer was heard within peerTimeout. It compares with
// the current time at each call, because a router that was stopped wakes up
// with an outdated view.
func (h *peerTable) isAlive(x *peer) bool {
	return h.sinceStart()-x.lastHeard.Load() < int64(peerTimeout)
}

// homeScore ranks a router as home of a request. All routers compute the same
// values.
func homeScore(router string, k rattanhoist.RequestKey) uint64 {
	return xxhash.Sum64String(router + "\x00" + k.Workspace() + "\x00" + k.RequestID())
}

// homeOf returns the sibling that is the home of a request, or nil if that is
// this router. The home is the live router of the zone with the highest score,
// so the loss of a router moves only its own requests. Siblings in tried are
// left out.
func (h *peerTable) homeOf(k rattanhoist.RequestKey, tried map[string]bool) *peer {
	x := h.bestSibling(k, tried)
	if x == nil || homeScore(x.process.Name(), k) <= homeScore(h.self.Name(), k) {
		return nil
	}
	return x
}

// successors returns the siblings that would be home after this router, best
// first.
func (h *peerTable) successors(k rattanhoist.RequestKey) []*peer {
	const most = 2
	tried := map[string]bool{}
	var out []*peer
	for len(out) < most {
		x := h.bestSibling(k, tried)
		if x == nil {
			break
		}
		tried[x.process.Name()] = true
		out = append(out, x)
	}
	return out
}

// bestSibling returns the live sibling with the highest score that is not
// draining and not in tried, or nil.
func (h *peerTable) bestSibling(k rattanhoist.RequestKey, tried map[string]bool) *peer {
	var best *peer
	var most uint64
	for _, x := range h.siblings {
		if tried[x.process.Name()] || x.draining.Load() || !h.isAlive(x) {
			continue
		}
		if s := homeScore(x.process.Name(), k); best == nil || s > most {
			best, most = x, s
		}
	}
	return best
}
