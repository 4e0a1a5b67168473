package admitter

import (
	"slices"
	"time"
)

const (
	// calmAfter is the time without a refusal after which a priority is
	// taken to be able to meet all.
	calmAfter = 2 * time.Second
	// shortTime is the part of its expected time that a request may have left
	// to wait for it to go before its workspace's turn. Requests with more
	// wait for their turn also in calm, which keeps a burst of one workspace
	// from delaying the others.
	shortTime = 4
)

// shortest finds the request with the least time left to wait among those
// whose time grows short, nil where there is none or not all can be met.
func (c *class) shortest(now time.Duration, fits func(Request) bool) (best *flow, at int) {
	if now < c.calmFrom {
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
		if left <= shortTime*r.Service && (best == nil || left < least) {
			best, at, least = w, i, left
		}
	}
	return best, at
}

// fairest finds the first request of the workspace whose turn it is.
func (c *class) fairest(fits func(Request) bool) (best *flow, at int) {
	for _, w := range c.flows {
		i := slices.IndexFunc(w.requests, fits)
		if i >= 0 && (best == nil || w.pass < best.pass) {
			best, at = w, i
		}
	}
	return best, at
}

// shed asks the shedder about an arriving request. While none is refused, the
// shortest thinkable time decides: the prediction errs to both sides, and one
// that was let in wrongly is refused as soon as its time has gone, while one
// that was refused wrongly is lost.
func (q *Queue) shed(now time.Duration, r Request, f Forecast) (bool, time.Duration) {
	refused, after := q.shedder.Shed(now, r, f)
	if refused && now >= q.classes[r.Priority].calmFrom {
		r.Service = r.Least
		refused, _ = q.shedder.Shed(now, r, f)
	}
	return refused, after
}
