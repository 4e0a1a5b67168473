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

// demandRateOver returns the demand rate, assuming that demand began at least minTime ago.
func (p *Allocation) demandRateOver(now time.Time, minTime time.Duration) float64 {
	elapsed := max(now.Sub(p.demandSince), minTime)
	return p.meanDemand / (1 - math.Exp(-elapsed.Seconds()/demandWindow.Seconds()))
}
