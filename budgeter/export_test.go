package budgeter

import "rattanhoist.example/rattanhoist"

// GrantDistributedForTest grants n tokens and distributes them over the
// stripes, as contention would.
func GrantDistributedForTest(s *LeasedBudget, n rattanhoist.Tokens) {
	s.Grant(n)
	s.distribute(0)
}
