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

// Outcome says whether a refused request ran.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun says that the request was provably not dispatched.
	NotRun Outcome = "not_run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
	// Ran says that the request ran to its end; its answer can't be given.
	Ran Outcome = "ran"
)

// Codes of refusals; stable, for programs.
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
	// CodeEndpointRefused says that the endpoint found fault with the request.
	CodeEndpointRefused = "endpoint_refused"
	// CodeIDReused says that the request id belongs to another request.
	CodeIDReused = "id_reused"
	// CodeRunning says that another attempt of the request is in progress.
	CodeRunning = "running"
	// CodeOutcomeUnknown says that an attempt may have run and can't be asked.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeAnswerGone says that the request ran and its answer is not kept.
	CodeAnswerGone = "answer_gone"
	// CodeUndecided says that too few keepers could be asked for a claim.
	CodeUndecided = "claim_undecided"
	// CodeStreamBroken says that an answer broke off after its first bytes.
	CodeStreamBroken = "stream_broken"
	// CodeStopped says that the run that was joined ended before its dispatch.
	CodeStopped = "stopped"
	// CodeAbsent is between routers: nothing is remembered under the id.
	CodeAbsent = "absent"
	// CodeOverloaded says that the request was refused before it ran, because
	// it would not have been answered by its deadline.
	CodeOverloaded = "overloaded"
	// CodeAddressTaken and CodeTooManyEndpoints refuse announcements.
	CodeAddressTaken     = "address_taken"
	CodeTooManyEndpoints = "too_many_endpoints"
)

// codeInternal says that the router itself failed.
const codeInternal = "internal"

// Problem is a refusal as problem details (RFC 9457).
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

func badField(field, detail string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Field: field, Detail: detail, Outcome: NotRun}
}

// retrySoon is when to come back after a refusal that a repair may lift.
const retrySoon = time.Second

// retryAfter returns when an error says to come back.
func retryAfter(err error) time.Duration {
	var t interface{ RetryAfter() time.Duration }
	if errors.As(err, &t) {
		return t.RetryAfter()
	}
	return retrySoon
}

// problemOf turns an error into its refusal.
func problemOf(err error) *Problem {
	var p *Problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, rattanhoist.ErrUnknownWorkspace):
		return &Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "the bearer key belongs to no workspace"}
	case errors.Is(err, rattanhoist.ErrNoEndpoint):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Outcome: NotRun, Detail: err.Error(), After: retrySoon}
	case errors.Is(err, rattanhoist.ErrBudgetSpent):
		return &Problem{Status: http.StatusPaymentRequired, Code: CodeBudgetSpent, Outcome: NotRun, Detail: err.Error()}
	case errors.Is(err, joiner.ErrReused):
		return &Problem{Status: http.StatusConflict, Code: CodeIDReused, Field: headerIdempotencyKey, Outcome: NotRun, Detail: "the id belongs to a request with another content; this one was not run"}
	case errors.Is(err, joiner.ErrAbsent):
		return &Problem{Status: http.StatusNotFound, Code: CodeAbsent, Outcome: Unknown, Detail: err.Error()}
	case errors.Is(err, joiner.ErrStopped), errors.Is(err, context.Canceled):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeStopped, Outcome: Unknown, Detail: "the run ended early; ask again under the same id", After: retrySoon}
	case errors.Is(err, joiner.ErrPassed):
		return &Problem{Status: http.StatusBadGateway, Code: CodeStreamBroken, Outcome: Unknown, Detail: "the answer broke off; ask again under the same id", After: retrySoon}
	case errors.Is(err, context.DeadlineExceeded):
		return &Problem{Status: http.StatusGatewayTimeout, Code: CodeDeadline, Outcome: Unknown, Detail: "the deadline has passed", After: retrySoon}
	case errors.Is(err, rattanhoist.ErrBudgetOutOfReach):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeBudgetOutOfReach, Outcome: NotRun, Detail: err.Error(), After: retryAfter(err)}
	default:
		return &Problem{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Outcome: Unknown, Detail: err.Error(), After: retrySoon}
	}
}

func (p *Problem) title() {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
}

// write sends the refusal.
func (p *Problem) write(w http.ResponseWriter) {
	p.title()
	w.Header().Set("Content-Type", "application/problem+json")
	if p.After > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.After.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
