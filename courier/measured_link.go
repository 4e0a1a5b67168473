package courier

import (
	"time"

	"rattanhoist.example/rattanhoist/shaper"
)

// measuredLink is the router's network link as the pool of connections to endpoints sees it: with the queue of what it
// receives, as far as that was measured. In a partition nothing is.
type measuredLink struct {
	*shaper.Admission
	roundTrips *shaper.RoundTrips
}

// Delay returns the delay caused by the load of the link and the processor.
func (l measuredLink) Delay(now time.Time) time.Duration {
	return l.Admission.Delay(now) + l.roundTrips.Measured(now)
}
