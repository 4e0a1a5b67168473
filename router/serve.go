package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxEndpointAttempts bounds the endpoints that one request is sent to.
const maxEndpointAttempts = 3

// runError tells how far a run got before it failed.
type runError struct {
	cause error
	// dispatched reports whether the endpoint may have started the request.
	dispatched bool
	// final means that no other endpoint would give a better answer.
	final bool
	// answer and body hold the failure response of a plain service. It is
	// passed on if no other endpoint gives a better one.
	answer *joiner.Answer
	body   []byte
}

func (e *runError) Error() string { return e.cause.Error() }
func (e *runError) Unwrap() error { return e.cause }

// serveRequest reserves the largest possible charge, runs the request and bills
// the actual cost. The answer is complete only when it is billed.
func (r *Router) serveRequest(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	release, err := r.admitTraced(ctx, q)
	if err != nil {
		return nil, err
	}
	defer release()
	return r.withBilling(ctx, q, func() (*joiner.Answer, error) { return r.runWithRetries(ctx, q, run) })
}

// withBilling calls f under a reservation and bills the answer that it returns.
// Output that f generated without completing an answer is not billed.
func (r *Router) withBilling(ctx context.Context, q *request, f func() (*joiner.Answer, error)) (*joiner.Answer, error) {
	held, err := r.reserveTraced(ctx, q)
	if err != nil {
		return nil, err
	}
	billed := false
	defer func() {
		if !billed {
			held.Release()
		}
	}()
	a, err := f()
	if err != nil {
		return nil, err
	}
	cost := min(q.cost(a), q.maxCharge)
	if a.Status >= http.StatusInternalServerError {
		return a, nil
	}
	billed = true
	a.Charged, err = r.billTraced(ctx, q, held, &messenger.Charge{
		Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Tokens: int64(cost),
		Service: q.service.Name, Endpoint: a.Endpoint,
		ChargedAtMs: time.Now().UnixMilli(), Zone: r.self.Zone(),
	})
	if err != nil {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Code: CodeBillingFailed, Outcome: Unknown, Detail: "the answer could not be billed: " + err.Error(), After: defaultRetryAfter}
	}
	return a, nil
}

// cost returns the price of an answer in budget tokens. The products can't
// overflow, because they are bounded by the charge that setLimits checked. The
// failure of a plain service costs nothing.
func (q *request) cost(a *joiner.Answer) rattanhoist.Tokens {
	if q.service.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		return rattanhoist.Tokens(q.service.PromptPrice*a.PromptTokens + q.service.AnswerPrice*a.AnswerTokens)
	}
	if a.Status >= http.StatusInternalServerError {
		return 0
	}
	return rattanhoist.Tokens(q.service.CallPrice)
}

// runWithRetries tries endpoints until one answers. A request that may not be
// repeated is retried only if the endpoint provably did not receive it. No
// request is retried once a caller has received bytes of an answer.
func (r *Router) runWithRetries(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	tried := map[string]bool{}
	var last error
	for len(tried) < maxEndpointAttempts {
		e, err := r.pick(ctx, q, tried)
		if err != nil && last != nil {
			return answerOrError(run, last)
		}
		if err != nil {
			return nil, err
		}
		tried[e.Name()] = true
		a, err := r.runAtEndpoint(ctx, q, e, run)
		if err == nil {
			return a, nil
		}
		last = err
		var f *runError
		if run.AnyDelivered() || ctx.Err() != nil || !errors.As(err, &f) || f.final || f.dispatched && !q.repeatable {
			return nil, err
		}
		if len(tried) < maxEndpointAttempts && !r.allowRetry(ctx, q) {
			return answerOrError(run, err)
		}
	}
	return answerOrError(run, last)
}

// answerOrError returns the failure response that the last attempt left, or its
// error if there is none.
func answerOrError(run *joiner.Run, err error) (*joiner.Answer, error) {
	var f *runError
	if !errors.As(err, &f) || f.answer == nil {
		return nil, err
	}
	return f.answer, appendPlainAnswer(run, f.answer, f.body)
}

// runAtEndpoint runs the request at one endpoint.
func (r *Router) runAtEndpoint(ctx context.Context, q *request, e *rattanhoist.Endpoint, run *joiner.Run) (*joiner.Answer, error) {
	if err := run.Dispatch(); err != nil {
		return nil, err
	}
	d := r.beginDispatch(q, e)
	f := r.runModel
	if q.service.Kind == messenger.ServiceKind_SERVICE_KIND_PLAIN {
		f = r.runPlain
	}
	a, err := r.runTraced(ctx, q, e, func(ctx context.Context) (*joiner.Answer, error) { return f(ctx, q, e, run, d) })
	d.finish(a, err)
	var x *runError
	if errors.As(err, &x) && !x.dispatched {
		run.UndoDispatch()
	}
	return a, err
}
