package picker

import "time"

// reportedLoad returns the fraction of the capacity in use: the load that the
// endpoint reported, or this router's own requests if they are more, because
// reports arrive late.
func (c *Candidate) reportedLoad() float64 {
	return max(float64(c.stats.inFlight.Load()), float64(c.endpoint.Load())) / c.capacity
}

// reportHalfLife is the age at which a load report has half its weight.
const reportHalfLife = 500 * time.Millisecond

// estimatedInFlight estimates the requests of all routers in progress at the
// endpoint. This router's own count is exact. The requests of other routers are
// estimated from load reports and, with the age of the last report, increasingly
// from the own count and the ratio of the other routers' requests to it.
func (c *Candidate) estimatedInFlight(now time.Duration) float64 {
	own := float64(c.stats.inFlight.Load())
	guess := own * c.stats.service.othersPerOwn.value(0)
	reported := max(0, c.stats.others.value(guess))
	age := max(0, now-time.Duration(c.stats.reportAt.Load()))
	trust := float64(reportHalfLife) / float64(reportHalfLife+age)
	return own + guess + trust*(reported-guess)
}
