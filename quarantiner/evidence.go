package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// A prompt part that no endpoint has answered yet is quarantined after crashes at minMoments
	// different moments, during at least minIndependent requests that did not follow from each
	// other by a retry.
	minMoments     = 3
	minIndependent = 3
	// It is also quarantined after enoughCrashes: the requests may be retries of each other, and
	// several crashes may fall into one moment.
	enoughCrashes         = 5
	minIndependentRetried = 2
	minMomentsOfMany      = 2
	// Endpoints crash for other causes too. A part that was in progress at fewer than minShare of
	// the endpoints that crashed meanwhile needs enoughCrashes. One that was answered before needs
	// minShareAnswered as well.
	minShare         = 0.5
	minShareAnswered = 0.75
	// answeredSettleTime is the settleTime of prompt parts that were answered before: crashes count
	// once routers that serve the part have had the time to report another answer.
	answeredSettleTime = 2 * time.Second
	// lateReportTime is how long ago a crash must first have been reported to show that the cause is
	// not a quarantined subject, but an answered part that was in progress wherever the subject was. A
	// router that has lost the paths to many endpoints reports what was in progress at an endpoint only
	// once another router has confirmed the crash, or the endpoint was replaced.
	lateReportTime = 5 * time.Second
)

// evidence is what speaks against a prompt part.
type evidence struct {
	subject Subject
	// crashes holds the crashes that are attributed to the part, oldest first.
	crashes []*endpointCrash
	// unexplained counts those of them that no quarantined subject explains. Overdue is set if one of
	// them is older than lateReportTime.
	unexplained int
	overdue     bool
	// moments counts the crashes without those right after another one.
	moments int
	// independent counts the crashes at which a request with the part was in progress that was not
	// at an earlier one.
	independent int
	// requests counts the different requests with the part at the crashes.
	requests int
	// elapsed is how long requests with the part had run, summed over the crashes.
	elapsed time.Duration
	// meanwhile counts all crashes between the first and the last one that quarantined subjects do
	// not explain.
	meanwhile int
	// answered is set if an endpoint has answered a request with the part before.
	answered bool
}

// isSufficient reports whether the part is to be quarantined.
func (v *evidence) isSufficient() bool {
	if v.unexplained == 0 {
		return false
	}
	if v.answered && v.unexplained < len(v.crashes) && !v.overdue {
		return false
	}
	share := float64(len(v.crashes)) / float64(max(v.meanwhile, 1))
	many := len(v.crashes) >= enoughCrashes && v.moments >= minMomentsOfMany
	if v.answered {
		return many && v.independent >= minIndependent && share >= minShareAnswered
	}
	if v.independent >= minIndependent {
		return many || v.moments >= minMoments && share >= minShare
	}
	return many && v.independent >= minIndependentRetried && share >= minShare
}

// outranks reports whether the part is a more likely cause than another one. Of two parts that
// explain as many crashes, that is the one of fewer requests: parts that many prompts share are also
// next to the cause.
func (v *evidence) outranks(w *evidence) bool {
	n, m := len(v.crashes), len(w.crashes)
	return cmp.Or(
		cmp.Compare(m, n), cmp.Compare(w.independent, v.independent), cmp.Compare(v.requests, w.requests),
		cmp.Compare(v.elapsed*time.Duration(m), w.elapsed*time.Duration(n)), cmp.Compare(v.subject.Kind, w.subject.Kind),
		cmp.Compare(v.subject.Workspace, w.subject.Workspace), cmp.Compare(v.subject.Sum, w.subject.Sum),
	) < 0
}

