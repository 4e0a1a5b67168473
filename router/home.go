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
	beatEvery = 250 * time.Millisecond
	// siblingMaxAge is the age of the last beat from which a router is home
	// to nothing.
	siblingMaxAge = time.Second
	// recordQueue bounds the records that wait for a beat; beyond it they are
	// dropped and counted, which costs a resume and no truth.
	recordQueue = 4096
)

// sibling is another router of the deployment.
type sibling struct {
	process loader.Process
	conn    *grpc.ClientConn
	client  messenger.HomeRouterClient
	// Heard is when it last answered, in nanoseconds after the start.
	heard atomic.Int64
	// Tried is when a beat to it last ended in time, answered or not.
	tried atomic.Int64
	// ReachedBy is since when it has reached this router; notReached for never.
	reachedBy atomic.Int64
	draining  atomic.Bool
	// Kick has the next beat sent at once.
	kick chan struct{}
	// Life ends when the sibling is taken for dead; a new one follows when it
	// is heard again.
	life atomic.Pointer[life]
	// Mu is held to begin or end a life, so that one that is alive has one.
	mu      sync.Mutex
	records chan *messenger.RunRecord
}

type life struct {
	context.Context
	end context.CancelFunc
	// Began is in nanoseconds after the router's start.
	began int64
	// Incarnation is the sibling's; 0 until a beat has told it.
	incarnation uint64
}

func newLife(began int64, incarnation uint64) *life {
	ctx, end := context.WithCancel(context.Background())
	return &life{Context: ctx, end: end, began: began, incarnation: incarnation}
}

// homes are the routers of the deployment as this one sees them; the list is
// immutable, the liveness atomic.
type homes struct {
	self  loader.Process
	start time.Time
	// Zone lists the siblings of the own zone, all those of the deployment.
	zone []*sibling
	all  map[string]*sibling
	// HasSettled latches settled.
	hasSettled atomic.Bool
}

func newHomes(s *loader.Settings, self loader.Process, d *messenger.Dialer) (*homes, func(), error) {
	h := &homes{self: self, start: time.Now(), all: map[string]*sibling{}}
	cleanUp := func() {
		for _, x := range h.all {
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
		x := &sibling{process: p, conn: conn, client: messenger.NewHomeRouterClient(conn), records: make(chan *messenger.RunRecord, recordQueue), kick: make(chan struct{}, 1)}
		x.heard.Store(-int64(siblingMaxAge))
		x.reachedBy.Store(notReached)
		x.life.Store(newLife(0, 0))
		x.life.Load().end()
		h.all[p.Name()] = x
		if p.Zone() == self.Zone() {
			h.zone = append(h.zone, x)
		}
	}
	return h, cleanUp, nil
}

// hear notes a sibling's answer to a beat. A life is that of one incarnation:
// what waits for a sibling that was started anew waits for nothing. One that a
// sign of life began goes on: that came over the connection of the beat.
func (h *homes) hear(x *sibling, b *messenger.BeatReply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.life.Load()
	switch {
	case l.Err() == nil && l.incarnation == 0:
		x.life.Store(&life{Context: l.Context, end: l.end, began: l.began, incarnation: b.Incarnation})
	case l.Err() != nil || l.incarnation != b.Incarnation:
		l.end()
		x.life.Store(newLife(h.now(), b.Incarnation))
	}
	x.draining.Store(b.Draining)
	x.heard.Store(h.now())
	h.reached(x, b.ReachedForMs)
}

// revive notes a sign of life that is no answer to a beat.
func (h *homes) revive(x *sibling) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life.Load().Err() != nil {
		x.life.Store(newLife(h.now(), 0))
	}
	x.heard.Store(h.now())
}

// alive reports whether a sibling was heard within siblingMaxAge. It reads
// the age at the moment of use: a router that was stopped wakes up with an
// old view.
func (h *homes) alive(x *sibling) bool {
	return h.now()-x.heard.Load() < int64(siblingMaxAge)
}

// score ranks a router for a request; every router computes the same.
func score(router string, k rattanhoist.RequestKey) uint64 {
	return xxhash.Sum64String(router + "\x00" + k.Workspace() + "\x00" + k.RequestID())
}

// home returns the sibling that is home to a request, or nil for this router:
// the live router of the zone with the highest score, so that the loss of one
// moves only its own requests.
func (h *homes) home(k rattanhoist.RequestKey, tried map[string]bool) *sibling {
	x := h.best(k, tried)
	if x == nil || score(x.process.Name(), k) <= score(h.self.Name(), k) {
		return nil
	}
	return x
}

// next returns the siblings that would be home after this router, best first.
func (h *homes) next(k rattanhoist.RequestKey) []*sibling {
	const most = 2
	tried := map[string]bool{}
	var out []*sibling
	for len(out) < most {
		x := h.best(k, tried)
		if x == nil {
			break
		}
		tried[x.process.Name()] = true
		out = append(out, x)
	}
	return out
}

// best returns the live sibling of the zone with the highest score that is not
// in tried, or nil.
func (h *homes) best(k rattanhoist.RequestKey, tried map[string]bool) *sibling {
	var best *sibling
	var most uint64
	for _, x := range h.zone {
		if tried[x.process.Name()] || x.draining.Load() || !h.alive(x) {
			continue
		}
		if s := score(x.process.Name(), k); best == nil || s > most {
			best, most = x, s
		}
	}
	return best
}
