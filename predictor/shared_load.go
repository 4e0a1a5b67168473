package predictor

import (
	"slices"
	"time"
)

// loadKnown reports whether the load of the endpoint was observed recently enough to be used.
func (e *Endpoint) loadKnown(now time.Time) bool {
	if e.reports != nil {
		return observation{at: e.reportedAt}.fresh(now)
	}
	return now.Sub(e.reportedAt) < reportedLoadTTL
}

// combinedRequests returns the requests at the endpoint by the newest observation of any router and
// by what this router has sent there since and not seen end.
func (e *Endpoint) combinedRequests(now time.Time) int {
	if !e.loadKnown(now) {
		return e.running
	}
	return max(e.running, e.reported.Running+e.reported.Waiting+e.dispatchedSince(e.reportedAt))
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
