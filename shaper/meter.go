package shaper

import (
	"math"
	"sync"
	"time"
)

// Meter measures which fraction of a link's rate is used, in the busier direction. It is safe for
// concurrent use. A nil Meter measures nothing.
type Meter struct {
	// Rate is in bytes per second, averaged over window.
	rate   float64
	window time.Duration

	mu sync.Mutex
	// In and out are averages in bytes per second as of at.
	in, out float64
	at      time.Time
}

// NewMeter returns a meter of a link that carries bytesPerSecond, averaged over a window, or nil
// if bytesPerSecond is 0, which means no limit.
func NewMeter(bytesPerSecond float64, window time.Duration) *Meter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Meter{rate: bytesPerSecond, window: window}
}

// Sent records n bytes that were handed to the link, and their acknowledgement by the other side.
func (m *Meter) Sent(now time.Time, n int) { m.add(now, packetOverhead/2, onWire(n)) }

// Received records n bytes that were received, and their acknowledgement.
func (m *Meter) Received(now time.Time, n int) { m.add(now, onWire(n), packetOverhead/2) }

func (m *Meter) add(now time.Time, in, out float64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.in += in / m.window.Seconds()
	m.out += out / m.window.Seconds()
}

// decay reduces the averages for the time since the last call.
func (m *Meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / m.window.Seconds())
		m.in, m.out, m.at = m.in*left, m.out*left, now
	}
}

// Utilization returns the used fraction of the link's rate.
func (m *Meter) Utilization(now time.Time) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return max(m.in, m.out) / m.rate
}
