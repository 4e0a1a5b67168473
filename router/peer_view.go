package router

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/joiner"
)

const (
	// startupPeerTimeout is how long a starting router waits for siblings that
	// it can't reach, or that can't reach it, before it considers them dead. It
	// is longer than the longest pause between two connection attempts.
	startupPeerTimeout = 2 * time.Second
	// attemptMaxAge is the age of the last heartbeat that ended in time beyond
	// which a sibling's silence may come from a pause of this router.
	attemptMaxAge = 3 * heartbeatInterval
	// viewPollInterval is how often a waiting request checks isViewStale.
	viewPollInterval = 10 * time.Millisecond
	// viewTimeout bounds that wait: on an overloaded machine no heartbeat may
	// end in time.
	viewTimeout = time.Second
)

// notReachable is the value of peer.reachedSince while the peer does not reach
// this router.
const notReachable = math.MinInt64

// sinceStart returns the time since the start of the process, in nanoseconds.
func (h *peerTable) sinceStart() int64 { return int64(time.Since(h.start)) }

// setReachedFor stores for how long a peer has reached this router, in
// milliseconds; 0 means that it does not.
func (h *peerTable) setReachedFor(x *peer, forMS int64) {
	if forMS <= 0 {
		x.reachedSince.Store(notReachable)
		return
	}
	x.reachedSince.Store(h.sinceStart() - forMS*int64(time.Millisecond))
}

// reachedForMS returns for how long this router has reached the given
// incarnation of a peer without interruption, in milliseconds and at least 1,
// or 0 if it does not reach it. The incarnation must match: a killed router
// seems alive for another second, in which its successor may already run, and
// an open connection to the one says nothing about the other.
func (h *peerTable) reachedForMS(x *peer, incarnation uint64) int64 {
	if l := x.session.Load(); l.Err() == nil && l.incarnation == incarnation && h.isAlive(x) {
		return 1 + (h.sinceStart()-l.startedAt)/int64(time.Millisecond)
	}
	return 0
}

// mutuallyAlive reports whether this router and a peer consider each other
// alive, and since when, in nanoseconds after the start.
func (h *peerTable) mutuallyAlive(x *peer) (since int64, ok bool) {
	l, by := x.session.Load(), x.reachedSince.Load()
	return max(l.startedAt, by), l.Err() == nil && by != notReachable
}

// settled reports whether the siblings know that this router is running.
// Otherwise a router that has just started considers itself the home of every
// request, and so does a sibling that has not noticed it yet: a request that is
// sent through both runs twice. Siblings with which no contact exists after
// startupPeerTimeout are considered dead.
func (h *peerTable) settled() bool {
	if h.hasSettled.Load() {
		return true
	}
	for _, x := range h.siblings {
		if _, ok := h.mutuallyAlive(x); !ok && h.sinceStart() < int64(startupPeerTimeout) {
			return false
		}
	}
	h.hasSettled.Store(true)
	return true
}

// countMutuallyAlive counts the siblings for which mutuallyAlive holds. At the
// end of the startup, the others have been considered dead.
func (h *peerTable) countMutuallyAlive() (n int) {
	for _, x := range h.siblings {
		if _, ok := h.mutuallyAlive(x); ok {
			n++
		}
	}
	return n
}

// isViewStale reports whether a sibling seems silent although no heartbeat to
// it ended in time recently. Then this router itself may have been paused, and
// the sibling may be alive and the home of its requests.
func (h *peerTable) isViewStale(x *peer) bool {
	return !h.isAlive(x) && h.sinceStart()-x.lastAttempt.Load() > int64(attemptMaxAge)
}

// awaitClearView waits until the state of no sibling is stale. After a pause of
// this process that takes one or two heartbeats.
func (h *peerTable) awaitClearView(ctx context.Context) {
	end := h.sinceStart() + int64(viewTimeout)
	for _, x := range h.siblings {
		for h.isViewStale(x) && ctx.Err() == nil && h.sinceStart() < end {
			peerCounters.Add("views_awaited", 1)
			time.Sleep(viewPollInterval)
		}
	}
}

// previousHome returns the live sibling that was the home of this router's
// requests until the two considered each other alive. It returns nil if that
// was longer ago than window, because the sibling then has no run or answer
// left.
func (h *peerTable) previousHome(q *request, window time.Duration) *peer {
	x := h.bestSibling(q.key, nil)
	if x == nil {
		return nil
	}
	since, ok := h.mutuallyAlive(x)
	if ok && h.sinceStart()-since >= int64(window) {
		return nil
	}
	return x
}

// joinPreviousHome joins the run of the sibling that was the home before this
// router started or came back, or takes the answer that it kept. This router
// has no run records for them: a router sends those only to siblings that are
// alive when the run starts.
func (r *Router) joinPreviousHome(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	if q.generatedID || !q.repeatable {
		return nil, errNothingToTakeOver
	}
	if _, told := r.runRecords.get(q.key, time.Now()); told {
		return nil, errNothingToTakeOver
	}
	p := r.settings.Policy()
	x := r.peers.previousHome(q, p.MaxTimeout()+p.KeepAnswer())
	if x == nil {
		return nil, errNothingToTakeOver
	}
	peerCounters.Add("siblings_asked", 1)
	a, err := r.joinRunAt(ctx, q, run, x)
	if s := run.Stream(); err != nil && s.ID != "" {
		// The sibling was lost during the run. Resume the stream whose bytes
		// were already passed on.
		return r.resumeFromPeer(ctx, q, run, s)
	}
	return a, err
}

// peerWatch cancels a call to a sibling when the sibling is considered dead. If
// it is considered dead already, the watch begins with its first message, which
// proves that it is alive. Such a sibling is still asked: it may hold a claim,
// and right after a start it has not answered any heartbeat yet.
type peerWatch struct {
	peers   *peerTable
	sibling *peer
	cancel  context.CancelFunc
	stop    func() bool
}

// begin cancels the call when the current session of the sibling ends.
func (w *peerWatch) begin() {
	if w.isSibling() {
		w.stop = context.AfterFunc(w.sibling.session.Load(), w.cancel)
	}
}

// isSibling reports whether the peer is in this zone. Only siblings get
// heartbeats.
func (w *peerWatch) isSibling() bool { return w.sibling.process.Zone() == w.peers.self.Zone() }

// recordMessage records a message of the sibling as proof that it is alive.
func (w *peerWatch) recordMessage() {
	if w.stop == nil && w.isSibling() {
		w.peers.markAlive(w.sibling)
		w.begin()
	}
}

// end stops watching.
func (w *peerWatch) end() {
	if w.stop != nil {
		w.stop()
	}
}

// ready reports whether the router may start runs.
func (r *Router) ready() bool { return r.snapshot.Load() != nil && r.peers.settled() }

// becomeReady changes the state to ready, and logs it, once runs may start.
func (r *Router) becomeReady() {
	if r.lifecycle.Is(stateStarting) && r.ready() {
		r.log.Info("runs may begin", zap.Int("siblings", len(r.peers.siblings)), zap.Int("known", r.peers.countMutuallyAlive()))
		_ = r.lifecycle.Event(context.Background(), eventReady)
	}
}
