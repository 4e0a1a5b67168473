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

// dispatch sends a request to an endpoint. A returned runError says whether the
// endpoint may have received the request.
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
	// The HTTP client retries some requests on its own if a kept connection
	// turns out to be closed. Without a replayable body it can't run one twice.
	h.GetBody = nil
	if !q.repeatable {
		// The HTTP client still retries GET and similar requests that have no
		// body. On a new connection it has no reason to.
		h.Close = true
	}
	look := &dispatchCheck{usable: func() bool { return r.tracker.Usable(e, time.Now()) }}
	resp, err := r.engineClient.Do(h.WithContext(look.attach(ctx)))
	if err != nil && look.refused.Load() {
		return nil, &runError{cause: rattanhoist.ErrNoEndpoint}
	}
	if err != nil {
		return nil, &runError{cause: err, dispatched: !dialFailed(err)}
	}
	return resp, nil
}

// statusError converts an unsuccessful status of an endpoint into an error.
// Engines answer 429 and 503 before they run a request, so it can be sent to
// another endpoint. For a request that is not repeatable this is not relied on:
// it counts as dispatched.
func statusError(resp *http.Response, q *request) error {
	cause := &Problem{
		Status: http.StatusBadGateway, Code: CodeEndpointFailed, Outcome: Unknown, After: defaultRetryAfter,
		Detail: "the endpoint answered " + truncateReason(resp.Status),
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

// dialFailed reports whether the connection could not be established, so that
// nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