// evidenceAgainst collects the crashes that can be attributed to a part: those since the last
// answer to a request with it that neither another quarantined subject nor an external cause
// explains.
func (a *assessment) evidenceAgainst(s Subject) *evidence {
	v := &evidence{subject: s, answered: !a.answered.OfAnyAt(Part(s.Sum)).IsZero()}
	settle := settleTime
	if v.answered {
		settle = answeredSettleTime
	}
	since := a.lastAnswer(s)
	for i := range a.crashedEndpoints(s) {
		e := a.endpoints[i]
		if a.now.Sub(e.firstReportedAt) < settle || !e.at.After(since) || a.hasExternalCause(s, e) {
			continue
		}
		if !a.isExplained(e) {
			v.unexplained++
			v.overdue = v.overdue || a.now.Sub(e.firstReportedAt) >= lateReportTime
		} else if slices.ContainsFunc(a.explanations(e), func(x Subject) bool { return !a.includes(s, x) }) {
			continue
		}
		v.crashes = append(v.crashes, e)
	}
	if len(v.crashes) < minCrashes || s.Kind == KindPartOfAny && !a.concernsSeveralWorkspaces(s, v.crashes) {
		return &evidence{subject: s}
	}
	slices.SortFunc(v.crashes, func(x, y *endpointCrash) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.endpoint.ID, y.endpoint.ID))
	})
	a.tally(v)
	v.meanwhile = a.countMeanwhile(v, settle)
	return v
}

// lastAnswer returns the time up to which crashes do not count against a part: that of the latest
// answer to a request with it, or the end of its latest quarantine.
func (a *assessment) lastAnswer(s Subject) time.Time {
	at := a.answered.OfAnyAt(Part(s.Sum))
	if s.Kind == KindPart {
		at = a.answered.At(SharedPart{Workspace: s.Workspace, Part: Part(s.Sum)})
	}
	if released := a.released[s]; released.After(at) {
		return released
	}
	return at
}

// includes reports whether a part was in progress at all endpoints that crashed under a quarantined
// subject, so that it may be the cause of these crashes instead.
func (a *assessment) includes(s, quarantined Subject) bool {
	endpoints := a.crashedEndpoints(s)
	for i := range a.crashedEndpoints(quarantined) {
		if !endpoints[i] {
			return false
		}
	}
	return true
}

// concernsSeveralWorkspaces reports whether endpoints crashed during requests with the part of one
// workspace alone, and of another one alone. A workspace whose requests crash endpoints could
// otherwise have a part of another one refused by naming it.
func (a *assessment) concernsSeveralWorkspaces(s Subject, crashes []*endpointCrash) bool {
	alone := map[string]bool{}
	for _, e := range crashes {
		workspaces := map[string]bool{}
		for _, x := range a.requestsWith(e, s) {
			workspaces[x.request.Workspace] = true
		}
		if len(workspaces) == 1 {
			maps.Copy(alone, workspaces)
		}
	}
	return len(alone) > 1
}

// countMeanwhile counts the crashes from the first to the last one attributed to a part that
// quarantined subjects do not explain.
func (a *assessment) countMeanwhile(v *evidence, settle time.Duration) int {
	n := len(v.crashes) - v.unexplained
	for _, e := range a.crashedBetween(v.crashes[0].at, v.crashes[len(v.crashes)-1].at) {
		if a.now.Sub(e.firstReportedAt) >= settle && !a.isExplained(e) {
			n++
		}
	}
	return n
}

// tally determines the counts that depend on the part's crashes alone.
func (a *assessment) tally(v *evidence) {
	seen := map[Fingerprint]bool{}
	var moment time.Time
	for _, e := range v.crashes {
		if moment.IsZero() || e.at.Sub(moment) > correlationWindow {
			v.moments++
			moment = e.at
		}
		before := len(seen)
		shortest := time.Duration(-1)
		for _, x := range a.requestsWith(e, v.subject) {
			seen[x.request] = true
			if shortest < 0 || x.elapsed < shortest {
				shortest = x.elapsed
			}
		}
		if len(seen) > before {
			v.independent++
		}
		v.elapsed += max(shortest, 0)
	}
	v.requests = len(seen)
}
