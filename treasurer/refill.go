package treasurer

import (
	"math"
	"time"

	"rattanhoist.example/rattanhoist"
)

// tick measures demand, then leases ahead of need or returns what idles.
func (a *Account) tick(now time.Time) []Action {
	a.measure(now)
	if a.pending() != nil {
		return a.resendDue(now)
	}
	left := a.slice.Left()
	if now.Sub(a.meter.lastUse) >= a.policy.IdleAfter {
		return a.rest(now, left)
	}
	a.lowMark.Store(int64(max(a.perSeconds(a.policy.LowHorizon), a.size*rattanhoist.Tokens(a.policy.LeaseAhead/2))))
	target := a.target()
	switch {
	case int64(left) < a.lowMark.Load():
		return a.refill(now, target-left)
	case left > target*rattanhoist.Tokens(a.policy.SurplusFactor):
		return a.giveBack(now, left-2*target)
	default:
		return nil
	}
}

// target is what the slice should hold beside requests in progress.
func (a *Account) target() rattanhoist.Tokens {
	return max(a.perSeconds(a.policy.Horizon), a.size*rattanhoist.Tokens(a.policy.LeaseAhead))
}

// refill leases in the background. It asks for no more than the zone can
// spare, so that only a request in need makes the keeper ask other zones.
func (a *Account) refill(now time.Time, want rattanhoist.Tokens) []Action {
	if a.refused != nil && now.Before(a.refusedUntil) {
		return nil
	}
	spare := rattanhoist.Tokens(float64(a.zoneLeft) * a.policy.ZoneFraction)
	if want = min(want, spare); want <= 0 {
		return nil
	}
	return a.startLease(now, want)
}

// rest returns everything of an idle slice, and ends it once it is empty.
func (a *Account) rest(now time.Time, left rattanhoist.Tokens) []Action {
	if left > 0 {
		return a.giveBack(now, left)
	}
	if a.slice.Reserved() > 0 {
		return nil
	}
	return []Action{Retire{}}
}

func (a *Account) measure(now time.Time) {
	m := &a.meter
	d := now.Sub(m.lastTick).Seconds()
	if d <= 0 {
		return
	}
	spent := a.slice.Spent()
	used := max(spent-m.lastSpent, 0) + m.unmet
	if used > 0 || a.slice.Reserved() > 0 {
		m.lastUse = now
	}
	weight := 1 - math.Exp(-d/a.policy.Smoothing.Seconds())
	m.rate += weight * (float64(used)/d - m.rate)
	m.lastTick, m.lastSpent, m.unmet = now, spent, 0
}
