package courier

import (
	"time"

	"golang.org/x/sys/unix"

	"rattanhoist.example/rattanhoist/messenger"
)

// rightsMoment returns the current time by the wall clock and the boot clock of this VM.
func rightsMoment(now time.Time) *messenger.RightsMoment {
	var t unix.Timespec
	m := &messenger.RightsMoment{RouterMs: now.UnixMilli()}
	// Unlike the monotonic clock, the boot clock includes the time for which a VM was
	// suspended, so its readings can be compared between processes. If it can't be read,
	// the keepers rely on other clocks.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err == nil {
		m.BootMs = t.Nano() / int64(time.Millisecond)
	}
	return m
}

// accountStart is when a rights account was opened.
type accountStart struct {
	opened time.Time
	moment *messenger.RightsMoment
}

// newAccountStart returns the current time as the start of an account.
func newAccountStart() accountStart {
	now := time.Now()
	return accountStart{opened: now, moment: rightsMoment(now)}
}

// momentAt returns the opening time together with its age.
func (s accountStart) momentAt(now time.Time) *messenger.RightsMoment {
	return &messenger.RightsMoment{
		RouterMs: s.moment.RouterMs, BootMs: s.moment.BootMs, AgeMs: now.Sub(s.opened).Milliseconds(),
	}
}
