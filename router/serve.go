package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// maxTries bounds the endpoints that one request is sent to.
const maxTries = 3

// result is a whole answer of an endpoint, before it is billed.
type result struct {
	endpoint     string
	promptTokens int64
	answerTokens int64
	length       int64
	// Digest is the SHA-256 sum of the answer's bytes, in hex.
	digest string
	// Charged is set once the bill is durable.
	charged rattanhoist.Tokens
}

// runFunc has an endpoint run the request and passes its answer to the sink.
type runFunc func(context.Context, *request, *rattanhoist.Endpoint, sink) (*result, error)

// runError says how far a run got before it failed.
type runError struct {
	cause error
	// Dispatched reports whether the endpoint may have begun.
	dispatched bool
	// Passed reports whether bytes have gone to the caller.
	passed bool
}

func (e *runError) Error() string { return e.cause.Error() }
func (e *runError) Unwrap() error { return e.cause }

// serve reserves the worst case, runs the request, bills the true count and
// only then completes the answer.
func (r *Router) serve(ctx context.Context, q *request, s sink, run runFunc) error {
	release, err := r.admitTraced(ctx, q)
	if err != nil {
		return err
	}
	defer release()
	held, err := r.reserveTraced(ctx, q)
	if err != nil {
		return err
	}
	billed := false
	defer func() {
		if !billed {
			held.Release()
		}
	}()
	res, err := r.runSomewhere(ctx, q, s, run)
	if err != nil {
		return err
	}
	billed = true
	res.charged, err = r.billTraced(ctx, q, held, &messenger.Charge{
		Workspace: q.key.Workspace(), RequestId: q.key.RequestID(), Tokens: int64(min(q.cost(res), q.worst)),
		Service: q.service.Name, Endpoint: res.endpoint,
		ChargedAtMs: time.Now().UnixMilli(), Zone: r.self.Zone(),
	})
	if err != nil {
		return &Problem{Status: http.StatusServiceUnavailable, Code: CodeBillingFailed, Outcome: Unknown, Detail: "the answer could not be billed: " + err.Error(), After: retrySoon}
	}
	return s.complete(res)
}

// cost is the price of an answer in budget tokens; the checked worst case
// bounds it, so the products fit.
func (q *request) cost(res *result) rattanhoist.Tokens {
	if q.service.Kind == messenger.ServiceKind_SERVICE_KIND_PLAIN {
		return rattanhoist.Tokens(q.service.CallPrice)
	}
	return rattanhoist.Tokens(q.service.PromptPrice*res.promptTokens + q.service.AnswerPrice*res.answerTokens)
}

// runSomewhere tries endpoints until one answers. A request that may not be
// repeated is tried again only when the endpoint provably did not get it, and
// no request is once bytes of an answer have gone to the caller.
func (r *Router) runSomewhere(ctx context.Context, q *request, s sink, run runFunc) (*result, error) {
	tried := map[string]bool{}
	var last error
	for len(tried) < maxTries {
		e, err := r.pick(ctx, q, tried)
		if err != nil {
			return nil, errors.Join(last, err)
		}
		tried[e.Name()] = true
		d := r.began(q, e)
		res, err := r.runTraced(ctx, q, e, s, run)
		d.end(res, err)
		if err == nil {
			return res, nil
		}
		last = err
		var f *runError
		if errors.As(err, &f) && (f.passed || f.dispatched && !q.repeatable) {
			return nil, err
		}
		if !r.mayRetry(ctx, q) {
			return nil, err
		}
	}
	return nil, last
}
