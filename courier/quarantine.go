package courier

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// maxRecentCrashes is the maximum number of crashes that are kept to be reported to
	// keepers. Beyond it, the oldest are dropped. A router that is disconnected for as long
	// as network partitions usually last sees fewer.
	maxRecentCrashes = 1024
	// maxReported is the maximum number of crashes in one sync request, at some 60 bytes each and
	// 8 for each prompt part.
	maxReported = 256
	// maxAnswersReported is the maximum number of answered prompt parts in one sync request, at
	// some 25 bytes each. An answer is reported if it is newer by answerReportInterval than the one
	// reported before.
	maxAnswersReported   = 64
	answerReportInterval = time.Second
	// maxRefusedReported is the maximum number of refused prompt parts in one sync request.
	maxRefusedReported = 8
	// crashRetention is how long crashes are kept after they have been reported. Keepers
	// that restart have lost the earlier reports.
	crashRetention = time.Minute
	// localHoldDuration is how long a router holds a request back because of the crashes
	// that it saw itself. The decisions of keepers hold for longer.
	localHoldDuration = time.Minute
)

// quarantine tracks the requests and prompt parts under which endpoints crash: those that keepers
// hold back, and those that this router has observed itself.
type quarantine struct {
	*livenessChecks
	log *zap.Logger
	// parts is set if prompt parts may be held back.
	parts bool
	held  atomic.Pointer[heldSubjects]
	// revision counts the changes of held.
	revision atomic.Uint64
	// reportSoon receives a value when there are new crashes to report.
	reportSoon chan struct{}

	mu       sync.Mutex
	answered quarantiner.AnsweredRequests
	// local evaluates the crashes that this router saw, so that it protects endpoints while
	// no keeper can be reached. It also remembers which prompt parts were answered here.
	local *quarantiner.CrashTracker
	// recent holds the latest crashes, oldest first. dropped counts the crashes that have been
	// removed from it. reported counts those that keepers have received, dropped ones included.
	recent            []quarantiner.Crash
	dropped, reported int
	// cleared holds requests that were answered although endpoints had ended under them,
	// until a keeper has received that.
	cleared []quarantiner.Fingerprint
	// suspects holds the prompt parts that keepers suspect, and reportedParts the answers to requests
	// with parts that keepers have received.
	suspects      []quarantiner.SharedPart
	reportedParts quarantiner.AnsweredParts
	// refused holds the prompt parts for which requests were refused since the last report.
	refused []quarantiner.Subject
	// released holds when keepers ended the quarantines of subjects.
	released map[quarantiner.Subject]time.Time
	// reportedAt is when keepers last received a report.
	reportedAt time.Time
}

func newQuarantine(log *zap.Logger, parts bool) *quarantine {
	q := &quarantine{
		log: log, parts: parts, local: quarantiner.NewCrashTracker(localHoldDuration), reportSoon: make(chan struct{}, 1),
		released: map[quarantiner.Subject]time.Time{},
	}
	q.held.Store(&heldSubjects{})
	q.livenessChecks = newLivenessChecks(log, q.recordCrashes)
	q.livenessChecks.answered = q.answeredLately
	return q
}

// HeldBack returns what holds a request back, and for how much longer.
func (q *quarantine) HeldBack(in quarantiner.Input) forwarder.Hold {
	return q.held.Load().find(time.Now(), in)
}

// Revision changes with what is held back.
func (q *quarantine) Revision() uint64 { return q.revision.Load() }

// TakeTrial reports whether one request that the subject holds back may be sent all the same, and
// records that one was refused otherwise.
func (q *quarantine) TakeTrial(s quarantiner.Subject) bool {
	if permitted := q.held.Load().trials[s]; permitted != nil && permitted.CompareAndSwap(true, false) {
		return true
	}
	if !s.IsPart() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.refused) < maxRefusedReported && !slices.Contains(q.refused, s) {
		q.refused = append(q.refused, s)
	}
	return false
}

