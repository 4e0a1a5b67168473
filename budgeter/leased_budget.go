package budgeter

import (
	"sync"
	"sync/atomic"

	"rattanhoist.example/rattanhoist"
)

// LeasedBudget holds the rights of one workspace that a router can spend
// without asking its vault. All methods are safe for concurrent use. Reserve
// and Settle take no lock and allocate nothing unless one counter runs out of
// rights.
//
// Granted = available + reserved + spent + withdrawn whenever no operation is
// in progress.
type LeasedBudget struct {
	// base holds all rights until several threads contend for it.
	base counter
	// stripes is allocated at the first contention and kept. Most budgets never
	// need it.
	stripes atomic.Pointer[stripes]
	// distributed reports whether the stripes are used before base.
	distributed atomic.Bool
	// mu serialises movements of rights between counters. Otherwise two threads
	// could each collect a part of the rights and both refuse a request.
	mu        sync.Mutex
	granted   atomic.Int64
	withdrawn atomic.Int64
}

// counter holds a part of the rights.
type counter struct {
	// available is the number of rights that are granted and neither reserved
	// nor spent; it is never negative.
	available atomic.Int64
	// spent only grows. A reservation may be settled at another counter than it
	// was taken from, so only the sums over all counters are meaningful.
	spent atomic.Int64
}

// Sizes of the stripes. Two counters on one cache line would slow each other
// down as if they were one counter.
const (
	stripeCount    = 16
	cacheLineBytes = 128
	// minRequestsPerStripe is the number of requests of the current size that
	// each stripe must be able to serve for rights to be distributed. With
	// fewer, most reservations would have to search all counters.
	minRequestsPerStripe = 64
)

// stripe is a counter padded to its own cache line.
type stripe struct {
	counter
	_ [cacheLineBytes - 16]byte
}

type stripes [stripeCount]stripe

// threadStripe is the index of the stripe that a thread uses. The sync.Pool
// returns a processor's own value to it, so that the stripe stays in its cache.
type threadStripe struct{ index uint32 }

var (
	nextStripe    atomic.Uint32
	threadStripes = sync.Pool{New: func() any { return &threadStripe{index: nextStripe.Add(1) % stripeCount} }}
)

// localCounter returns the counter that the calling thread should use first.
func (s *LeasedBudget) localCounter() *counter {
	if !s.distributed.Load() {
		return &s.base
	}
	h := threadStripes.Get().(*threadStripe)
	c := &s.stripes.Load()[h.index].counter
	threadStripes.Put(h)
	return c
}

// tryTake removes n tokens. It reports whether they were available and whether
// another thread changed the counter in the meantime.
func (c *counter) tryTake(n int64) (taken, contended bool) {
	for {
		left := c.available.Load()
		if left < n {
			return false, contended
		}
		if c.available.CompareAndSwap(left, left-n) {
			return true, contended
		}
		contended = true
	}
}

// Reserve reserves n tokens and reports whether the budget had them, summed
// over all counters.
func (s *LeasedBudget) Reserve(n rattanhoist.Tokens) bool {
	c := s.localCounter()
	taken, contended := c.tryTake(int64(n))
	if contended && c == &s.base {
		s.distribute(int64(n))
	}
	if taken {
		return true
	}
	if s.stripes.Load() == nil {
		return false
	}
	return s.reserveFromAll(int64(n))
}

// reserveFromAll reserves n tokens from all counters together and returns false
// only if their sum is too small.
func (s *LeasedBudget) reserveFromAll(n int64) bool {
	if taken, _ := s.base.tryTake(n); taken {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		moved := s.gatherToBase()
		if taken, _ := s.base.tryTake(n); taken {
			return true
		}
		// A concurrent Settle may add rights to a stripe after it was emptied;
		// the next iteration finds them.
		if moved == 0 {
			return false
		}
	}
}

