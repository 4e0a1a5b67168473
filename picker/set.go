package picker

import (
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Candidate is an endpoint that statements allow to serve the request.
type Candidate struct {
	// Endpoint is renewed in place: its load and age are read at the pick.
	endpoint *rattanhoist.Endpoint
	stats    *Stats
	capacity float64
}

// Endpoint returns the announced endpoint.
func (c *Candidate) Endpoint() *rattanhoist.Endpoint { return c.endpoint }

// Stats returns this router's own record of the endpoint.
func (c *Candidate) Stats() *Stats { return c.stats }

// Set is the immutable table of candidates for one service and one group of
// statements, built once for many picks.
type Set struct {
	ledger  *Ledger
	service *Service
	maxAge  time.Duration
	// Candidates begin with those of the own zone, in order of their names.
	candidates []Candidate
	local      int
	// Index finds a candidate by the id of its stats.
	index    map[uint32]int32
	capacity float64
	// Room and roomAt keep what Room computed last, and when.
	room, roomAt atomic.Int64
}

// Len returns the number of candidates, usable or not.
func (s *Set) Len() int { return len(s.candidates) }

// At returns a candidate.
func (s *Set) At(i int) *Candidate { return &s.candidates[i] }

// Service returns what is learned of the service.
func (s *Set) Service() *Service { return s.service }

// instant is the time of a pick: since the ledger's base, and by both clocks.
type instant struct {
	time.Duration
	moment rattanhoist.Moment
}

// fresh reports whether new work may be sent to the endpoint. It reads the
// age at the moment of use: a router that was stopped for an hour wakes with
// an old table and, without this, would send work on it.
func (s *Set) fresh(c *Candidate, now instant) bool { return c.endpoint.UsableAt(now.moment, s.maxAge) }

// usable reports whether candidate i may get the request.
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

// Alive reports whether any endpoint may get new work, ejected ones included.
func (s *Set) Alive(t time.Time) bool {
	now := s.at(t)
	for i := range s.candidates {
		if s.fresh(&s.candidates[i], now) {
			return true
		}
	}
	return false
}

// Refresh notes the load reports that have come in since.
func (s *Set) Refresh() {
	for i := range s.candidates {
		s.candidates[i].note(s.ledger)
	}
}

// note takes the endpoint's last load report into the record.
func (c *Candidate) note(l *Ledger) {
	c.stats.report(l.Since(c.endpoint.Heard()), float64(c.endpoint.Load()))
}

// lastResort returns a fresh candidate that was not tried, ejected or not: a
// request is better sent to a doubtful endpoint than refused.
func (s *Set) lastResort(q *Query, now instant) int {
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
