package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
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
	// maxPerAssessment bounds the work of one assessment. The next one finds the rest.
	maxPerAssessment = 4
)

// ToQuarantine returns the subjects to quarantine from now on.
func (r *CrashTracker) ToQuarantine(now time.Time) []Subject {
	r.expire(now)
	if r.settled && now.Sub(r.changedAt) > answeredSettleTime {
		return nil
	}
	a := newAssessment(r, now)
	var out []Subject
	for len(out) < maxPerAssessment {
		s, ok := a.next()
		if !ok {
			break
		}
		out = append(out, s)
		a.quarantined[s] = true
		clear(a.explained)
	}
	r.settled = len(out) == 0 && now.Sub(r.changedAt) > answeredSettleTime
	return out
}

// assessment attributes the crashes to subjects, one after the other.
type assessment struct {
	*CrashTracker
	now time.Time
	// quarantined includes the subjects that this assessment has found.
	quarantined map[Subject]bool
	// endpointsOf caches crashedEndpoints, and explained caches explanations.
	endpointsOf map[Subject]map[enroller.Incarnation]bool
	explained   map[*endpointCrash][]Subject
	// byTime holds the crashes of endpoints, oldest first, and simultaneous caches those that crashed
	// at about the same time as one of them.
	byTime       []*endpointCrash
	simultaneous map[*endpointCrash][]*endpointCrash
}

func newAssessment(r *CrashTracker, now time.Time) *assessment {
	a := &assessment{
		CrashTracker: r, now: now, quarantined: maps.Clone(r.quarantined),
		endpointsOf: map[Subject]map[enroller.Incarnation]bool{}, explained: map[*endpointCrash][]Subject{}, byTime: slices.Collect(maps.Values(r.endpoints)),
		simultaneous: map[*endpointCrash][]*endpointCrash{},
	}
	slices.SortFunc(a.byTime, func(x, y *endpointCrash) int { return x.at.Compare(y.at) })
	return a
}

// crashedBetween returns the crashes of endpoints from one time to another, both included.
func (a *assessment) crashedBetween(from, to time.Time) []*endpointCrash {
	i, _ := slices.BinarySearchFunc(a.byTime, from, func(e *endpointCrash, t time.Time) int { return e.at.Compare(t) })
	j, _ := slices.BinarySearchFunc(a.byTime, to.Add(1), func(e *endpointCrash, t time.Time) int { return e.at.Compare(t) })
	return a.byTime[i:j]
}

// next returns the subject that explains the most crashes, and whether there is one. Of a request
// and a part that explain as many, it is the part: a request that is retried next to the cause has
// crashes in common with it, but no request of the same prompt part has them by a retry.
func (a *assessment) next() (Subject, bool) {
	request, crashes := a.nextRequest()
	part, found := a.nextPart()
	if found && len(part.crashes) >= crashes {
		return part.subject, true
	}
	return RequestSubject(request), crashes > 0
}

// nextRequest returns the request with the most crashes, and their number. Of several requests with
// the same number, it chooses the one that had run for the shortest time: a request that crashes
// its endpoint does so when it starts, while the others there had run for longer.
func (a *assessment) nextRequest() (best Fingerprint, bestCrashes int) {
	for f, s := range a.suspects {
		if len(s.endpoints) < minCrashes || a.quarantined[RequestSubject(f)] {
			continue
		}
		n := a.attributedCrashes(f)
		if n < minCrashes || n < bestCrashes {
			continue
		}
		if n > bestCrashes || a.moreSuspicious(f, best) {
			best, bestCrashes = f, n
		}
	}
	return best, bestCrashes
}

// attributedCrashes counts the crashes during a request that are older than settleTime and that
// neither a quarantined subject nor an external cause explains.
func (a *assessment) attributedCrashes(f Fingerprint) int {
	n := 0
	for i := range a.suspects[f].endpoints {
		e := a.endpoints[i]
		if a.now.Sub(e.firstReportedAt) >= settleTime && !a.isExplained(e) && !a.hasExternalCause(RequestSubject(f), e) {
			n++
		}
	}
	return n
}

// isExplained reports whether a quarantined subject was in progress at the endpoint.
func (a *assessment) isExplained(e *endpointCrash) bool { return len(a.explanations(e)) > 0 }

