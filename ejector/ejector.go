// Package ejector implements a circuit breaker for each endpoint: it ejects
// endpoints that fail repeatedly and readmits them after a successful probe,
// which is a single regular request.
package ejector

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of ejection.
const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 3
	// maxSilence is how long a sound endpoint may accept no connections.
	maxSilence  = 2 * time.Second
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// maxDoublings is enough to reach maxEjection and prevents an overflow of
	// the shift.
	maxDoublings = 5
	// probeTimeout is the time after which another probe is sent if the end
	// of the last one was never recorded.
	probeTimeout = 10 * time.Second
)

// Event is an event at an endpoint.
type Event int

// Events of an endpoint.
const (
	// Succeeded means that a run ended successfully.
	Succeeded Event = iota
	// Failed means that a run failed because of the endpoint.
	Failed
	// TimedOut means that the endpoint did not accept a connection in time. It may only be silent
	// for a moment.
	TimedOut
	// Dispatched means that a request was sent.
	Dispatched
)

// State is the circuit breaker state of one endpoint. The zero value is in
// service.
type State struct {
	failures  int
	ejections int
	// silentSince is when the endpoint first did not accept a connection in time, or 0 if it
	// answered since. It is in nanoseconds and at least 1.
	silentSince time.Duration
	// blockedUntil is 0 while the endpoint is in service. Otherwise no request
	// may be sent before it, and the first one after it is a probe.
	blockedUntil time.Duration
}

// BlockedUntil returns the time before which no request may be sent, or 0 while
// the endpoint is in service.
func (s State) BlockedUntil() time.Duration { return s.blockedUntil }

// Step returns the state after an event. now is the time since an arbitrary
// fixed instant; random in [0, 1) is the jitter that spreads the probes of
// routers that ejected the endpoint at the same time.
func (s State) Step(now time.Duration, e Event, random float64) State {
	switch e {
	case Succeeded:
		return State{}
	case Dispatched:
		if s.blockedUntil > 0 && now >= s.blockedUntil {
			s.blockedUntil = now + probeTimeout
		}
		return s
	case TimedOut:
		if s.silentSince == 0 {
			s.silentSince = max(now, 1)
		}
		if now-s.silentSince < maxSilence {
			return s
		}
	}
	return s.fail(now, random)
}

// fail returns the state after a failure. Each ejection doubles the time until
// the next probe.
func (s State) fail(now time.Duration, random float64) State {
	s.failures++
	if s.failures < failuresToEject {
		return s
	}
	d := min(minEjection<<min(s.ejections, maxDoublings), maxEjection)
	s.ejections++
	s.blockedUntil = now + d + time.Duration(random*float64(d)/2)
	return s
}

// Gate holds the State of one endpoint for concurrent use; reads are lock-free.
// The zero value is in service.
type Gate struct {
	// blockedUntil mirrors state.blockedUntil.
	blockedUntil atomic.Int64
	// failing mirrors whether state differs from the zero value.
	failing atomic.Bool
	mu      sync.Mutex
	state   State
}

// Blocked reports whether no request may be sent at the given time.
func (g *Gate) Blocked(now time.Duration) bool { return g.blockedUntil.Load() > int64(now) }

// Ejected reports whether the endpoint is ejected: either it is blocked or the
// next request is a probe.
func (g *Gate) Ejected() bool { return g.blockedUntil.Load() != 0 }

// ProbeDue returns how long a probe has been due, or 0 if none is due.
func (g *Gate) ProbeDue(now time.Duration) time.Duration {
	until := time.Duration(g.blockedUntil.Load())
	if until == 0 || now < until {
		return 0
	}
	return now - until
}

// Step applies an event to the state. For an endpoint without failures it
// doesn't lock.
func (g *Gate) Step(now time.Duration, e Event, random float64) {
	if e == Dispatched && g.blockedUntil.Load() == 0 {
		return
	}
	if e == Succeeded && !g.failing.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = g.state.Step(now, e, random)
	g.failing.Store(g.state != State{})
	g.blockedUntil.Store(int64(g.state.blockedUntil))
}
