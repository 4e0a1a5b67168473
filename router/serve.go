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

// maxTries bounds the endpoints that one request is sent to.
const maxTries = 3

// runError says how far a run got before it failed.
type runError struct {
	cause error
	// Dispatched reports whether the endpoint may have begun.
	dispatched bool
	// Final says that another endpoint would answer no better.
	final bool
	// Answer and body are a plain service's failure, passed on where no other
	// endpoint does better.
	answer *joiner.Answer
	body   []byte
}

func (e *runError) Error() string { return e.cause.Error() }
func (e *runError) Unwrap() error { return e.cause }

// serve reserves the worst case, runs the request and bills the true count;
// the answer is complete only then.
func (r *Router) serve(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	release, err := r.admitTraced(ctx, q)
	if err != nil {
		return nil, err
	}
	defer release()
	return r.paid(ctx, q, func() (*joiner.Answer, error) { return r.runSomewhere(ctx, q, run) })
}

// paid has f produce an answer under a reservation and bills it. What f
// generated without a whole answer is not billed.
func (r *Router) paid(ctx context.Context, q *request, f func() (*joiner.Answer, error)) (*joiner.Answer, error) {
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
	cost := min(q.cost(a), q.worst)
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
		return nil, &Problem{Status: http.StatusServiceUnavailable, Code: CodeBillingFailed, Outcome: Unknown, Detail: "the answer could not be billed: " + err.Error(), After: retrySoon}
	}
	return a, nil
}

// cost is the price of an answer in budget tokens; the checked worst case
// bounds it, so the products fit. A plain service's failure costs nothing.
func (q *request) cost(a *joiner.Answer) rattanhoist.Tokens {
	if q.service.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		return rattanhoist.Tokens(q.service.PromptPrice*a.PromptTokens + q.service.AnswerPrice*a.AnswerTokens)
	}
	if a.Status >= http.StatusInternalServerError {
		return 0
	}
	return rattanhoist.Tokens(q.service.CallPrice)
}

// runSomewhere tries endpoints until one answers. A request that may not be
// repeated is tried again only when the endpoint provably did not get it, and
// none is once bytes of an answer have gone to a caller.
func (r *Router) runSomewhere(ctx context.Context, q *request, run *joiner.Run) (*joiner.Answer, error) {
	tried := map[string]bool{}
	var last error
	for len(tried) < maxTries {
		e, err := r.pick(ctx, q, tried)
		if err != nil && last != nil {
			return lastAnswer(run, last)
		}
		if err != nil {
			return nil, err
		}
		tried[e.Name()] = true
		a, err := r.runAt(ctx, q, e, run)
		if err == nil {
			return a, nil
		}
		last = err
		var f *runError
		if run.Seen() || ctx.Err() != nil || !errors.As(err, &f) || f.final || f.dispatched && !q.repeatable {
			return nil, err
		}
		if len(tried) < maxTries && !r.allowRetry(ctx, q) {
			return lastAnswer(run, err)
		}
	}
	return lastAnswer(run, last)
}

func lastAnswer(run *joiner.Run, err error) (*joiner.Answer, error) {
	var f *runError
	if !errors.As(err, &f) || f.answer == nil {
		return nil, err
	}
	return f.answer, accept(run, f.answer, f.body)
}

// runAt runs the request at one endpoint.
func (r *Router) runAt(ctx context.Context, q *request, e *rattanhoist.Endpoint, run *joiner.Run) (*joiner.Answer, error) {
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
		run.Undispatch()
	}
	return a, err
}