// explanations returns the quarantined subjects that were in progress at the endpoint.
func (a *assessment) explanations(e *endpointCrash) []Subject {
	if len(a.quarantined) == 0 {
		return nil
	}
	out, cached := a.explained[e]
	if cached {
		return out
	}
	consider := func(s Subject) {
		if a.quarantined[s] {
			out = append(out, s)
		}
	}
	for _, x := range e.requests {
		consider(RequestSubject(x.request))
	}
	for p := range e.byPart {
		consider(PartSubject(p))
		consider(PartOfAnySubject(p.Part))
	}
	a.explained[e] = out
	return out
}

// hasExternalCause reports whether at least minCorrelated endpoints where neither the subject nor a
// quarantined one was in progress crashed at about the same time as endpoint e, where it was.
func (a *assessment) hasExternalCause(s Subject, e *endpointCrash) bool {
	near, cached := a.simultaneous[e]
	if !cached {
		near = a.crashedBetween(e.at.Add(-correlationWindow), e.at.Add(correlationWindow))
		a.simultaneous[e] = near
	}
	if len(near) <= minCorrelated {
		return false
	}
	others := 0
	endpoints := a.crashedEndpoints(s)
	for _, x := range near {
		if !endpoints[x.endpoint] && !a.isExplained(x) {
			others++
		}
	}
	return others >= minCorrelated
}

// moreSuspicious reports whether x is a more likely cause than y, if both have the same number of
// crashes: x had run for a shorter time before them on average.
func (a *assessment) moreSuspicious(x, y Fingerprint) bool {
	p, q := a.suspects[x], a.suspects[y]
	return cmp.Or(
		cmp.Compare(p.totalElapsed*time.Duration(len(q.endpoints)), q.totalElapsed*time.Duration(len(p.endpoints))),
		cmp.Compare(x.Workspace, y.Workspace), cmp.Compare(x.Sum, y.Sum),
	) < 0
}

// evidence is what speaks against a prompt part.
type evidence struct {
	subject Subject
	// crashes holds the crashes that are attributed to the part, oldest first.
	crashes []*endpointCrash
	// unexplained counts those of them that no quarantined subject explains.
	unexplained int
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
	n := len(v.crashes)
	share := float64(n) / float64(max(v.meanwhile, 1))
	covers := share >= minShare
	switch {
	case v.unexplained == 0:
		return false
	case v.answered:
		return n >= enoughCrashes && v.moments >= minMomentsOfMany && v.independent >= minIndependent && share >= minShareAnswered
	case v.moments >= minMoments && v.independent >= minIndependent && covers:
		return true
	}
	return n >= enoughCrashes && v.moments >= minMomentsOfMany && v.independent >= minIndependentRetried && (v.independent >= minIndependent || covers)
}

// exceeds reports whether the part is a more likely cause than another one. Of two parts that
// explain as many crashes, that is the one of fewer requests: parts that many prompts share are also
// next to the cause.
func (v *evidence) exceeds(w *evidence) bool {
	n, m := len(v.crashes), len(w.crashes)
	return cmp.Or(
		cmp.Compare(m, n), cmp.Compare(w.independent, v.independent), cmp.Compare(v.requests, w.requests),
		cmp.Compare(v.elapsed*time.Duration(m), w.elapsed*time.Duration(n)), cmp.Compare(v.subject.Kind, w.subject.Kind),
		cmp.Compare(v.subject.Workspace, w.subject.Workspace), cmp.Compare(v.subject.Sum, w.subject.Sum),
	) < 0
}

// nextPart returns the evidence against the part that explains the most crashes, and whether there
// is one.
func (a *assessment) nextPart() (best *evidence, found bool) {
	consider := func(s Subject) {
		if a.quarantined[s] || len(a.crashedEndpoints(s)) < minCrashes {
			return
		}
		if v := a.evidenceAgainst(s); v.isSufficient() && (best == nil || v.exceeds(best)) {
			best = v
		}
	}
	for p := range a.parts {
		if !a.quarantined[PartOfAnySubject(p.Part)] {
			consider(PartSubject(p))
		}
	}
	for p, workspaces := range a.workspaces {
		if len(workspaces) > 1 {
			consider(PartOfAnySubject(p))
		}
	}
	return best, best != nil
}

