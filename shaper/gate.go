package shaper

import (
	"math"
	"time"
)

const (
	// A router refuses new connections once the utilization of its link or processor is at least
	// gateUtilization and at least gateRatio times that of the other routers of its zone. It then
	// admits as many as keep the utilization at gateTarget, below which callers notice no delay.
	gateUtilization = 0.8
	gateTarget      = 0.7
	gateRatio       = 1.5
	// gateGain is how much of the difference to gateTarget one update corrects. Utilizations are
	// averaged over several updates.
	gateGain = 0.25
	// minAdmitted keeps the router open enough to notice that the crowd has gone.
	minAdmitted = 0.02
	// gateInterval is the time between two updates.
	gateInterval = 100 * time.Millisecond
)

// Load is the utilization of a router's network link and processor.
type Load struct{ Link, Processor float64 }

// Gate refuses a part of the new connections of a router that is much busier than the others in its
// zone. The platform may hand most new connections to one router, for instance while its hash is
// skewed; callers whose connection is closed before anything was read try again at another one. It
// is not safe for concurrent use.
type Gate struct {
	// Admitted is the admitted fraction of new connections if refusing is set.
	admitted float64
	refusing bool
	at       time.Time
}

// Update records the load of this router and of its zone.
func (g *Gate) Update(now time.Time, own Load, zone ZoneLoad) {
	if now.Sub(g.at) < gateInterval {
		return
	}
	g.at = now
	others := zone.others(own)
	busiest := max(excess(own.Link, others.Link), excess(own.Processor, others.Processor))
	switch {
	case !g.refusing && (zone.Routers < 2 || busiest < gateUtilization):
		return
	case !g.refusing:
		g.refusing, g.admitted = true, 1
	case zone.Routers < 2 || busiest == 0 && max(own.Link, own.Processor) >= gateTarget:
		// The others are as busy: another router would serve these callers no better.
		g.refusing = false
		return
	}
	use := max(busiest, own.Link, own.Processor, minAdmitted)
	g.admitted = min(max(g.admitted*math.Pow(gateTarget/use, gateGain), minAdmitted), 1)
	if g.admitted == 1 && use < gateTarget {
		g.refusing = false
	}
}

// excess returns the utilization if it is well above that of the other routers, and 0 otherwise.
func excess(own, others float64) float64 {
	if own < gateRatio*others {
		return 0
	}
	return own
}

// Admits reports whether a new connection is admitted, given a random number from 0 to 1.
func (g *Gate) Admits(random float64) bool { return !g.refusing || random < g.admitted }

// Refusing reports whether some new connections are refused.
func (g *Gate) Refusing() bool { return g.refusing }

// others returns the mean load of the other routers of the zone.
func (z ZoneLoad) others(own Load) Load {
	if z.Routers < 2 {
		return Load{}
	}
	n := float64(z.Routers)
	without := func(mean, own float64) float64 { return max(mean*n-own, 0) / (n - 1) }
	return Load{Link: without(z.Mean, own.Link), Processor: without(z.MeanProcessor, own.Processor)}
}
