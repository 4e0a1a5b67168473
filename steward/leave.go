package steward

import (
	"context"
	"slices"
	"time"

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

// awaitLeaveNotified waits until every router that syncs with this keeper has been told that an
// endpoint is leaving, for at most leaveNotifyTimeout after arrival. The time within which the
// endpoint must receive no more requests counts from the acknowledgement, and a sync over a busy
// link takes a large part of it.
func (s *Keeper) awaitLeaveNotified(ctx context.Context, i enroller.Incarnation, arrived time.Time) {
	deadline := arrived.Add(leaveNotifyTimeout)
	var appliedAt time.Time
	for {
		now := time.Now()
		if appliedAt.IsZero() && slices.Contains(s.committedState.Load().leftEndpoints, i) {
			appliedAt = now
		}
		var pending []string
		if !appliedAt.IsZero() {
			if pending = s.registry.unsyncedRouters(now, appliedAt); len(pending) == 0 {
				return
			}
		}
		if !now.Before(deadline) {
			leavesUnnotified.Inc()
			s.log.Info("leave acknowledged before all routers have synced", zap.Stringer("endpoint", i), zap.Bool("applied", !appliedAt.IsZero()),
				zap.Int("routers", len(pending)), zap.Strings("pending", pending[:min(len(pending), maxLoggedPending)]))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavePollInterval):
		}
	}
}

// unsyncedRouters returns the routers that sync with this keeper and have not done so since a
// time.
func (r *registry) unsyncedRouters(now, since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routers.unsynced(now, since)
}

// unsynced returns the routers that called this keeper within recentSyncWindow, but not since a
// time.
func (r *routers) unsynced(now, since time.Time) []string {
	var out []string
	for a, x := range r.byAddress {
		if x.direct && now.Sub(x.lastSeen) < recentSyncWindow && !x.lastSeen.After(since) {
			out = append(out, a)
		}
	}
	return out
}
