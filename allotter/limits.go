package allotter

import (
	"math"
	"time"
)

// limit is a bound that a claim stated at a moment: its ceiling rises by slope tokens a
// second after BoundRest.
type limit struct {
	ceiling, slope int64
	at             time.Time
}

// maxLimits is how many limits are held before the oldest two become one.
const maxLimits = 16

// keepTo adds a limit. Two that become one are both kept to by it.
func (p *Purse) keepTo(l limit) {
	p.limits = append(p.limits, l)
	if len(p.limits) <= maxLimits {
		return
	}
	a, b := p.limits[0], p.limits[1]
	if b.at.Before(a.at) {
		a.at, b.at = b.at, a.at
	}
	p.limits = p.limits[1:]
	p.limits[0] = limit{ceiling: min(a.ceiling, b.ceiling), slope: min(a.slope, b.slope), at: b.at}
}

// allowed is the most that may be used by a moment.
func (p *Purse) allowed(at time.Time) int64 {
	if !p.known {
		return 0
	}
	most := int64(math.MaxInt64)
	for _, l := range p.limits {
		most = min(most, bound(l.ceiling, l.slope, BoundRest, at.Sub(l.at)))
	}
	return most
}

// slope is the highest of the limits.
func (p *Purse) slope() int64 {
	var most int64
	for _, l := range p.limits {
		most = max(most, l.slope)
	}
	return most
}

// idle is the part of a bound that is there without demand, in tokens or in tokens a
// second.
func (p *Purse) idle(most int64) int64 {
	return most * boundRouters / max(p.routers, boundRouters)
}

// bounded is what may still be set aside within the limits.
func (p *Purse) bounded(now time.Time) int64 { return p.allowed(now) - p.used() }

// bound returns the most spent within a time after a claim.
func bound(ceiling, slope int64, rest, after time.Duration) int64 {
	return ceiling + int64(float64(slope)*max(after-rest, 0).Seconds())
}

// restOf returns the rest that a claim stated.
func restOf(ms int64) time.Duration {
	if ms == 0 {
		return defaultRest
	}
	return time.Duration(ms) * time.Millisecond
}

// Until returns how long it takes until the bound has risen far enough for n
// tokens, where the router holds as many. It returns false where it does not.
func (p *Purse) Until(now time.Time, n int64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || n > p.headroom() || !p.known {
		return 0, false
	}
	var out time.Duration
	for _, l := range p.limits {
		missing := n + p.used() - l.ceiling
		if missing > 0 && l.slope <= 0 {
			return 0, false
		}
		if missing > 0 {
			rises := time.Duration(float64(missing) / float64(l.slope) * float64(time.Second))
			out = max(out, l.at.Add(BoundRest+rises).Sub(now))
		}
	}
	return out, true
}
