// Package forwarder forwards opaque HTTP requests to endpoints of their route's service and
// passes the answers back complete and unchanged.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/resumer"
)

// Caller is the information in the header of a caller's request.
type Caller struct {
	// ID identifies the caller's attempt.
	ID string
	// Key identifies the workspace that pays; "" if none was sent.
	Key string
	// Deadline is how long the caller waits; 0 if not stated.
	Deadline time.Duration
	// Prompt is nil for plain requests.
	Prompt *predictor.Prompt
	// Parts holds the parts of the prompt that the caller names, also if Prompt is nil.
	Parts []predictor.Part
	// LastEventID is the id of the last event that the caller has of a stream that it resumes, or "".
	LastEventID string
	// Resumes holds the ids that the caller states of the attempt which brought the stream's first
	// event. One is allowed.
	Resumes []string
}

// EndpointFields holds the values that the router itself sends to the endpoint in the
// request's header.
type EndpointFields struct {
	// Deadline is the time that is left for the answer.
	Deadline time.Duration
	// Endpoint is the id of the endpoint that the request is meant for.
	Endpoint string
	// Workspace is "" on routes without keys.
	Workspace string
	// LastEventID is the id of the last complete event passed on, or "".
	LastEventID string
	// CacheSource is the address of an endpoint from which to fetch cached parts of the
	// prompt, or "".
	CacheSource string
	// Priority is the scheduling priority at the engine, from 0, the most urgent, to 9; -1
	// omits it.
	Priority int
}

// AnswerFields holds the values in the header of an endpoint's answer.
type AnswerFields struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if another incarnation uses the address now; nothing was run.
	Misdirected bool
	// Signed is set if the answer has an endpoint's signature.
	Signed bool
	// State is what the endpoint reports about itself.
	predictor.State
}

// StreamOrigins knows what began the streams of all routers.
type StreamOrigins interface {
	// Record makes the origin of a stream known to other routers for the retention, by the content of
	// its request and by attempts. It returns once that survives the end of this process.
	Record(o resumer.Origin, retention time.Duration, content resumer.Key, attempts ...resumer.Key)
	// Find returns the origin of a stream, resumer.ErrUnknown or resumer.ErrUnreachable. A key that several
	// streams may share is known only to routers that have kept all origins for minKept.
	Find(ctx context.Context, k resumer.Key, minKept time.Duration) (resumer.Origin, error)
	// SoleVersion returns the version of a service if no endpoint has had another one for a time, up to the
	// call. It may wait for a keeper's answer.
	SoleVersion(ctx context.Context, service string, within time.Duration) (enroller.Version, bool)
	// KnowsVersion reports whether an endpoint of a service has, or has had lately, a version.
	KnowsVersion(service string, v enroller.Version) bool
}

// Wire translates HTTP headers. It makes no decisions.
type Wire interface {
	// Caller reads a caller's request.
	Caller(h http.Header) (Caller, error)
	// EndpointHeader returns the header of the request to the endpoint: the caller's header
	// without the fields that concern one connection or that only the router may set, plus
	// the given fields.
	EndpointHeader(h http.Header, s EndpointFields) http.Header
	// AnswerFields reads an endpoint's answer.
	AnswerFields(status int, h http.Header) AnswerFields
	// CallerHeader returns the header of the answer to the caller. If unsigned is set, it removes
	// the signature.
	CallerHeader(h http.Header, unsigned bool) http.Header
	// RetryAfter sets the time in h after which to send the request again.
	RetryAfter(h http.Header, d time.Duration)
}
