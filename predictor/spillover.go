package predictor

import (
	"time"
)

const (
	// spilloverRange is the difference between the fullness of two zones from which work crosses at
	// the lowest cost. Utilizations of zones have to stay within 0.15 of each other; about half of
	// that is margin for reports that are late.
	spilloverRange = 0.07
	// minCrossZoneCost is the lowest cost of another zone, a tenth of the random noise of costs: the own
	// zone is preferred where all else is equal. An endpoint of 12 slots that is half full differs from
	// an idle one by 2 ms, so that a floor of 1 ms would keep the zones 0.18 apart. The transfer time
	// to the other zone is part of the measured first events and their corrections.
	minCrossZoneCost = 200 * time.Microsecond
)

// crossings holds the cost of each other zone for one request.
type crossings struct {
	// full is the cost without reports, or between zones that are equally full.
	full time.Duration
	// here is the fullness of the router's own zone. It is known unless reports is nil.
	here    float64
	reports *loadReports
	service uint32
	now     time.Time
	known   []zoneCost
}

// zoneCost is the cost of a zone.
type zoneCost struct {
	zone string
	cost time.Duration
}

// crossings returns the costs of other zones for a request.
func (t *Table) crossings(now time.Time, a Request) *crossings {
	c := &crossings{full: crossZoneCost(a.Prompt), now: now}
	if t.reports == nil {
		return c
	}
	c.service = hashName(a.Service)
	if here, known := t.reports.fullness(now, roomKey{t.zone, c.service}); known {
		c.here, c.reports = here, t.reports
	}
	return c
}

// cost returns the cost of sending the request to a zone.
func (c *crossings) cost(zone string) time.Duration {
	if c.reports == nil {
		return c.full
	}
	for _, k := range c.known {
		if k.zone == zone {
			return k.cost
		}
	}
	cost := c.full
	if there, known := c.reports.fullness(c.now, roomKey{zone, c.service}); known {
		cost = spilloverCost(c.full, c.here-there)
	}
	c.known = append(c.known, zoneCost{zone, cost})
	return cost
}

// spilloverCost returns the cost of a zone that is less full than the own one by a difference. It
// falls in proportion, because work would move back and forth at a threshold.
func spilloverCost(full time.Duration, difference float64) time.Duration {
	part := min(max(difference/spilloverRange, 0), 1)
	return max(scaled(full, 1-part), minCrossZoneCost)
}

// fullness returns the averaged fullness of a zone, and whether it is known.
func (r *loadReports) fullness(now time.Time, k roomKey) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.rooms[k]
	if room == nil || now.Sub(room.at) >= observationTTL {
		return 0, false
	}
	return room.fullness, true
}
