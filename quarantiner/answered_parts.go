package quarantiner

import "time"

// SharedPart is a prompt part in the requests of one workspace. The workspace is kept with it, so
// that nobody can have another workspace's requests refused by naming their parts.
type SharedPart struct {
	// Workspace is empty if the route requires no key.
	Workspace string
	Part      Part
}

// AnsweredPart is an answer to a request with a prompt part.
type AnsweredPart struct {
	Part SharedPart
	// OfAny is set if the workspace is unknown.
	OfAny bool
	At    time.Time
}

// Subjects returns the subjects of which the answer shows that they do not crash endpoints.
func (a AnsweredPart) Subjects() []Subject {
	if a.OfAny {
		return []Subject{PartOfAnySubject(a.Part.Part)}
	}
	return []Subject{PartSubject(a.Part), PartOfAnySubject(a.Part.Part)}
}

// maxPartGeneration is the maximum number of parts in each of the two generations, at about 70
// bytes each.
const maxPartGeneration = 4096

// AnsweredParts remembers when requests with a part were last answered. An endpoint that answers a
// request has survived all parts of its prompt. It is not safe for concurrent use.
type AnsweredParts struct {
	bySharedPart recentTimes[SharedPart]
	// byPart holds the latest answer to any workspace.
	byPart recentTimes[Part]
}

// Add records an answer.
func (a *AnsweredParts) Add(x AnsweredPart) {
	a.byPart.add(x.At, x.Part.Part)
	if !x.OfAny {
		a.bySharedPart.add(x.At, x.Part)
	}
}

// At returns when a request with the part was last answered; zero if that is not remembered.
func (a *AnsweredParts) At(p SharedPart) time.Time { return a.bySharedPart.at(p) }

// OfAnyAt returns when a request of any workspace with the part was last answered; zero if that is
// not remembered.
func (a *AnsweredParts) OfAnyAt(p Part) time.Time { return a.byPart.at(p) }

// recentTimes maps the keys that were added last to the latest time of each. When a generation is
// full, the one before is dropped.
type recentTimes[K comparable] struct {
	current, previous map[K]time.Time
}

func (r *recentTimes[K]) add(at time.Time, k K) {
	if known := r.at(k); known.After(at) {
		at = known
	}
	if _, ok := r.current[k]; !ok && len(r.current) >= maxPartGeneration || r.current == nil {
		r.current, r.previous = map[K]time.Time{}, r.current
	}
	r.current[k] = at
}

func (r *recentTimes[K]) at(k K) time.Time {
	if t, ok := r.current[k]; ok {
		return t
	}
	return r.previous[k]
}
