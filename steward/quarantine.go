package steward

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// maxSuspects is the maximum number of suspected prompt parts that routers are asked about.
	maxSuspects = 64
	// suspectsInterval is how often the suspected parts are determined.
	suspectsInterval = 200 * time.Millisecond
	// assessmentPause is the pause after an assessment of the crashes as a multiple of its duration. It
	// keeps the processor time low when thousands of parts are suspected. It is at most
	// maxAssessmentPause: a process that waits for its processor seems to take long as well.
	assessmentPause    = 30
	maxAssessmentPause = 500 * time.Millisecond
	// maxReleasingAge is the maximum age of an answer that ends the quarantine of a prompt part.
	// Routers report answers within a few hundred milliseconds; an older one may have been given
	// before the part began to crash endpoints.
	maxReleasingAge = 2 * time.Second
)

// trialDelays are the times from the beginning of a prompt part's quarantine to its trials.
var trialDelays = [governor.MaxTrials]time.Duration{time.Minute, 10 * time.Minute}

// quarantineTracker collects the crashes that routers report and determines the requests
// and prompt parts to quarantine. Crash reports are in memory only: a report that is lost with a
// keeper costs one more endpoint. The quarantines are in the log, so that no restart loses them.
type quarantineTracker struct {
	// duration is how long a subject is quarantined and how long crashes are remembered.
	duration time.Duration
	// parts is set if prompt parts may be quarantined.
	parts bool

	mu       sync.Mutex
	register *quarantiner.CrashTracker
	// newCrashes, newAnswered and newParts hold what routers reported to this keeper since it last
	// shared its observations.
	newCrashes  []quarantiner.Crash
	newAnswered []quarantiner.Fingerprint
	newParts    []quarantiner.AnsweredPart
	// answered holds subjects that endpoints have answered, until they are no longer
	// quarantined.
	answered map[quarantiner.Subject]bool
	// suspects holds the suspected parts as of suspectsAt.
	suspects   []*messenger.Content
	suspectsAt time.Time
	// dropped is the number of dropped crashes that were counted.
	dropped int
	// assessAfter is when the crashes may be assessed again.
	assessAfter time.Time
	// submitting is set while quarantines are being committed, and permitting while a trial is.
	submitting, permitting atomic.Bool
}

func newQuarantineTracker(duration time.Duration, parts bool) *quarantineTracker {
	return &quarantineTracker{
		duration: duration, parts: parts, register: quarantiner.NewCrashTracker(duration), answered: map[quarantiner.Subject]bool{},
	}
}

// recordReports records what a router reports.
func (q *quarantineTracker) recordReports(now time.Time, r *messenger.SyncRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range r.Crashes {
		c := quarantiner.CrashFromMessage(now, m)
		if q.addCrash(now, c) {
			crashesReported.Inc()
			q.newCrashes = append(q.newCrashes, c)
		}
	}
	for _, m := range r.Answered {
		f := quarantiner.FingerprintFromMessage(m)
		q.markAnswered(now, f)
		q.newAnswered = append(q.newAnswered, f)
	}
	for _, m := range r.AnsweredParts {
		a := quarantiner.AnsweredPartFromMessage(now, m)
		q.markPartAnswered(now, a)
		q.newParts = append(q.newParts, a)
	}
}

// addCrash records a crash and reports whether it is new. The caller holds q.mu.
func (q *quarantineTracker) addCrash(now time.Time, c quarantiner.Crash) bool {
	if !q.parts {
		c.Parts = nil
	}
	added := q.register.Add(now, c)
	if d := q.register.Dropped(); d > q.dropped {
		crashesDropped.Add(d - q.dropped)
		q.dropped = d
	}
	return added
}

// markAnswered marks a request as answered and drops its crashes. The caller holds q.mu.
func (q *quarantineTracker) markAnswered(now time.Time, f quarantiner.Fingerprint) {
	q.register.Clear(now, f)
	q.answered[quarantiner.RequestSubject(f)] = true
}

// markPartAnswered records an answer to a request with a prompt part. The caller holds q.mu.
func (q *quarantineTracker) markPartAnswered(now time.Time, a quarantiner.AnsweredPart) {
	q.register.AddAnswer(now, a)
	if now.Sub(a.At) > maxReleasingAge {
		return
	}
	for _, s := range a.Subjects() {
		q.answered[s] = true
	}
}

