package shaper

import "time"

const (
	// shedUtilization of its link makes a router move callers away, if that is at least
	// shedRatio times the mean of its zone.
	shedUtilization = 0.75
	shedRatio       = 1.5
	// shedDelay is how long the utilization must last.
	shedDelay = 200 * time.Millisecond
	// closeDelay after it has stopped being ready, a router closes connections: by then the
	// platform sends new ones elsewhere.
	closeDelay = 2 * time.Second
	// minShedding is how long a router is not ready for the first time. Each time that it
	// sheds again within as long as it last did, it is not ready for twice as long, up to
	// maxShedding.
	minShedding = 5 * time.Second
	maxShedding = 40 * time.Second
	// minServing is the least time between two sheddings.
	minServing = time.Second
	// maxSheddingPart bounds the routers of a zone that shed at a time.
	maxSheddingPart = 0.125
)

// ZoneLoad is the load of the routers of an availability zone.
type ZoneLoad struct {
	// Mean is the mean utilization of their links.
	Mean float64
	// Routers is their number, Shedding that of those that shed callers.
	Routers, Shedding int
}

// Shedder moves callers away from a router whose link is much busier than those of its zone:
// the platform spreads callers over routers by a hash, and open connections stay where they
// are. The router stops being ready, closes connections once new ones go elsewhere, and is
// ready again after a time that grows while its callers overload it whenever it is. It is not
// safe for concurrent use.
type Shedder struct {
	shedding bool
	// Duration is of the current or last shedding.
	duration time.Duration
	// At is when the state changed, busySince since when the link has been busy; zero if it is
	// not.
	at, busySince time.Time
}

// Step takes in the utilization of the link.
func (s *Shedder) Step(now time.Time, utilization float64, zone ZoneLoad) {
	if s.shedding {
		if now.Sub(s.at) >= s.duration {
			s.shedding, s.at, s.busySince = false, now, time.Time{}
		}
		return
	}
	if utilization < shedUtilization || utilization < shedRatio*zone.Mean || zone.Routers == 0 {
		s.busySince = time.Time{}
		return
	}
	if s.busySince.IsZero() {
		s.busySince = now
	}
	full := float64(zone.Shedding) >= max(maxSheddingPart*float64(zone.Routers), 1)
	if now.Sub(s.busySince) < shedDelay || full || !s.at.IsZero() && now.Sub(s.at) < minServing {
		return
	}
	next := minShedding
	if !s.at.IsZero() && now.Sub(s.at) < s.duration {
		next = min(2*s.duration, maxShedding)
	}
	s.shedding, s.duration, s.at = true, next, now
}

// Shedding reports whether new callers should go to other routers.
func (s *Shedder) Shedding() bool { return s.shedding }

// Closing reports whether connections should be closed.
func (s *Shedder) Closing(now time.Time) bool { return s.shedding && now.Sub(s.at) >= closeDelay }
