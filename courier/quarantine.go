package courier

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// maxRecentCrashes is the maximum number of crashes that are kept to be reported to
	// keepers. Beyond it, the oldest are dropped. A router that is disconnected for as long
	// as network partitions usually last sees fewer.
	maxRecentCrashes = 1024
	// maxReported is the maximum number of crashes in one sync request, at some 60 bytes each.
	maxReported = 256
	// crashRetention is how long crashes are kept after they have been reported. Keepers
	// that restart have lost the earlier reports.
	crashRetention = time.Minute
	// localHoldDuration is how long a router holds a request back because of the crashes
	// that it saw itself. The decisions of keepers hold for longer.
	localHoldDuration = time.Minute
)

// heldRequests is an immutable snapshot of the requests that a router refuses to send.
type heldRequests struct {
	// newest is the highest number of a decision that a keeper has reported.
	newest uint64
	until  map[quarantiner.Fingerprint]time.Time
}

// anyExpired reports whether the time of any request has passed.
func (h *heldRequests) anyExpired(now time.Time) bool {
	for _, until := range h.until {
		if !until.After(now) {
			return true
		}
	}
	return false
}

// quarantine tracks the requests under which endpoints crash: those that keepers hold back,
// and those that this router has observed itself.
type quarantine struct {
	*livenessChecks
	log  *zap.Logger
	held atomic.Pointer[heldRequests]

	mu            sync.Mutex
	answered      quarantiner.AnsweredRequests
	answeredParts quarantiner.AnsweredParts
	// local evaluates the crashes that this router saw, so that it protects endpoints while
	// no keeper can be reached.
	local *quarantiner.CrashTracker
	// recent holds the latest crashes, oldest first. dropped counts the crashes that have been
	// removed from it. reported counts those that keepers have received, dropped ones included.
	recent            []quarantiner.Crash
	dropped, reported int
	// cleared holds requests that were answered although endpoints had ended under them,
	// until a keeper has received that.
	cleared []quarantiner.Fingerprint
	// reportedAt is when keepers last received a report.
	reportedAt time.Time
}

func newQuarantine(log *zap.Logger) *quarantine {
	q := &quarantine{log: log, local: quarantiner.NewCrashTracker(localHoldDuration)}
	q.held.Store(&heldRequests{})
	q.livenessChecks = newLivenessChecks(log, q.recordCrashes)
	q.livenessChecks.answered = q.answeredLately
	return q
}

// HeldFor returns the remaining time for which a request is held back, or 0.
func (q *quarantine) HeldFor(f quarantiner.Fingerprint) time.Duration {
	until, ok := q.held.Load().until[f]
	if !ok {
		return 0
	}
	return max(time.Until(until), 0)
}

// RecordSuccess records that an endpoint answered a request completely.
func (q *quarantine) RecordSuccess(in quarantiner.Input) {
	f, now := in.Fingerprint, time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered.Add(f)
	for _, p := range in.Parts {
		q.answeredParts.Add(now, quarantiner.SharedPart{Workspace: f.Workspace, Part: p})
	}
	if (q.local.IsSuspect(f) || q.HeldFor(f) > 0) && !slices.Contains(q.cleared, f) && len(q.cleared) < maxReported {
		q.cleared = append(q.cleared, f)
		q.local.Clear(f)
	}
}

// RecordBrokenOff records that the connection of a request in progress ended before its response did.
func (q *quarantine) RecordBrokenOff(e *predictor.Endpoint, in quarantiner.Input, underway time.Duration) {
	q.livenessChecks.connectionBroken(e.Beat(), quarantiner.Crash{
		Request: in.Fingerprint, Parts: in.Parts, Endpoint: e.Beat().Incarnation, At: time.Now(), Elapsed: underway,
	})
}

// answeredLately reports whether this router remembers an answer to a request with the part.
func (q *quarantine) answeredLately(p quarantiner.SharedPart) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.answeredParts.At(p).IsZero()
}

