package forwarder

import (
	"net/http"
	"time"
)

// Stop is how far the stop of a router has come.
type Stop struct {
	// RequestsEnd is when the requests in progress are ended; zero while the router does not stop.
	RequestsEnd time.Time
	// Late is set once requests are sent to endpoints only if they are expected to end before that.
	Late bool
}

// stop returns how far the stop of the router has come.
func (f *Forwarder) stop() Stop {
	if f.Stop == nil {
		return Stop{}
	}
	return f.Stop()
}

// outlastsRouter reports whether the request would be ended before it is answered, because its router stops.
func (j *job) outlastsRouter() bool {
	stop := j.f.stop()
	if !stop.Late || !j.deadline.After(stop.RequestsEnd) {
		return false
	}
	_, longest, known := j.f.durations.usual(j.route.Name)
	return !known || time.Now().Add(longest).After(stop.RequestsEnd)
}

// refuseStopping answers that the request has not run and that another router can serve it.
func (j *job) refuseStopping() bool {
	return j.refuseFor(retryDelayOverload, http.StatusServiceUnavailable, ErrRouterStops.Error())
}
