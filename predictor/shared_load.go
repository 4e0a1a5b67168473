package predictor

import (
	"slices"
	"time"
)

const (
	// announcedTTL is the longest time for which a request that another router announced counts. Its
	// end is not announced; longer ones are seen in observations.
	announcedTTL = 3 * time.Second
	// maxAnnounced bounds the announced requests that are remembered for an endpoint. So many fill
	// any endpoint.
	maxAnnounced = 256
)

// loadKnown reports whether the load of the endpoint was observed recently enough to be used.
func (e *Endpoint) loadKnown(now time.Time) bool {
	if e.reports != nil {
		return observation{at: e.reportedAt}.fresh(now)
	}
	return now.Sub(e.reportedAt) < reportedLoadTTL
}

// combinedRequests returns the requests at the endpoint by the newest observation of any router, by
// what this router has sent there since and not seen end, and by what others have announced since.
// Without the latter, all routers would choose the same idle endpoint until the next digest. Without
// an observation, those announced within the usual duration of a request count: an endpoint that
// delays all its answers reports nothing, and isn't idle.
func (e *Endpoint) combinedRequests(now time.Time) int {
	if !e.loadKnown(now) {
		return e.running + e.announcedSince(now, now.Add(-min(e.meanOccupancy(), announcedTTL)))
	}
	return max(e.running, e.reported.Running+e.reported.Waiting+e.dispatchedSince(e.reportedAt)+e.announcedSince(now, e.reportedAt))
}

// dispatchedSince counts this router's requests at the endpoint that were sent after a time. There
// are at most a few for each slot of the endpoint.
func (e *Endpoint) dispatchedSince(at time.Time) int {
	n := 0
	for i := len(e.dispatched) - 1; i >= 0 && e.dispatched[i].After(at); i-- {
		n++
	}
	return n
}

// recordDispatchTime records that a request was sent to the endpoint.
func (e *Endpoint) recordDispatchTime(now time.Time) {
	if e.reports != nil {
		e.dispatched = append(e.dispatched, now)
	}
}

// forgetDispatch records the end of a request that was sent at a time.
func (e *Endpoint) forgetDispatch(at time.Time) {
	if i := slices.IndexFunc(e.dispatched, at.Equal); i >= 0 {
		e.dispatched = slices.Delete(e.dispatched, i, i+1)
	}
}

// recordAnnounced records that another router announced a request to the endpoint.
func (e *Endpoint) recordAnnounced(now time.Time) {
	if e.reports == nil {
		return
	}
	e.forgetAnnounced(now)
	if len(e.announced) >= maxAnnounced {
		e.announced = slices.Delete(e.announced, 0, maxAnnounced/2)
	}
	e.announced = append(e.announced, now)
}

// forgetAnnounced removes announced requests that are too old to count. Without that, endpoints that
// are rarely candidates would keep maxAnnounced each.
func (e *Endpoint) forgetAnnounced(now time.Time) {
	expired := now.Add(-announcedTTL)
	i := 0
	for i < len(e.announced) && e.announced[i].Before(expired) {
		i++
	}
	e.announced = slices.Delete(e.announced, 0, i)
}

// announcedSince counts the requests that other routers announced after a time.
func (e *Endpoint) announcedSince(now, at time.Time) int {
	e.forgetAnnounced(now)
	n := 0
	for i := len(e.announced) - 1; i >= 0 && e.announced[i].After(at); i-- {
		n++
	}
	return n
}