// merge merges the reports that another keeper received.
func (q *quarantineTracker) merge(now time.Time, s *messenger.Sightings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range s.Crashes {
		q.addCrash(now, quarantiner.CrashFromMessage(now, m))
	}
	for _, m := range s.Answered {
		q.markAnswered(now, quarantiner.FingerprintFromMessage(m))
	}
	for _, m := range s.AnsweredParts {
		q.markPartAnswered(now, quarantiner.AnsweredPartFromMessage(now, m))
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
	for _, a := range q.newParts {
		s.AnsweredParts = append(s.AnsweredParts, a.Message(now))
	}
	q.newCrashes, q.newAnswered, q.newParts = nil, nil, nil
	return len(s.Crashes)+len(s.Answered)+len(s.AnsweredParts) > 0
}

// suspectedParts returns the parts that routers are asked about.
func (q *quarantineTracker) suspectedParts(now time.Time) []*messenger.Content {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.suspectsAt) < suspectsInterval {
		return q.suspects
	}
	q.suspects, q.suspectsAt = nil, now
	for _, s := range q.register.Suspects(maxSuspects) {
		q.suspects = append(q.suspects, s.Message())
	}
	return q.suspects
}

// setHeld takes over the quarantines in the log. It returns the subjects to release because an
// endpoint has answered them, and those to hold back instead or for more requests than before.
func (q *quarantineTracker) setHeld(now time.Time, list []governor.Quarantine) (released, widened []quarantiner.HeldSubject) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []quarantiner.Subject
	ended := map[quarantiner.Subject]time.Time{}
	for _, x := range list {
		if x.UntilMS <= now.UnixMilli() {
			ended[x.Subject] = now.Add(-time.Duration(now.UnixMilli()-x.UntilMS) * time.Millisecond)
			continue
		}
		held = append(held, x.Subject)
		with := q.register.RemainingCompanions(x.HeldSubject)
		switch {
		case q.answered[x.Subject]:
			released = append(released, x.HeldSubject)
			if len(with) > 0 {
				// One of the other parts is to blame.
				next := quarantiner.Subject{Kind: x.Subject.Kind, Workspace: x.Subject.Workspace, Sum: uint64(with[0])}
				widened = append(widened, quarantiner.HeldSubject{Subject: next, With: with[1:]})
			}
		case len(with) < len(x.With):
			widened = append(widened, quarantiner.HeldSubject{Subject: x.Subject, With: with})
		}
	}
	q.register.SetQuarantined(now, held, ended)
	clear(q.answered)
	for _, h := range released {
		q.answered[h.Subject] = true
	}
	return released, widened
}

// due returns the subjects that must be quarantined now.
func (q *quarantineTracker) due(now time.Time) []quarantiner.HeldSubject {
	q.mu.Lock()
	defer q.mu.Unlock()
	begun := time.Now()
	var out []quarantiner.HeldSubject
	for _, s := range q.register.ToQuarantine(now) {
		out = append(out, quarantiner.HeldSubject{Subject: s, With: q.register.Companions(s)})
	}
	q.assessAfter = now.Add(pauseAfter(time.Since(begun)))
	return out
}

// pauseAfter returns how long to wait after an assessment that took some time.
func pauseAfter(took time.Duration) time.Duration {
	return min(assessmentPause*took, maxAssessmentPause)
}

// pausing reports whether the crashes may not be assessed yet.
func (q *quarantineTracker) pausing(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.assessAfter)
}

// submitQuarantines commits the subjects to quarantine and those to release, if this
// keeper leads.
func (s *Keeper) submitQuarantines(ctx context.Context) {
	now := time.Now()
	released, widened := s.quarantines.setHeld(now, s.committedState.Load().quarantines)
	if !s.loop.State().IsLeader() {
		return
	}
	due := widened
	if !s.quarantines.pausing(now) {
		due = append(due, s.quarantines.due(now)...)
	}
	if len(due)+len(released) == 0 || !s.quarantines.submitting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.quarantines.submitting.Store(false)
		s.submitQuarantine(ctx, due, now, s.quarantines.duration)
		s.submitQuarantine(ctx, released, now, 0)
	}()
}

