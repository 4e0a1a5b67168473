package shaper

import (
	"math"
	"sync"
	"time"
)

// Meter measures what part of a link's rate is used, in the direction that is used most. It
// is safe for concurrent use; a nil Meter measures nothing.
type Meter struct {
	// Rate is in bytes a second; window is over how much time it is averaged.
	rate   float64
	window time.Duration

	mu sync.Mutex
	// In and out are averages in bytes a second as of at.
	in, out float64
	at      time.Time
}

// NewMeter returns a meter of a link of so many bytes a second, averaged over a window; nil
// for 0, which is no limit.
func NewMeter(bytesPerSecond float64, window time.Duration) *Meter {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Meter{rate: bytesPerSecond, window: window}
}

// Sent records n bytes handed to the link, which are acknowledged by the other side.
func (m *Meter) Sent(now time.Time, n int) { m.add(now, packetOverhead/2, onWire(n)) }

// Received records n bytes that came in.
func (m *Meter) Received(now time.Time, n int) { m.add(now, onWire(n), packetOverhead/2) }

func (m *Meter) add(now time.Time, in, out float64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	m.in += in / m.window.Seconds()
	m.out += out / m.window.Seconds()
}

func (m *Meter) fade(now time.Time) {
	if gone := now.Sub(m.at); gone > 0 {
		left := math.Exp(-gone.Seconds() / m.window.Seconds())
		m.in, m.out, m.at = m.in*left, m.out*left, now
	}
}

// Utilization returns the used part of the link's rate.
func (m *Meter) Utilization(now time.Time) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	return max(m.in, m.out) / m.rate
}
