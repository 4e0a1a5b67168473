package courier

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maxLoggedLeaves bounds the endpoints in a log line on leaves.
	maxLoggedLeaves = 64
	// staleLeavesAge is the age from which the knowledge of leaves is logged as stale: longer than two syncs
	// of a large fleet, and shorter than the time for which an endpoint that has left serves requests.
	staleLeavesAge = 1500 * time.Millisecond
)

// leaveTracker records which leaves this router knows. Only the goroutine of run uses it, except for
// age.
type leaveTracker struct {
	// deployment is that of the keepers whose leaves are known; empty before their first reply.
	deployment string
	// index is the log index up to which all leaves are known, except that those up to floor are
	// known only as endpoints that keepers did not list.
	index, floor uint64
	startedAt    time.Time
	// confirmedAt is the time, as a duration since startedAt, as of which a majority of keepers
	// confirmed the leaves that this router has received.
	confirmedAt atomic.Int64
	// staleLogged is set while the log says that the knowledge is stale.
	staleLogged bool
}

// known returns what to tell a keeper.
func (t *leaveTracker) known() *messenger.KnownLeaves {
	return &messenger.KnownLeaves{Deployment: t.deployment, Index: t.index}
}

// apply records the update in a reply to a request that stated what was known then. It returns the
// leaves to apply, and whether all leaves up to the index of the update are known now.
func (t *leaveTracker) apply(stated *messenger.KnownLeaves, u *messenger.LeaveUpdate) (left []*messenger.LeaveChange, complete bool) {
	switch {
	case u.Truncated, t.deployment == "":
		t.deployment, t.index, t.floor = u.Deployment, u.Index, u.Index
		return nil, true
	case u.Deployment != t.deployment, stated.GetDeployment() != u.Deployment:
		// The request was sent before the first reply arrived.
		return nil, false
	}
	t.index = max(t.index, u.Index)
	return u.Leaves, true
}

// mayListLeft reports whether a keeper whose reply has an update may list an endpoint of whose leave
// this router keeps no record: the keeper lags behind the list from which this router began.
func (t *leaveTracker) mayListLeft(u *messenger.LeaveUpdate) bool {
	return u != nil && (u.Deployment != t.deployment || u.Index < t.floor)
}

// confirm records a reply to a request sent at a time, by a keeper whose copy a majority confirmed
// age before it replied.
func (t *leaveTracker) confirm(sent time.Time, age time.Duration) {
	at := int64(sent.Add(-age).Sub(t.startedAt))
	if at > t.confirmedAt.Load() {
		t.confirmedAt.Store(at)
	}
}

// age returns the time since this router's knowledge of leaves was complete. It is safe for concurrent
// use.
func (t *leaveTracker) age(now time.Time) time.Duration {
	return now.Sub(t.startedAt) - time.Duration(t.confirmedAt.Load())
}

// logLeavesAge logs when the knowledge of leaves becomes stale, and when it is up to date again. Requests may
// be sent meanwhile to endpoints that have left.
func (f *fleetView) logLeavesAge(now time.Time) {
	age := f.leaves.age(now)
	switch {
	case age > staleLeavesAge && !f.leaves.staleLogged:
		f.options.Log.Warn("knowledge of leaves is stale", zap.Duration("age", age), zap.Int("endpoints", len(f.endpoints)), zap.NamedError("last_failure", f.lastFailure))
	case age <= staleLeavesAge && f.leaves.staleLogged:
		f.options.Log.Info("knowledge of leaves is up to date")
	}
	f.leaves.staleLogged = age > staleLeavesAge
}

// LeavesAge returns the time since this router's knowledge of leaves was complete.
func (f *fleetView) LeavesAge() time.Duration { return f.leaves.age(time.Now()) }

// applyLeaves removes the endpoints that have left according to a keeper's reply to a request that was
// sent at a time and stated which leaves were known.
func (f *fleetView) applyLeaves(sent, now time.Time, keeper string, stated *messenger.KnownLeaves, r *messenger.SyncReply) {
	left, complete := r.Left, true
	if u := r.Leaves; u.GetDeployment() != "" {
		if u.Truncated {
			f.options.Log.Warn("leaves missed; all endpoints are listed again", zap.String("keeper", keeper), zap.Uint64("known", f.leaves.index), zap.Uint64("index", u.Index))
			f.retainListed(r.Endpoints)
		}
		left, complete = f.leaves.apply(stated, u)
	}
	if complete && r.ConfirmedAgeMs >= 0 {
		f.leaves.confirm(sent, time.Duration(r.ConfirmedAgeMs)*time.Millisecond)
	}
	var removed []enroller.Incarnation
	var latest time.Duration
	for _, l := range left {
		i := enroller.IncarnationFromLeave(l)
		if !f.registered.Leave(now, i) {
			continue
		}
		age := time.Duration(l.AgeMs)*time.Millisecond + now.Sub(sent)
		leaveDelays.Update(age.Seconds())
		latest = max(latest, age)
		removed = append(removed, i)
	}
	if n := len(removed); n > 0 {
		f.options.Log.Info("endpoints have left", zap.Int("endpoints", n), zap.Stringers("ids", removed[:min(n, maxLoggedLeaves)]),
			zap.String("keeper", keeper), zap.Duration("latest", latest), zap.Duration("reply", now.Sub(sent)))
	}
}

// retainListed removes all endpoints that a keeper's complete list does not hold. Other keepers are
// then asked for complete lists as well, since their changes do not name the endpoints that were
// removed.
func (f *fleetView) retainListed(endpoints []*messenger.Sighting) {
	listed := make(map[enroller.Incarnation]bool, len(endpoints))
	for _, s := range endpoints {
		listed[enroller.Incarnation{ID: s.Id, BornMS: s.BornMs}] = true
	}
	f.registered.Retain(listed)
	clear(f.sources)
}
