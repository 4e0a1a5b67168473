package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/messenger"
)

// Headers of a request.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Request-Timeout"
	headerRepeatable     = "Request-Repeatable"
	headerPriority       = "Request-Priority"
	headerRequestID      = "Request-Id"
)

const (
	maxRequestID = 200
	maxPriority  = 9
	// prefixBytes is how much of a prompt tells requests of one prefix.
	prefixBytes = 256
)

// chatBody is the part of a chat completion request that the router reads.
type chatBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens *int64 `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	N                   *int64          `json:"n"`
}

// request is one parsed request; immutable after parsing.
type request struct {
	key       rattanhoist.RequestKey
	workspace *configurer.Workspace
	service   *messenger.Service
	body      []byte
	// Method, path (as escaped), raw query and header are what the endpoint gets.
	method, path, rawQuery string
	header                 http.Header
	// Digest sums up what the request asks for.
	digest joiner.Digest
	// OwnID says that the id was made here, so that there was no earlier
	// attempt.
	ownID  bool
	ticket ticket
	// Again says that another router was asked before.
	again bool
	// Resume is where bytes that the caller has had came from.
	resume   joiner.Stream
	streamed bool
	// MaxAnswer bounds the answer in generated tokens.
	maxAnswer  int64
	repeatable bool
	// Priority is 0 (first) to 9.
	priority int
	deadline time.Time
	prefix   uint64
	// Worst is the largest charge that the request can cause.
	worst rattanhoist.Tokens
}

// parser reads requests against one snapshot and the bounds of the settings.
type parser struct {
	snapshot       *configurer.Snapshot
	maxBody        int64
	defaultTimeout time.Duration
	maxTimeout     time.Duration
	now            time.Time
	// NewID makes the id of a request that comes without one.
	newID func(workspace string) string
}

const chatPath = "/v1/chat/completions"

func (p parser) chat(r *http.Request) (*request, error) {
	q, err := p.common(r)
	if err != nil {
		return nil, err
	}
	var b chatBody
	if err := decodeChat(q.body, &b); err != nil {
		return nil, err
	}
	if b.Model == "" {
		return nil, badField("model", "missing")
	}
	if len(bytes.TrimSpace(b.Messages)) == 0 || b.Messages[0] != '[' {
		return nil, badField("messages", "missing; want a list of messages")
	}
	q.service, err = p.snapshot.ServiceByModel(b.Model)
	if err != nil {
		return nil, &Problem{Status: http.StatusNotFound, Code: CodeUnknownModel, Field: "model", Outcome: NotRun, Detail: "no service has the model " + strconv.Quote(b.Model)}
	}
	q.streamed = b.Stream
	if err := q.bound(b); err != nil {
		return nil, err
	}
	q.method, q.path, q.header = http.MethodPost, chatPath, http.Header{"Content-Type": {"application/json"}}
	q.prefix = xxhash.Sum64(b.Messages[:min(len(b.Messages), prefixBytes)])
	return q, p.finish(r, q)
}

// bound sets the largest answer and the largest charge. A token is at least
// one byte, so the bytes of the messages bound the prompt's tokens.
func (q *request) bound(b chatBody) error {
	q.maxAnswer = q.service.MaxAnswerTokens
	for _, f := range []struct {
		name  string
		value *int64
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}} {
		if f.value == nil {
			continue
		}
		if *f.value <= 0 {
			return badField(f.name, "want a positive number")
		}
		q.maxAnswer = min(q.maxAnswer, *f.value)
	}
	prompt, err := rattanhoist.Tokens(q.service.PromptPrice).Mul(int64(len(b.Messages)))
	if err != nil {
		return badField("messages", err.Error())
	}
	answer, err := rattanhoist.Tokens(q.service.AnswerPrice).Mul(q.maxAnswer)
	if err != nil {
		return badField("max_tokens", err.Error())
	}
	q.worst, err = prompt.Add(answer)
	if err != nil {
		return badField("max_tokens", err.Error())
	}
	return nil
}

func (p parser) plain(r *http.Request, service, path string) (*request, error) {
	q, err := p.common(r)
	if err != nil {
		return nil, err
	}
	q.service, err = p.snapshot.Service(service)
	if err != nil || q.service.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, &Problem{Status: http.StatusNotFound, Code: CodeUnknownService, Field: "path", Outcome: NotRun, Detail: "no plain service is named " + strconv.Quote(service)}
	}
	q.method, q.path, q.rawQuery = r.Method, path, r.URL.RawQuery
	q.header = filterHeader(r.Header, forwardedRequestHeaders)
	q.worst = rattanhoist.Tokens(q.service.CallPrice)
	return q, p.finish(r, q)
}

// common reads what both shapes share: the caller, the body and the identity.
func (p parser) common(r *http.Request) (*request, error) {
	key := bearerKey(r)
	if key == "" {
		return nil, &Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "want Authorization: Bearer KEY"}
	}
	w, err := p.snapshot.WorkspaceByKey(key)
	if err != nil {
		return nil, err
	}
	q := &request{workspace: w}
	if err := p.identify(r, q); err != nil {
		return nil, err
	}
	q.body, err = p.readBody(r)
	return q, err
}

// identify reads the id. A ticket is the id, also where it comes without its
// header: every attempt must be decided in the same place.
func (p parser) identify(r *http.Request, q *request) error {
	id := r.Header.Get(headerIdempotencyKey)
	if t := r.Header.Get(headerTicket); t != "" {
		if _, ok := parseTicket(t); !ok {
			return badField(headerTicket, "not a ticket; take one with POST /v1/tickets")
		}
		if id != "" && id != t {
			return badField(headerIdempotencyKey, "differs from the ticket; send the ticket alone")
		}
		id = t
	}
	if len(id) > maxRequestID {
		return badField(headerIdempotencyKey, "longer than 200 characters")
	}
	if !printable(id) {
		return badField(headerIdempotencyKey, "want printable ASCII characters")
	}
	if id == "" {
		id, q.ownID = p.newID(q.workspace.Name()), true
	}
	q.key = rattanhoist.NewRequestKey(q.workspace.Name(), id)
	q.ticket, _ = parseTicket(id)
	return nil
}

// printable keeps ids out that a header or the protocol can't carry.
func printable(id string) bool {
	for _, c := range []byte(id) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func (p parser) readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, p.maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Field: "body", Outcome: NotRun, Detail: "the body is larger than " + strconv.FormatInt(p.maxBody, 10) + " bytes"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, tooSlow(r)
	}
	if err != nil {
		return nil, badField("body", "could not be read: "+err.Error())
	}
	return body, nil
}

// tooSlow refuses a body that did not come in time. Under an id or a ticket
// that was sent before, an earlier sending may have run.
func tooSlow(r *http.Request) *Problem {
	p := &Problem{Status: http.StatusRequestTimeout, Code: CodeTooSlow, Field: "body", Outcome: NotRun, Detail: "the body did not come within " + bodyBound(r.Header, bodyTimeout).String()}
	if r.Header.Get(headerIdempotencyKey) != "" || r.Header.Get(headerTicket) != "" {
		p.Outcome = Unknown
	}
	return p
}

// finish reads the headers that need the service.
func (p parser) finish(r *http.Request, q *request) error {
	timeout := p.defaultTimeout
	if v := r.Header.Get(headerTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > p.maxTimeout {
			return badField(headerTimeout, "want a duration such as 30s, at most "+p.maxTimeout.String())
		}
		timeout = d
	}
	q.deadline = p.now.Add(timeout)
	q.repeatable = !q.service.NotRepeatable
	if v := r.Header.Get(headerRepeatable); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return badField(headerRepeatable, "want true or false")
		}
		q.repeatable = b
	}
	if v := r.Header.Get(headerPriority); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxPriority {
			return badField(headerPriority, "want 0 to 9")
		}
		q.priority = n
	}
	q.digest = requestDigest(q)
	return nil
}
