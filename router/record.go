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

// recordedRequests is how many of the latest requests can be explained.
const recordedRequests = 4096

// decisionRecorder keeps decisions for operators who ask about a request.
type decisionRecorder interface {
	Record(rattanhoist.RequestKey, recorder.Decision)
	Explain(workspace, requestID string) []recorder.Entry
}

// Counters of a router process; docs/operate/counters.md lists them.
var (
	countDecisions = new(expvar.Map)
	countRefusals  = new(expvar.Map)
	countTokens    = new(expvar.Map)
	activeRequests = new(expvar.Int)
	requestTime    = reporter.NewHistogram()
	reserveTime    = reporter.NewHistogram()
	billTime       = reporter.NewHistogram()
)

// publishCounters shows the counters; a keeper is the same binary and must
// not show them.
var publishCounters = sync.OnceFunc(func() {
	for name, v := range map[string]expvar.Var{
		"router_decisions":       countDecisions,
		"router_refusals":        countRefusals,
		"router_tokens":          countTokens,
		"router_active_requests": activeRequests,
		"router_admission":       admitCounters,
		"router_request_time":    requestTime,
		"router_reserve_time":    reserveTime,
		"router_bill_time":       billTime,
	} {
		expvar.Publish(name, v)
	}
})

// record counts a decision and keeps it for `explain`.
func (r *Router) record(q *request, d recorder.Decision) {
	countDecisions.Add(decisionName(d.Kind), 1)
	switch d.Kind {
	case recorder.Refused:
		countRefusals.Add(d.Code, 1)
	case recorder.Billed:
		countTokens.Add("charged", int64(d.Tokens))
	}
	d.Reason = clip(d.Reason)
	r.decisions.Record(q.key, d)
}

// maxReason bounds the text that is kept or passed on of an endpoint's failure,
// in bytes: thousands of decisions are kept, and a faulty endpoint may send
// megabytes with each.
const maxReason = 1 << 10

// clip returns the beginning of a text, cut between two characters.
func clip(s string) string {
	if len(s) <= maxReason {
		return s
	}
	return strings.ToValidUTF8(s[:maxReason], "") + " ..."
}

// recordEnd records how a request ended.
func (r *Router) recordEnd(q *request, began time.Time, err error) {
	requestTime.Observe(time.Since(began))
	if err == nil {
		r.record(q, recorder.Decision{Kind: recorder.Answered, Reason: "whole answer in " + time.Since(began).Round(time.Millisecond).String()})
		return
	}
	p := problemOf(err)
	r.record(q, recorder.Decision{Kind: recorder.Refused, Code: p.Code, Reason: string(p.Outcome) + ": " + p.Detail})
}

// recordFailure records that an endpoint did not answer whole.
func (r *Router) recordFailure(q *request, e *rattanhoist.Endpoint, err error) {
	reason := err.Error()
	var f *runError
	if errors.As(err, &f) && !f.dispatched {
		reason = "not dispatched: " + reason
	}
	r.record(q, recorder.Decision{Kind: recorder.Failed, Endpoint: e.Name(), Reason: reason})
}

var decisionNames = map[recorder.Kind]string{}

func init() {
	for n, name := range messenger.DecisionKind_name {
		decisionNames[recorder.Kind(n)] = strings.ToLower(strings.TrimPrefix(name, "DECISION_KIND_"))
	}
}

func decisionName(k recorder.Kind) string { return decisionNames[k] }
