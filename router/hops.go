package router

import (
	"context"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/tracer"
	"rattanhoist.example/rattanhoist/treasurer"
)

// Each hop below is a step of serve with its span, its counters and its line
// in the request's record.

func (r *Router) admitTraced(ctx context.Context, q *request) (func(), error) {
	ctx, span := tracer.Begin(ctx, tracer.HopAdmit)
	release, err := r.admit(ctx, q)
	span.End(err)
	if err == nil {
		r.record(q, recorder.Decision{Kind: recorder.Admitted, Reason: "service " + q.service.Name + traceOf(ctx)})
	}
	return release, err
}

// traceOf ties a record to its trace.
func traceOf(ctx context.Context) string {
	if id := tracer.TraceID(ctx); id != "" {
		return ", trace " + id
	}
	return ""
}

func (r *Router) reserveTraced(ctx context.Context, q *request) (treasurer.Reservation, error) {
	began := time.Now()
	ctx, span := tracer.Begin(ctx, tracer.HopReserve)
	held, err := r.money.Reserve(ctx, q.key.Workspace(), q.worst)
	span.End(err)
	reserveTime.Observe(time.Since(began))
	if err == nil {
		r.record(q, recorder.Decision{Kind: recorder.Reserved, Tokens: q.worst, Reason: "largest charge that the request can cause"})
	}
	return held, err
}

func (r *Router) runTraced(ctx context.Context, q *request, e *rattanhoist.Endpoint, run func(context.Context) (*joiner.Answer, error)) (*joiner.Answer, error) {
	ctx, span := tracer.Begin(ctx, tracer.HopDispatch)
	span.Set("endpoint", e.Name())
	r.record(q, recorder.Decision{Kind: recorder.Dispatched, Endpoint: e.Name()})
	a, err := run(ctx)
	span.End(err)
	if err != nil {
		r.recordFailure(q, e, err)
	}
	return a, err
}

func (r *Router) billTraced(ctx context.Context, q *request, held treasurer.Reservation, c *messenger.Charge) (rattanhoist.Tokens, error) {
	began := time.Now()
	ctx, span := tracer.Begin(ctx, tracer.HopBill)
	n, err := held.Charge(ctx, c)
	span.End(err)
	billTime.Observe(time.Since(began))
	if err == nil {
		r.record(q, recorder.Decision{Kind: recorder.Billed, Endpoint: c.Endpoint, Tokens: n})
	}
	return n, err
}
