package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
)

const (
	// minCrashes is the number of endpoints that must crash during a request before it is
	// quarantined. One or two also crash during requests that were only retried alongside the
	// cause.
	minCrashes = 3
	// settleTime is how long ago a crash must first have been reported to count. Until then, other
	// routers may still report other requests that were in progress at the endpoint.
	settleTime = 800 * time.Millisecond
	// Crashes within correlationWindow of each other may have one external cause, such as a rack
	// that loses power. That is assumed if at least minCorrelated of them hit endpoints where the
	// request was not in progress: a request at only a few of the endpoints did not crash them
	// all.
	correlationWindow = 100 * time.Millisecond
	minCorrelated     = 2
	// maxCrashes is the maximum number of crashes that are remembered, at about 250 bytes each.
	maxCrashes = 8192
)

// Crash is one request that was in progress at an endpoint when the endpoint crashed.
type Crash struct {
	Request Fingerprint
	// Parts holds the shared parts of the request's prompt.
	Parts    []Part
	Endpoint enroller.Incarnation
	// At is when the connection broke, converted to the local clock.
	At time.Time
	// Elapsed is how long before the crash the request was sent to the endpoint.
	Elapsed time.Duration
}

// suspect is a request that was in progress at endpoints that crashed.
type suspect struct {
	endpoints map[enroller.Incarnation]bool
	// TotalElapsed is the sum of Elapsed over the crashes.
	totalElapsed time.Duration
}

// endpointCrash is the crash of one endpoint.
type endpointCrash struct {
	// FirstReportedAt is when the crash was first reported.
	firstReportedAt time.Time
	// At is the earliest reported time of the crash.
	at       time.Time
	requests []Fingerprint
}

// CrashTracker counts the endpoints that crashed during each request, and determines which
// requests to quarantine. An endpoint that crashes interrupts other requests too. These are
// retried as well, so some of them are in progress at as many crashes as the cause. Each crash is
// therefore attributed to at most one request: crashes during a quarantined request do not count
// against others. It is not safe for concurrent use.
type CrashTracker struct {
	// Retention is how long a crash counts.
	retention time.Duration
	suspects  map[Fingerprint]*suspect
	endpoints map[enroller.Incarnation]*endpointCrash
	// Crashes holds all crashes, oldest first.
	crashes     []Crash
	quarantined map[Fingerprint]bool
}

// NewCrashTracker returns a tracker that forgets crashes after the retention.
func NewCrashTracker(retention time.Duration) *CrashTracker {
	return &CrashTracker{
		retention: retention, suspects: map[Fingerprint]*suspect{}, endpoints: map[enroller.Incarnation]*endpointCrash{},
		quarantined: map[Fingerprint]bool{},
	}
}

// Add records a crash and reports whether it is new.
func (r *CrashTracker) Add(now time.Time, c Crash) bool {
	r.expire(now)
	s := r.suspects[c.Request]
	if s == nil {
		s = &suspect{endpoints: map[enroller.Incarnation]bool{}}
		r.suspects[c.Request] = s
	}
	if s.endpoints[c.Endpoint] {
		return false
	}
	s.endpoints[c.Endpoint] = true
	s.totalElapsed += c.Elapsed
	e := r.endpoints[c.Endpoint]
	if e == nil {
		e = &endpointCrash{firstReportedAt: now, at: c.At}
		r.endpoints[c.Endpoint] = e
	}
	if c.At.Before(e.at) {
		e.at = c.At
	}
	e.requests = append(e.requests, c.Request)
	r.crashes = append(r.crashes, c)
	if len(r.crashes) > maxCrashes {
		r.removeOldest()
	}
	return true
}

// SetQuarantined replaces the set of quarantined requests.
func (r *CrashTracker) SetQuarantined(requests []Fingerprint) {
	r.quarantined = map[Fingerprint]bool{}
	for _, f := range requests {
		r.quarantined[f] = true
	}
}

// IsSuspect reports whether endpoints crashed during a request.
func (r *CrashTracker) IsSuspect(f Fingerprint) bool { return r.suspects[f] != nil }