// RecordSuccess records that an endpoint answered a request completely.
func (q *quarantine) RecordSuccess(in quarantiner.Input) {
	f, now := in.Fingerprint, time.Now()
	held := q.HeldBack(quarantiner.Input{Fingerprint: f}).Remaining > 0
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered.Add(f)
	if (q.local.IsSuspect(f) || held) && !slices.Contains(q.cleared, f) && len(q.cleared) < maxReported {
		q.cleared = append(q.cleared, f)
		q.local.Clear(now, f)
	}
	if !q.parts {
		return
	}
	for _, p := range in.Parts {
		q.local.AddAnswer(now, quarantiner.AnsweredPart{Part: quarantiner.SharedPart{Workspace: f.Workspace, Part: p}, At: now})
	}
}

// RecordBrokenOff records that the connection of a request in progress ended before its response did.
func (q *quarantine) RecordBrokenOff(e *predictor.Endpoint, in quarantiner.Input, underway time.Duration) {
	if !q.parts {
		in.Parts = nil
	}
	q.livenessChecks.connectionBroken(e.Beat(), quarantiner.Crash{
		Request: in.Fingerprint, Parts: in.Parts, Endpoint: e.Beat().Incarnation, At: time.Now(), Elapsed: underway,
	})
}

// answeredLately reports whether this router remembers an answer to a request with the part.
func (q *quarantine) answeredLately(p quarantiner.SharedPart) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.local.Answered().At(p).IsZero()
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
	if len(q.recent) > q.reported-q.dropped {
		select {
		case q.reportSoon <- struct{}{}:
		default:
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

// holdLocal holds back what this router's own crashes implicate. It is only
// used while keepers can't be reached: otherwise they decide, since they know which other
// requests were in progress at the endpoints that ended.
func (q *quarantine) holdLocal(now time.Time) {
	q.mu.Lock()
	due := q.local.ToQuarantine(now)
	decisions := make([]decision, len(due))
	for i, s := range due {
		decisions[i] = decision{subject: s, with: q.local.Companions(s), duration: localHoldDuration}
	}
	q.mu.Unlock()
	q.apply(now, 0, decisions)
}

// update applies the decisions that a keeper reported.
func (q *quarantine) update(now time.Time, list []*messenger.QuarantineTold) {
	var decisions []decision
	var newest uint64
	for _, x := range list {
		newest = max(newest, x.Number)
		h := quarantiner.HeldSubjectFromMessage(x.Request)
		if h.Subject.IsPart() && !q.parts {
			continue
		}
		decisions = append(decisions, decision{subject: h.Subject, with: h.With, duration: time.Duration(x.LeftMs) * time.Millisecond, trial: x.Trial})
	}
	q.apply(now, newest, decisions)
}

// apply applies decisions. It must only be called from the goroutine that syncs with keepers.
func (q *quarantine) apply(now time.Time, newest uint64, decisions []decision) {
	old := q.held.Load()
	if len(decisions) == 0 && newest <= old.newest && !old.anyExpired(now) {
		return
	}
	next := &heldSubjects{newest: max(old.newest, newest), until: maps.Clone(old.until), with: maps.Clone(old.with), trials: maps.Clone(old.trials)}
	if next.until == nil {
		next.until, next.with, next.trials = map[quarantiner.Subject]time.Time{}, map[quarantiner.Subject][]quarantiner.Part{}, map[quarantiner.Subject]*atomic.Bool{}
	}
	maps.DeleteFunc(next.until, func(_ quarantiner.Subject, until time.Time) bool { return !until.After(now) })
	for _, d := range decisions {
		if next.apply(now, d) {
			q.log.Info(holdMessage(d), subjectField(d.subject), zap.String("workspace", d.subject.Workspace), zap.Stringers("with", d.with), zap.Duration("for", d.duration), zap.Bool("told", newest > 0))
		}
	}
	maps.DeleteFunc(next.with, func(s quarantiner.Subject, _ []quarantiner.Part) bool { return next.until[s].IsZero() })
	maps.DeleteFunc(next.trials, func(s quarantiner.Subject, _ *atomic.Bool) bool { return next.until[s].IsZero() })
	q.held.Store(next)
	q.revision.Add(1)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range decisions {
		if d.duration <= 0 && len(q.released) < maxReported {
			q.released[d.subject] = now
		}
	}
	maps.DeleteFunc(q.released, func(_ quarantiner.Subject, at time.Time) bool { return now.Sub(at) > localHoldDuration })
	q.local.SetQuarantined(now, slices.Collect(maps.Keys(next.until)), q.released)
}
