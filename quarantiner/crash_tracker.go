package quarantiner

import (
	"maps"
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
	// maxCrashes is the maximum number of crashes that are remembered, at about 250 bytes each, and
	// maxCrashParts that of the prompt parts in them, at about 60 bytes each.
	maxCrashes    = 8192
	maxCrashParts = 65_536
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

// runningRequest is a request that was in progress at one endpoint.
type runningRequest struct {
	request Fingerprint
	parts   []Part
	elapsed time.Duration
}

// endpointCrash is the crash of one endpoint.
type endpointCrash struct {
	endpoint enroller.Incarnation
	// FirstReportedAt is when the crash was first reported.
	firstReportedAt time.Time
	// At is the earliest reported time of the crash.
	at       time.Time
	requests []runningRequest
	// byPart holds the requests with each part.
	byPart map[SharedPart][]runningRequest
}

func (e *endpointCrash) add(x runningRequest) {
	e.requests = append(e.requests, x)
	for _, p := range x.parts {
		shared := SharedPart{Workspace: x.request.Workspace, Part: p}
		e.byPart[shared] = append(e.byPart[shared], x)
	}
}

// remove removes a request, and returns its parts that no other request has.
func (e *endpointCrash) remove(f Fingerprint, parts []Part) (gone []SharedPart) {
	same := func(x runningRequest) bool { return x.request == f }
	e.requests = slices.DeleteFunc(e.requests, same)
	for _, p := range parts {
		shared := SharedPart{Workspace: f.Workspace, Part: p}
		if e.byPart[shared] = slices.DeleteFunc(e.byPart[shared], same); len(e.byPart[shared]) == 0 {
			delete(e.byPart, shared)
			gone = append(gone, shared)
		}
	}
	return gone
}

// CrashTracker counts the endpoints that crashed during each request and under each prompt part, and
// determines which of them to quarantine. An endpoint that crashes interrupts other requests too.
// These are retried as well, so some of them are in progress at as many crashes as the cause. Each
// crash is therefore attributed to at most one subject: crashes under a quarantined one do not count
// against others. It is not safe for concurrent use.
type CrashTracker struct {
	// Retention is how long a crash counts.
	retention time.Duration
	suspects  map[Fingerprint]*suspect
	// Parts holds the endpoints that crashed while requests with a part were in progress there, and
	// workspaces the workspaces of these requests.
	parts      map[SharedPart]map[enroller.Incarnation]bool
	workspaces map[Part]map[string]bool
	endpoints  map[enroller.Incarnation]*endpointCrash
	// Crashes holds all crashes, oldest first, and crashParts is the number of parts in them.
	crashes    []Crash
	crashParts int
	// Dropped counts the crashes that were removed before their retention ended.
	dropped     int
	answered    AnsweredParts
	quarantined map[Subject]bool
	// Released holds when the quarantines of subjects ended that are not quarantined now.
	released map[Subject]time.Time
	// ChangedAt is when the last report arrived; settled is set if nothing had to be quarantined
	// since.
	changedAt time.Time
	settled   bool
}

// NewCrashTracker returns a tracker that forgets crashes after the retention.
func NewCrashTracker(retention time.Duration) *CrashTracker {
	return &CrashTracker{
		retention: retention, suspects: map[Fingerprint]*suspect{}, endpoints: map[enroller.Incarnation]*endpointCrash{},
		parts: map[SharedPart]map[enroller.Incarnation]bool{}, workspaces: map[Part]map[string]bool{},
		quarantined: map[Subject]bool{}, released: map[Subject]time.Time{},
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
		e = &endpointCrash{endpoint: c.Endpoint, firstReportedAt: now, at: c.At, byPart: map[SharedPart][]runningRequest{}}
		r.endpoints[c.Endpoint] = e
	}
	if c.At.Before(e.at) {
		e.at = c.At
	}
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	e.add(runningRequest{request: c.Request, parts: c.Parts, elapsed: c.Elapsed})
	r.crashes = append(r.crashes, c)
	r.addParts(c)
	r.changed(now)
	for len(r.crashes) > maxCrashes || r.crashParts > maxCrashParts {
		r.removeOldest()
		r.dropped++
	}
	return true
}

// addParts records the prompt parts of a crash.
func (r *CrashTracker) addParts(c Crash) {
	r.crashParts += len(c.Parts)
	for _, p := range c.Parts {
		shared := SharedPart{Workspace: c.Request.Workspace, Part: p}
		if r.parts[shared] == nil {
			r.parts[shared] = map[enroller.Incarnation]bool{}
		}
		r.parts[shared][c.Endpoint] = true
		if r.workspaces[p] == nil {
			r.workspaces[p] = map[string]bool{}
		}
		r.workspaces[p][c.Request.Workspace] = true
	}
}

// Dropped returns how many crashes were forgotten because there were too many.
func (r *CrashTracker) Dropped() int { return r.dropped }

// AddAnswer records that an endpoint answered a request with a prompt part.
func (r *CrashTracker) AddAnswer(now time.Time, a AnsweredPart) {
	r.answered.Add(a)
	r.changed(now)
}

// Answered returns when requests with prompt parts were answered.
func (r *CrashTracker) Answered() *AnsweredParts { return &r.answered }

// SetQuarantined replaces the set of quarantined subjects. Released holds when quarantines ended:
// crashes before that do not count again.
func (r *CrashTracker) SetQuarantined(now time.Time, subjects []Subject, released map[Subject]time.Time) {
	quarantined := make(map[Subject]bool, len(subjects))
	for _, s := range subjects {
		quarantined[s] = true
	}
	if !maps.Equal(quarantined, r.quarantined) {
		r.changed(now)
	}
	r.quarantined, r.released = quarantined, released
}

// IsSuspect reports whether endpoints crashed during a request.
func (r *CrashTracker) IsSuspect(f Fingerprint) bool { return r.suspects[f] != nil }

// IsPartSuspect reports whether endpoints crashed during requests with the part.
func (r *CrashTracker) IsPartSuspect(p SharedPart) bool { return r.parts[p] != nil }

// Clear forgets the crashes during a request that an endpoint has answered.
func (r *CrashTracker) Clear(now time.Time, f Fingerprint) {
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
	r.changed(now)
}

// changed notes that a later ToQuarantine may return something else.
func (r *CrashTracker) changed(now time.Time) { r.changedAt, r.settled = now, false }

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

// remove removes a crash from the suspects, the parts and the endpoints.
func (r *CrashTracker) remove(c Crash) {
	s := r.suspects[c.Request]
	delete(s.endpoints, c.Endpoint)
	s.totalElapsed -= c.Elapsed
	if len(s.endpoints) == 0 {
		delete(r.suspects, c.Request)
	}
	e := r.endpoints[c.Endpoint]
	r.crashParts -= len(c.Parts)
	for _, p := range e.remove(c.Request, c.Parts) {
		r.removePart(p, c.Endpoint)
	}
	if len(e.requests) == 0 {
		delete(r.endpoints, c.Endpoint)
	}
}

// removePart removes an endpoint from those that crashed under a part.
func (r *CrashTracker) removePart(p SharedPart, endpoint enroller.Incarnation) {
	delete(r.parts[p], endpoint)
	if len(r.parts[p]) > 0 {
		return
	}
	delete(r.parts, p)
	delete(r.workspaces[p.Part], p.Workspace)
	if len(r.workspaces[p.Part]) == 0 {
		delete(r.workspaces, p.Part)
	}
}

// requestsWith returns the requests in progress at an endpoint that a part stands for.
func (r *CrashTracker) requestsWith(e *endpointCrash, s Subject) []runningRequest {
	if s.Kind == KindPart {
		return e.byPart[SharedPart{Workspace: s.Workspace, Part: Part(s.Sum)}]
	}
	var out []runningRequest
	for w := range r.workspaces[Part(s.Sum)] {
		out = append(out, e.byPart[SharedPart{Workspace: w, Part: Part(s.Sum)}]...)
	}
	return out
}
