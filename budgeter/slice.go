package budgeter

import (
	"sync"
	"sync/atomic"

	"rattanhoist.example/rattanhoist"
)

// Slice is what a router may spend of one workspace without asking. All
// methods are safe for concurrent use. Reserve and Settle take no lock and
// allocate nothing unless the slice runs dry.
//
// Granted = left + reserved + spent + withdrawn, at every moment without an
// operation in progress.
type Slice struct {
	// Base holds everything until several threads contend for it.
	base counter
	// Stripes is set at the first contention and kept; most slices never pay
	// for it.
	stripes atomic.Pointer[stripes]
	// Spread reports whether stripes, and not base, come first.
	spread atomic.Bool
	// Mu serialises what moves rights between counters, so that two threads
	// never hold parts of one sum and both refuse.
	mu        sync.Mutex
	granted   atomic.Int64
	withdrawn atomic.Int64
}

// counter is one place from which rights are reserved.
type counter struct {
	// Left is granted and neither reserved nor spent; never negative.
	left atomic.Int64
	// Spent only grows. A reservation may settle at another counter than it
	// was taken from; only the sums over all counters mean something.
	spent atomic.Int64
}

// Sizes of the stripes. Two counters on one cache line would slow each other
// down as if they were one.
const (
	stripeCount = 16
	lineBytes   = 128
	// spreadFrom is how many requests of the size at hand a stripe must get
	// for rights to be spread: with less, most reservations would sweep.
	spreadFrom = 64
)

type stripe struct {
	counter
	_ [lineBytes - 16]byte
}

type stripes [stripeCount]stripe

// home is the stripe of a thread. The pool gives a processor its own home
// back, so that its stripe stays in its cache.
type home struct{ index uint32 }

var (
	nextHome atomic.Uint32
	homes    = sync.Pool{New: func() any { return &home{index: nextHome.Add(1) % stripeCount} }}
)

// near returns the counter that this thread should use first.
func (s *Slice) near() *counter {
	if !s.spread.Load() {
		return &s.base
	}
	h := homes.Get().(*home)
	c := &s.stripes.Load()[h.index].counter
	homes.Put(h)
	return c
}

// take removes n tokens and reports whether it could, and whether another
// thread got in between.
func (c *counter) take(n int64) (taken, contended bool) {
	for {
		left := c.left.Load()
		if left < n {
			return false, contended
		}
		if c.left.CompareAndSwap(left, left-n) {
			return true, contended
		}
		contended = true
	}
}

// Reserve sets n tokens aside and reports whether the slice held them in
// sum, in whichever counters.
func (s *Slice) Reserve(n rattanhoist.Tokens) bool {
	c := s.near()
	taken, contended := c.take(int64(n))
	if contended && c == &s.base {
		s.spreadOut(int64(n))
	}
	if taken {
		return true
	}
	if s.stripes.Load() == nil {
		return false
	}
	return s.sweep(int64(n))
}

// sweep looks into every counter before it refuses.
func (s *Slice) sweep(n int64) bool {
	if taken, _ := s.base.take(n); taken {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		moved := s.gather()
		if taken, _ := s.base.take(n); taken {
			return true
		}
		// Rights that were settled into a stripe behind the sweep would be
		// missed; the next round finds them.
		if moved == 0 {
			return false
		}
	}
}

// gather moves all rights to base and returns how many; the caller holds mu.
func (s *Slice) gather() int64 {
	s.spread.Store(false)
	all := s.stripes.Load()
	if all == nil {
		return 0
	}
	var moved int64
	for i := range all {
		n := all[i].left.Swap(0)
		s.base.left.Add(n)
		moved += n
	}
	return moved
}

// spreadOut shares base out among the stripes if it holds enough.
func (s *Slice) spreadOut(n int64) {
	const enough = stripeCount * spreadFrom
	if s.base.left.Load()/enough < n || !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.stripes.Load() == nil {
		s.stripes.Store(&stripes{})
	}
	all := s.stripes.Load()
	part := s.base.left.Load() / stripeCount
	for i := range all {
		if taken, _ := s.base.take(part); taken {
			all[i].left.Add(part)
		}
	}
	s.spread.Store(true)
}

// Settle ends a reservation of which spent tokens, at most all, were charged.
func (s *Slice) Settle(reserved, spent rattanhoist.Tokens) {
	c := s.near()
	c.spent.Add(int64(spent))
	c.left.Add(int64(reserved - spent))
}

// Grant adds leased rights.
func (s *Slice) Grant(n rattanhoist.Tokens) {
	s.granted.Add(int64(n))
	s.base.left.Add(int64(n))
}

// Withdraw takes up to n unreserved tokens out, to be returned.
func (s *Slice) Withdraw(n rattanhoist.Tokens) rattanhoist.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gather()
	for {
		part := min(s.base.left.Load(), int64(n))
		if part <= 0 {
			return 0
		}
		if taken, _ := s.base.take(part); taken {
			s.withdrawn.Add(part)
			return rattanhoist.Tokens(part)
		}
	}
}

// Left returns the unreserved tokens; beside operations in progress it may
// be behind.
func (s *Slice) Left() rattanhoist.Tokens {
	left, _ := s.sums()
	return rattanhoist.Tokens(left)
}

// Spent returns the tokens settled as charged.
func (s *Slice) Spent() rattanhoist.Tokens {
	_, spent := s.sums()
	return rattanhoist.Tokens(spent)
}

// Granted returns all tokens granted so far.
func (s *Slice) Granted() rattanhoist.Tokens { return rattanhoist.Tokens(s.granted.Load()) }

// Withdrawn returns all tokens withdrawn so far.
func (s *Slice) Withdrawn() rattanhoist.Tokens { return rattanhoist.Tokens(s.withdrawn.Load()) }

// Reserved returns the tokens held for requests in progress.
func (s *Slice) Reserved() rattanhoist.Tokens {
	left, spent := s.sums()
	return rattanhoist.Tokens(max(s.granted.Load()-s.withdrawn.Load()-left-spent, 0))
}

func (s *Slice) sums() (left, spent int64) {
	left, spent = s.base.left.Load(), s.base.spent.Load()
	all := s.stripes.Load()
	if all == nil {
		return left, spent
	}
	for i := range all {
		left += all[i].left.Load()
		spent += all[i].spent.Load()
	}
	return left, spent
}

// Below reports whether the slice holds less than n. A slice that is spread
// out holds plenty, so this reads one counter.
func (s *Slice) Below(n rattanhoist.Tokens) bool {
	return !s.spread.Load() && s.base.left.Load() < int64(n)
}

// Resume sets the totals of a new slice, before its first use.
func (s *Slice) Resume(granted, withdrawn, spent rattanhoist.Tokens) {
	s.granted.Store(int64(granted))
	s.withdrawn.Store(int64(withdrawn))
	s.base.spent.Store(int64(spent))
	s.base.left.Store(int64(granted - withdrawn - spent))
}