// Clear forgets the crashes during a request that an endpoint has answered.
func (r *CrashTracker) Clear(f Fingerprint) {
	if !r.IsSuspect(f) {
		return
	}
	kept := r.crashes[:0]
	for _, c := range r.crashes {
		if c.Request == f {
			r.remove(c)
		} else {
			kept = append(kept, c)
		}
	}
	r.crashes = kept
}

// ToQuarantine returns the requests to quarantine from now on. Of several requests with the same
// number of crashes, it chooses the one that had run for the shortest time: a request that crashes
// its endpoint does so when it starts, while the others there had run for longer.
func (r *CrashTracker) ToQuarantine(now time.Time) []Fingerprint {
	r.expire(now)
	var out []Fingerprint
	isQuarantined := func(f Fingerprint) bool { return r.quarantined[f] || slices.Contains(out, f) }
	for {
		var best Fingerprint
		bestCrashes := 0
		for f, s := range r.suspects {
			if len(s.endpoints) < minCrashes || isQuarantined(f) {
				continue
			}
			n := r.attributedCrashes(now, f, isQuarantined)
			if n < minCrashes || n < bestCrashes {
				continue
			}
			if n > bestCrashes || r.moreSuspicious(f, best) {
				best, bestCrashes = f, n
			}
		}
		if bestCrashes == 0 {
			return out
		}
		out = append(out, best)
	}
}

// attributedCrashes counts the crashes during a request that are older than settleTime and that
// neither a quarantined request nor an external cause explains.
func (r *CrashTracker) attributedCrashes(now time.Time, f Fingerprint, isQuarantined func(Fingerprint) bool) int {
	n := 0
	for i := range r.suspects[f].endpoints {
		e := r.endpoints[i]
		if now.Sub(e.firstReportedAt) >= settleTime && !slices.ContainsFunc(e.requests, isQuarantined) && !r.hasExternalCause(f, e, isQuarantined) {
			n++
		}
	}
	return n
}

// hasExternalCause reports whether at least minCorrelated endpoints where neither the request nor a
// quarantined one was in progress crashed at about the same time as endpoint e, where it was.
func (r *CrashTracker) hasExternalCause(f Fingerprint, e *endpointCrash, isQuarantined func(Fingerprint) bool) bool {
	others := 0
	for _, x := range r.endpoints {
		if x.at.Sub(e.at).Abs() <= correlationWindow && !slices.Contains(x.requests, f) && !slices.ContainsFunc(x.requests, isQuarantined) {
			others++
		}
	}
	return others >= minCorrelated
}

// moreSuspicious reports whether a is a more likely cause than b, if both have the same number of
// crashes: a had run for a shorter time before them on average.
func (r *CrashTracker) moreSuspicious(a, b Fingerprint) bool {
	x, y := r.suspects[a], r.suspects[b]
	return cmp.Or(
		cmp.Compare(x.totalElapsed*time.Duration(len(y.endpoints)), y.totalElapsed*time.Duration(len(x.endpoints))),
		cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Sum, b.Sum),
	) < 0
}

// expire removes crashes that were first reported longer ago than the retention.
func (r *CrashTracker) expire(now time.Time) {
	for len(r.crashes) > 0 {
		c := r.crashes[0]
		if now.Sub(r.endpoints[c.Endpoint].firstReportedAt) < r.retention {
			return
		}
		r.removeOldest()
	}
}

func (r *CrashTracker) removeOldest() {
	r.remove(r.crashes[0])
	r.crashes = r.crashes[1:]
}

// remove removes a crash from the suspects and the endpoints.
func (r *CrashTracker) remove(c Crash) {
	s := r.suspects[c.Request]
	delete(s.endpoints, c.Endpoint)
	s.totalElapsed -= c.Elapsed
	if len(s.endpoints) == 0 {
		delete(r.suspects, c.Request)
	}
	e := r.endpoints[c.Endpoint]
	e.requests = slices.DeleteFunc(e.requests, func(f Fingerprint) bool { return f == c.Request })
	if len(e.requests) == 0 {
		delete(r.endpoints, c.Endpoint)
	}
}
