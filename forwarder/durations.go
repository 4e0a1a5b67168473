package forwarder

import (
	"sync"
	"time"
)

const (
	// usualDeviations is how many mean deviations above the mean the longest usual duration is.
	usualDeviations = 3
	// meanGain and deviationGain are the weights of the newest request in the mean and in its deviation.
	meanGain      = 1. / 8
	deviationGain = 1. / 4
	// maxRecordedRoutes bounds the routes whose durations are kept. An entry takes about 100 bytes.
	maxRecordedRoutes = 4096
)

// durations holds how long the requests of routes take from their dispatch to the end of a whole answer. It is
// safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*routeDuration
}

// routeDuration is a smoothed duration and its mean deviation.
type routeDuration struct{ mean, deviation time.Duration }

func newDurations() *durations { return &durations{routes: map[string]*routeDuration{}} }

// record records the duration of a request of a route.
func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.routes[route]
	if x == nil {
		if len(d.routes) >= maxRecordedRoutes {
			// Routes in use are back with their next request.
			clear(d.routes)
		}
		d.routes[route] = &routeDuration{mean: took}
		return
	}
	difference := took - x.mean
	x.deviation += time.Duration(deviationGain * float64(difference.Abs()-x.deviation))
	x.mean += time.Duration(meanGain * float64(difference))
}

// usual returns the mean duration of requests of a route, and one that few of them exceed. It returns false if none has
// ended.
func (d *durations) usual(route string) (mean, longest time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.routes[route]
	if x == nil {
		return 0, 0, false
	}
	return x.mean, x.mean + usualDeviations*x.deviation, true
}