// gatherToBase moves all rights to base and returns the number moved. The
// caller holds mu.
func (s *LeasedBudget) gatherToBase() int64 {
	s.distributed.Store(false)
	all := s.stripes.Load()
	if all == nil {
		return 0
	}
	var moved int64
	for i := range all {
		n := all[i].available.Swap(0)
		s.base.available.Add(n)
		moved += n
	}
	return moved
}

// distribute splits the rights of base among the stripes if it holds enough for
// requests of n tokens.
func (s *LeasedBudget) distribute(n int64) {
	const enough = stripeCount * minRequestsPerStripe
	if s.base.available.Load()/enough < n || !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.stripes.Load() == nil {
		s.stripes.Store(&stripes{})
	}
	all := s.stripes.Load()
	part := s.base.available.Load() / stripeCount
	for i := range all {
		if taken, _ := s.base.tryTake(part); taken {
			all[i].available.Add(part)
		}
	}
	s.distributed.Store(true)
}

// Settle ends a reservation. The spent tokens, at most all of the reserved
// ones, were charged; the others become available.
func (s *LeasedBudget) Settle(reserved, spent rattanhoist.Tokens) {
	c := s.localCounter()
	c.spent.Add(int64(spent))
	c.available.Add(int64(reserved - spent))
}

// Grant adds leased rights.
func (s *LeasedBudget) Grant(n rattanhoist.Tokens) {
	s.granted.Add(int64(n))
	s.base.available.Add(int64(n))
}

// Withdraw removes up to n available tokens, to be returned to the vault, and
// returns their number.
func (s *LeasedBudget) Withdraw(n rattanhoist.Tokens) rattanhoist.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatherToBase()
	for {
		part := min(s.base.available.Load(), int64(n))
		if part <= 0 {
			return 0
		}
		if taken, _ := s.base.tryTake(part); taken {
			s.withdrawn.Add(part)
			return rattanhoist.Tokens(part)
		}
	}
}

// Available returns the number of unreserved tokens. It may be outdated while
// other operations are in progress.
func (s *LeasedBudget) Available() rattanhoist.Tokens {
	left, _ := s.sums()
	return rattanhoist.Tokens(left)
}

// Spent returns the number of tokens that were settled as charged.
func (s *LeasedBudget) Spent() rattanhoist.Tokens {
	_, spent := s.sums()
	return rattanhoist.Tokens(spent)
}

// Granted returns the total number of tokens granted.
func (s *LeasedBudget) Granted() rattanhoist.Tokens { return rattanhoist.Tokens(s.granted.Load()) }

// Withdrawn returns the total number of tokens withdrawn.
func (s *LeasedBudget) Withdrawn() rattanhoist.Tokens { return rattanhoist.Tokens(s.withdrawn.Load()) }

// Reserved returns the number of tokens reserved for requests in progress.
func (s *LeasedBudget) Reserved() rattanhoist.Tokens {
	left, spent := s.sums()
	return rattanhoist.Tokens(max(s.granted.Load()-s.withdrawn.Load()-left-spent, 0))
}

// sums returns the available and the spent tokens of all counters.
func (s *LeasedBudget) sums() (left, spent int64) {
	left, spent = s.base.available.Load(), s.base.spent.Load()
	all := s.stripes.Load()
	if all == nil {
		return left, spent
	}
	for i := range all {
		left += all[i].available.Load()
		spent += all[i].spent.Load()
	}
	return left, spent
}

// AvailableBelow reports whether fewer than n tokens are available. A
// distributed budget holds many tokens, so this reads only one counter.
func (s *LeasedBudget) AvailableBelow(n rattanhoist.Tokens) bool {
	return !s.distributed.Load() && s.base.available.Load() < int64(n)
}

// RestoreTotals sets the totals of a new budget; it must be called before the
// first use.
func (s *LeasedBudget) RestoreTotals(granted, withdrawn, spent rattanhoist.Tokens) {
	s.granted.Store(int64(granted))
	s.withdrawn.Store(int64(withdrawn))
	s.base.spent.Store(int64(spent))
	s.base.available.Store(int64(granted - withdrawn - spent))
}
