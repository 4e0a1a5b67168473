package quarantiner

// maxGenerationSize is the maximum number of requests in each of the two generations, at about 60
// bytes each.
const maxGenerationSize = 2048

// AnsweredRequests remembers requests that were answered recently. An endpoint that answers a
// request has survived it, so the request does not crash endpoints, even if several crash at once
// while it is in progress. That happens when a rack with all replicas of a service fails while all
// callers request the same page. It is not safe for concurrent use.
type AnsweredRequests struct {
	current, previous map[Fingerprint]bool
}

// Add records an answered request.
func (r *AnsweredRequests) Add(f Fingerprint) {
	if r.current == nil || len(r.current) >= maxGenerationSize {
		r.current, r.previous = map[Fingerprint]bool{}, r.current
	}
	r.current[f] = true
}

// Has reports whether the request is among the last few thousand that were answered.
func (r *AnsweredRequests) Has(f Fingerprint) bool { return r.current[f] || r.previous[f] }
