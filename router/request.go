package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/enforcer"
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
	// maxPrefixBytes is the length of the start of a prompt whose hash
	// identifies requests with the same prefix.
	maxPrefixBytes = 256
)

// chatBody holds the fields of a chat completion request that the router reads.
type chatBody struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens *int64 `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	N                   *int64          `json:"n"`
}

// request is a parsed request. It is immutable after parsing.
type request struct {
	key       rattanhoist.RequestKey
	workspace *configurer.Workspace
	service   *messenger.Service
	body      []byte
	// method, path (escaped), rawQuery and header are sent to the endpoint.
	method, path, rawQuery string
	header                 http.Header
	// digest covers everything that the request asks for.
	digest joiner.Digest
	// generatedID means that this router made up the id, so that there was no
	// earlier attempt.
	generatedID bool
	ticket      ticket
	// rerouted means that another router was asked before.
	rerouted bool
	// resume is the stream from which the caller already has bytes.
	resume   joiner.Stream
	streamed bool
	// maxAnswer bounds the answer in generated tokens.
	maxAnswer  int64
	repeatable bool
	// priority is 0 (first) to 9.
	priority   int
	deadline   time.Time
	prefixHash uint64
	// maxCharge is the largest charge that the request can cause.
	maxCharge rattanhoist.Tokens
}

// parser parses requests against one configuration snapshot and the limits of
// the settings.
type parser struct {
	snapshot       *configurer.Snapshot
	maxBody        int64
	defaultTimeout time.Duration
	maxTimeout     time.Duration
	now            time.Time
	// newID generates the id of a request that comes without one.
	newID func(workspace string) string
}

const chatPath = "/v1/chat/completions"

// parseChat parses a chat completion request.
func (p parser) parseChat(r *http.Request) (*request, error) {
	q, err := p.parseCommon(r)
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
	if err := q.setLimits(b); err != nil {
		return nil, err
	}
	q.method, q.path, q.header = http.MethodPost, chatPath, http.Header{"Content-Type": {"application/json"}}
	q.prefixHash = xxhash.Sum64(b.Messages[:min(len(b.Messages), maxPrefixBytes)])
	return q, p.parseOptions(r, q)
}

// setLimits sets the longest answer and the largest charge. A token is at least
// one byte, so the length of the messages in bytes bounds the prompt tokens.
func (q *request) setLimits(b chatBody) error {
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
	q.maxCharge, err = prompt.Add(answer)
	if err != nil {
		return badField("max_tokens", err.Error())
	}
	return nil
}

// parsePlain parses a call to a plain service.
func (p parser) parsePlain(r *http.Request, service, path string) (*request, error) {
	q, err := p.parseCommon(r)
	if err != nil {
		return nil, err
	}
	q.service, err = p.snapshot.Service(service)
	if err != nil || q.service.Kind != messenger.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, &Problem{Status: http.StatusNotFound, Code: CodeUnknownService, Field: "path", Outcome: NotRun, Detail: "no plain service is named " + strconv.Quote(service)}
	}
	q.method, q.path, q.rawQuery = r.Method, path, r.URL.RawQuery
	q.header = filterHeader(r.Header, forwardedRequestHeaders)
	q.maxCharge = rattanhoist.Tokens(q.service.CallPrice)
	return q, p.parseOptions(r, q)
}

// parseCommon reads what chat and plain requests have in common: the workspace,
// the id and the body.
func (p parser) parseCommon(r *http.Request) (*request, error) {
	key := bearerKey(r)
	if key == "" {
		return nil, &Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "want Authorization: Bearer KEY"}
	}
	w, err := p.snapshot.WorkspaceByKey(key)
	if err != nil {
		return nil, err
	}
	q := &request{workspace: w}
	if err := p.parseID(r, q); err != nil {
		return nil, err
	}
	q.body, err = p.readBody(r)
	return q, err
}

// parseID reads the request id. A ticket serves as the id even if it is sent in
// the idempotency header alone, because every attempt must be decided by the
// same keeper.
func (p parser) parseID(r *http.Request, q *request) error {
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
	if !isPrintable(id) {
		return badField(headerIdempotencyKey, "want printable ASCII characters")
	}
	if id == "" {
		id, q.generatedID = p.newID(q.workspace.Name()), true
	}
	q.key = rattanhoist.NewRequestKey(q.workspace.Name(), id)
	q.ticket, _ = parseTicket(id)
	return nil
}

// isPrintable reports whether an id consists of printable ASCII characters.
// Others can't be carried by a header or by the RPC protocol.
func isPrintable(id string) bool {
	for _, c := range []byte(id) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// readBody reads the whole body, up to the size limit.
func (p parser) readBody(r *http.Request) ([]byte, error) {
	body, err := holding(r).ReadAll(http.MaxBytesReader(nil, r.Body, p.maxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &Problem{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Field: "body", Outcome: NotRun, Detail: "the body is larger than " + strconv.FormatInt(p.maxBody, 10) + " bytes"}
	}
	if errors.Is(err, enforcer.ErrMemory) {
		return nil, &Problem{Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Field: "body", Outcome: NotRun, Detail: "this router holds too many bodies", After: defaultRetryAfter}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, bodyTimeoutProblem(r)
	}
	if err != nil {
		return nil, badField("body", "could not be read: "+err.Error())
	}
	return body, nil
}

// bodyTimeoutProblem refuses a body that did not arrive in time. If the caller
// sent an id or a ticket, an earlier attempt may have run, so the outcome is
// unknown.
func bodyTimeoutProblem(r *http.Request) *Problem {
	p := &Problem{Status: http.StatusRequestTimeout, Code: CodeTooSlow, Field: "body", Outcome: NotRun, Detail: "the body did not come within " + bodyTimeLimit(r.Header, bodyTimeout).String()}
	if r.Header.Get(headerIdempotencyKey) != "" || r.Header.Get(headerTicket) != "" {
		p.Outcome = Unknown
	}
	return p
}

// parseOptions reads the headers whose defaults depend on the service, and
// computes the digest.
func (p parser) parseOptions(r *http.Request, q *request) error {
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
