package allotter

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

// Used returns the tokens that the bound known to keepers must cover.
func (p *Allocation) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used()
}

// Loss is the tokens of one allocation that count as spent beyond what was spent, by cause.
type Loss struct{ Reservations, Ceiling, Rise, Idle, ClockMargin int64 }

// Sum returns the tokens of all causes.
func (l Loss) Sum() int64 { return l.Reservations + l.Ceiling + l.Rise + l.Idle + l.ClockMargin }

// LossAt splits by cause what counts as spent if the router's successor starts at a time.
func (p *Allocation) LossAt(at time.Time) Loss {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[len(p.limits)-1]
	allocated := p.granted - p.returned
	upTo := func(n int64) int64 { return min(max(n, p.used()), allocated) }
	out := Loss{Reservations: p.reserved}
	out.Ceiling = upTo(l.ceiling) - p.used()
	out.Rise = upTo(l.allowedAt(at)) - upTo(l.ceiling)
	out.ClockMargin = upTo(l.allowedAt(at.Add(clockTolerance))) - upTo(l.allowedAt(at))
	if p.demandRate(at) < 1 && p.reserved == 0 {
		return Loss{Idle: out.Sum()}
	}
	return out
}

// RestateRiseDelay makes the newest claim, c, state another rise delay, or none if ms is 0, and the
// router obey it.
func (p *Allocation) RestateRiseDelay(c *messenger.RightsClaim, ms int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.RestMs = ms
	p.limits[len(p.limits)-1].riseDelay = riseDelay(ms)
}

// AllowedAt returns the most tokens that may be used until a time.
func (p *Allocation) AllowedAt(at time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowedAt(at)
}
