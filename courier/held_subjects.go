package courier

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// heldSubjects is an immutable snapshot of what a router refuses to send.
type heldSubjects struct {
	// newest is the highest number of a decision that a keeper has reported.
	newest uint64
	until  map[quarantiner.Subject]time.Time
	// with holds the parts that requests must have as well to be held back.
	with map[quarantiner.Subject][]quarantiner.Part
	// trials holds the subjects of which this router may send one request; false once it is sent.
	trials map[quarantiner.Subject]*atomic.Bool
}

// anyExpired reports whether the time of any subject has passed.
func (h *heldSubjects) anyExpired(now time.Time) bool {
	for _, until := range h.until {
		if !until.After(now) {
			return true
		}
	}
	return false
}

// find returns for how much longer a request is held back, and by what.
func (h *heldSubjects) find(now time.Time, in quarantiner.Input) forwarder.Hold {
	if len(h.until) == 0 {
		return forwarder.Hold{}
	}
	s, found := in.Find(func(s quarantiner.Subject) bool { return h.until[s].After(now) && in.HasParts(h.with[s]) })
	if !found {
		return forwarder.Hold{}
	}
	return forwarder.Hold{Subject: s, Remaining: h.until[s].Sub(now)}
}

// decision holds a subject back for at least a duration, or releases it if the duration is 0. One
// request may be sent all the same if trial is set.
type decision struct {
	subject quarantiner.Subject
	// with holds the parts that requests must have as well to be held back.
	with     []quarantiner.Part
	duration time.Duration
	trial    bool
}

// apply applies a decision and reports whether it changed anything.
func (h *heldSubjects) apply(now time.Time, d decision) bool {
	until, known := now.Add(d.duration), h.until[d.subject]
	if d.duration <= 0 {
		delete(h.until, d.subject)
		return !known.IsZero()
	}
	if d.trial {
		permitted := &atomic.Bool{}
		permitted.Store(true)
		h.trials[d.subject] = permitted
	}
	if known.After(until) && len(d.with) >= len(h.with[d.subject]) {
		return d.trial
	}
	h.until[d.subject] = maxTime(known, until)
	h.with[d.subject] = d.with
	return true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// holdMessage returns the log message for a decision.
func holdMessage(d decision) string {
	switch {
	case d.trial:
		return "one request that is held back may be sent"
	case d.subject.IsPart() && d.duration <= 0:
		return "prompt part let go"
	case d.subject.IsPart():
		return "prompt part held back"
	case d.duration <= 0:
		return "request let go"
	}
	return "request held back"
}

// subjectField returns the log field that names the subject.
func subjectField(s quarantiner.Subject) zap.Field {
	if s.IsPart() {
		return zap.Stringer("part", s)
	}
	return zap.Stringer("content", s)
}
