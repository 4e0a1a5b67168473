// Package rattanhoist holds the core types that the parts of the router fleet
// share: budget tokens, request identities, incarnations and the errors that
// callers test with errors.Is.
package rattanhoist

import (
	"math"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors that cross package boundaries. Compare with errors.Is.
var (
	// ErrOverflow says that a sum of tokens does not fit.
	ErrOverflow = merry.Sentinel("token amount out of range")
	// ErrUnknownWorkspace says that no workspace has the name or the key.
	ErrUnknownWorkspace = merry.Sentinel("unknown workspace")
	// ErrUnknownService says that no service has the name, model or path.
	ErrUnknownService = merry.Sentinel("unknown service")
	// ErrNoEndpoint says that no live endpoint may serve the request.
	ErrNoEndpoint = merry.Sentinel("no endpoint may serve the request")
	// ErrBudgetSpent says that the prepaid budget is gone.
	ErrBudgetSpent = merry.Sentinel("prepaid budget is spent")
	// ErrBudgetOutOfReach says that rights exist but can't be reached now.
	ErrBudgetOutOfReach = merry.Sentinel("remaining budget is out of reach")
)

// Tokens is an amount of budget tokens; never negative in a valid book.
type Tokens int64

// Add returns t+u, or ErrOverflow.
func (t Tokens) Add(u Tokens) (Tokens, error) {
	if u > 0 && t > math.MaxInt64-u {
		return 0, ErrOverflow
	}
	if u < 0 && t < math.MinInt64-u {
		return 0, ErrOverflow
	}
	return t + u, nil
}

// Mul returns t*n for non-negative operands, or ErrOverflow.
func (t Tokens) Mul(n int64) (Tokens, error) {
	if t < 0 || n < 0 {
		return 0, ErrOverflow
	}
	if n != 0 && int64(t) > math.MaxInt64/n {
		return 0, ErrOverflow
	}
	return t * Tokens(n), nil
}

// RequestKey identifies a request: retries carry the same key.
type RequestKey struct {
	// Workspace is never empty.
	workspace string
	// RequestID is chosen by the caller or made by the first router.
	requestID string
}

// NewRequestKey returns the identity of a request.
func NewRequestKey(workspace, requestID string) RequestKey {
	return RequestKey{workspace: workspace, requestID: requestID}
}

// Workspace returns the workspace that pays.
func (k RequestKey) Workspace() string { return k.workspace }

// RequestID returns the identity within the workspace.
func (k RequestKey) RequestID() string { return k.requestID }

// String returns "workspace/request_id".
func (k RequestKey) String() string { return k.workspace + "/" + k.requestID }

// Incarnation counts the starts of a process under one name. A higher number
// replaces every lower one.
type Incarnation uint64

// TopUpZone returns the zone that a top-up identity "zone/unique" names.
func TopUpZone(topUpID string) (zone string, ok bool) {
	zone, rest, ok := strings.Cut(topUpID, "/")
	return zone, ok && zone != "" && rest != ""
}
