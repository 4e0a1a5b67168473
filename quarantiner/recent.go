package quarantiner

// recentMost bounds one of the two generations that are kept, some 60 bytes each.
const recentMost = 2048

// Recent remembers the requests that were answered lately. An endpoint that answers a
// request lives: it is not this request that ends endpoints, even where several end at
// once under it, as when a rack with all copies of a service goes down while everybody
// asks for the same page. Not safe for concurrent use.
type Recent struct {
	young, old map[Fingerprint]bool
}

// Add notes an answered request.
func (r *Recent) Add(f Fingerprint) {
	if r.young == nil || len(r.young) >= recentMost {
		r.young, r.old = map[Fingerprint]bool{}, r.young
	}
	r.young[f] = true
}

// Has reports whether the request was among the last thousands that were answered.
func (r *Recent) Has(f Fingerprint) bool { return r.young[f] || r.old[f] }
