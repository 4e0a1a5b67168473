package permitter

import "time"

// idleTTL is how long a ledger is kept after its last use.
const idleTTL = 10 * time.Second

// Coordinator grants permits for endpoints. It is not safe for concurrent use.
type Coordinator struct{ ledgers map[string]*ledger }

// NewCoordinator returns a coordinator that knows of no requests.
func NewCoordinator() *Coordinator { return &Coordinator{ledgers: map[string]*ledger{}} }

// Record records how many requests a router has at an endpoint.
func (c *Coordinator) Record(now time.Time, endpoint string, h Hold) {
	c.ledger(now, endpoint).record(now, h)
}

// RecordRejection records that an endpoint rejected a request at a time for want of room.
func (c *Coordinator) RecordRejection(now, at time.Time, endpoint string) {
	if l := c.ledger(now, endpoint); at.After(l.rejectedAt) {
		l.rejectedAt = at
	}
}

// Grant reports whether a router may send one more request to an endpoint with a number of slots and the
// newest known load, whose zero value stands for none. It records what the router states.
func (c *Coordinator) Grant(now time.Time, endpoint string, slots int, load Load, h Hold) bool {
	return c.ledger(now, endpoint).grant(now, slots, load, h)
}

func (c *Coordinator) ledger(now time.Time, endpoint string) *ledger {
	l := c.ledgers[endpoint]
	if l == nil {
		l = newLedger(now)
		c.ledgers[endpoint] = l
	}
	return l
}

// Sweep removes what is no longer needed.
func (c *Coordinator) Sweep(now time.Time) {
	for endpoint, l := range c.ledgers {
		if l.sweep(now); len(l.holders) == 0 && now.Sub(l.usedAt) >= idleTTL {
			delete(c.ledgers, endpoint)
		}
	}
}

// Endpoints returns the number of endpoints of which requests are known.
func (c *Coordinator) Endpoints() int { return len(c.ledgers) }

// Reset forgets everything, after a time in which statements of routers may have been missed.
func (c *Coordinator) Reset() { clear(c.ledgers) }
