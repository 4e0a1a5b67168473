package quarantiner

import "time"

// SharedPart is a prompt part in the requests of one workspace. The workspace is kept with it, so
// that nobody can have another workspace's requests refused by naming their parts.
type SharedPart struct {
	// Workspace is empty if the route requires no key.
	Workspace string
	Part      Part
}

// maxPartGeneration is the maximum number of parts in each of the two generations, at about 70
// bytes each.
const maxPartGeneration = 4096

// AnsweredParts remembers when requests with a part were last answered. An endpoint that answers a
// request has survived all parts of its prompt. It is not safe for concurrent use.
type AnsweredParts struct {
	current, previous map[SharedPart]time.Time
}

// Add records an answered request with the part.
func (a *AnsweredParts) Add(now time.Time, p SharedPart) {
	if _, known := a.current[p]; !known && len(a.current) >= maxPartGeneration || a.current == nil {
		a.current, a.previous = map[SharedPart]time.Time{}, a.current
	}
	a.current[p] = now
}

// At returns when a request with the part was last answered; zero if that is not remembered.
func (a *AnsweredParts) At(p SharedPart) time.Time {
	if t, ok := a.current[p]; ok {
		return t
	}
	return a.previous[p]
}
