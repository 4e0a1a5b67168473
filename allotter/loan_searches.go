package allotter

import (
	"slices"
	"time"
)

const (
	// MaxLendersAsked is the maximum number of routers that one search for loans asks. With the
	// longest backoff, a router then sends four requests a second in a network partition.
	MaxLendersAsked = 16
	// After a search without result, the next one starts after minSearchBackoff, which is doubled
	// after each further one up to maxSearchBackoff.
	minSearchBackoff = 500 * time.Millisecond
	maxSearchBackoff = 4 * time.Second
	// minSearchPause is the time from the end of a search with a result to the start of the next
	// one. Requests that arrive in the meantime share the next search.
	minSearchPause = 100 * time.Millisecond
	// emptyLenderTTL is how long a router is not asked again after it lent nothing.
	emptyLenderTTL = 2 * time.Second
)

// LoanSearches decides when a router searches for loans of other routers and whom it asks. It
// reads no clock. It is not safe for concurrent use.
type LoanSearches struct {
	// NotBefore is when the next search may start, and backoff the time after the last search
	// without result, or 0 if the last search had one.
	notBefore time.Time
	backoff   time.Duration
	// EmptyUntil holds, by address, the time until which a router is not asked.
	emptyUntil map[string]time.Time
	// Rotation is the number of searches, by which the lists of routers are rotated.
	rotation int
}

// NewLoanSearches returns the state before the first search. A random rotation spreads the routers
// of a fleet over the lenders.
func NewLoanSearches(rotation int) *LoanSearches {
	return &LoanSearches{emptyUntil: map[string]time.Time{}, rotation: rotation}
}

// Delay returns the time until the next search may start, and whether that is because the last one
// had no result.
func (s *LoanSearches) Delay(now time.Time) (delay time.Duration, fruitless bool) {
	return max(s.notBefore.Sub(now), 0), s.backoff > 0
}

// Lenders returns the routers that a search asks, by address: those of the zone first, and none
// that lent nothing recently.
func (s *LoanSearches) Lenders(now time.Time, zone, others []string) []string {
	s.rotation++
	var out []string
	for _, list := range [][]string{zone, others} {
		for i := range list {
			a := list[(i+s.rotation)%len(list)]
			if len(out) < MaxLendersAsked && !now.Before(s.emptyUntil[a]) {
				out = append(out, a)
			}
		}
	}
	return out
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

// Lent records a loan, which may arrive after the end of its search. It ends the backoff.
func (s *LoanSearches) Lent(now time.Time, lender string) {
	delete(s.emptyUntil, lender)
	s.Reset(now)
}

// Ended records the end of a search, and whether it obtained a loan.
func (s *LoanSearches) Ended(now time.Time, obtained bool) {
	if obtained {
		s.backoff, s.notBefore = 0, now.Add(minSearchPause)
		return
	}
	s.backoff = min(max(2*s.backoff, minSearchBackoff), maxSearchBackoff)
	s.notBefore = now.Add(s.backoff)
}

// Reset ends the backoff, because a keeper answers again or a loan arrived.
func (s *LoanSearches) Reset(now time.Time) {
	if s.backoff == 0 {
		return
	}
	s.backoff, s.notBefore = 0, slices.MinFunc([]time.Time{s.notBefore, now.Add(minSearchPause)}, time.Time.Compare)
}
