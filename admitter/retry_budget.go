package admitter

import "sync/atomic"

const (
	// creditPerRequest is the credit earned by a first attempt: with
	// creditPerRetry = 100, it is the retries allowed per 100 first attempts.
	creditPerRequest = 10
	// creditPerRetry is the credit spent by a retry.
	creditPerRetry = 100
	// maxRetryCredit is the maximum credit of a budget and the initial credit
	// of a new one.
	maxRetryCredit = 10 * creditPerRetry
)

// Retries is the retry budget of one service: first attempts earn credit,
// retries spend it. Without it, an overloaded service would get every failed
// request again, so that its load grows with its failures. The zero value has no
// credit; NewRetries returns a full budget. Retries is safe for concurrent use.
type Retries struct{ credit atomic.Int64 }

// NewRetries returns a budget with the maximum credit.
func NewRetries() *Retries {
	r := &Retries{}
	r.credit.Store(maxRetryCredit)
	return r
}

// RecordRequest earns credit for a first attempt.
func (r *Retries) RecordRequest() {
	for {
		u := r.credit.Load()
		next := min(u+creditPerRequest, maxRetryCredit)
		if next == u || r.credit.CompareAndSwap(u, next) {
			return
		}
	}
}

// AllowRetry spends the credit of one retry, or returns false if the budget is
// exhausted.
func (r *Retries) AllowRetry() bool {
	for {
		u := r.credit.Load()
		if u < creditPerRetry {
			return false
		}
		if r.credit.CompareAndSwap(u, u-creditPerRetry) {
			return true
		}
	}
}
