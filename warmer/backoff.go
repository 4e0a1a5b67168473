package warmer

import "time"

// probeInterval is the minimum time between probes, the requests sent to an endpoint after
// its Retry-After period while it is still considered to be shedding load.
const probeInterval = 500 * time.Millisecond

// backoff is the Retry-After state of one endpoint.
type backoff struct {
	// Until is when the Retry-After period ends; zero if the endpoint is not shedding load.
	until time.Time
	// ReceivedAt is when the last response with Retry-After arrived.
	receivedAt time.Time
	// ProbedAt is when the last probe was sent; zero if none was since load shedding started.
	probedAt time.Time
}

// shedding reports whether the endpoint is considered to be shedding load. This remains so
// after the Retry-After period until a response shows otherwise.
func (b *backoff) shedding() bool { return !b.until.IsZero() }

// opensAt returns when the next request may be sent.
func (b *backoff) opensAt() time.Time {
	if next := b.probedAt.Add(probeInterval); next.After(b.until) {
		return next
	}
	return b.until
}

// admit records that a request is sent now.
func (b *backoff) admit(now time.Time) {
	if b.shedding() {
		b.probedAt = now
	}
}

// observe records the Retry-After period of a response, 0 for none, and returns whether the
// endpoint started shedding load. A response without Retry-After is accepted only if its
// request was sent after the last response with Retry-After arrived, because responses can
// arrive out of order. A new period never shortens the current one.
func (b *backoff) observe(retryAfter time.Duration, sentAt, receivedAt time.Time) (started bool) {
	if retryAfter <= 0 {
		if sentAt.After(b.receivedAt) {
			b.until, b.probedAt = time.Time{}, time.Time{}
		}
		return false
	}
	started = !b.shedding()
	if until := receivedAt.Add(retryAfter); until.After(b.until) {
		b.until = until
	}
	b.receivedAt = receivedAt
	return started
}
