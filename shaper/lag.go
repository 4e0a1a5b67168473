package shaper

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagPeriod is the pause between two samples of a busy process, idleLagPeriod that of
	// one that is not.
	lagPeriod     = 20 * time.Millisecond
	idleLagPeriod = time.Second
	// lagSmoothing is the weight of the newest sample: a collection of garbage is no lag.
	lagSmoothing = 0.2
)

// Lag measures how late a process runs: how long a goroutine that is ready waits for the
// processor. It is safe for concurrent use; the zero value has measured none.
type Lag struct {
	// Smoothed is in nanoseconds.
	smoothed atomic.Int64
}

// Now returns the smoothed lag.
func (l *Lag) Now() time.Duration { return time.Duration(l.smoothed.Load()) }

// Observe records how late a timer fired.
func (l *Lag) Observe(late time.Duration) {
	old := l.Now()
	l.smoothed.Store(int64(old + time.Duration(lagSmoothing*float64(max(late, 0)-old))))
}

// Run measures until ctx ends; busy reports whether samples are worth their cost.
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
