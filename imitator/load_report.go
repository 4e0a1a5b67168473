package imitator

import (
	"sync"
	"time"
)

// maxLoadSamples bounds the changes of load that a report remembers.
const maxLoadSamples = 1024

// loadReport tells the load as it was a lag ago.
type loadReport struct {
	lag     time.Duration
	mu      sync.Mutex
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load int64
}

// note remembers the load from now on.
func (r *loadReport) note(load int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, loadSample{at: now, load: load})
	if len(r.samples) > maxLoadSamples {
		r.samples = r.samples[len(r.samples)-maxLoadSamples:]
	}
}

// at returns the load that held at now minus the lag.
func (r *loadReport) at(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var load int64
	for i, s := range r.samples {
		if now.Sub(s.at) < r.lag {
			r.samples = r.samples[max(i-1, 0):]
			return load
		}
		load = s.load
	}
	if n := len(r.samples); n > 1 {
		r.samples = r.samples[n-1:]
	}
	return load
}
