package shaper

import "time"

const (
	// maxLag is the longest process lag at which requests are admitted. Each request waits for the
	// processor several times.
	maxLag = 40 * time.Millisecond
	// A link utilization above maxUtilization, averaged over recentWindow in the busier direction,
	// is an overload.
	maxUtilization = 0.95
	recentWindow   = 250 * time.Millisecond
	// maxOptionalUtilization is the highest utilization at which optional traffic is sent.
	maxOptionalUtilization = 0.6
	// maxOrdinaryDelay is the longest delay on the VM itself that is not an overload.
	maxOrdinaryDelay = 100 * time.Millisecond
	// loadWindow is the window over which routers average the load that they report to each other.
	loadWindow = 600 * time.Millisecond
)

// Admission decides which requests a VM accepts, by the queueing delay at its network link and its
// processor. It is safe for concurrent use.
type Admission struct {
	link *Link
	// Recent and load measure the link over recentWindow and loadWindow.
	recent, load *Meter
	lag          *Lag
}

// NewAdmission returns the admission of a VM whose link carries bytesPerSecond, or 0 for no limit,
// and of a process whose lag is measured by lag.
func NewAdmission(bytesPerSecond float64, lag *Lag) *Admission {
	return &Admission{
		link: NewLink(bytesPerSecond), recent: NewMeter(bytesPerSecond, recentWindow), load: NewMeter(bytesPerSecond, loadWindow), lag: lag,
	}
}

// Admit reports whether a request with a body of n bytes may be accepted.
func (a *Admission) Admit(now time.Time, n int64) bool {
	return a.lag.Value() <= maxLag && a.link.Admit(now, n)
}

// Overloaded reports whether this VM delays work so much that failed connections say nothing about
// the other side.
func (a *Admission) Overloaded(now time.Time) bool {
	return a.recent.Utilization(now) > maxUtilization || a.Delay(now) > maxOrdinaryDelay
}

// AdmitOptional reports whether n bytes of optional traffic may be sent, and records them if so.
func (a *Admission) AdmitOptional(now time.Time, n int) bool {
	if a.recent.Utilization(now) > maxOptionalUtilization || !a.link.AdmitOptional(now, n) {
		return false
	}
	a.eachMeter(func(m *Meter) { m.Sent(now, n) })
	return true
}

// Delay returns the total queueing delay at the link and the processor.
func (a *Admission) Delay(now time.Time) time.Duration { return a.link.Delay(now) + a.lag.Value() }

// Utilization returns the used fraction of the link's rate.
func (a *Admission) Utilization(now time.Time) float64 { return a.load.Utilization(now) }

// Sent records n bytes that were handed to the link.
func (a *Admission) Sent(now time.Time, n int) {
	a.link.Sent(now, n)
	a.eachMeter(func(m *Meter) { m.Sent(now, n) })
}

// Received records n bytes that were received.
func (a *Admission) Received(now time.Time, n int) {
	a.eachMeter(func(m *Meter) { m.Received(now, n) })
}

func (a *Admission) eachMeter(f func(*Meter)) {
	f(a.recent)
	f(a.load)
}
