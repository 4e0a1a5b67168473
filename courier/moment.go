package courier

import (
	"time"

	"golang.org/x/sys/unix"

	"rattanhoist.example/rattanhoist/messenger"
)

// moment returns now by the clocks of this VM.
func moment(now time.Time) *messenger.RightsMoment {
	var t unix.Timespec
	m := &messenger.RightsMoment{RouterMs: now.UnixMilli()}
	// Unlike the steady clock, this one counts the time of a suspended VM, so
	// that two processes can compare what they read. Without it the keepers
	// rely on other clocks.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err == nil {
		m.BootMs = t.Nano() / int64(time.Millisecond)
	}
	return m
}

// start is when an account began.
type start struct {
	time   time.Time
	moment *messenger.RightsMoment
}

func newStart() start {
	now := time.Now()
	return start{time: now, moment: moment(now)}
}

// at returns the moment of the start with its age.
func (s start) at(now time.Time) *messenger.RightsMoment {
	return &messenger.RightsMoment{
		RouterMs: s.moment.RouterMs, BootMs: s.moment.BootMs, AgeMs: now.Sub(s.time).Milliseconds(),
	}
}
