package router

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/tracer"
)

// dispatch sends a request; an error says whether the endpoint may have it.
func (r *Router) dispatch(ctx context.Context, q *request, e *rattanhoist.Endpoint, body []byte) (*http.Response, error) {
	target := "http://" + e.Address() + q.path
	if q.rawQuery != "" {
		target += "?" + q.rawQuery
	}
	h, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, &runError{cause: err, final: true}
	}
	for name, values := range q.header {
		h.Header[name] = values
	}
	h.Header.Set(headerRequestID, q.key.String())
	tracer.Inject(ctx, h.Header)
	h.Header.Set(headerPriority, strconv.Itoa(q.priority))
	// A Go client resends some requests by itself when a kept connection
	// turns out closed; without a replayable body it can't run one twice.
	h.GetBody = nil
	if !q.repeatable {
		// It does resend GET and the like without a body; a fresh connection
		// gives it no cause to.
		h.Close = true
	}
	look := &lastLook{usable: func() bool { return r.tracker.Usable(e, time.Now()) }}
	resp, err := r.engines.Do(h.WithContext(look.arm(ctx)))
	if err != nil && look.refused.Load() {
		return nil, &runError{cause: rattanhoist.ErrNoEndpoint}
	}
	if err != nil {
		return nil, &runError{cause: err, dispatched: !neverSent(err)}
	}
	return resp, nil
}

// refusedBy turns an engine's status into an error. Engines answer 429 and 503
// instead of a run, before it; of a request that may not be repeated this is
// not taken on trust.
func refusedBy(resp *http.Response, q *request) error {
	cause := &Problem{
		Status: http.StatusBadGateway, Code: CodeEndpointFailed, Outcome: Unknown, After: retrySoon,
		Detail: "the endpoint answered " + clip(resp.Status),
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return &runError{cause: cause, dispatched: !q.repeatable}
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		cause.Status, cause.Code, cause.After = resp.StatusCode, CodeEndpointRefused, 0
		return &runError{cause: cause, dispatched: true, final: true}
	}
	return &runError{cause: cause, dispatched: true}
}

// neverSent reports whether the connection was never made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
