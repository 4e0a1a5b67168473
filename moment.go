package rattanhoist

import "time"

// clockTolerance is how far the steady and the wall clock may drift apart
// between two readings; adjustments that keep the wall clock right are far
// below it.
const clockTolerance = 500 * time.Millisecond

// processStart is where this process's steady clock begins.
var processStart = time.Now()

// Moment is one reading of the steady and of the wall clock. The wall clock
// jumps when it is set; the steady one may stand still while a VM is
// suspended. Either alone would make an old announcement look fresh.
type Moment struct {
	steady time.Duration
	// Wall is the time since 1970.
	wall time.Duration
}

// MomentOf returns both readings of a time from time.Now.
func MomentOf(t time.Time) Moment {
	return Moment{steady: t.Sub(processStart), wall: time.Duration(t.UnixNano())}
}

// NewMoment returns a moment from two readings.
func NewMoment(steady, wall time.Duration) Moment { return Moment{steady: steady, wall: wall} }

// Steady returns the reading of the steady clock.
func (m Moment) Steady() time.Duration { return m.steady }

// Wall returns the reading of the wall clock since 1970.
func (m Moment) Wall() time.Duration { return m.wall }

// Add returns the moment d later by both clocks.
func (m Moment) Add(d time.Duration) Moment {
	return Moment{steady: m.steady + d, wall: m.wall + d}
}

// IsZero reports whether the moment is unset; it is before every other.
func (m Moment) IsZero() bool { return m == Moment{} }

// Before reports whether m is earlier by the steady clock.
func (m Moment) Before(n Moment) bool {
	if m.IsZero() || n.IsZero() {
		return m.IsZero() && !n.IsZero()
	}
	return m.steady < n.steady
}

// Since returns the time since an earlier moment. It reports false when the
// clocks disagree: then neither is to be trusted.
func (m Moment) Since(earlier Moment) (time.Duration, bool) {
	steady, wall := m.steady-earlier.steady, m.wall-earlier.wall
	if (steady - wall).Abs() > clockTolerance {
		return max(steady, wall), false
	}
	return max(steady, wall), true
}

// Time returns the moment for comparisons with time.Now.
func (m Moment) Time() time.Time { return processStart.Add(m.steady) }
