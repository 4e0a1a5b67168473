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
	"rattanhoist.example/rattanhoist/tracer"
)

// handler returns the HTTP surface for callers and endpoints.
func (r *Router) handler() http.Handler {
	m := http.NewServeMux()
	callers := alice.New(tracer.Middleware, r.recoverPanic, r.admitReady, boundBody(bodyTimeout))
	m.Handle("POST /v1/chat/completions", callers.ThenFunc(r.chat))
	m.Handle("POST /v1/tickets", callers.ThenFunc(r.issueTicket))
	m.Handle("/v1/services/{service}/{path...}", callers.ThenFunc(r.plain))
	m.Handle("POST /v1/endpoints", alice.New(r.recoverPanic, r.endpointKey, boundBody(bodyTimeout)).ThenFunc(r.announce))
	m.HandleFunc("GET /healthz", r.health)
	m.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("alive\n")) })
	return m
}

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

// admitReady counts a request in, or refuses it before the configuration is
// known and while draining.
func (r *Router) admitReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !r.gate.enter() {
			r.refuseUnread(drainingProblem(), w, q)
			return
		}
		defer r.gate.leave()
		activeRequests.Add(1)
		defer activeRequests.Add(-1)
		if !r.ready() {
			r.refuseUnread(&Problem{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Outcome: NotRun, Detail: "this router does not know the configuration or its zone's routers yet", After: retrySoon}, w, q)
			return
		}
		next.ServeHTTP(w, q)
	})
}

// refuseUnread refuses a request whose identity was not looked at. Of one that
// says that it may not be repeated an earlier attempt may have run, so that
// "not run" would say more than is known.
func (r *Router) refuseUnread(p *Problem, w http.ResponseWriter, q *http.Request) {
	p.RequestID = q.Header.Get(headerIdempotencyKey)
	ticket := q.Header.Get(headerTicket) != ""
	if ticket || p.RequestID != "" && r.maybeOnce(q) {
		p.Outcome = Unknown
	}
	p.write(w)
}

// maybeOnce reports whether an unread request may be one that must not be
// repeated. Of a chat only the body would tell the service, so one such service
// of models makes every chat doubtful.
func (r *Router) maybeOnce(q *http.Request) bool {
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
		return s.ChatsMayBeOnce()
	}
	service, err := s.Service(name)
	return err == nil && service.NotRepeatable
}

func (r *Router) endpointKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if key := bearerKey(q); subtle.ConstantTimeCompare([]byte(key), r.settings.EndpointKey()) != 1 {
			(&Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "want the endpoints' key as bearer token"}).write(w)
			return
		}
		next.ServeHTTP(w, q)
	})
}

func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	if r.gate.closed.Load() || !r.ready() {
		http.Error(w, r.life.Current(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (r *Router) parser() parser {
	p := r.settings.Policy()
	return parser{
		snapshot: r.snapshot.Load(), maxBody: p.MaxBody(),
		defaultTimeout: p.DefaultTimeout(), maxTimeout: p.MaxTimeout(), now: time.Now(),
		newID: r.newID,
	}
}

// newIDTries bounds the search for an id whose home is this router.
const newIDTries = 32

// newID makes an id whose home is this router where it can, which saves a
// request without an id the way to another.
func (r *Router) newID(workspace string) string {
	var id string
	for range newIDTries {
		id = uuid.NewString()
		if r.homes.home(rattanhoist.NewRequestKey(workspace, id), nil) == nil {
			break
		}
	}
	return id
}

func (r *Router) chat(w http.ResponseWriter, h *http.Request) {
	q, err := r.parser().chat(h)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	boundWrite(w, q.deadline)
	w.Header().Set(headerRequestID, q.key.RequestID())
	var s sink = &wholeSink{w: w, request: q}
	if q.streamed {
		s = &streamSink{w: w, request: q}
	}
	r.answer(h.Context(), q, s)
}

const servicesPath = "/v1/services/"

func (r *Router) plain(w http.ResponseWriter, h *http.Request) {
	service := h.PathValue("service")
	path := strings.TrimPrefix(h.URL.EscapedPath(), servicesPath+service)
	q, err := r.parser().plain(h, service, path)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	boundWrite(w, q.deadline)
	w.Header().Set(headerRequestID, q.key.RequestID())
	r.answer(h.Context(), q, &plainSink{w: w})
}

// answer gives the caller its answer or the refusal, by its deadline.
func (r *Router) answer(ctx context.Context, q *request, s sink) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	began := time.Now()
	err := r.answerVia(ctx, q, &feed{sink: s})
	r.recordEnd(q, began, err)
	if err != nil {
		p := *problemOf(err)
		p.RequestID = q.key.RequestID()
		s.fail(&p)
	}
}
