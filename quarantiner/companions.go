package quarantiner

import (
	"cmp"
	"slices"

	"rattanhoist.example/rattanhoist/enroller"
)

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
