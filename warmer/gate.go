package warmer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Gate limits what one router sends to one endpoint while that is cold. The zero value
// is open. It is safe for concurrent use; an endpoint that is warm costs no lock.
type Gate struct {
	// Cold is false only for an endpoint that is warm.
	cold atomic.Bool
	mu   sync.Mutex
	// Until is when the endpoint is warm, by heartbeats and evacuations; told is the
	// same by its own answers. The later one counts.
	until, told time.Time
	share       Share
	// Expires is when the router no longer owns the share.
	expires time.Time
	// Tokens is what the bucket held at filledAt; before the first time it is full.
	tokens   float64
	filledAt time.Time
	// RateLimit is the rate limit last accepted from the endpoint's responses.
	rateLimit rateLimitState
}

// ObserveRateLimit records the rate limit reported in the response, received now, to a
// request sent at sentAt. It returns whether the limit in effect changed.
func (g *Gate) ObserveRateLimit(l RateLimit, sentAt, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.observe(l, sentAt, now)
}

// RateLimit returns the endpoint's rate limit in effect.
func (g *Gate) RateLimit() RateLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rateLimit.limit
}

// Set states until when the endpoint is cold, and the share that the router owns until
// it expires.
func (g *Gate) Set(now, until time.Time, s Share, expires time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fill(now)
	g.until, g.share, g.expires = until, s, expires
	g.cold.Store(g.isCold(now))
}

// Extend notes that the endpoint itself says that it stays cold until then.
func (g *Gate) Extend(now, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = until
	g.cold.Store(g.isCold(now))
}

// Cold reports whether the endpoint is cold.
func (g *Gate) Cold(now time.Time) bool {
	if !g.cold.Load() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isCold(now)
}

func (g *Gate) isCold(now time.Time) bool { return g.until.After(now) || g.told.After(now) }

// Open reports whether a request may be sent now.
func (g *Gate) Open(now time.Time) bool {
	if !g.cold.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open(now)
}

// Admit reports whether a request may be sent now, and counts it if so.
func (g *Gate) Admit(now time.Time) bool {
	if !g.cold.Load() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open(now) {
		return false
	}
	if g.isCold(now) {
		g.tokens--
	}
	return true
}

func (g *Gate) open(now time.Time) bool {
	if !g.isCold(now) {
		return true
	}
	if !g.expires.After(now) {
		return false
	}
	g.fill(now)
	return g.tokens >= 1
}

func (g *Gate) fill(now time.Time) {
	switch {
	case g.filledAt.IsZero():
		g.tokens = burst
	case now.After(g.filledAt):
		g.tokens = min(g.tokens+now.Sub(g.filledAt).Seconds()*g.share.Rate, max(g.share.Burst, g.tokens))
	}
	if now.After(g.filledAt) {
		g.filledAt = now
	}
}
