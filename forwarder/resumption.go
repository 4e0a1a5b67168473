package forwarder

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/resumer"
)

const (
	// maxLoggedBytes bounds what is logged of a header that a caller sends.
	maxLoggedBytes = 64
	// A stream whose origin is lost goes on if its service has had one version for soleVersionTimeouts
	// of its route's timeouts, and for minSoleVersion. A stream and its resumptions last less.
	soleVersionTimeouts = 4
	minSoleVersion      = 2 * time.Minute
	// maxVersionWait is how long a request waits for the first endpoint of its stream's version to be
	// known here, a few syncs with keepers. versionPollInterval is the time between two checks.
	maxVersionWait      = 400 * time.Millisecond
	versionPollInterval = 20 * time.Millisecond
	// noVersionReason is the body of answers to requests whose stream no endpoint can continue.
	noVersionReason = "no endpoint has the version that began the stream"
)

// resumptionOutcome is the outcome of a request by which a caller resumes a stream.
type resumptionOutcome string

const (
	resumptionWentOn resumptionOutcome = "went_on"
	// resumptionFailed means that the origin is known, and that no event followed.
	resumptionFailed      resumptionOutcome = "failed"
	resumptionInvalid     resumptionOutcome = "invalid"
	resumptionUnknown     resumptionOutcome = "unknown"
	resumptionUnreachable resumptionOutcome = "unreachable"
	resumptionNoVersion   resumptionOutcome = "no_version"
)

// countResumption counts a request by which a caller resumes a stream.
func (j *job) countResumption() {
	outcome := j.resumption
	switch {
	case j.events > 0:
		outcome = resumptionWentOn
	case outcome == "":
		outcome = resumptionFailed
	}
	metrics.GetOrCreateCounter(`rattanhoist_streams_taken_up_total{outcome="` + string(outcome) + `"}`).Inc()
}

// resumesStream reports whether the caller resumes a stream that an earlier attempt began.
func (j *job) resumesStream() bool {
	return j.route != nil && j.route.Kind == publisher.Stream && (j.caller.LastEventID != "" || j.resumedAttempt() != "")
}

// resumedAttempt returns the attempt that the caller states, or "".
func (j *job) resumedAttempt() string { return strings.Join(j.caller.Resumes, ",") }

// originKey returns the key of the stream that an attempt of this request's caller began.
func (j *job) originKey(attempt string) resumer.Key {
	workspace := ""
	if j.workspace != nil {
		workspace = j.workspace.Name
	}
	return resumer.NewKey(workspace, j.r.Host, j.r.URL.EscapedPath(), attempt)
}

// bindResumed binds a request that resumes a stream to the service and version that began it. It
// refuses one of which that is not known.
func (j *job) bindResumed() bool {
	if j.f.Origins == nil || !j.resumesStream() {
		return true
	}
	if reason := j.resumptionFault(); reason != "" {
		j.resumption = resumptionInvalid
		return j.fail(http.StatusBadRequest, reason)
	}
	o, err := j.findOrigin()
	if err != nil {
		return j.refuseUnknownOrigin(err)
	}
	return j.useOrigin(o)
}

// resumptionFault returns what is wrong with the headers of a resumption, or "".
func (j *job) resumptionFault() string {
	switch {
	case len(j.caller.Resumes) > 1:
		return "Resumes names several attempts"
	case j.caller.ID != "" && j.resumedAttempt() == j.caller.ID:
		return "Resumes names this attempt"
	}
	return ""
}

// findOrigin returns what began the stream that the request resumes.
func (j *job) findOrigin() (resumer.Origin, error) {
	// Another stream of the same content may have begun at another version before routers started that know of
	// this one only.
	k, minKept := resumer.NewContentKey(j.fingerprint), j.originRetention()
	if attempt := j.resumedAttempt(); attempt != "" {
		k, minKept = j.originKey(attempt), 0
	}
	o, err := j.f.Origins.Find(j.r.Context(), k, minKept)
	if err == nil {
		return o, nil
	}
	within := max(soleVersionTimeouts*j.route.Timeout, minSoleVersion)
	if service, ok := soleService(j.route.Shares); ok {
		if v, ok := j.f.Origins.SoleVersion(j.r.Context(), service, within); ok {
			return resumer.Origin{Service: service, Version: v}, nil
		}
	}
	return resumer.Origin{}, err
}

