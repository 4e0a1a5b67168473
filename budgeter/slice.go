package budgeter

import (
	"sync/atomic"

	"rattanhoist.example/rattanhoist"
)

// Slice is what a router may spend of one workspace without asking. Reserve
// and Settle are safe for concurrent use and take no lock.
type Slice struct {
	// Left is granted and neither reserved nor spent; never negative.
	left atomic.Int64
	// Reserved is held for requests in progress; never negative.
	reserved atomic.Int64
}

// Reserve sets n tokens aside and reports whether the slice held them.
func (s *Slice) Reserve(n rattanhoist.Tokens) bool {
	for {
		left := s.left.Load()
		if left < int64(n) {
			return false
		}
		if s.left.CompareAndSwap(left, left-int64(n)) {
			s.reserved.Add(int64(n))
			return true
		}
	}
}

// Settle ends a reservation of which spent tokens were charged.
func (s *Slice) Settle(reserved, spent rattanhoist.Tokens) {
	s.reserved.Add(-int64(reserved))
	s.left.Add(int64(reserved - spent))
}

// Grant adds leased rights.
func (s *Slice) Grant(n rattanhoist.Tokens) { s.left.Add(int64(n)) }

// Withdraw takes up to n unreserved tokens out, to be returned.
func (s *Slice) Withdraw(n rattanhoist.Tokens) rattanhoist.Tokens {
	for {
		left := s.left.Load()
		take := min(left, int64(n))
		if take <= 0 {
			return 0
		}
		if s.left.CompareAndSwap(left, left-take) {
			return rattanhoist.Tokens(take)
		}
	}
}

// Left returns the unreserved tokens.
func (s *Slice) Left() rattanhoist.Tokens { return rattanhoist.Tokens(s.left.Load()) }

// Reserved returns the tokens held for requests in progress.
func (s *Slice) Reserved() rattanhoist.Tokens { return rattanhoist.Tokens(s.reserved.Load()) }
