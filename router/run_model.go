package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
)

const (
	// headerStreamID names a run at an engine that can resume its stream.
	headerStreamID = "Stream-Id"
	// maxResumes bounds the connections of one run after the first.
	maxResumes = 3
	// cancelTimeout bounds the request that cancels a run at an engine.
	cancelTimeout = time.Second
	// A started stream that sends nothing for a third of the remaining time,
	// within these limits, is considered broken.
	minStall      = time.Second
	maxStall      = 30 * time.Second
	stallFraction = 3
)

// errStalled is the cause with which a stalled stream is canceled.
var errStalled = errors.New("the stream has stalled")

// runModel runs a request at a model engine, always as a stream.
func (r *Router) runModel(ctx context.Context, q *request, e *rattanhoist.Endpoint, run *joiner.Run, d *dispatchStats) (*joiner.Answer, error) {
	body, err := engineBody(q)
	if err != nil {
		return nil, &runError{cause: err, final: true}
	}
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := r.dispatch(c, q, e, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, q)
	}
	s := joiner.Stream{ID: resp.Header.Get(headerStreamID), Endpoint: e.Name()}
	if err := run.Begin(s); err != nil {
		return nil, &runError{cause: err, dispatched: true, final: true}
	}
	if s.ID != "" {
		r.queueRunRecord(q, s)
	}
	a := newAssembler(q, run)
	a.onText = d.recordText
	err = readWithStallTimeout(a, resp, q.deadline, cancel)
	d.cachedTokens = a.usage.cachedTokens()
	return r.finishModel(ctx, q, e, a, s, err)
}

// resumeModel takes over a stream that another router started, from its first
// byte.
func (r *Router) resumeModel(ctx context.Context, q *request, e *rattanhoist.Endpoint, run *joiner.Run, s joiner.Stream) (*joiner.Answer, error) {
	if err := run.Begin(s); err != nil {
		return nil, err
	}
	a := newAssembler(q, run)
	return r.finishModel(ctx, q, e, a, s, r.resume(ctx, q, e, a, s))
}

// finishModel resumes a broken stream if the engine supports it, and cancels
// the run if that fails. The length and the digest continue across connections,
// because it is the same run.
func (r *Router) finishModel(ctx context.Context, q *request, e *rattanhoist.Endpoint, a *assembler, s joiner.Stream, err error) (*joiner.Answer, error) {
	for try := 0; err != nil && try < maxResumes && ctx.Err() == nil && s.ID != "" && errors.Is(err, ErrIncomplete); try++ {
		peerCounters.Add("streams_resumed", 1)
		err = r.resume(ctx, q, e, a, s)
	}
	if err == nil {
		a.answer.Endpoint = e.Name()
		return &a.answer, nil
	}
	if s.ID != "" {
		r.cancelStream(e, s)
	}
	return nil, &runError{cause: err, dispatched: true}
}

// resume connects to a stream again, at the number of bytes received so far.
func (r *Router) resume(ctx context.Context, q *request, e *rattanhoist.Endpoint, a *assembler, s joiner.Stream) error {
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h, err := http.NewRequestWithContext(c, http.MethodGet, streamURL(e, s)+"?offset="+strconv.FormatInt(a.answer.Length, 10), nil)
	if err != nil {
		return err
	}
	h.Header.Set(headerRequestID, q.key.String())
	resp, err := r.engineClient.Do(h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK || resp.Header.Get(headerStreamID) != s.ID {
		return ErrEndpointStatus
	}
	return readWithStallTimeout(a, resp, q.deadline, cancel)
}

func streamURL(e *rattanhoist.Endpoint, s joiner.Stream) string {
	return "http://" + e.Address() + "/v1/streams/" + url.PathEscape(s.ID)
}

// readWithStallTimeout reads a stream and cancels it when it stalls, so that
// there is time left to resume it or to run the request elsewhere.
func readWithStallTimeout(a *assembler, resp *http.Response, deadline time.Time, cancel context.CancelCauseFunc) error {
	bound := func() time.Duration { return min(max(time.Until(deadline)/stallFraction, minStall), maxStall) }
	var watch *time.Timer
	a.onEvent = func() {
		if watch == nil {
			watch = time.AfterFunc(bound(), func() { cancel(errStalled) })
			return
		}
		watch.Reset(bound())
	}
	defer func() {
		if watch != nil {
			watch.Stop()
		}
	}()
	return a.read(resp.Body)
}

// cancelStream cancels a run at the engine that nobody waits for any more. By
// itself, the engine would notice only after its own grace period.
func (r *Router) cancelStream(e *rattanhoist.Endpoint, s joiner.Stream) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		h, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(e, s), nil)
		if err != nil {
			return
		}
		if resp, err := r.engineClient.Do(h); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// engineBody returns the body for the engine, with streaming and the limit of
// the answer set by the router.
func engineBody(q *request) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(q.body, &m); err != nil {
		return nil, err
	}
	m["stream"] = json.RawMessage("true")
	m["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	m["max_tokens"] = json.RawMessage(strconv.FormatInt(q.maxAnswer, 10))
	delete(m, "max_completion_tokens")
	return json.Marshal(m)
}
