package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
)

// maxPerAssessment bounds the work of one assessment. The next one finds the rest.
const maxPerAssessment = 4

// ToQuarantine returns the subjects to quarantine from now on.
func (r *CrashTracker) ToQuarantine(now time.Time) []Subject {
	r.expire(now)
	if r.settled && now.Sub(r.changedAt) > lateReportTime {
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
	r.settled = len(out) == 0 && now.Sub(r.changedAt) > lateReportTime
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

// nextPart returns the evidence against the part that explains the most crashes, and whether there
// is one.
func (a *assessment) nextPart() (best *evidence, found bool) {
	consider := func(s Subject) {
		if a.quarantined[s] || len(a.crashedEndpoints(s)) < minCrashes {
			return
		}
		if v := a.evidenceAgainst(s); v.isSufficient() && (best == nil || v.outranks(best)) {
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
