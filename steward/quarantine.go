package steward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// quarantineTracker collects the crashes that routers report and determines the requests
// to quarantine. Crash reports are in memory only: a report that is lost with a keeper
// costs one more endpoint. The quarantines are in the log, so that no restart loses them.
type quarantineTracker struct {
	// duration is how long a request is quarantined and how long crashes are remembered.
	duration time.Duration

	mu       sync.Mutex
	register *quarantiner.CrashTracker
	// newCrashes and newAnswered hold what routers reported to this keeper since it last
	// shared its observations.
	newCrashes  []quarantiner.Crash
	newAnswered []quarantiner.Fingerprint
	// answered holds requests that endpoints have answered, until they are no longer
	// quarantined.
	answered map[quarantiner.Fingerprint]bool
	// submitting is set while quarantines are being committed.
	submitting atomic.Bool
}

func newQuarantineTracker(duration time.Duration) *quarantineTracker {
	return &quarantineTracker{duration: duration, register: quarantiner.NewCrashTracker(duration), answered: map[quarantiner.Fingerprint]bool{}}
}

// recordReports records the crashes and answered requests that a router reports.
func (q *quarantineTracker) recordReports(now time.Time, crashes []*messenger.Crash, answered []*messenger.Content) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range crashes {
		c := quarantiner.CrashFromMessage(now, m)
		if q.register.Add(now, c) {
			crashesReported.Inc()
			q.newCrashes = append(q.newCrashes, c)
		}
	}
	for _, m := range answered {
		f := quarantiner.FingerprintFromMessage(m)
		q.markAnswered(f)
		q.newAnswered = append(q.newAnswered, f)
	}
}

// markAnswered marks a request as answered and drops its crashes. The caller holds q.mu.
func (q *quarantineTracker) markAnswered(f quarantiner.Fingerprint) {
	q.register.Clear(f)
	q.answered[f] = true
}

// merge merges the reports that another keeper received.
func (q *quarantineTracker) merge(now time.Time, s *messenger.Sightings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range s.Crashes {
		q.register.Add(now, quarantiner.CrashFromMessage(now, m))
	}
	for _, m := range s.Answered {
		q.markAnswered(quarantiner.FingerprintFromMessage(m))
	}
}

// takeUnshared adds the reports received since the last call to a message, and reports
// whether there were any.
func (q *quarantineTracker) takeUnshared(now time.Time, s *messenger.Sightings) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.newCrashes {
		s.Crashes = append(s.Crashes, c.Message(now))
	}
	for _, f := range q.newAnswered {
		s.Answered = append(s.Answered, f.Message())
	}
	q.newCrashes, q.newAnswered = nil, nil
	return len(s.Crashes)+len(s.Answered) > 0
}

// setHeld replaces the set of quarantined requests, and returns those to release because
// an endpoint has answered them.
func (q *quarantineTracker) setHeld(list []governor.Quarantine) (released []quarantiner.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []quarantiner.Fingerprint
	for _, x := range list {
		held = append(held, x.Request)
		if q.answered[x.Request] {
			released = append(released, x.Request)
		}
	}
	q.register.SetQuarantined(held)
	clear(q.answered)
	for _, f := range released {
		q.answered[f] = true
	}
	return released
}

// due returns the requests that must be quarantined now.
func (q *quarantineTracker) due(now time.Time) []quarantiner.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.ToQuarantine(now)
}

// submitQuarantines commits the requests to quarantine and those to release, if this
// keeper leads.
func (s *Keeper) submitQuarantines(ctx context.Context) {
	now := time.Now()
	released := s.quarantines.setHeld(activeQuarantines(s.committedState.Load().quarantines, now))
	if !s.loop.State().IsLeader() {
		return
	}
	due := s.quarantines.due(now)
	if len(due)+len(released) == 0 || !s.quarantines.submitting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.quarantines.submitting.Store(false)
		s.submitQuarantine(ctx, due, now, s.quarantines.duration, "request held back: endpoints ended under it")
		s.submitQuarantine(ctx, released, now, 0, "request let go: an endpoint answered it")
	}()
}

// submitQuarantine quarantines requests for a duration starting now; a duration of 0
// releases them.
func (s *Keeper) submitQuarantine(ctx context.Context, requests []quarantiner.Fingerprint, now time.Time, duration time.Duration, message string) {
	if len(requests) == 0 {
		return
	}
	change := &messenger.QuarantineChange{AtMs: now.UnixMilli(), UntilMs: now.Add(duration).UnixMilli()}
	for _, f := range requests {
		change.Requests = append(change.Requests, f.Message())
	}
	err := s.commitChange(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: change}})
	if err != nil {
		s.log.Warn("requests not held back or let go yet, tried again", zap.Int("requests", len(requests)), zap.Error(err))
		return
	}
	for _, f := range requests {
		s.log.Warn(message, zap.Stringer("content", f), zap.String("workspace", f.Workspace), zap.Duration("for", duration))
	}
}

// activeQuarantines returns the quarantines that have not ended.
func activeQuarantines(list []governor.Quarantine, now time.Time) []governor.Quarantine {
	var out []governor.Quarantine
	for _, q := range list {
		if q.UntilMS > now.UnixMilli() {
			out = append(out, q)
		}
	}
	return out
}

// quarantinesSince returns the quarantines with numbers above number, as sent to a router
// that knows the others.
func quarantinesSince(list []governor.Quarantine, number uint64, now time.Time) []*messenger.QuarantineTold {
	var out []*messenger.QuarantineTold
	for _, q := range list {
		if q.Number > number {
			out = append(out, &messenger.QuarantineTold{Request: q.Request.Message(), Number: q.Number, LeftMs: max(q.UntilMS-now.UnixMilli(), 0)})
		}
	}
	return out
}
