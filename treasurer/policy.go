package treasurer

import "time"

// Policy holds the durations and limits for leasing and billing.
type Policy struct {
	// Horizon is how long a lease should last at the current demand. A keeper
	// restart takes about this long, and other routers can recall unused
	// rights.
	Horizon time.Duration
	// LowHorizon is the remaining part of Horizon at which the next lease is
	// requested.
	LowHorizon time.Duration
	// Smoothing is the time constant of the demand's moving average.
	Smoothing time.Duration
	// ZoneFraction limits a lease ahead of need to this fraction of what the
	// zone has left, so that one router does not take the last of a budget.
	ZoneFraction float64
	// LeaseAhead is the number of requests of the current size that a slice
	// should cover while demand is low or unknown. Below half of it the slice
	// is refilled.
	LeaseAhead int64
	// SurplusFactor is the multiple of the target above which a slice returns
	// rights.
	SurplusFactor int64
	// IdleAfter is the time without traffic after which all rights are
	// returned.
	IdleAfter time.Duration
	// RefusalAge is how long a refusal is repeated without a new lease call.
	RefusalAge time.Duration
	// SettleWait limits the wait for running requests to free rights.
	SettleWait time.Duration
	// KeeperWait is how long a request waits for a keeper that does not
	// answer.
	KeeperWait time.Duration
	// CallTimeout limits one call to a keeper.
	CallTimeout time.Duration
	// MinResendPause and MaxResendPause limit the pause before a resend.
	MinResendPause, MaxResendPause time.Duration
	// WitnessAfter is how long a charge waits for the own keeper before it is
	// also sent to the witness.
	WitnessAfter time.Duration
	// MaxBatch limits the charges in one call.
	MaxBatch int
	// MaxPending limits the charges that are not yet on two disks.
	MaxPending int
	// MaxRunTime is the longest wall-clock time from a reservation to its
	// charge; 0 means no limit. While a process is frozen for longer, another
	// router may bill the request, and that bill may already be pruned when
	// the process resumes.
	MaxRunTime time.Duration
	// TickInterval is the interval at which demand and idle slices are
	// checked.
	TickInterval time.Duration
}

// DefaultPolicy returns the production values. docs/design/spending.md
// explains them.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 30 * time.Second, LowHorizon: 15 * time.Second, Smoothing: 4 * time.Second,
		ZoneFraction: 0.25, LeaseAhead: 8, SurplusFactor: 4, IdleAfter: 30 * time.Second,
		RefusalAge: 250 * time.Millisecond, SettleWait: 10 * time.Second,
		KeeperWait: 2500 * time.Millisecond, CallTimeout: 2 * time.Second,
		MinResendPause: 50 * time.Millisecond, MaxResendPause: time.Second,
		WitnessAfter: 200 * time.Millisecond, MaxBatch: 256, MaxPending: 1 << 16,
		TickInterval: 250 * time.Millisecond,
	}
}

// backoff returns the wait after the given number of failed tries. It doubles
// from MinResendPause up to MaxResendPause.
func (p *Policy) backoff(tries int) time.Duration {
	d := p.MinResendPause
	for range tries {
		d *= 2
		if d >= p.MaxResendPause {
			return p.MaxResendPause
		}
	}
	return d
}
