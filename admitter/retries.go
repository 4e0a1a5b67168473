package admitter

import "sync/atomic"

const (
	// retryShare is how many retries each hundred first tries allow.
	retryShare = 10
	// retryCost is a retry in the units of retryShare.
	retryCost = 100
	// retryBurst bounds what is saved up; a service that has just begun may
	// spend it.
	retryBurst = 10 * retryCost
)

// Retries is the retry budget of one service: first tries pay in, retries
// draw. Without it, an overloaded service that fails requests would get each
// of them again, and so more load the worse it does. The zero value is empty;
// NewRetries returns a full one. Safe for concurrent use.
type Retries struct{ units atomic.Int64 }

// NewRetries returns a budget that holds its burst.
func NewRetries() *Retries {
	r := &Retries{}
	r.units.Store(retryBurst)
	return r
}

// First notes a first try.
func (r *Retries) First() {
	for {
		u := r.units.Load()
		next := min(u+retryShare, retryBurst)
		if next == u || r.units.CompareAndSwap(u, next) {
			return
		}
	}
}

// Retry draws one retry; false says that the budget is spent.
func (r *Retries) Retry() bool {
	for {
		u := r.units.Load()
		if u < retryCost {
			return false
		}
		if r.units.CompareAndSwap(u, u-retryCost) {
			return true
		}
	}
}
