package shaper

import "time"

const (
	// A router sheds callers if its link's utilization is at least shedUtilization and at least
	// shedRatio times the mean of its zone.
	shedUtilization = 0.75
	shedRatio       = 1.5
	// shedDelay is how long the utilization must stay that high.
	shedDelay = 200 * time.Millisecond
	// closeDelay is the time from the end of readiness until a router closes connections. By then
	// the platform sends new connections elsewhere.
	closeDelay = 2 * time.Second
	// minShedding is the duration of the first shedding, during which the router is not ready. If
	// it sheds again within the duration of the previous shedding, the duration doubles, up to
	// maxShedding.
	minShedding = 5 * time.Second
	maxShedding = 40 * time.Second
	// minReadyTime is the minimum time between two sheddings.
	minReadyTime = time.Second
	// maxSheddingFraction limits how many routers of a zone shed at the same time.
	maxSheddingFraction = 0.125
)

// ZoneLoad describes the load of the routers of an availability zone.
type ZoneLoad struct {
	// Mean is the mean utilization of their links, and MeanProcessor that of their processors.
	Mean, MeanProcessor float64
	// Routers is the number of routers, and Shedding the number of those that shed callers.
	Routers, Shedding int
}

// Shedder moves callers away from a router whose link is much busier than the others in its zone.
// The platform distributes callers over routers by a hash, and open connections stay where they
// are. The router stops being ready, closes connections once new ones go elsewhere, and becomes
// ready again after a time that grows if its callers overload it each time. It is not safe for
// concurrent use.
type Shedder struct {
	shedding bool
	// Duration is that of the current or last shedding.
	duration time.Duration
	// ChangedAt is when the state last changed. BusySince is when the link became busy, or zero if
	// it is not.
	changedAt, busySince time.Time
}

// Update records the utilization of the link and starts or ends shedding.
func (s *Shedder) Update(now time.Time, utilization float64, zone ZoneLoad) {
	if s.shedding {
		if now.Sub(s.changedAt) >= s.duration {
			s.shedding, s.changedAt, s.busySince = false, now, time.Time{}
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
	full := float64(zone.Shedding) >= max(maxSheddingFraction*float64(zone.Routers), 1)
	if now.Sub(s.busySince) < shedDelay || full || !s.changedAt.IsZero() && now.Sub(s.changedAt) < minReadyTime {
		return
	}
	next := minShedding
	if !s.changedAt.IsZero() && now.Sub(s.changedAt) < s.duration {
		next = min(2*s.duration, maxShedding)
	}
	s.shedding, s.duration, s.changedAt = true, next, now
}

// Shedding reports whether new callers should use other routers.
func (s *Shedder) Shedding() bool { return s.shedding }

// Closing reports whether connections should be closed.
func (s *Shedder) Closing(now time.Time) bool {
	return s.shedding && now.Sub(s.changedAt) >= closeDelay
}
