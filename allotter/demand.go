package allotter

import (
	"math"
	"time"
)

// recordDemand adds a request for n tokens to the demand.
func (p *Allocation) recordDemand(now time.Time, n int64) {
	if p.demandRate(now) < 1 {
		p.demandSince = now
	}
	p.meanDemand += float64(n) / demandWindow.Seconds()
}

// demandRate returns the demand in tokens per second. The average over demandWindow alone would
// take that long to reflect new demand. Dividing by the part of the window that has elapsed since
// the demand began reflects it after minDemandTime.
func (p *Allocation) demandRate(now time.Time) float64 {
	if elapsed := now.Sub(p.meanDemandAt); elapsed > 0 {
		p.meanDemand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		p.meanDemandAt = now
	}
	return p.demandRateOver(now, minDemandTime)
}

// servedRate returns the demand rate for a bound, without the waiting requests: the bound leaves
// room for them in full. Claims are sent when requests wait, so counting these twice would make
// most ceilings too high.
func (p *Allocation) servedRate(now time.Time) float64 {
	waiting := float64(p.waitingDemand) / demandWindow.Seconds()
	return max(p.meanDemand-waiting, 0) / p.windowPart(now, minBoundDemandTime)
}

// demandRateOver returns the demand rate, assuming that demand began at least minTime ago.
func (p *Allocation) demandRateOver(now time.Time, minTime time.Duration) float64 {
	return p.meanDemand / p.windowPart(now, minTime)
}

// windowPart returns the part of demandWindow's weight that falls in the time since demand began,
// or in minTime if that is longer.
func (p *Allocation) windowPart(now time.Time, minTime time.Duration) float64 {
	elapsed := max(now.Sub(p.demandSince), minTime)
	return 1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds())
}
