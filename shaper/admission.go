package shaper

import "time"

const (
	// maxLag is the longest lag of the process at which requests are admitted: each request
	// waits for the processor several times.
	maxLag = 40 * time.Millisecond
	// maxUtilization of the link in the last recentWindow, in either direction, is the most that
	// is no overload.
	maxUtilization = 0.95
	recentWindow   = 250 * time.Millisecond
	// maxOptionalUtilization is the most at which optional traffic is sent.
	maxOptionalUtilization = 0.6
	// maxOrdinaryDelay is the longest delay of work by the VM itself that is not an overload.
	maxOrdinaryDelay = 100 * time.Millisecond
	// loadWindow is over how much time the load is averaged that routers tell each other.
	loadWindow = 600 * time.Millisecond
)

// Admission decides which requests a VM takes on, by what waits at its network link and its
// processor. It is safe for concurrent use.
type Admission struct {
	link *Link
	// Recent and load measure the link over recentWindow and loadWindow.
	recent, load *Meter
	lag          *Lag
}

// NewAdmission returns the admission of a VM whose link carries so many bytes a second, 0
// for no limit, and of a process whose lag is measured.
func NewAdmission(bytesPerSecond float64, lag *Lag) *Admission {
	return &Admission{
		link: New(bytesPerSecond), recent: NewMeter(bytesPerSecond, recentWindow), load: NewMeter(bytesPerSecond, loadWindow), lag: lag,
	}
}

// Admit reports whether a request with a body of n bytes may be taken on.
func (a *Admission) Admit(now time.Time, n int64) bool {
	return a.lag.Now() <= maxLag && a.link.Admit(now, n)
}

// Overloaded reports whether the VM itself delays work so much that connections it can't
// make tell nothing of the other side.
func (a *Admission) Overloaded(now time.Time) bool {
	return a.recent.Utilization(now) > maxUtilization || a.Delay(now) > maxOrdinaryDelay
}

// AdmitOptional reports whether n bytes that can be left out may be sent, and records them.
func (a *Admission) AdmitOptional(now time.Time, n int) bool {
	if a.recent.Utilization(now) > maxOptionalUtilization || !a.link.AdmitOptional(now, n) {
		return false
	}
	a.meters(func(m *Meter) { m.Sent(now, n) })
	return true
}

// Delay returns how long work is delayed by what waits at the link and the processor.
func (a *Admission) Delay(now time.Time) time.Duration { return a.link.Delay(now) + a.lag.Now() }

// Utilization returns the used part of the link's rate.
func (a *Admission) Utilization(now time.Time) float64 { return a.load.Utilization(now) }

// Sent records n bytes that were handed to the link.
func (a *Admission) Sent(now time.Time, n int) {
	a.link.Sent(now, n)
	a.meters(func(m *Meter) { m.Sent(now, n) })
}

// Received records n bytes that came in.
func (a *Admission) Received(now time.Time, n int) {
	a.meters(func(m *Meter) { m.Received(now, n) })
}

func (a *Admission) meters(f func(*Meter)) {
	f(a.recent)
	f(a.load)
}
