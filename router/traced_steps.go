package router

import (
	"context"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/claimer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/tracer"
	"rattanhoist.example/rattanhoist/treasurer"
)

// admitTraced calls admit with a trace span and adds the decision to the
// request's record. The functions below do the same for the other steps that
// serve a request; some also update counters.
func (r *Router) admitTraced(ctx context.Context, q *request) (func(), error) {
	ctx, span := tracer.StartSpan(ctx, tracer.HopAdmit)
	release, err := r.admit(ctx, q)
	span.End(err)
	if err == nil {
		r.recordDecision(q, recorder.Decision{Kind: recorder.Admitted, Reason: "service " + q.service.Name + traceSuffix(ctx)})
	}
	return release, err
}

// traceSuffix returns the text that links a decision record to the request's
// trace.
func traceSuffix(ctx context.Context) string {
	if id := tracer.TraceID(ctx); id != "" {
		return ", trace " + id
	}
	return ""
}

// reserveTraced reserves the largest charge that the request can cause.
func (r *Router) reserveTraced(ctx context.Context, q *request) (treasurer.Reservation, error) {
	began := time.Now()
	ctx, span := tracer.StartSpan(ctx, tracer.HopReserve)
	held, err := r.treasurer.Reserve(ctx, q.key.Workspace(), q.maxCharge)
	span.End(err)
	reserveTime.Observe(time.Since(began))
	if err == nil {
		r.recordDecision(q, recorder.Decision{Kind: recorder.Reserved, Tokens: q.maxCharge, Reason: "largest charge that the request can cause"})
	}
	return held, err
}

// runTraced runs the request at an endpoint and records the dispatch and a
// failure.
func (r *Router) runTraced(ctx context.Context, q *request, e *rattanhoist.Endpoint, run func(context.Context) (*joiner.Answer, error)) (*joiner.Answer, error) {
	ctx, span := tracer.StartSpan(ctx, tracer.HopDispatch)
	span.Set("endpoint", e.Name())
	r.recordDecision(q, recorder.Decision{Kind: recorder.Dispatched, Endpoint: e.Name()})
	a, err := run(ctx)
	span.End(err)
	if err != nil {
		r.recordFailure(q, e, err)
	}
	return a, err
}

// billTraced charges the request and returns the charged tokens.
func (r *Router) billTraced(ctx context.Context, q *request, held treasurer.Reservation, c *messenger.Charge) (rattanhoist.Tokens, error) {
	began := time.Now()
	ctx, span := tracer.StartSpan(ctx, tracer.HopBill)
	n, err := held.Charge(ctx, c)
	span.End(err)
	billTime.Observe(time.Since(began))
	if err == nil {
		r.recordDecision(q, recorder.Decision{Kind: recorder.Billed, Endpoint: c.Endpoint, Tokens: n})
	}
	return n, err
}

// relayTraced relays the request to its home router.
func (r *Router) relayTraced(ctx context.Context, q *request, x *peer, f *feed) error {
	home := x.process.Name()
	ctx, span := tracer.StartSpan(ctx, tracer.HopHandOver)
	span.Set("home", home)
	r.recordDecision(q, recorder.Decision{Kind: recorder.HandedOver, Reason: "home router " + home + traceSuffix(ctx)})
	err := r.relay(ctx, q, x, f, false)
	span.End(err)
	if err != nil && canAskNextRouter(err) {
		r.recordDecision(q, recorder.Decision{Kind: recorder.Failed, Reason: "home router " + home + ": " + err.Error()})
	}
	return err
}

// verdictNames are the texts of claim verdicts in decision records.
var verdictNames = map[claimer.Verdict]string{
	claimer.Granted: "granted", claimer.Reused: "the id is another request's", claimer.Undecided: "too few keepers answered",
}

// claimTraced acquires the claim of a request that is not repeatable.
func (r *Router) claimTraced(ctx context.Context, q *request, c *claim) (claimer.Verdict, *messenger.ClaimRow) {
	ctx, span := tracer.StartSpan(ctx, tracer.HopClaim)
	v, row := c.acquire(ctx)
	span.End(nil)
	reason, known := verdictNames[v]
	if !known {
		reason = "held by another attempt"
	}
	r.recordDecision(q, recorder.Decision{Kind: recorder.Claimed, Reason: reason + ", asked " + strconv.Itoa(len(c.voters)) + " keepers"})
	return v, row
}
