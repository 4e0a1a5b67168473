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

// belongsTo reports whether the subject stands for the request.
func (r runningRequest) belongsTo(s Subject) bool {
	switch s.Kind {
	case KindPart:
		return r.request.Workspace == s.Workspace && slices.Contains(r.parts, Part(s.Sum))
	case KindPartOfAny:
		return slices.Contains(r.parts, Part(s.Sum))
	}
	return RequestSubject(r.request) == s
}

// endpointCrash is the crash of one endpoint.
type endpointCrash struct {
	endpoint enroller.Incarnation
	// FirstReportedAt is when the crash was first reported.
	firstReportedAt time.Time
	// At is the earliest reported time of the crash.
	at       time.Time
	requests []runningRequest
}

// has reports whether a request that the subject stands for was in progress at the endpoint.
func (e *endpointCrash) has(s Subject) bool {
	return slices.ContainsFunc(e.requests, func(x runningRequest) bool { return x.belongsTo(s) })
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
		e = &endpointCrash{endpoint: c.Endpoint, firstReportedAt: now, at: c.At}
		r.endpoints[c.Endpoint] = e
	}
	if c.At.Before(e.at) {
		e.at = c.At
	}
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	e.requests = append(e.requests, runningRequest{request: c.Request, parts: c.Parts, elapsed: c.Elapsed})
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
	e.requests = slices.DeleteFunc(e.requests, func(x runningRequest) bool { return x.request == c.Request })
	if len(e.requests) == 0 {
		delete(r.endpoints, c.Endpoint)
	}
	r.removeParts(c, e)
}

// removeParts removes the prompt parts of a crash that no other request at the endpoint has.
func (r *CrashTracker) removeParts(c Crash, e *endpointCrash) {
	r.crashParts -= len(c.Parts)
	for _, p := range c.Parts {
		shared := SharedPart{Workspace: c.Request.Workspace, Part: p}
		if e.has(PartSubject(shared)) {
			continue
		}
		delete(r.parts[shared], c.Endpoint)
		if len(r.parts[shared]) > 0 {
			continue
		}
		delete(r.parts, shared)
		delete(r.workspaces[p], c.Request.Workspace)
		if len(r.workspaces[p]) == 0 {
			delete(r.workspaces, p)
		}
	}
}
