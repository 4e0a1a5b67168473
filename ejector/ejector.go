// Package ejector takes endpoints that fail out of service and probes them
// back, one request at a time.
package ejector

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of ejection.
const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// maxDoublings reaches longestEjection and keeps the shift in range.
	maxDoublings = 5
	// probeTimeout lets another probe out when one never ended.
	probeTimeout = 10 * time.Second
)

// Event is what happened at an endpoint.
type Event int

// Events of an endpoint.
const (
	// Succeeded says that a run ended well.
	Succeeded Event = iota
	// Failed says that a run failed through the endpoint's own fault.
	Failed
	// Dispatched says that a request was sent.
	Dispatched
)

// State is what is remembered of one endpoint. The zero value is in service.
type State struct {
	failures  int
	ejections int
	// BlockedUntil is 0 in service; otherwise no request may be sent before
	// it, and the first one after it is a probe.
	blockedUntil time.Duration
}

// BlockedUntil returns the time before which nothing may be sent, or 0.
func (s State) BlockedUntil() time.Duration { return s.blockedUntil }

// Step returns the state after an event. Now counts from any fixed instant;
// random in [0, 1) spreads the probes of routers that ejected together.
func (s State) Step(now time.Duration, e Event, random float64) State {
	switch e {
	case Succeeded:
		return State{}
	case Dispatched:
		if s.blockedUntil > 0 && now >= s.blockedUntil {
			s.blockedUntil = now + probeTimeout
		}
		return s
	default:
		return s.fail(now, random)
	}
}

func (s State) fail(now time.Duration, random float64) State {
	s.failures++
	if s.failures < failuresToEject {
		return s
	}
	d := min(firstEjection<<min(s.ejections, maxDoublings), longestEjection)
	s.ejections++
	s.blockedUntil = now + d + time.Duration(random*float64(d)/2)
	return s
}

// Gate holds one endpoint's state for concurrent use; reading it takes no
// lock. The zero value is in service.
type Gate struct {
	// Until mirrors the state's blockedUntil.
	until atomic.Int64
	// Failing mirrors whether the state differs from the zero value.
	failing atomic.Bool
	mu      sync.Mutex
	state   State
}

// Blocked reports whether nothing may be sent now.
func (g *Gate) Blocked(now time.Duration) bool { return g.until.Load() > int64(now) }

// Ejected reports whether the next request would be a probe, or none may be
// sent at all.
func (g *Gate) Ejected() bool { return g.until.Load() != 0 }

// ProbeDue returns for how long a probe has been due; 0 where none is.
func (g *Gate) ProbeDue(now time.Duration) time.Duration {
	until := time.Duration(g.until.Load())
	if until == 0 || now < until {
		return 0
	}
	return now - until
}

// Step takes an event in. An endpoint in good order costs no lock.
func (g *Gate) Step(now time.Duration, e Event, random float64) {
	if e == Dispatched && g.until.Load() == 0 {
		return
	}
	if e == Succeeded && !g.failing.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = g.state.Step(now, e, random)
	g.failing.Store(g.state != State{})
	g.until.Store(int64(g.state.blockedUntil))
}
