package picker

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially weighted moving average with the time of its
// last sample. The zero value knows nothing. Safe for concurrent use; a
// reader may see the value of one sample with the time of another, which
// shifts an estimate by one sample.
type average struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// add takes a sample in with a weight between 0 and 1.
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
			a.at.Store(int64(now))
			return
		}
	}
}

// known reports whether there was a sample.
func (a *average) known() bool { return a.bits.Load() != 0 }

// value returns the average, or otherwise where nothing is known.
func (a *average) value(otherwise float64) float64 {
	b := a.bits.Load()
	if b == 0 {
		return otherwise
	}
	return math.Float64frombits(b)
}

// aged returns the average drawn towards base by the age of its last sample:
// an endpoint that was slow once is tried again instead of shunned for ever.
func (a *average) aged(base float64, now, half time.Duration) float64 {
	b := a.bits.Load()
	if b == 0 {
		return base
	}
	age := max(0, float64(int64(now)-a.at.Load()))
	w := float64(half) / (float64(half) + age)
	return base + w*(math.Float64frombits(b)-base)
}
