package forwarder

import (
	"net/http"
	"time"
)

// Stop is how far the stop of a router has come.
type Stop struct {
	// RequestsEnd is when the requests in progress are ended; zero while the router does not stop.
	RequestsEnd time.Time
	// Late is set once requests are sent to endpoints only if they are known to end before that. Until then,
	// those that may not be expected to are refused.
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
	if stop.RequestsEnd.IsZero() || !j.deadline.After(stop.RequestsEnd) {
		return false
	}
	mean, longest, known := j.f.durations.usual(j.route.Name)
	if !known {
		return stop.Late
	}
	if stop.Late {
		mean = longest
	}
	return time.Now().Add(mean).After(stop.RequestsEnd)
}

// refuseStopping answers that the request has not run and that another router can serve it.
func (j *job) refuseStopping() bool {
	return j.refuseFor(retryDelayOverload, http.StatusServiceUnavailable, ErrRouterStops.Error())
}
