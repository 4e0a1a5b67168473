package router

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/tracer"
)

// handler returns the HTTP handler for callers and endpoints.
func (r *Router) handler() http.Handler {
	m := http.NewServeMux()
	callers := alice.New(tracer.Middleware, r.recoverPanic, r.requireReady, limitBodyTime(bodyTimeout), r.holdBody)
	m.Handle("POST /v1/chat/completions", callers.ThenFunc(r.handleChat))
	m.Handle("POST /v1/tickets", callers.ThenFunc(r.issueTicket))
	m.Handle("/v1/services/{service}/{path...}", callers.ThenFunc(r.handlePlain))
	m.Handle("POST /v1/endpoints", alice.New(r.recoverPanic, r.requireEndpointKey, limitBodyTime(bodyTimeout)).ThenFunc(r.handleAnnounce))
	m.HandleFunc("GET /healthz", r.handleHealth)
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	return m
}

// recoverPanic is middleware that answers a request whose handler panics.
func (r *Router) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			v := recover()
			if v == nil || v == http.ErrAbortHandler {
				return
			}
			r.log.Error("panic in a request", zap.Any("panic", v), zap.Stack("stack"))
			(&Problem{Status: http.StatusInternalServerError, Code: codeInternal, Outcome: Unknown, Detail: "the router failed"}).write(w)
		}()
		next.ServeHTTP(w, q)
	})
}

// holdBody is middleware that counts the memory of a body until the request is answered.
func (r *Router) holdBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		h := r.acceptor.Memory().Hold()
		defer h.Release()
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), holdingKey{}, h)))
	})
}

type holdingKey struct{}

// holding returns the account with which a request holds its body.
func holding(q *http.Request) *enforcer.Holding {
	if h, ok := q.Context().Value(holdingKey{}).(*enforcer.Holding); ok {
		return h
	}
	return (*enforcer.Memory)(nil).Hold()
}

// requireReady is middleware that counts requests in progress. It refuses them
// while the router drains or does not know the configuration and its siblings
// yet.
func (r *Router) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !r.gate.enter() {
			r.refuseUnparsed(drainingProblem(), w, q)
			return
		}
		defer r.gate.leave()
		activeRequests.Add(1)
		defer activeRequests.Add(-1)
		if !r.ready() {
			r.refuseUnparsed(&Problem{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Outcome: NotRun, Detail: "this router does not know the configuration or its zone's routers yet", After: defaultRetryAfter}, w, q)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// refuseUnparsed refuses a request before its identity is checked. If the
// request may not be repeatable, an earlier attempt may have run, so the
// outcome is "unknown" instead of "not run".
func (r *Router) refuseUnparsed(p *Problem, w http.ResponseWriter, q *http.Request) {
	p.RequestID = q.Header.Get(headerIdempotencyKey)
	ticket := q.Header.Get(headerTicket) != ""
	if ticket || p.RequestID != "" && r.mayBeNonRepeatable(q) {
		p.Outcome = Unknown
	}
	p.write(w)
}

// mayBeNonRepeatable reports whether a request that was not parsed may be one
// that must not be repeated. The service of a chat request is known only from
// the body, so a single model service that is not repeatable makes every chat
// request doubtful.
func (r *Router) mayBeNonRepeatable(q *http.Request) bool {
	if v := q.Header.Get(headerRepeatable); v != "" {
		repeatable, err := strconv.ParseBool(v)
		return err == nil && !repeatable
	}
	s := r.snapshot.Load()
	if s == nil {
		return true
	}
	name := q.PathValue("service")
	if name == "" {
		return s.HasNonRepeatableModel()
	}
	service, err := s.Service(name)
	return err == nil && service.NotRepeatable
}

// requireEndpointKey is middleware that checks the bearer key of endpoints.
func (r *Router) requireEndpointKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if key := bearerKey(q); subtle.ConstantTimeCompare([]byte(key), r.settings.EndpointKey()) != 1 {
			(&Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "want the endpoints' key as bearer token"}).write(w)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// handleHealth serves GET /healthz: 200 if the router is ready and not
// draining.
func (r *Router) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if r.gate.closed.Load() || !r.ready() {
		http.Error(w, r.lifecycle.Current(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// parser returns a request parser for the configuration in use.
func (r *Router) parser() parser {
	p := r.settings.Policy()
	return parser{
		snapshot: r.snapshot.Load(), maxBody: p.MaxBody(),
		defaultTimeout: p.DefaultTimeout(), maxTimeout: p.MaxTimeout(), now: time.Now(),
		newID: r.newRequestID,
	}
}

// maxIDAttempts bounds the search for an id whose home is this router.
const maxIDAttempts = 32

// newRequestID generates an id for a request without one. If possible, its home
// is this router, which saves a relay to another router.
func (r *Router) newRequestID(workspace string) string {
	var id string
	for range maxIDAttempts {
		id = uuid.NewString()
		if r.peers.homeOf(rattanhoist.NewRequestKey(workspace, id), nil) == nil {
			break
		}
	}
	return id
}

// handleChat serves POST /v1/chat/completions.
func (r *Router) handleChat(w http.ResponseWriter, h *http.Request) {
	q, err := r.parser().parseChat(h)
	if err != nil {
		problemFromError(err).write(w)
		return
	}
	limitWriteTime(w, q.deadline)
	w.Header().Set(headerRequestID, q.key.RequestID())
	var s sink = &jsonSink{w: w, request: q}
	if q.streamed {
		s = &streamSink{w: w, request: q}
	}
	r.respond(h.Context(), q, s)
}

const servicesPath = "/v1/services/"

// handlePlain serves requests to plain services.
func (r *Router) handlePlain(w http.ResponseWriter, h *http.Request) {
	service := h.PathValue("service")
	path := strings.TrimPrefix(h.URL.EscapedPath(), servicesPath+service)
	q, err := r.parser().parsePlain(h, service, path)
	if err != nil {
		problemFromError(err).write(w)
		return
	}
	limitWriteTime(w, q.deadline)
	w.Header().Set(headerRequestID, q.key.RequestID())
	r.respond(h.Context(), q, &plainSink{w: w})
}

// respond writes the answer or the refusal to the sink, at the latest at the
// deadline.
func (r *Router) respond(ctx context.Context, q *request, s sink) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	began := time.Now()
	err := error(&Problem{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Outcome: NotRun, Detail: "the connection is being closed", After: defaultRetryAfter})
	if acceptor.ProtectRequest(ctx) {
		err = r.answerViaHome(ctx, q, &feed{sink: s})
	}
	r.recordOutcome(q, began, err)
	if err != nil {
		p := *problemFromError(err)
		p.RequestID = q.key.RequestID()
		s.fail(&p)
	}
}
