// Package forwarder takes opaque HTTP requests in, sends each to an endpoint
// of its route's service and passes the answer back whole and unchanged.
package forwarder

import (
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist/predictor"
)

// Caller is what a request's header says, beside what is passed on.
type Caller struct {
	// ID names the caller's attempt.
	ID string
	// Key shows whose workspace pays; "" where none was sent.
	Key string
	// Deadline is how long the caller waits; 0 where it didn't say.
	Deadline time.Duration
	// Prompt is nil for plain requests.
	Prompt *predictor.Prompt
}

// Stamp is what the system itself tells the endpoint.
type Stamp struct {
	// Deadline is what is left of it.
	Deadline time.Duration
	// Endpoint is the incarnation that the request is meant for.
	Endpoint string
	// Workspace is "" on routes without keys.
	Workspace string
	// Resume is the id of the last whole event passed on, or "".
	Resume string
	// Donor is the address of an endpoint from which to fetch what it keeps of the
	// prompt, or "".
	Donor string
	// Urgency is the rank at the engine, from 0, first, to 9; -1 leaves it out.
	Urgency int
}

// Marks is what an answer's header says.
type Marks struct {
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Moved says that another incarnation has the address; nothing was run.
	Moved bool
	// Signed says that the answer bears an endpoint's signature.
	Signed bool
	// State is what the endpoint reports about itself.
	predictor.State
}

// Wire translates headers. It decides nothing.
type Wire interface {
	Caller(h http.Header) (Caller, error)
	// Forward returns the header for the endpoint: the caller's without what
	// concerns one connection or is the system's to set, and the stamp.
	Forward(h http.Header, s Stamp) http.Header
	Marks(status int, h http.Header) Marks
	// Back returns the header for the caller; unsigned takes the signature off.
	Back(h http.Header, unsigned bool) http.Header
	// RetryAfter states in h when to come back.
	RetryAfter(h http.Header, d time.Duration)
}
