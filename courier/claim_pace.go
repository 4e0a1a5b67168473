package courier

import (
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/allotter"
)

// statedIntervalTTL is how long an interval that keepers stated is used after the last reply: longer
// than two claims at the longest interval, so that one lost reply changes nothing.
const statedIntervalTTL = 5 * time.Second

// claimPace holds the claim interval that keepers stated last. It is safe for concurrent use.
type claimPace struct {
	// Ignored is set if the interval follows the number of routers alone.
	ignored bool

	mu       sync.Mutex
	interval time.Duration
	statedAt time.Time
}

// observe records the interval in a reply; 0 if the keeper states none.
func (c *claimPace) observe(now time.Time, ms int64) {
	interval := time.Duration(ms) * time.Millisecond
	if ms < 0 || ms > allotter.MaxClaimInterval.Milliseconds() || ms > 0 && interval < allotter.MinClaimInterval {
		claimIntervalsDropped.Inc()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interval, c.statedAt = interval, now
}

// current returns the interval to use now: what keepers stated recently, or initial.
func (c *claimPace) current(now time.Time, initial time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ignored || c.interval == 0 || now.Sub(c.statedAt) > statedIntervalTTL {
		return initial
	}
	return c.interval
}
