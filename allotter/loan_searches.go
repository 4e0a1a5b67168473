package allotter

import "time"

const (
	// MaxLendersAsked is the maximum number of routers that one search for loans asks.
	MaxLendersAsked = 32
	// maxAskRate bounds the requests of a router for loans, per second, in a network partition:
	// 45 kB a second of its link with their replies, whatever the size of the fleet. A fleet of a
	// few routers searches almost without pauses, because the limits of its routers rise all the
	// time.
	maxAskRate = 100
	// minSearchPause is the time from the end of a search to the start of the next one. Requests
	// that arrive in the meantime share the next search.
	minSearchPause = 100 * time.Millisecond
	// emptyLenderTTL is how long a router that lent nothing is asked last.
	emptyLenderTTL = 2 * time.Second
)

// LoanSearches decides when a router searches for loans of other routers and whom it asks. It
// reads no clock. It is not safe for concurrent use.
type LoanSearches struct {
	// NotBefore is when the next search may start.
	notBefore time.Time
	// EmptyUntil holds, by address, the time until which a router is asked last.
	emptyUntil map[string]time.Time
	// Rotation is the number of searches, by which the lists of routers are rotated.
	rotation int
}

// NewLoanSearches returns the state before the first search. A random rotation spreads the routers
// of a fleet over the lenders.
func NewLoanSearches(rotation int) *LoanSearches {
	return &LoanSearches{emptyUntil: map[string]time.Time{}, rotation: rotation}
}

// Delay returns the time until the next search may start.
func (s *LoanSearches) Delay(now time.Time) time.Duration {
	return max(s.notBefore.Sub(now), 0)
}

// Lenders returns the routers that a search asks, by address: those of the zone first, and those
// that lent nothing recently last.
func (s *LoanSearches) Lenders(now time.Time, zone, others []string) []string {
	s.rotation++
	var out, empty []string
	for _, list := range [][]string{zone, others} {
		for i := range list {
			a := list[(i+s.rotation)%len(list)]
			if now.Before(s.emptyUntil[a]) {
				empty = append(empty, a)
				continue
			}
			out = append(out, a)
		}
	}
	out = append(out, empty...)
	return out[:min(len(out), MaxLendersAsked)]
}

// LentNothing records that a router lent nothing or did not answer.
func (s *LoanSearches) LentNothing(now time.Time, lender string) {
	for a, until := range s.emptyUntil {
		if !now.Before(until) {
			delete(s.emptyUntil, a)
		}
	}
	s.emptyUntil[lender] = now.Add(emptyLenderTTL)
}

// Lent records a loan, which may arrive after the end of its search.
func (s *LoanSearches) Lent(lender string) {
	delete(s.emptyUntil, lender)
}

// Ended records the end of a search that asked a number of routers.
func (s *LoanSearches) Ended(now time.Time, asked int) {
	s.notBefore = now.Add(max(time.Duration(asked)*time.Second/maxAskRate, minSearchPause))
}

// Reset lets the next search start soon, because a keeper answers again.
func (s *LoanSearches) Reset(now time.Time) {
	if next := now.Add(minSearchPause); next.Before(s.notBefore) {
		s.notBefore = next
	}
}