// crashedEndpoints returns the endpoints that crashed while the subject was in progress there.
func (a *assessment) crashedEndpoints(s Subject) map[enroller.Incarnation]bool {
	switch s.Kind {
	case KindRequest:
		if x := a.suspects[Fingerprint{Workspace: s.Workspace, Sum: s.Sum}]; x != nil {
			return x.endpoints
		}
		return nil
	case KindPart:
		return a.parts[SharedPart{Workspace: s.Workspace, Part: Part(s.Sum)}]
	}
	all, cached := a.endpointsOf[s]
	if cached {
		return all
	}
	all = map[enroller.Incarnation]bool{}
	for w := range a.workspaces[Part(s.Sum)] {
		maps.Copy(all, a.parts[SharedPart{Workspace: w, Part: Part(s.Sum)}])
	}
	a.endpointsOf[s] = all
	return all
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
	a.count(v)
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

// count determines the counts that depend on the part's crashes alone.
func (a *assessment) count(v *evidence) {
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

// Companions returns the parts that all requests with a part had at its crashes and that no endpoint
// has answered: any of them may be the cause instead. Only requests that have all of them need to be
// held back.
func (r *CrashTracker) Companions(s Subject) []Part {
	if !s.IsPart() {
		return nil
	}
	a := &assessment{CrashTracker: r, endpointsOf: map[Subject]map[enroller.Incarnation]bool{}}
	since := a.lastAnswer(s)
	var out []Part
	first := true
	for i := range a.crashedEndpoints(s) {
		e := r.endpoints[i]
		if !e.at.After(since) {
			continue
		}
		for _, x := range r.requestsWith(e, s) {
			if first {
				out, first = slices.Clone(x.parts), false
			}
			out = slices.DeleteFunc(out, func(p Part) bool { return !slices.Contains(x.parts, p) })
		}
	}
	out = slices.DeleteFunc(out, func(p Part) bool { return p == Part(s.Sum) || !r.answered.OfAnyAt(p).IsZero() })
	if len(out) == 0 {
		return nil
	}
	slices.Sort(out)
	return out
}

// RemainingCompanions returns those of the companions with which a part is held back that Companions
// still returns. All remain if the tracker knows of no crash under the part.
func (r *CrashTracker) RemainingCompanions(h HeldSubject) []Part {
	if len(h.With) == 0 {
		return nil
	}
	now := r.Companions(h.Subject)
	known := r.knowsCrash(h.Subject)
	return slices.DeleteFunc(slices.Clone(h.With), func(p Part) bool {
		return !r.answered.OfAnyAt(p).IsZero() || known && !slices.Contains(now, p)
	})
}

// knowsCrash reports whether an endpoint crashed during a request with the part.
func (r *CrashTracker) knowsCrash(s Subject) bool {
	if s.Kind == KindPartOfAny {
		return len(r.workspaces[Part(s.Sum)]) > 0
	}
	return r.IsPartSuspect(SharedPart{Workspace: s.Workspace, Part: Part(s.Sum)})
}

// Suspects returns up to n parts under which at least two endpoints crashed since the last answer to
// a request with them, those with the most crashes first. Routers are asked about answers to them.
func (r *CrashTracker) Suspects(n int) []Subject {
	type entry struct {
		subject Subject
		crashes int
	}
	var list []entry
	for p, endpoints := range r.parts {
		if len(endpoints) < 2 {
			continue
		}
		crashes, since := 0, r.answered.At(p)
		for i := range endpoints {
			if r.endpoints[i].at.After(since) {
				crashes++
			}
		}
		if crashes > 1 {
			list = append(list, entry{PartSubject(p), crashes})
		}
	}
	slices.SortFunc(list, func(x, y entry) int {
		return cmp.Or(cmp.Compare(y.crashes, x.crashes), cmp.Compare(x.subject.Workspace, y.subject.Workspace), cmp.Compare(x.subject.Sum, y.subject.Sum))
	})
	out := make([]Subject, 0, min(n, len(list)))
	for _, e := range list[:min(n, len(list))] {
		out = append(out, e.subject)
	}
	return out
}
