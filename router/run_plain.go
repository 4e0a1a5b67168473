package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/pooler"
)

// runPlain runs a call at a plain service. Any status counts as an answer and
// is passed on, but after 502, 503 and 504 a repeatable call is first tried at
// other endpoints.
func (r *Router) runPlain(ctx context.Context, q *request, e *rattanhoist.Endpoint, run *joiner.Run, _ *dispatchStats) (*joiner.Answer, error) {
	resp, err := r.dispatch(ctx, q, e, q.body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := r.readPlainBody(q, resp)
	if err != nil {
		return nil, &runError{cause: err, dispatched: true}
	}
	sum := sha256.Sum256(body)
	a := &joiner.Answer{
		Endpoint: e.Name(), Length: int64(len(body)), Digest: hex.EncodeToString(sum[:]),
		Status: resp.StatusCode, Header: filterHeader(resp.Header, forwardedAnswerHeaders),
	}
	if q.method == http.MethodHead && resp.ContentLength >= 0 {
		a.Header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if q.repeatable && isRetryableStatus(resp.StatusCode) {
		return nil, &runError{cause: ErrEndpointStatus, dispatched: true, answer: a, body: body}
	}
	return a, appendPlainAnswer(run, a, body)
}

// isRetryableStatus reports whether another endpoint may answer better.
func isRetryableStatus(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// appendPlainAnswer appends the body of a plain answer to the run.
func appendPlainAnswer(run *joiner.Run, a *joiner.Answer, body []byte) error {
	if err := run.Begin(joiner.Stream{Endpoint: a.Endpoint}); err != nil {
		return err
	}
	return run.Append(0, string(body))
}

// readPlainBody reads the whole body. A body that has no length and ends with
// its connection can't be distinguished from a truncated one, so it is refused.
func (r *Router) readPlainBody(q *request, resp *http.Response) ([]byte, error) {
	if id := resp.Header.Get(headerRequestID); id != "" && id != q.key.String() {
		return nil, ErrWrongRequest
	}
	if _, err := pooler.CheckHead(resp); err != nil {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessage(err.Error()))
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && q.method != http.MethodHead {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessage("the answer has neither a length nor an end mark"))
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, r.settings.Policy().MaxBody()))
	if err != nil {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessage(err.Error()))
	}
	return body, nil
}
