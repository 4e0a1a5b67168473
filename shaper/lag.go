package shaper

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the time between two samples of a busy process, and idleLagPeriod that of an
	// idle one.
	lagPeriod     = 20 * time.Millisecond
	idleLagPeriod = time.Second
	// lagSmoothing is the weight of the newest sample, low enough that a garbage collection does
	// not count as lag.
	lagSmoothing = 0.2
)

// Lag measures the scheduling lag of a process: how long a ready goroutine waits for the
// processor. It is safe for concurrent use. The zero value has no measurement.
type Lag struct {
	// Smoothed is in nanoseconds.
	smoothed atomic.Int64
}

// Value returns the smoothed lag.
func (l *Lag) Value() time.Duration { return time.Duration(l.smoothed.Load()) }

// Observe records how late a timer fired.
func (l *Lag) Observe(late time.Duration) {
	old := l.Value()
	l.smoothed.Store(int64(old + time.Duration(lagSmoothing*float64(max(late, 0)-old))))
}

// Run measures until ctx ends. Busy reports whether the process is busy enough for frequent
// samples.
func (l *Lag) Run(ctx context.Context, busy func() bool) {
	for ctx.Err() == nil {
		period := lagPeriod
		if !busy() {
			l.smoothed.Store(0)
			period = idleLagPeriod
		}
		begun := time.Now()
		time.Sleep(period)
		l.Observe(time.Since(begun) - period)
	}
}
