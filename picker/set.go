package picker

import (
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Candidate is an endpoint that the policy statements allow for the request.
type Candidate struct {
	// endpoint is updated in place: its load and age are read at pick time.
	endpoint *rattanhoist.Endpoint
	stats    *Stats
	capacity float64
}

// Endpoint returns the announced endpoint.
func (c *Candidate) Endpoint() *rattanhoist.Endpoint { return c.endpoint }

// Stats returns this router's statistics of the endpoint.
func (c *Candidate) Stats() *Stats { return c.stats }

// Set is the immutable table of candidates for one service and one group of
// policy statements, built once for many picks.
type Set struct {
	ledger  *Ledger
	service *Service
	maxAge  time.Duration
	// candidates holds those of the local zone first, each part sorted by name.
	candidates []Candidate
	local      int
	// index maps the id of a candidate's stats to its position.
	index    map[uint32]int32
	capacity float64
	// freeCapacity and freeCapacityAt cache the last result of FreeCapacity
	// and its time.
	freeCapacity, freeCapacityAt atomic.Int64
}

// Len returns the number of candidates, usable or not.
func (s *Set) Len() int { return len(s.candidates) }

// At returns a candidate.
func (s *Set) At(i int) *Candidate { return &s.candidates[i] }

// Service returns the statistics of the service.
func (s *Set) Service() *Service { return s.service }

// instant is the time of a pick, as the time since the ledger's base and as a
// moment, which reads both clocks.
type instant struct {
	time.Duration
	moment rattanhoist.Moment
}

// fresh reports whether the endpoint's announcement is recent enough to send new
// requests. The age is checked at pick time: otherwise a router that was
// suspended for an hour would resume by sending requests from an old table.
func (s *Set) fresh(c *Candidate, now instant) bool { return c.endpoint.UsableAt(now.moment, s.maxAge) }

// usable reports whether candidate i is fresh, not ejected and not yet tried.
// An ejected endpoint that is due for a probe gets repeatable requests only.
func (s *Set) usable(q *Query, i int, now instant) bool {
	c := &s.candidates[i]
	if !s.fresh(c, now) {
		return false
	}
	if c.stats.gate.Ejected() && (q.NotRepeatable || c.stats.gate.Blocked(now.Duration)) {
		return false
	}
	return !q.tried(c.stats)
}

// HasFresh reports whether any endpoint is fresh, including ejected ones.
func (s *Set) HasFresh(t time.Time) bool {
	now := s.at(t)
	for i := range s.candidates {
		if s.fresh(&s.candidates[i], now) {
			return true
		}
	}
	return false
}

// Refresh records the last load report of every candidate.
func (s *Set) Refresh() {
	for i := range s.candidates {
		s.candidates[i].recordLoad(s.ledger)
	}
}

// recordLoad adds the endpoint's last load report to its statistics.
func (c *Candidate) recordLoad(l *Ledger) {
	c.stats.recordReport(l.Since(c.endpoint.AnnouncedAt()), float64(c.endpoint.Load()))
}

// fallback returns a fresh candidate that was not tried, even if it is ejected:
// sending a request to an ejected endpoint is better than rejecting it.
func (s *Set) fallback(q *Query, now instant) int {
	n := len(s.candidates)
	if n == 0 {
		return -1
	}
	start := int(q.Seed % uint64(n))
	for k := range n {
		i := (start + k) % n
		if s.fresh(&s.candidates[i], now) && !q.tried(s.candidates[i].stats) {
			return i
		}
	}
	return -1
}

func (s *Set) at(t time.Time) instant {
	return instant{s.ledger.Since(t), rattanhoist.MomentOf(t)}
}