// submitQuarantine quarantines subjects for a duration starting now; a duration of 0
// releases them.
func (s *Keeper) submitQuarantine(ctx context.Context, subjects []quarantiner.HeldSubject, now time.Time, duration time.Duration) {
	if len(subjects) == 0 {
		return
	}
	change := &messenger.QuarantineChange{AtMs: now.UnixMilli(), UntilMs: now.Add(duration).UnixMilli()}
	for _, x := range subjects {
		change.Requests = append(change.Requests, x.Message())
	}
	err := s.commitChange(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: change}})
	if err != nil {
		s.log.Warn("requests not held back or let go yet, tried again", zap.Int("requests", len(subjects)), zap.Error(err))
		return
	}
	for _, x := range subjects {
		countQuarantineChange(x.Subject, duration)
		s.log.Warn(quarantineMessage(x.Subject, duration), subjectField(x.Subject), zap.String("workspace", workspaceLabel(x.Subject)),
			zap.Stringers("with", x.With), zap.Duration("for", duration))
	}
}

// quarantineMessage returns the log message for a subject that is quarantined, or released if the
// duration is 0.
func quarantineMessage(x quarantiner.Subject, duration time.Duration) string {
	switch {
	case x.IsPart() && duration > 0:
		return "prompt part held back: endpoints ended under it"
	case x.IsPart():
		return "prompt part let go: an endpoint answered it"
	case duration > 0:
		return "request held back: endpoints ended under it"
	}
	return "request let go: an endpoint answered it"
}

// subjectField returns the log field that names the subject.
func subjectField(x quarantiner.Subject) zap.Field {
	if x.IsPart() {
		return zap.Stringer("part", x)
	}
	return zap.Stringer("content", x)
}

// workspaceLabel returns the workspace of a subject, or "*" for all.
func workspaceLabel(x quarantiner.Subject) string {
	if x.Kind == quarantiner.KindPartOfAny {
		return "*"
	}
	return x.Workspace
}

// permitTrials permits the router to send one request with each of the quarantined prompt parts
// for which it has refused requests, if their next trial is due.
func (s *Keeper) permitTrials(now time.Time, router *messenger.FleetMember, refused []*messenger.Content) {
	list := s.committedState.Load().quarantines
	for _, m := range refused {
		x := quarantiner.SubjectFromMessage(m)
		for i := range list {
			if list[i].Subject != x || !trialDue(&list[i], now) || !s.quarantines.permitting.CompareAndSwap(false, true) {
				continue
			}
			change := &messenger.TrialChange{Subject: m, Router: router.GetAddress(), IncarnationHash: incarnationHash(router), Trial: list[i].Trial.Number + 1}
			go s.submitTrial(x, change)
		}
	}
}

// trialDue reports whether a request may be sent to find out whether the quarantine is still needed.
func trialDue(q *governor.Quarantine, now time.Time) bool {
	return q.MoreTrials() && q.UntilMS > now.UnixMilli() &&
		now.UnixMilli()-q.AtMS >= trialDelays[q.Trial.Number].Milliseconds()
}

// submitTrial commits a trial.
func (s *Keeper) submitTrial(x quarantiner.Subject, change *messenger.TrialChange) {
	defer s.quarantines.permitting.Store(false)
	// The router's request may end before the change is committed.
	if err := s.commitChange(context.Background(), &messenger.FleetChange{Body: &messenger.FleetChange_Trial{Trial: change}}); err != nil {
		s.log.Warn("trial of a prompt part not committed, tried again", subjectField(x), zap.Error(err))
		return
	}
	trialsPermitted.Inc()
	s.log.Warn("one request with a prompt part that is held back may be sent", subjectField(x), zap.String("workspace", workspaceLabel(x)),
		zap.String("router", change.Router), zap.Uint32("trial", change.Trial))
}

// incarnationHash identifies the incarnation of a router in the log.
func incarnationHash(router *messenger.FleetMember) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(nil, router.GetIncarnation()))
}

// quarantinesSince returns the quarantines with numbers above number, as sent to a router
// that knows the others.
func quarantinesSince(list []governor.Quarantine, number uint64, now time.Time, router *messenger.FleetMember) []*messenger.QuarantineTold {
	var out []*messenger.QuarantineTold
	for _, q := range list {
		if q.Number > number {
			out = append(out, &messenger.QuarantineTold{
				Request: q.Message(), Number: q.Number, LeftMs: max(q.UntilMS-now.UnixMilli(), 0),
				Trials: q.Trial.Number,
				Trial:  q.Trial.Number > 0 && q.Trial.Router == router.GetAddress() && q.Trial.IncarnationHash == incarnationHash(router),
			})
		}
	}
	return out
}
