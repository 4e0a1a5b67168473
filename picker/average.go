package picker

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially weighted moving average with the time of its last
// sample. The zero value has no samples. It is safe for concurrent use; a reader
// may see the value of one sample with the time of another, which shifts an
// estimate by at most one sample.
type average struct {
	bits      atomic.Uint64
	updatedAt atomic.Int64
}

// add records a sample with a weight between 0 and 1.
func (a *average) add(x, weight float64, now time.Duration) {
	for {
		old := a.bits.Load()
		next := x
		if old != 0 {
			v := math.Float64frombits(old)
			next = v + weight*(x-v)
		}
		if next == 0 {
			next = math.SmallestNonzeroFloat64
		}
		if a.bits.CompareAndSwap(old, math.Float64bits(next)) {
			a.updatedAt.Store(int64(now))
			return
		}
	}
}

// hasSamples reports whether a sample was recorded.
func (a *average) hasSamples() bool { return a.bits.Load() != 0 }

// value returns the average, or otherwise if there are no samples.
func (a *average) value(otherwise float64) float64 {
	b := a.bits.Load()
	if b == 0 {
		return otherwise
	}
	return math.Float64frombits(b)
}

// decayed returns the average, moved towards base with the age of its last
// sample; at age half it is midway. An endpoint that was slow once is therefore
// tried again instead of being avoided forever.
func (a *average) decayed(base float64, now, half time.Duration) float64 {
	b := a.bits.Load()
	if b == 0 {
		return base
	}
	age := max(0, float64(int64(now)-a.updatedAt.Load()))
	w := float64(half) / (float64(half) + age)
	return base + w*(math.Float64frombits(b)-base)
}
