package rattanhoist

import "time"

// maxClockDrift is the accepted difference between the times that passed on the
// monotonic and on the wall clock. The small adjustments that keep the wall clock
// synchronized are far below it.
const maxClockDrift = 500 * time.Millisecond

// processStart is the zero point of this process's monotonic readings.
var processStart = time.Now()

// Moment is a simultaneous reading of the monotonic and the wall clock. The wall clock
// jumps when it is set, and the monotonic clock may stop while a VM is suspended.
// Either clock alone could make an old announcement look recent.
type Moment struct {
	monotonic time.Duration
	// Wall is the time since 1970, the Unix epoch.
	wall time.Duration
}

// MomentOf converts a time from time.Now, which has both readings, to a Moment.
func MomentOf(t time.Time) Moment {
	return Moment{monotonic: t.Sub(processStart), wall: time.Duration(t.UnixNano())}
}

// NewMoment returns a Moment with the given readings.
func NewMoment(monotonic, wall time.Duration) Moment { return Moment{monotonic: monotonic, wall: wall} }

// Monotonic returns the reading of the monotonic clock, as time since the process start.
func (m Moment) Monotonic() time.Duration { return m.monotonic }

// Wall returns the reading of the wall clock, as time since 1970.
func (m Moment) Wall() time.Duration { return m.wall }

// Add returns the moment that is d later on both clocks.
func (m Moment) Add(d time.Duration) Moment {
	return Moment{monotonic: m.monotonic + d, wall: m.wall + d}
}

// IsZero reports whether the moment is unset. An unset moment is before every other.
func (m Moment) IsZero() bool { return m == Moment{} }

// Before reports whether m is earlier than n on the monotonic clock.
func (m Moment) Before(n Moment) bool {
	if m.IsZero() || n.IsZero() {
		return m.IsZero() && !n.IsZero()
	}
	return m.monotonic < n.monotonic
}

// Since returns the time elapsed since an earlier moment, the greater of both clocks.
// It returns false if the clocks differ by more than maxClockDrift, because then
// neither can be trusted.
func (m Moment) Since(earlier Moment) (time.Duration, bool) {
	monotonic, wall := m.monotonic-earlier.monotonic, m.wall-earlier.wall
	if (monotonic - wall).Abs() > maxClockDrift {
		return max(monotonic, wall), false
	}
	return max(monotonic, wall), true
}

// Time returns the monotonic reading as a time that can be compared with time.Now.
func (m Moment) Time() time.Time { return processStart.Add(m.monotonic) }
