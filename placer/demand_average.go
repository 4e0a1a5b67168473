package placer

import (
	"math"
	"time"
)

// DemandTimeConstant is the time constant of DemandAverage's exponential decay.
const DemandTimeConstant = time.Hour

// DemandAverage is an exponentially decaying average of a zone's demand. Its
// time constant is much longer than a request and as long as a network
// partition, because rights are placed for the next hour and the demand of the
// last seconds is a poor forecast of that hour. The zero value is an empty
// average. It is not safe for concurrent use.
type DemandAverage struct {
	// Sum and weight decay together, so that an average of few samples is not
	// biased toward 0.
	sum, weight float64
	last        time.Time
}

// Add records the rate for the time since the last call. The first call only
// sets the start time.
func (m *DemandAverage) Add(now time.Time, rate float64) {
	if !m.last.IsZero() && now.After(m.last) {
		keep := math.Exp(-now.Sub(m.last).Seconds() / DemandTimeConstant.Seconds())
		m.sum = m.sum*keep + rate*(1-keep)
		m.weight = m.weight*keep + (1 - keep)
	}
	m.last = now
}

// Rate returns the average, or 0 before the second call of Add.
func (m *DemandAverage) Rate() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
