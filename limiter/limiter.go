// Package limiter holds one router's share of the fleet's retry budget: within any window,
// the retries of a service, summed over all routers, must not exceed a fraction of its
// requests plus a fixed allowance.
package limiter

import (
	"sync"
	"time"
)

// Budget is the retry budget of the whole fleet.
type Budget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in a window in addition to the ratio, for the
	// whole fleet.
	Slack  float64
	Window time.Duration
}

const (
	// buckets is the number of time buckets in a window. The oldest one is counted
	// completely, so the budget is too strict by at most one bucket's worth of requests.
	buckets = 10
	// usedFraction is the fraction of the budget that routers use. Routers count requests
	// when they accept them and endpoints when they arrive, so that their windows differ.
	usedFraction = 0.8
)

// counter counts the requests and retries of one service in the buckets of the window.
type counter struct {
	requests, retries [buckets]float64
	// newest is the number of the newest bucket since the start.
	newest int64
}

// Limiter counts requests and retries by service. It is safe for concurrent use.
type Limiter struct {
	budget Budget
	start  time.Time

	mu       sync.Mutex
	services map[string]*counter
}

// New returns a limiter with empty counters.
func New(b Budget, now time.Time) *Limiter {
	return &Limiter{budget: b, start: now, services: map[string]*counter{}}
}

// counter returns the counter of a service, with the buckets that have left the window
// cleared.
func (l *Limiter) counter(now time.Time, service string) *counter {
	c := l.services[service]
	if c == nil {
		c = &counter{}
		l.services[service] = c
	}
	current := int64(now.Sub(l.start) / (l.budget.Window / buckets))
	for i := 0; c.newest < current && i < buckets; i++ {
		c.newest++
		c.requests[c.newest%buckets], c.retries[c.newest%buckets] = 0, 0
	}
	c.newest = max(c.newest, current)
	return c
}

// RecordRequest records a request for a service.
func (l *Limiter) RecordRequest(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counter(now, service)
	c.requests[c.newest%buckets]++
}

// AllowRetry reports whether a retry is within this router's share of the budget, and
// counts it if it is. Routers share the slack evenly.
func (l *Limiter) AllowRetry(now time.Time, service string, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counter(now, service)
	var requests, retries float64
	for i := range buckets {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if retries+1 > usedFraction*(l.budget.Ratio*requests+l.budget.Slack/float64(max(routers, 1))) {
		return false
	}
	c.retries[c.newest%buckets]++
	return true
}
