package steward

import (
	"context"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
)

const (
	// leaveNotifyTimeout bounds the time from the arrival of a leave to its acknowledgement
	// while routers have yet to sync. Endpoints ask another keeper after a second.
	leaveNotifyTimeout = 600 * time.Millisecond
	leavePollInterval  = 20 * time.Millisecond
	// recentSyncWindow is how recently a router must have synced with this keeper to be
	// waited for: two syncs of a large fleet. A router that is silent for longer has lost
	// contact or syncs with another keeper.
	recentSyncWindow = 1200 * time.Millisecond
	// maxLoggedPending bounds the routers in a log line.
	maxLoggedPending = 8
)

// ErrRepliesLost says that no router receives the replies of this keeper, so that none learns of a leave from it.
// The endpoint may have its leave acknowledged by another keeper.
var ErrRepliesLost = merry.Sentinel("no router receives the replies of this keeper")

// awaitLeaveNotified waits until every router that syncs with this keeper has been sent the leave of
// an endpoint, for at most leaveNotifyTimeout after arrival. The time within which the
// endpoint must receive no more requests counts from the acknowledgement, and a sync over a busy
// link takes a large part of it. It returns ErrNoMajority if this keeper has not applied the leave by
// then: it lags behind the log, and the endpoint may have its leave acknowledged by another keeper. It
// returns ErrRepliesLost if no router that syncs with this keeper receives its replies.
func (s *Keeper) awaitLeaveNotified(ctx context.Context, i enroller.Incarnation, arrived time.Time) error {
	deadline := arrived.Add(leaveNotifyTimeout)
	for {
		now := time.Now()
		applied, notified := s.registry.leaveNotified(now, i)
		if notified {
			return nil
		}
		if !now.Before(deadline) {
			if !applied {
				return merry.Errorf("%w: the leave is not applied here yet", ErrNoMajority)
			}
			if s.registry.repliesLost(now) {
				return ErrRepliesLost
			}
			leavesUnnotified.Inc()
			pending := s.registry.unnotifiedRouters(now, i)
			s.log.Info("leave acknowledged before all routers have synced", zap.Stringer("endpoint", i),
				zap.Int("routers", len(pending)), zap.Strings("pending", pending[:min(len(pending), maxLoggedPending)]))
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePollInterval):
		}
	}
}

// leaveNotified reports whether this keeper has applied a leave, and whether it has sent it to all
// routers that sync with it.
func (r *registry) leaveNotified(now time.Time, i enroller.Incarnation) (applied, notified bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, applied := r.left[i]
	return applied, applied && r.routers.notifiedIndex(now) >= l.index
}

// unnotifiedRouters returns the routers that sync with this keeper and have not been sent a leave.
func (r *registry) unnotifiedRouters(now time.Time, i enroller.Incarnation) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, applied := r.left[i]
	if !applied {
		return nil
	}
	return r.routers.unnotified(now, l.index)
}

// notifiedIndex returns the log index up to which all routers that sync with this keeper have been
// sent all leaves. The result may be older by leavePollInterval/2.
func (r *routers) notifiedIndex(now time.Time) uint64 {
	if now.Sub(r.notifiedAt) < leavePollInterval/2 {
		return r.lastNotified
	}
	lowest := uint64(math.MaxUint64)
	for _, x := range r.byAddress {
		if x.syncs(now) {
			lowest = min(lowest, x.leavesIndex)
		}
	}
	r.lastNotified, r.notifiedAt = lowest, now
	return lowest
}

// unnotified returns the routers that sync with this keeper and have not been sent the leaves up to a
// log index.
func (r *routers) unnotified(now time.Time, index uint64) []string {
	var out []string
	for a, x := range r.byAddress {
		if x.syncs(now) && x.leavesIndex < index {
			out = append(out, a)
		}
	}
	return out
}

// repliesLost reports whether routers sync with this keeper and none of them receives its replies.
func (r *registry) repliesLost(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := false
	for _, x := range r.routers.byAddress {
		if !x.syncs(now) {
			continue
		}
		if !x.missedReply {
			return false
		}
		lost = true
	}
	return lost
}

// syncs reports whether the router called this keeper within recentSyncWindow.
func (x router) syncs(now time.Time) bool { return x.direct && now.Sub(x.lastSeen) < recentSyncWindow }
