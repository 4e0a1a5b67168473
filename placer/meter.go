package placer

import (
	"math"
	"time"
)

// MeterTime is the time constant of a Meter.
const MeterTime = time.Hour

// Meter averages a zone's demand over a time that is long beside a request
// and as long as a cut: rights are placed for the next hour, and the last
// seconds say little about it. The zero value has seen nothing. It is not
// safe for concurrent use.
type Meter struct {
	// Sum and weight decay together, so that a young meter is not biased to 0.
	sum, weight float64
	last        time.Time
}

// Add notes the rate since the last call.
func (m *Meter) Add(now time.Time, rate float64) {
	if !m.last.IsZero() && now.After(m.last) {
		keep := math.Exp(-now.Sub(m.last).Seconds() / MeterTime.Seconds())
		m.sum = m.sum*keep + rate*(1-keep)
		m.weight = m.weight*keep + (1 - keep)
	}
	m.last = now
}

// Rate returns the average, or 0 before two calls of Add.
func (m *Meter) Rate() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
