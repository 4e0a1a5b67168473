package pathfinder

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SilenceTimeout is how long all endpoints of a service may be silent, while requests wait
	// there, before the path to one of them is checked.
	SilenceTimeout = 400 * time.Millisecond
	// checkInterval is the shortest time between two checks for a service.
	checkInterval = time.Second
)

// Silence tracks, for each service, whether anything is heard from its endpoints while requests
// wait there. It is safe for concurrent use.
type Silence struct {
	mu       sync.RWMutex
	services map[string]*ServiceSilence
}

// NewSilence returns a Silence without services.
func NewSilence() *Silence { return &Silence{services: map[string]*ServiceSilence{}} }

// ServiceSilence is the Silence of one service.
type ServiceSilence struct {
	// waiting counts the requests in progress, and waitingSince is when it last left 0.
	waiting      atomic.Int64
	waitingSince atomic.Int64
	heardAt      atomic.Int64
	// checkedAt is only used by Due.
	checkedAt time.Duration
}

// Service returns the state of a service.
func (s *Silence) Service(name string) *ServiceSilence {
	s.mu.RLock()
	x := s.services[name]
	s.mu.RUnlock()
	if x != nil {
		return x
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x = s.services[name]; x == nil {
		x = &ServiceSilence{}
		s.services[name] = x
	}
	return x
}

// Began records that a request was sent on a direct connection.
func (x *ServiceSilence) Began(now time.Duration) {
	if x.waiting.Add(1) == 1 {
		x.waitingSince.Store(int64(now))
	}
}

// Ended records the end of a request for which Began was called.
func (x *ServiceSilence) Ended() { x.waiting.Add(-1) }

// Heard records that bytes arrived on a direct connection.
func (x *ServiceSilence) Heard(now time.Duration) { x.heardAt.Store(int64(now)) }

// HeardAt returns when bytes last arrived on a direct connection.
func (x *ServiceSilence) HeardAt() time.Duration { return time.Duration(x.heardAt.Load()) }

// Due returns the services whose endpoints have been silent for too long, each at most once per
// checkInterval. It must be called from one goroutine.
func (s *Silence) Due(now time.Duration) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var due []string
	for name, x := range s.services {
		since := time.Duration(max(x.waitingSince.Load(), x.heardAt.Load()))
		if x.waiting.Load() == 0 || now-since < SilenceTimeout || now-x.checkedAt < checkInterval && x.checkedAt > 0 {
			continue
		}
		x.checkedAt = now
		due = append(due, name)
	}
	return due
}
