package admitter

import (
	"slices"
	"time"
)

const (
	// fairSharePeriod is how long after a rejection the workspaces of a
	// priority share strictly by tokens. Without a rejection for that long,
	// the service is assumed to be able to meet all deadlines.
	fairSharePeriod = 2 * time.Second
	// urgentSlackFactor bounds the slack, as a multiple of the expected
	// service time, with which a request may be started before its
	// workspace's turn. Requests with more slack wait for their turn even
	// when nothing is rejected, so that a burst of one workspace doesn't
	// delay the others.
	urgentSlackFactor = 4
)

// mostUrgent returns the flow and index of the accepted request with the least
// slack. The flow is nil if no request is urgent or if the workspaces share
// strictly because of a recent rejection.
func (c *class) mostUrgent(now time.Duration, fits func(Request) bool) (best *flow, at int) {
	if now < c.fairShareUntil {
		return nil, 0
	}
	var least time.Duration
	for _, w := range c.flows {
		i := slices.IndexFunc(w.requests, fits)
		if i < 0 {
			continue
		}
		r := w.requests[i]
		left := r.Deadline - r.Service - now
		if left <= urgentSlackFactor*r.Service && (best == nil || left < least) {
			best, at, least = w, i, left
		}
	}
	return best, at
}

// nextInTurn returns the flow with the lowest pass that has an accepted request,
// and the index of its first one.
func (c *class) nextInTurn(fits func(Request) bool) (best *flow, at int) {
	for _, w := range c.flows {
		i := slices.IndexFunc(w.requests, fits)
		if i >= 0 && (best == nil || w.pass < best.pass) {
			best, at = w, i
		}
	}
	return best, at
}

// hasReturning reports whether a returning request waits.
func (c *class) hasReturning() bool {
	return slices.ContainsFunc(c.flows, func(w *flow) bool {
		return slices.ContainsFunc(w.requests, func(r Request) bool { return r.Returning })
	})
}

// shouldShed asks the shedder whether to reject an arriving request. If nothing
// was rejected recently, a request is rejected only if it would be late even
// with its minimum service time. Predictions err in both directions, and a
// request admitted by mistake still expires in the queue, whereas one rejected
// by mistake is lost.
func (q *Queue) shouldShed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	refused, after := q.shedder.ShouldShed(now, r, f)
	if refused && now >= q.classes[r.Priority].fairShareUntil {
		r.Service = r.MinService
		refused, _ = q.shedder.ShouldShed(now, r, f)
	}
	return refused, after
}
