package warmer

import "time"

// backoff is the Retry-After state of one endpoint.
type backoff struct {
	// Until is when the Retry-After period ends; zero if the endpoint is not shedding load.
	until time.Time
	// ReceivedAt is when the last response with Retry-After arrived.
	receivedAt time.Time
}

// shedding reports whether the endpoint is considered to be shedding load. This remains so
// after the Retry-After period until a response shows otherwise.
func (b *backoff) shedding() bool { return !b.until.IsZero() }

// observe records the Retry-After period of a response, 0 for none, and returns whether the
// endpoint started shedding load. A response without Retry-After is accepted only if its
// request was sent after the last response with Retry-After arrived, because responses can
// arrive out of order. A new period never shortens the current one.
func (b *backoff) observe(retryAfter time.Duration, sentAt, receivedAt time.Time) (started bool) {
	if retryAfter <= 0 {
		if sentAt.After(b.receivedAt) {
			b.until = time.Time{}
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
