package treasurer

import "time"

// Policy holds the times and sizes of leasing and billing.
type Policy struct {
	// Horizon is the time for which a lease should last at the demand seen: a
	// keeper that restarts takes that long, and siblings can recall the rest.
	Horizon time.Duration
	// LowHorizon is the rest of it at which the next lease is asked for.
	LowHorizon time.Duration
	// Smoothing is the time constant of the demand's moving average.
	Smoothing time.Duration
	// ZoneFraction bounds a lease ahead of need by a part of what the zone
	// has left, so that one router does not take the last of a budget.
	ZoneFraction float64
	// LeaseAhead is how many requests of the size at hand a slice should hold
	// where demand is low or not known yet; under half of it is low.
	LeaseAhead int64
	// SurplusFactor is how many targets a slice holds before it returns some.
	SurplusFactor int64
	// IdleAfter is the time without traffic after which all rights go back.
	IdleAfter time.Duration
	// RefusalAge is how long a refusal is repeated without asking again.
	RefusalAge time.Duration
	// SettleWait bounds the wait for requests in progress to free rights.
	SettleWait time.Duration
	// KeeperWait is how long a request waits for a silent keeper.
	KeeperWait time.Duration
	// CallTimeout bounds one call to a keeper.
	CallTimeout time.Duration
	// ResendBase and ResendMost bound the pause before a resend.
	ResendBase, ResendMost time.Duration
	// WitnessAfter is how long a charge waits for the keeper alone.
	WitnessAfter time.Duration
	// BatchMost bounds the charges in one call.
	BatchMost int
	// PendingMost bounds the charges that are not on two disks yet.
	PendingMost int
	// RunMost is the longest time from a reservation to its charge, by the wall
	// clock; 0 for no bound. A process that was frozen for longer may hold a
	// run whose request was billed to another router since, and that bill may
	// have been pruned.
	RunMost time.Duration
	// TickEvery is the pause between looks at demand and idle slices.
	TickEvery time.Duration
}

// DefaultPolicy returns the values in use; docs/design/spending.md has their
// grounds.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 30 * time.Second, LowHorizon: 15 * time.Second, Smoothing: 4 * time.Second,
		ZoneFraction: 0.25, LeaseAhead: 8, SurplusFactor: 4, IdleAfter: 30 * time.Second,
		RefusalAge: 250 * time.Millisecond, SettleWait: 10 * time.Second,
		KeeperWait: 2500 * time.Millisecond, CallTimeout: 2 * time.Second,
		ResendBase: 50 * time.Millisecond, ResendMost: time.Second,
		WitnessAfter: 200 * time.Millisecond, BatchMost: 256, PendingMost: 1 << 16,
		TickEvery: 250 * time.Millisecond,
	}
}

// pause returns the wait before try number n, doubling from ResendBase.
func (p *Policy) pause(tries int) time.Duration {
	d := p.ResendBase
	for range tries {
		d *= 2
		if d >= p.ResendMost {
			return p.ResendMost
		}
	}
	return d
}
