package allotter

import (
	"math"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// limit is the spending bound of one claim. It starts at ceiling and rises by slope tokens per
// second after riseDelay, which equals the rise delay in the claim.
type limit struct {
	ceiling, slope int64
	riseDelay      time.Duration
	statedAt       time.Time
}

// claimLimit returns the limit that a claim sent at sent states.
func claimLimit(c *messenger.RightsClaim, sent time.Time) limit {
	return limit{ceiling: c.Ceiling, slope: c.Slope, riseDelay: riseDelay(c.RestMs), statedAt: sent}
}

// allowedAt returns the most tokens that may be used until a time.
func (l limit) allowedAt(at time.Time) int64 {
	return spendingBound(l.ceiling, l.slope, l.riseDelay, at.Sub(l.statedAt))
}

// maxLimits is the number of limits that are kept before the oldest two are merged.
const maxLimits = 16

// addLimit adds a limit. If there are too many, it merges the oldest two into one that is at least
// as strict as both.
func (p *Allocation) addLimit(l limit) {
	p.limits = append(p.limits, l)
	if len(p.limits) <= maxLimits {
		return
	}
	a, b := p.limits[0], p.limits[1]
	if b.statedAt.Before(a.statedAt) {
		a.statedAt, b.statedAt = b.statedAt, a.statedAt
	}
	p.limits = p.limits[1:]
	p.limits[0] = limit{
		ceiling: min(a.ceiling, b.ceiling), slope: min(a.slope, b.slope), riseDelay: max(a.riseDelay, b.riseDelay), statedAt: b.statedAt,
	}
}

// allowedAt returns the most tokens that may be used until a time under all limits.
func (p *Allocation) allowedAt(at time.Time) int64 {
	if !p.answered {
		return 0
	}
	most := int64(math.MaxInt64)
	for _, l := range p.limits {
		most = min(most, l.allowedAt(at))
	}
	return most
}

// maxSlope returns the highest slope of the limits.
func (p *Allocation) maxSlope() int64 {
	var most int64
	for _, l := range p.limits {
		most = max(most, l.slope)
	}
	return most
}

// idleSlopePart returns one router's part of idleSlope, which more than idleHolders routers divide
// among themselves.
func idleSlopePart(holders int64) int64 {
	return idleSlope * idleHolders / max(holders, idleHolders)
}

// idleCeilingOf returns one router's ceiling without demand.
func idleCeilingOf(holders int64) int64 {
	if holders > idleHolders {
		return 0
	}
	return idleCeiling
}

// ceilingTime returns the time of demand for which a ceiling leaves room.
func ceilingTime(interval time.Duration) time.Duration {
	return max(min(interval+failedClaimTime, maxCeilingTime), interval+ceilingMargin)
}

// claimRiseDelay returns the rise delay that a claim sent now states.
func (p *Allocation) claimRiseDelay(now time.Time, interval time.Duration) time.Duration {
	if p.demandRateOver(now, minBoundDemandTime)*ceilingTime(interval).Seconds() < minBoundDemand {
		return interval + restartTime
	}
	return min(ceilingTime(interval)+maxPartitionStall, maxRiseDelay)
}

// remainingAllowed returns the tokens that the limits still allow to be reserved.
func (p *Allocation) remainingAllowed(now time.Time) int64 { return p.allowedAt(now) - p.used() }

// spendingBound returns the most tokens that a router may have spent, a given time after it sent
// the claim.
func spendingBound(ceiling, slope int64, riseDelay, sinceClaim time.Duration) int64 {
	return ceiling + int64(float64(slope)*max(sinceClaim-riseDelay, 0).Seconds())
}

// riseDelay returns the rise delay of a claim.
func riseDelay(ms int64) time.Duration {
	if ms == 0 {
		return defaultRiseDelay
	}
	return time.Duration(ms) * time.Millisecond
}

// TimeUntilAllowed returns how long it takes until the limits allow a request of n tokens. It
// returns false if the router does not hold that many, or if the limits will never allow them.
func (p *Allocation) TimeUntilAllowed(now time.Time, n int64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || n > p.headroom() || !p.answered {
		return 0, false
	}
	var out time.Duration
	for _, l := range p.limits {
		shortfall := n + p.used() - l.ceiling
		if shortfall > 0 && l.slope <= 0 {
			return 0, false
		}
		if shortfall > 0 {
			riseTime := time.Duration(float64(shortfall) / float64(l.slope) * float64(time.Second))
			out = max(out, l.statedAt.Add(l.riseDelay+riseTime).Sub(now))
		}
	}
	return out, true
}
