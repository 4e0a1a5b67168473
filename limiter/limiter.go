// Package limiter holds one router's part of the fleet's retry budget: in any
// window, a service must not get more repeats than a share of its requests and
// a fixed slack, summed over all routers.
package limiter

import (
	"sync"
	"time"
)

// Budget is the bound that the whole fleet keeps.
type Budget struct {
	// Ratio is repeats for each request.
	Ratio float64
	// Slack is repeats for the whole fleet in one window, beside the ratio.
	Slack  float64
	Window time.Duration
}

const (
	// buckets cut the window: the oldest one is counted whole, so at most a
	// bucket's worth of the window is judged too strictly.
	buckets = 10
	// part of the budget that is used: routers count requests when they take
	// them and endpoints when they arrive, and the windows of both differ.
	part = 0.8
)

type counter struct {
	requests, repeats [buckets]float64
	// At is the number of the newest bucket since the start.
	at int64
}

// Limiter counts requests and repeats by service. It is safe for concurrent
// use.
type Limiter struct {
	budget Budget
	start  time.Time

	mu       sync.Mutex
	services map[string]*counter
}

// New returns a limiter.
func New(b Budget, now time.Time) *Limiter {
	return &Limiter{budget: b, start: now, services: map[string]*counter{}}
}

func (l *Limiter) counter(now time.Time, service string) *counter {
	c := l.services[service]
	if c == nil {
		c = &counter{}
		l.services[service] = c
	}
	at := int64(now.Sub(l.start) / (l.budget.Window / buckets))
	for i := 0; c.at < at && i < buckets; i++ {
		c.at++
		c.requests[c.at%buckets], c.repeats[c.at%buckets] = 0, 0
	}
	c.at = max(c.at, at)
	return c
}

// Request notes a request for a service.
func (l *Limiter) Request(now time.Time, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counter(now, service)
	c.requests[c.at%buckets]++
}

// Repeat reports whether a request may be sent once more, and if so counts
// it. Routers share the slack evenly.
func (l *Limiter) Repeat(now time.Time, service string, routers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counter(now, service)
	var requests, repeats float64
	for i := range buckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if repeats+1 > part*(l.budget.Ratio*requests+l.budget.Slack/float64(max(routers, 1))) {
		return false
	}
	c.repeats[c.at%buckets]++
	return true
}
