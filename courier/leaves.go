package courier

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxLoggedLeaves bounds the endpoints in a log line on leaves.
const maxLoggedLeaves = 64

// leaveTracker records how current this router's knowledge of leaves is.
type leaveTracker struct {
	startedAt time.Time
	// confirmedAt is the time, as a duration since startedAt, as of which a majority of keepers
	// confirmed the leaves that this router has received.
	confirmedAt atomic.Int64
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

// LeavesAge returns the time since this router's knowledge of leaves was complete.
func (f *fleetView) LeavesAge() time.Duration { return f.leaves.age(time.Now()) }

// applyLeaves removes the endpoints that have left according to a keeper's reply to a request sent at
// a time.
func (f *fleetView) applyLeaves(sent, now time.Time, keeper string, r *messenger.SyncReply) {
	var removed []enroller.Incarnation
	var latest time.Duration
	for _, l := range r.Left {
		i := enroller.IncarnationFromLeave(l)
		if !f.registered.Leave(now, i) {
			continue
		}
		age := time.Duration(l.AgeMs)*time.Millisecond + now.Sub(sent)
		leaveDelays.Update(age.Seconds())
		latest = max(latest, age)
		removed = append(removed, i)
	}
	if r.ConfirmedAgeMs >= 0 {
		f.leaves.confirm(sent, time.Duration(r.ConfirmedAgeMs)*time.Millisecond)
	}
	if n := len(removed); n > 0 {
		f.options.Log.Info("endpoints have left", zap.Int("endpoints", n), zap.Stringers("ids", removed[:min(n, maxLoggedLeaves)]),
			zap.String("keeper", keeper), zap.Duration("latest", latest), zap.Duration("reply", now.Sub(sent)))
	}
}
