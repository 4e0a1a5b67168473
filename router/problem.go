package router

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
)

// Outcome tells whether a refused request ran.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun means that the request was provably not dispatched.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran to its end, but its answer is not
	// available.
	Ran Outcome = "ran"
)

// Codes of refusals. They are stable, so that programs can match them.
const (
	CodeBadRequest       = "bad_request"
	CodeTooLarge         = "body_too_large"
	CodeTooSlow          = "body_too_slow"
	CodeUnknownKey       = "unknown_key"
	CodeUnknownModel     = "unknown_model"
	CodeUnknownService   = "unknown_service"
	CodeNotReady         = "not_ready"
	CodeDraining         = "draining"
	CodeNoEndpoint       = "no_endpoint"
	CodeBudgetSpent      = "budget_spent"
	CodeBudgetOutOfReach = "budget_out_of_reach"
	CodeDeadline         = "deadline"
	CodeEndpointFailed   = "endpoint_failed"
	CodeBillingFailed    = "billing_failed"
	// CodeEndpointRefused means that the endpoint rejected the request as
	// invalid.
	CodeEndpointRefused = "endpoint_refused"
	// CodeIDReused means that the request id belongs to a different request.
	CodeIDReused = "id_reused"
	// CodeRunning means that another attempt of the request is in progress.
	CodeRunning = "running"
	// CodeOutcomeUnknown means that an earlier attempt may have run, and the
	// router that has its outcome can't be reached.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeAnswerGone means that the request ran and its answer is no longer
	// kept.
	CodeAnswerGone = "answer_gone"
	// CodeUndecided means that too few keepers answered to decide a claim.
	CodeUndecided = "claim_undecided"
	// CodeStreamBroken means that an answer broke off after its first bytes.
	CodeStreamBroken = "stream_broken"
	// CodeStopped means that the run which the request joined ended before it
	// was dispatched.
	CodeStopped = "stopped"
	// CodeAbsent is used between routers only: no run or answer is known for
	// the id.
	CodeAbsent = "absent"
	// CodeOverloaded means that the request was refused before it ran, because
	// it could not have been answered by its deadline.
	CodeOverloaded = "overloaded"
	// CodeAddressTaken and CodeTooManyEndpoints refuse announcements.
	CodeAddressTaken     = "address_taken"
	CodeTooManyEndpoints = "too_many_endpoints"
)

// codeInternal means that the router itself failed.
const codeInternal = "internal"

// Problem is the problem details object (RFC 9457) of a refused request.
type Problem struct {
	Status    int           `json:"status"`
	Title     string        `json:"title"`
	Detail    string        `json:"detail,omitempty"`
	Code      string        `json:"code"`
	Field     string        `json:"field,omitempty"`
	Outcome   Outcome       `json:"outcome"`
	RequestID string        `json:"request_id,omitempty"`
	After     time.Duration `json:"-"`
}

// Error returns the code and the detail.
func (p *Problem) Error() string { return p.Code + ": " + p.Detail }

// badField returns the problem for an invalid field or header of a request.
func badField(field, detail string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Field: field, Detail: detail, Outcome: NotRun}
}

// defaultRetryAfter is the Retry-After time of refusals whose cause may be
// temporary.
const defaultRetryAfter = time.Second

// retryAfter returns the retry time that an error carries, or the default.
func retryAfter(err error) time.Duration {
	var t interface{ RetryAfter() time.Duration }
	if errors.As(err, &t) {
		return t.RetryAfter()
	}
	return defaultRetryAfter
}

// problemFromError maps an error to the problem that is sent to the caller.
func problemFromError(err error) *Problem {
	var p *Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, rattanhoist.ErrUnknownWorkspace):
		return &Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "the bearer key belongs to no workspace"}
	case errors.Is(err, rattanhoist.ErrNoEndpoint):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Outcome: NotRun, Detail: err.Error(), After: defaultRetryAfter}
	case errors.Is(err, rattanhoist.ErrBudgetSpent):
		return &Problem{Status: http.StatusPaymentRequired, Code: CodeBudgetSpent, Outcome: NotRun, Detail: err.Error()}
	case errors.Is(err, joiner.ErrIDReused):
		return &Problem{Status: http.StatusConflict, Code: CodeIDReused, Field: headerIdempotencyKey, Outcome: NotRun, Detail: "the id belongs to a request with another content; this one was not run"}
	case errors.Is(err, joiner.ErrNotFound):
		return &Problem{Status: http.StatusNotFound, Code: CodeAbsent, Outcome: Unknown, Detail: err.Error()}
	case errors.Is(err, joiner.ErrStopped), errors.Is(err, context.Canceled):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeStopped, Outcome: Unknown, Detail: "the run ended early; ask again under the same id", After: defaultRetryAfter}
	case errors.Is(err, joiner.ErrStreamChanged):
		return &Problem{Status: http.StatusBadGateway, Code: CodeStreamBroken, Outcome: Unknown, Detail: "the answer broke off; ask again under the same id", After: defaultRetryAfter}
	case errors.Is(err, context.DeadlineExceeded):
		return &Problem{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: Unknown, Detail: "the deadline has passed", After: defaultRetryAfter}
	case errors.Is(err, rattanhoist.ErrBudgetUnavailable):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeBudgetOutOfReach, Outcome: NotRun, Detail: err.Error(), After: retryAfter(err)}
	default:
		return &Problem{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Outcome: Unknown, Detail: err.Error(), After: defaultRetryAfter}
	}
}

// setDefaultTitle sets an empty title to the text of the HTTP status.
func (p *Problem) setDefaultTitle() {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
}

// write sends the problem as the HTTP response.
func (p *Problem) write(w http.ResponseWriter) {
	p.setDefaultTitle()
	w.Header().Set("Content-Type", "application/problem+json")
	if p.After > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.After.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
