// Package permitter bounds the requests that all routers together have at an endpoint which limits
// rejections. One router coordinates the endpoint: it knows how many requests each router has there,
// and grants a permit for each new one. It is a pure core without clock or network.
package permitter

import "time"

const (
	// HoldTTL is how long the requests of a router count after it last stated them. Routers state them
	// several times in that time.
	HoldTTL = 2 * time.Second
	// LoadTTL is how long a reported load is used.
	LoadTTL = time.Second
	// flightTime is how far apart the grant or the end of a request here and its arrival or end at the
	// endpoint may be.
	flightTime = 50 * time.Millisecond
	// rejectionPause is how long an endpoint gets no new requests after it has rejected one, unless it
	// has reported its load with the rejection or since: it holds more than is known.
	rejectionPause = time.Second
	// 1/reserveDivisor of the slots stay free for requests that the coordinator does not know of, such
	// as those that an endpoint goes on with after their callers have left.
	reserveDivisor = 8
	// unknownDivisor is the part of the slots that a new coordinator uses while it knows neither a load
	// nor yet the requests of all routers.
	unknownDivisor = 4
)

// Hold is the number of requests that a router has at an endpoint.
type Hold struct {
	Router string
	// Process identifies one run of the router, and Sequence increases with each statement of it.
	Process, Sequence uint64
	// Requests includes the one that a permit is asked for.
	Requests int
}

// Load is what an endpoint last reported, with the requests that wait there.
type Load struct {
	Requests int
	At       time.Time
}

// holder is the last statement of a router.
type holder struct {
	Hold
	at time.Time
}

// change is a change of the number of requests that routers have stated.
type change struct {
	at    time.Time
	delta int
}

// ledger holds the requests at one endpoint.
type ledger struct {
	// since is when the coordinator began to receive the statements of routers, without a gap, and
	// usedAt when it last received one.
	since, usedAt time.Time
	holders       map[string]holder
	// changes holds the recent ones in their order.
	changes    []change
	rejectedAt time.Time
}

func newLedger(now time.Time) *ledger { return &ledger{since: now, holders: map[string]holder{}} }

// Limit returns the number of requests that routers may have together at an endpoint with a number of
// slots.
func Limit(slots int) int { return max(slots-reserve(slots), 1) }

// reserve returns how many of the slots stay free.
func reserve(slots int) int { return (slots + reserveDivisor - 1) / reserveDivisor }

// use records that a statement was received. After a time without any, another router may have
// coordinated.
func (l *ledger) use(now time.Time) {
	if now.Sub(l.usedAt) >= HoldTTL/2 {
		l.since = now
	}
	l.usedAt = now
}

// settled reports whether all routers have had the time to state their requests.
func (l *ledger) settled(now time.Time) bool { return now.Sub(l.since) >= HoldTTL }

// outdated reports whether a later statement of the same process is known.
func (l *ledger) outdated(h Hold) bool {
	known, ok := l.holders[h.Router]
	return ok && known.Process == h.Process && h.Sequence <= known.Sequence
}

// record replaces the statement of a router, unless a later one is known.
func (l *ledger) record(now time.Time, h Hold) {
	l.use(now)
	if l.outdated(h) {
		return
	}
	l.addChange(now, h.Requests-l.requests(now, h.Router))
	l.holders[h.Router] = holder{h, now}
}

// grant records the statement of a router that asks for a permit, and reports whether it gets one.
func (l *ledger) grant(now time.Time, slots int, load Load, h Hold) bool {
	l.use(now)
	if l.outdated(h) {
		// A later statement included the request.
		return l.requests(now, h.Router) >= h.Requests
	}
	granted := l.fits(now, slots, load, h)
	if !granted {
		h.Requests--
	}
	l.record(now, h)
	return granted
}

// fits reports whether there is room for the requests that a router states.
func (l *ledger) fits(now time.Time, slots int, load Load, h Hold) bool {
	if now.Sub(l.rejectedAt) < rejectionPause && load.At.Before(l.rejectedAt.Add(-flightTime)) {
		return false
	}
	held, most := l.total(now)-l.requests(now, h.Router)+h.Requests, Limit(slots)
	known := !load.At.IsZero() && now.Sub(load.At) < LoadTTL
	if known {
		held += l.unstated(now, load)
	}
	switch {
	case l.settled(now):
		return held <= most
	case known:
		// Another coordinator may have granted permits since the report.
		return held <= max(most-reserve(slots), 1)
	}
	return held <= max(most/unknownDivisor, 1)
}

// total returns the requests of all routers.
func (l *ledger) total(now time.Time) int {
	n := 0
	for router := range l.holders {
		n += l.requests(now, router)
	}
	return n
}

// unstated returns how many requests an endpoint reported beyond those that routers had there about the
// time of the report. They go on although their callers have left, are of routers that ask no one, or
// were granted by another coordinator.
func (l *ledger) unstated(now time.Time, load Load) int {
	begin, end := load.At.Add(-flightTime), load.At.Add(flightTime)
	total, most := l.total(now), 0
	until := now
	for i := len(l.changes) - 1; i >= 0 && !until.Before(begin); i-- {
		if c := l.changes[i]; !c.at.After(end) {
			most = max(most, total)
		}
		total -= l.changes[i].delta
		until = l.changes[i].at
	}
	if !until.Before(begin) {
		most = max(most, total)
	}
	return max(load.Requests-most, 0)
}

// requests returns the requests of a router that count.
func (l *ledger) requests(now time.Time, router string) int {
	h, ok := l.holders[router]
	if !ok || now.Sub(h.at) >= HoldTTL {
		return 0
	}
	return h.Requests
}

// addChange records a change, and forgets those that are older than any usable load.
func (l *ledger) addChange(now time.Time, delta int) {
	if delta == 0 {
		return
	}
	i := 0
	for i < len(l.changes) && now.Sub(l.changes[i].at) > LoadTTL+flightTime {
		i++
	}
	l.changes = append(l.changes[i:], change{now, delta})
}

// sweep removes the statements that no longer count.
func (l *ledger) sweep(now time.Time) {
	for router, h := range l.holders {
		if now.Sub(h.at) >= HoldTTL {
			delete(l.holders, router)
		}
	}
}
