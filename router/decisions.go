package router

import (
	"errors"
	"expvar"
	"strings"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/reporter"
)

// maxExplainedRequests is the number of the latest requests whose decisions are
// kept for operators.
const maxExplainedRequests = 4096

// decisionRecorder keeps the decisions on each request for operators.
type decisionRecorder interface {
	Record(rattanhoist.RequestKey, recorder.Decision)
	Explain(workspace, requestID string) []recorder.Entry
}

// Counters of a router process; docs/operate/counters.md lists them.
var (
	decisionCounts = new(expvar.Map)
	refusalCounts  = new(expvar.Map)
	tokenCounts    = new(expvar.Map)
	activeRequests = new(expvar.Int)
	requestTime    = reporter.NewHistogram()
	reserveTime    = reporter.NewHistogram()
	billTime       = reporter.NewHistogram()
)

// publishCounters publishes the counters of a router. It is not done at package
// initialization, because a keeper runs the same binary and must not publish
// them.
var publishCounters = sync.OnceFunc(func() {
	for name, v := range map[string]expvar.Var{
		"router_decisions":       decisionCounts,
		"router_refusals":        refusalCounts,
		"router_tokens":          tokenCounts,
		"router_active_requests": activeRequests,
		"router_admission":       admitCounters,
		"router_request_time":    requestTime,
		"router_reserve_time":    reserveTime,
		"router_bill_time":       billTime,
	} {
		expvar.Publish(name, v)
	}
})

// recordDecision counts a decision and keeps it for the explain command.
func (r *Router) recordDecision(q *request, d recorder.Decision) {
	decisionCounts.Add(decisionName(d.Kind), 1)
	switch d.Kind {
	case recorder.Refused:
		refusalCounts.Add(d.Code, 1)
	case recorder.Billed:
		tokenCounts.Add("charged", int64(d.Tokens))
	}
	d.Reason = truncateReason(d.Reason)
	r.decisions.Record(q.key, d)
}

// maxReason bounds the error text of an endpoint that is kept or passed on, in
// bytes. Thousands of decisions are kept, and a faulty endpoint may send
// megabytes with each failure.
const maxReason = 1 << 10

// truncateReason cuts a text to maxReason bytes without splitting a character.
func truncateReason(s string) string {
	if len(s) <= maxReason {
		return s
	}
	return strings.ToValidUTF8(s[:maxReason], "") + " ..."
}

// recordOutcome records how a request ended and how long it took.
func (r *Router) recordOutcome(q *request, began time.Time, err error) {
	requestTime.Observe(time.Since(began))
	if err == nil {
		r.recordDecision(q, recorder.Decision{Kind: recorder.Answered, Reason: "whole answer in " + time.Since(began).Round(time.Millisecond).String()})
		return
	}
	p := problemFromError(err)
	r.recordDecision(q, recorder.Decision{Kind: recorder.Refused, Code: p.Code, Reason: string(p.Outcome) + ": " + p.Detail})
}

// recordFailure records that an endpoint did not return a whole answer.
func (r *Router) recordFailure(q *request, e *rattanhoist.Endpoint, err error) {
	reason := err.Error()
	var f *runError
	if errors.As(err, &f) && !f.dispatched {
		reason = "not dispatched: " + reason
	}
	r.recordDecision(q, recorder.Decision{Kind: recorder.Failed, Endpoint: e.Name(), Reason: reason})
}

var decisionNames = map[recorder.Kind]string{}

func init() {
	for n, name := range messenger.DecisionKind_name {
		decisionNames[recorder.Kind(n)] = strings.ToLower(strings.TrimPrefix(name, "DECISION_KIND_"))
	}
}

// decisionName returns the name of a decision kind in counters.
func decisionName(k recorder.Kind) string { return decisionNames[k] }
