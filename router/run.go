package router

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist"
)

// Errors of an endpoint's answer. Compare with errors.Is.
var (
	// ErrFragment says that an answer ended before its completion mark.
	ErrFragment = merry.Sentinel("the endpoint's answer is not whole")
	// ErrCrossed says that an answer belongs to another request.
	ErrCrossed = merry.Sentinel("the endpoint answered another request")
	// ErrEndpointStatus says that the endpoint refused.
	ErrEndpointStatus = merry.Sentinel("the endpoint refused")
)

const maxEvent = 1 << 20

// engineEvent is one event of a model engine's stream.
type engineEvent struct {
	ID      string   `json:"id"`
	Offset  int64    `json:"offset"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
	Length  int64    `json:"length"`
	Digest  string   `json:"digest"`
}

// runModel runs a request at a model engine, always as a stream.
func (r *Router) runModel(ctx context.Context, q *request, e *rattanhoist.Endpoint, s sink) (*result, error) {
	body, err := engineBody(q)
	if err != nil {
		return nil, &runError{cause: err}
	}
	resp, err := r.dispatch(ctx, q, e, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := &assembler{request: q, sink: s, digest: sha256.New()}
	if err := a.read(resp.Body); err != nil {
		return nil, &runError{cause: err, dispatched: true, passed: s.passed()}
	}
	a.result.endpoint = e.Name()
	return &a.result, nil
}

// engineBody sets what the router decides: a stream and a bounded answer.
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

// dispatch sends a request; an error says whether the endpoint may have it.
func (r *Router) dispatch(ctx context.Context, q *request, e *rattanhoist.Endpoint, method, path string, body []byte) (*http.Response, error) {
	h, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &runError{cause: err}
	}
	h.Header.Set("Content-Type", "application/json")
	if q.contentType != "" {
		h.Header.Set("Content-Type", q.contentType)
	}
	h.Header.Set(headerRequestID, q.key.String())
	h.Header.Set(headerPriority, strconv.Itoa(q.priority))
	// A Go client resends some requests by itself when a kept connection
	// turns out closed; without a replayable body it can't run one twice.
	h.GetBody = nil
	// A router that was stopped between the choice and here must not send
	// work on what it knew before.
	if !r.tracker.Usable(e, time.Now()) {
		return nil, &runError{cause: rattanhoist.ErrNoEndpoint}
	}
	resp, err := r.engines.Do(h)
	if err != nil {
		return nil, &runError{cause: err, dispatched: !neverSent(err)}
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		_ = resp.Body.Close()
		return nil, &runError{cause: ErrEndpointStatus}
	}
	return resp, nil
}

// neverSent reports whether the connection was never made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// assembler checks a stream and passes it on in order.
type assembler struct {
	request *request
	sink    sink
	digest  hash.Hash
	result  result
	whole   bool
}

func (a *assembler) read(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEvent)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			break
		}
		if err := a.event(data); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	if !a.whole {
		return ErrFragment
	}
	return nil
}

func (a *assembler) event(data string) error {
	var e engineEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return merry.Wrap(ErrFragment, merry.AppendMessage(err.Error()))
	}
	if e.ID != a.request.key.String() {
		return ErrCrossed
	}
	if len(e.Choices) == 0 {
		return nil
	}
	c := e.Choices[0]
	if c.Delta != nil && c.Delta.Content != "" {
		if err := a.text(e.Offset, c.Delta.Content); err != nil {
			return err
		}
	}
	if c.FinishReason != nil {
		return a.end(e)
	}
	return nil
}

func (a *assembler) text(offset int64, text string) error {
	if offset != a.result.length {
		return ErrFragment
	}
	a.digest.Write([]byte(text))
	a.result.length += int64(len(text))
	return a.sink.chunk(offset, text)
}

// end compares the engine's length and digest with what arrived: a stream
// that lost a piece, or holds a piece of another, must not pass as whole.
func (a *assembler) end(e engineEvent) error {
	a.result.digest = hex.EncodeToString(a.digest.Sum(nil))
	if e.Length != a.result.length || e.Digest != a.result.digest || e.Usage == nil {
		return ErrFragment
	}
	a.result.promptTokens = e.Usage.PromptTokens
	a.result.answerTokens = e.Usage.CompletionTokens
	a.whole = true
	return nil
}

// runPlain runs a call at a plain service and passes its answer through.
func (r *Router) runPlain(ctx context.Context, q *request, e *rattanhoist.Endpoint, s sink) (*result, error) {
	resp, err := r.dispatch(ctx, q, e, q.method, q.path, q.body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, r.settings.Policy().MaxBody()))
	if err != nil {
		return nil, &runError{cause: err, dispatched: true}
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != q.key.String() {
		return nil, &runError{cause: ErrCrossed, dispatched: true}
	}
	out := s.(*plainSink)
	out.status, out.headers, out.body = resp.StatusCode, resp.Header, body
	sum := sha256.Sum256(body)
	return &result{endpoint: e.Name(), length: int64(len(body)), digest: hex.EncodeToString(sum[:])}, nil
}