// recordCrashes records the requests that were in progress at an endpoint that ended.
// Requests that an endpoint has answered are left out.
func (q *quarantine) recordCrashes(list []quarantiner.Crash) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range list {
		if !q.answered.Has(c.Request) && q.local.Add(now, c) {
			q.recent = append(q.recent, c)
		}
	}
	for len(q.recent) > 0 && (len(q.recent) > maxRecentCrashes || now.Sub(q.recent[0].At) > crashRetention && q.dropped < q.reported) {
		if q.dropped >= q.reported {
			q.log.Warn("end of an endpoint not told to keepers", zap.Stringer("endpoint", q.recent[0].Endpoint))
		}
		q.recent = q.recent[1:]
		q.dropped++
	}
	q.reported = max(q.reported, q.dropped)
}

// holdLocal holds back the requests that this router's own crashes implicate. It is only
// used while keepers can't be reached: otherwise they decide, since they know which other
// requests were in progress at the endpoints that ended.
func (q *quarantine) holdLocal(now time.Time) {
	q.mu.Lock()
	due := q.local.ToQuarantine(now)
	q.mu.Unlock()
	q.hold(now, 0, due, func(int) time.Duration { return localHoldDuration })
}

// crashReport is the content of one sync request: the number of crashes up to the last one
// reported, dropped ones included, and the number of answered requests.
type crashReport struct{ crashes, cleared int }

// fillRequest adds the crashes, the answered requests and the newest known
// decision to a sync request.
func (q *quarantine) fillRequest(r *messenger.SyncRequest) crashReport {
	r.Quarantine = q.held.Load().newest
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.recent[q.reported-q.dropped:] {
		if len(r.Crashes) < maxReported {
			r.Crashes = append(r.Crashes, c.Message(now))
		}
	}
	for _, f := range q.cleared {
		r.Answered = append(r.Answered, f.Message())
	}
	return crashReport{crashes: q.reported + len(r.Crashes), cleared: len(r.Answered)}
}

// reportAccepted records that a keeper with a majority, which started at the given time, has
// received a report. If it started after the last report, other keepers may have restarted as
// well and none may know the earlier reports, so all crashes are reported again.
func (q *quarantine) reportAccepted(now, started time.Time, t crashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if started.After(q.reportedAt) {
		q.reported = q.dropped
	} else {
		q.reported = min(max(q.reported, t.crashes), q.dropped+len(q.recent))
	}
	q.cleared = q.cleared[min(t.cleared, len(q.cleared)):]
	q.reportedAt = now
}

// update applies the decisions that a keeper reported.
func (q *quarantine) update(now time.Time, list []*messenger.QuarantineTold) {
	var requests []quarantiner.Fingerprint
	var newest uint64
	for _, x := range list {
		requests = append(requests, quarantiner.FingerprintFromMessage(x.Request))
		newest = max(newest, x.Number)
	}
	q.hold(now, newest, requests, func(i int) time.Duration { return time.Duration(list[i].LeftMs) * time.Millisecond })
}

// hold holds requests back, each for at least its duration, and releases those whose
// duration is 0. It must only be called from the goroutine that syncs with keepers.
func (q *quarantine) hold(now time.Time, newest uint64, requests []quarantiner.Fingerprint, durationOf func(int) time.Duration) {
	old := q.held.Load()
	if len(requests) == 0 && !old.anyExpired(now) {
		return
	}
	next := &heldRequests{newest: max(old.newest, newest), until: maps.Clone(old.until)}
	if next.until == nil {
		next.until = map[quarantiner.Fingerprint]time.Time{}
	}
	maps.DeleteFunc(next.until, func(_ quarantiner.Fingerprint, until time.Time) bool { return !until.After(now) })
	for i, f := range requests {
		until, known := now.Add(durationOf(i)), next.until[f]
		switch {
		case durationOf(i) <= 0:
			delete(next.until, f)
			if known.IsZero() {
				continue
			}
		case known.After(until):
			continue
		default:
			next.until[f] = until
		}
		q.log.Info(holdMessage(durationOf(i)), zap.Stringer("content", f), zap.String("workspace", f.Workspace), zap.Duration("for", durationOf(i)), zap.Bool("told", newest > 0))
	}
	q.held.Store(next)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.local.SetQuarantined(slices.Collect(maps.Keys(next.until)))
}

// holdMessage returns the log message for a request that is held back, or released if the
// duration is 0.
func holdMessage(duration time.Duration) string {
	if duration <= 0 {
		return "request let go"
	}
	return "request held back"
}
