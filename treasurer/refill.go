package treasurer

import (
	"math"
	"time"

	"rattanhoist.example/rattanhoist"
)

// handleTick updates the demand, then leases ahead of need or returns unused
// rights.
func (a *Account) handleTick(now time.Time) []Action {
	a.measureDemand(now)
	if a.openCall() != nil {
		return a.resendDue(now)
	}
	left := a.slice.Available()
	if now.Sub(a.meter.lastUse) >= a.policy.IdleAfter {
		return a.returnIdle(now, left)
	}
	a.lowMark.Store(int64(max(a.demandOver(a.policy.LowHorizon), a.requestSize*rattanhoist.Tokens(a.policy.LeaseAhead/2))))
	target := a.target()
	switch {
	case int64(left) < a.lowMark.Load():
		return a.refill(now, target-left)
	case left > target*rattanhoist.Tokens(a.policy.SurplusFactor):
		return a.startReturn(now, left-2*target)
	default:
		return nil
	}
}

// target returns the number of unreserved tokens that the slice should hold.
func (a *Account) target() rattanhoist.Tokens {
	return max(a.demandOver(a.policy.Horizon), a.requestSize*rattanhoist.Tokens(a.policy.LeaseAhead))
}

// refill starts a background lease. It is limited to what the zone can spare,
// so that only a waiting request makes the keeper call other zones.
func (a *Account) refill(now time.Time, want rattanhoist.Tokens) []Action {
	if a.lastShortage != nil && now.Before(a.shortageUntil) {
		return nil
	}
	spare := rattanhoist.Tokens(float64(a.zoneLeft) * a.policy.ZoneFraction)
	if want = min(want, spare); want <= 0 {
		return nil
	}
	return a.startLease(now, want)
}

// returnIdle returns all rights of an idle slice, and retires the account
// once it is empty.
func (a *Account) returnIdle(now time.Time, left rattanhoist.Tokens) []Action {
	if left > 0 {
		return a.startReturn(now, left)
	}
	if a.slice.Reserved() > 0 {
		return nil
	}
	return []Action{Retire{}}
}

// measureDemand updates the moving average of demand.
func (a *Account) measureDemand(now time.Time) {
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
