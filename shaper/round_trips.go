package shaper

import (
	"sync"
	"time"
)

const (
	// maxRoundTrip bounds the estimated round trip. Where nothing answers for longer, the other side may be gone.
	maxRoundTrip = 2 * time.Second
	// roundTripTTL is how long a measured round trip is used.
	roundTripTTL = 5 * time.Second
)

// RoundTrips estimates how long a round trip over the VM's network link takes, from requests that the process sends
// regularly. Unlike Link, it shows the queue of what arrives, which others fill. It is safe for concurrent use. The zero
// value knows nothing.
type RoundTrips struct {
	mu sync.Mutex
	// last is the latest round trip, which ended at lastAt.
	last   time.Duration
	lastAt time.Time
	// waitingSince is when the first request was sent after which nothing was received; zero if there is none.
	waitingSince time.Time
}

// Sent records that a request was sent.
func (r *RoundTrips) Sent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
}

// Received records the reply to a request that was sent at a time.
func (r *RoundTrips) Received(now, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.lastAt, r.waitingSince = now.Sub(sentAt), now, time.Time{}
}

// Delay returns the estimated round trip, or 0 if nothing is known.
func (r *RoundTrips) Delay(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.latest(now)
	if !r.waitingSince.IsZero() {
		d = max(d, now.Sub(r.waitingSince))
	}
	return min(d, maxRoundTrip)
}

// Measured returns the latest round trip, or 0 if none was measured lately. Unlike Delay, it does not grow while
// replies are missing, as they are in a partition.
func (r *RoundTrips) Measured(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(r.latest(now), maxRoundTrip)
}

// latest returns the latest round trip, or 0 if it is out of date. The caller holds r.mu.
func (r *RoundTrips) latest(now time.Time) time.Duration {
	if now.Sub(r.lastAt) >= roundTripTTL {
		return 0
	}
	return r.last
}