// soleService returns the service of a route that has only one.
func soleService(shares []publisher.Share) (string, bool) {
	if len(shares) != 1 {
		return "", false
	}
	return shares[0].Service, true
}

// refuseUnknownOrigin refuses a request whose stream's origin was not found. Another router may know
// it only if the routers that were asked did not answer.
func (j *job) refuseUnknownOrigin(err error) bool {
	if errors.Is(err, resumer.ErrUnknown) {
		j.resumption = resumptionUnknown
		return j.fail(http.StatusServiceUnavailable, err.Error())
	}
	j.resumption = resumptionUnreachable
	j.f.Wire.RetryAfter(j.w.Header(), retryDelay+rand.N(retryJitter))
	return j.fail(http.StatusServiceUnavailable, err.Error())
}

// useOrigin binds the request to an origin. It refuses the request if its route does not lead to the
// service any more, or if no endpoint has the version.
func (j *job) useOrigin(o resumer.Origin) bool {
	if !leadsTo(j.route.Shares, o.Service) || j.index.Service(o.Service) == nil {
		return j.refuseWithoutVersion()
	}
	j.bound, j.origin, j.service = true, o, j.index.Service(o.Service)
	if !j.withoutVersion() || j.awaitVersion() {
		return true
	}
	return j.refuseWithoutVersion()
}

// awaitVersion waits for an endpoint of the stream's version if this router has known none yet: one that
// learned of it earlier may have begun the stream just now. It returns false if there is none.
func (j *job) awaitVersion() bool {
	for begun := time.Now(); time.Since(begun) < maxVersionWait && j.origin.Version != "" && !j.f.Origins.KnowsVersion(j.service.Name, j.origin.Version); {
		select {
		case <-j.r.Context().Done():
			return false
		case <-time.After(versionPollInterval):
		}
	}
	return !j.withoutVersion()
}

// leadsTo reports whether requests of a route are sent to a service.
func leadsTo(shares []publisher.Share, service string) bool {
	for _, s := range shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// withoutVersion reports whether no endpoint has the version to which the request is bound.
func (j *job) withoutVersion() bool {
	return j.bound && (j.origin.Version == "" || !j.f.Table.Serves(predictor.Request{Service: j.service.Name, Zones: j.zones, Version: j.origin.Version}))
}

// refuseWithoutVersion answers that the request has not run. It states no Retry-After: endpoints of an
// earlier version do not come back.
func (j *job) refuseWithoutVersion() bool {
	j.resumption = resumptionNoVersion
	return j.fail(http.StatusServiceUnavailable, noVersionReason)
}

// fits reports whether an endpoint may run the request.
func (j *job) fits(e *predictor.Endpoint) bool {
	return !j.bound || j.origin.Version.Same(e.Version())
}

// changed reports whether an endpoint has another version than before. One that was not known has not
// changed once it is.
func changed(before, now enroller.Version) bool { return before != "" && before != now }

// bindTo binds the request to the version that made the stream's first event in this answer, before
// that is passed on, and records the origin for later attempts.
func (j *job) bindTo(v enroller.Version) {
	if j.f.Origins == nil {
		return
	}
	if !j.bound {
		j.bound, j.origin = true, resumer.Origin{Service: j.service.Name, Version: v}
	}
	if !j.route.Repeatable() {
		return
	}
	var attempts []resumer.Key
	for _, a := range []string{j.caller.ID, j.resumedAttempt()} {
		if a != "" {
			attempts = append(attempts, j.originKey(a))
		}
	}
	j.f.Origins.Record(j.origin, j.originRetention(), resumer.NewContentKey(j.fingerprint), attempts...)
}

// originRetention returns how long the origin of the request's stream is kept.
func (j *job) originRetention() time.Duration {
	return resumer.Retention(max(j.caller.Deadline, j.route.Timeout))
}

// logged returns the beginning of a text that a caller sent.
func logged(text string) string { return text[:min(len(text), maxLoggedBytes)] }
