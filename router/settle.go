package router

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/joiner"
)

const (
	// settleWait is how long a starting router waits for siblings that it does
	// not reach, or that do not reach it, before it takes them for dead. It is
	// longer than the longest pause between two tries to connect.
	settleWait = 2 * time.Second
	// triedMaxAge is the age of the last beat that ended in time from which
	// the silence of a sibling may be this router's own.
	triedMaxAge = 3 * heartbeatInterval
	// viewPoll is how often a request looks whether the view is clear again.
	viewPoll = 10 * time.Millisecond
	// viewWait bounds that: a machine may be too busy for any beat in time.
	viewWait = time.Second
)

// notReached stands for a sibling that does not reach this router.
const notReached = math.MinInt64

// now is the time since the start, in nanoseconds.
func (h *peerTable) now() int64 { return int64(time.Since(h.start)) }

// reached notes for how long a sibling has reached this router; 0 is not.
func (h *peerTable) reached(x *peer, forMS int64) {
	if forMS <= 0 {
		x.reachedSince.Store(notReached)
		return
	}
	x.reachedSince.Store(h.now() - forMS*int64(time.Millisecond))
}

// reachedForMS returns how long this router has reached an incarnation of a
// sibling without a break, in milliseconds, at least 1; 0 where it does not. A
// killed router seems alive for a second, in which its successor may be there:
// what is open towards the one says nothing of the other.
func (h *peerTable) reachedForMS(x *peer, incarnation uint64) int64 {
	if l := x.session.Load(); l.Err() == nil && l.incarnation == incarnation && h.isAlive(x) {
		return 1 + (h.now()-l.startedAt)/int64(time.Millisecond)
	}
	return 0
}

// agreed reports whether this router and a sibling take each other for alive,
// and since when, in nanoseconds after the start.
func (h *peerTable) agreed(x *peer) (since int64, ok bool) {
	l, by := x.session.Load(), x.reachedSince.Load()
	return max(l.startedAt, by), l.Err() == nil && by != notReached
}

// settled reports whether the siblings of the zone know that this router is
// there. Without this a router that has just started takes itself for home to
// every request, and so does a sibling that has not noticed it yet: a request
// that is sent through both runs twice. What is not reached for settleWait is
// taken for dead.
func (h *peerTable) settled() bool {
	if h.hasSettled.Load() {
		return true
	}
	for _, x := range h.siblings {
		if _, ok := h.agreed(x); !ok && h.now() < int64(settleWait) {
			return false
		}
	}
	h.hasSettled.Store(true)
	return true
}

// known counts the siblings of the zone with which this router agrees; the rest
// were taken for dead.
func (h *peerTable) known() (n int) {
	for _, x := range h.siblings {
		if _, ok := h.agreed(x); ok {
			n++
		}
	}
	return n
}

// unclear reports whether a sibling seems silent while no beat to it ended in
// time of late: then it may be this router that did not run, and the sibling
// lives and is home to its requests.
func (h *peerTable) unclear(x *peer) bool {
	return !h.isAlive(x) && h.now()-x.lastAttempt.Load() > int64(triedMaxAge)
}

// await waits until the view of the zone is clear: for a beat or two after
// this router was stopped.
func (h *peerTable) await(ctx context.Context) {
	end := h.now() + int64(viewWait)
	for _, x := range h.siblings {
		for h.unclear(x) && ctx.Err() == nil && h.now() < end {
			peerCounters.Add("views_awaited", 1)
			time.Sleep(viewPoll)
		}
	}
}

// before returns the live sibling that was home to this router's requests
// while the two did not take each other for alive, where that is so little ago
// that it may still have a run or an answer.
func (h *peerTable) before(q *request, window time.Duration) *peer {
	x := h.bestSibling(q.key, nil)
	if x == nil {
		return nil
	}
	since, ok := h.agreed(x)
	if ok && h.now()-since >= int64(window) {
		return nil
	}
	return x
}

// joinBefore joins the run of the sibling that was home before this router
// came (back), or takes its kept answer. Nobody told this router of them: who
// begins a run tells those that are there then.
func (r *Router) joinBefore(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	if q.ownID || !q.repeatable {
		return nil, errNothingToTakeOver
	}
	if _, told := r.records.get(q.key, time.Now()); told {
		return nil, errNothingToTakeOver
	}
	p := r.settings.Policy()
	x := r.peers.before(q, p.MaxTimeout()+p.KeepAnswer())
	if x == nil {
		return nil, errNothingToTakeOver
	}
	peerCounters.Add("siblings_asked", 1)
	a, err := r.joinAt(ctx, q, run, x)
	if s := run.Stream(); err != nil && s.ID != "" {
		// It was lost with the run half-way: what was passed on goes on.
		return r.resumeFromPeer(ctx, q, run, s)
	}
	return a, err
}

// watch ends the wait for a sibling of the zone when it is taken for dead. One
// that is taken for dead already is watched from its first sign on, which
// shows that it lives: it may hold a claim, and right after a start no beat of
// it has been answered yet.
type watch struct {
	homes   *peerTable
	sibling *peer
	cancel  context.CancelFunc
	stop    func() bool
}

func (w *watch) begin() {
	if w.inZone() {
		w.stop = context.AfterFunc(w.sibling.session.Load(), w.cancel)
	}
}

// inZone reports whether there are beats to watch.
func (w *watch) inZone() bool { return w.sibling.process.Zone() == w.homes.self.Zone() }

// heard takes a message of the sibling for a sign of life.
func (w *watch) heard() {
	if w.stop == nil && w.inZone() {
		w.homes.markAlive(w.sibling)
		w.begin()
	}
}

func (w *watch) end() {
	if w.stop != nil {
		w.stop()
	}
}

// ready reports whether the router may begin runs.
func (r *Router) ready() bool { return r.snapshot.Load() != nil && r.peers.settled() }

// becomeReady says so once.
func (r *Router) becomeReady() {
	if r.life.Is(stateStarting) && r.ready() {
		r.log.Info("runs may begin", zap.Int("siblings", len(r.peers.siblings)), zap.Int("known", r.peers.known()))
		_ = r.life.Event(context.Background(), eventReady)
	}
}
