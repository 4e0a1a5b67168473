package picker

import "time"

// reported is the share of the capacity in use: the endpoint's own report, or
// this router's requests where they are more, since reports come late.
func (c *Candidate) reported() float64 {
	return max(float64(c.stats.inFlight.Load()), float64(c.endpoint.Load())) / c.capacity
}

// reportHalf is the age at which a load report counts half.
const reportHalf = 500 * time.Millisecond

// work estimates the requests in progress at the endpoint, of all routers:
// this router's own count is exact; what the last report says beyond it is
// discounted by its age, so that the older the report, the more the own
// count weighs.
func (c *Candidate) work(now time.Duration) float64 {
	own := float64(c.stats.inFlight.Load())
	guess := own * c.stats.service.othersPerOwn.value(0)
	reported := max(0, c.stats.others.value(guess))
	age := max(0, now-time.Duration(c.stats.reportAt.Load()))
	trust := float64(reportHalf) / float64(reportHalf+age)
	return own + guess + trust*(reported-guess)
}
