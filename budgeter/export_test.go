package budgeter

import "rattanhoist.example/rattanhoist"

// SpreadForTest grants n tokens and shares them out among the stripes, as
// contention would.
func SpreadForTest(s *Slice, n rattanhoist.Tokens) {
	s.Grant(n)
	s.spreadOut(0)
}
