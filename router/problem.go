package router

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist"
)

// Outcome says whether a refused request ran.
type Outcome string

// Outcomes of a refusal.
const (
	// NotRun says that the request was provably not dispatched.
	NotRun Outcome = "not_run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)

// Codes of refusals; stable, for programs.
const (
	CodeBadRequest       = "bad_request"
	CodeTooLarge         = "body_too_large"
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
)

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
	case errors.Is(err, rattanhoist.ErrBudgetOutOfReach):
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeBudgetOutOfReach, Outcome: NotRun, Detail: err.Error(), After: retryAfter(err)}
	default:
		return &Problem{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Outcome: Unknown, Detail: err.Error(), After: retrySoon}
	}
}

// write sends the refusal.
func (p *Problem) write(w http.ResponseWriter) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if p.After > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.After.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
