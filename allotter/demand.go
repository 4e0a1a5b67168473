package allotter

import (
	"math"
	"time"
)

// demand notes n tokens asked for.
func (p *Purse) demand(now time.Time, n int64) {
	if p.rate(now) < 1 {
		p.rateFrom = now
	}
	p.mean += float64(n) / rateWindow.Seconds()
}

// rate is the demand in tokens a second. A mean over a window takes as long as
// the window to show demand that begins; divided by the part of it that has
// been seen, it shows it after rateLeast.
func (p *Purse) rate(now time.Time) float64 {
	if gone := now.Sub(p.meanAt); gone > 0 {
		p.mean *= math.Exp(-gone.Seconds() / rateWindow.Seconds())
		p.meanAt = now
	}
	return p.rateSeen(now, rateLeast)
}

// rateSeen is the rate reckoned from so long a time at least.
func (p *Purse) rateSeen(now time.Time, least time.Duration) float64 {
	seen := max(now.Sub(p.rateFrom), least)
	return p.mean / (1 - math.Exp(-seen.Seconds()/rateWindow.Seconds()))
}
