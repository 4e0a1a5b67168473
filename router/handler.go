package router

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/justinas/alice"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/tracer"
)

// handler returns the HTTP surface for callers and endpoints.
func (r *Router) handler() http.Handler {
	m := http.NewServeMux()
	callers := alice.New(tracer.Middleware, r.recoverPanic, r.admitReady, r.countActive)
	m.Handle("POST /v1/chat/completions", callers.ThenFunc(r.chat))
	m.Handle("/v1/services/{service}/{path...}", callers.ThenFunc(r.plain))
	m.Handle("POST /v1/endpoints", alice.New(r.recoverPanic, r.endpointKey).ThenFunc(r.announce))
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
			(&Problem{Status: http.StatusInternalServerError, Code: "internal", Outcome: Unknown, Detail: "the router failed"}).write(w)
		}()
		next.ServeHTTP(w, q)
	})
}

// admitReady refuses before the configuration is known and while draining.
func (r *Router) admitReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case r.life.Is(stateDraining):
			(&Problem{Status: http.StatusServiceUnavailable, Code: CodeDraining, Outcome: NotRun, Detail: "this router is shutting down; ask another", After: retrySoon}).write(w)
		case r.snapshot.Load() == nil:
			(&Problem{Status: http.StatusServiceUnavailable, Code: CodeNotReady, Outcome: NotRun, Detail: "this router does not know the configuration yet", After: retrySoon}).write(w)
		default:
			next.ServeHTTP(w, q)
		}
	})
}

func (r *Router) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.active.Add(1)
		defer r.active.Done()
		activeRequests.Add(1)
		defer activeRequests.Add(-1)
		next.ServeHTTP(w, q)
	})
}

func (r *Router) endpointKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), r.settings.EndpointKey()) != 1 {
			(&Problem{Status: http.StatusUnauthorized, Code: CodeUnknownKey, Field: "Authorization", Outcome: NotRun, Detail: "want the endpoints' key as bearer token"}).write(w)
			return
		}
		next.ServeHTTP(w, q)
	})
}

func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	if r.life.Is(stateDraining) || r.snapshot.Load() == nil {
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
	}
}

func (r *Router) chat(w http.ResponseWriter, h *http.Request) {
	q, err := r.parser().chat(h)
	if err != nil {
		problemOf(err).write(w)
		return
	}
	w.Header().Set(headerRequestID, q.key.RequestID())
	var s sink = &wholeSink{w: w, request: q}
	if q.streamed {
		s = &streamSink{w: w, request: q}
	}
	r.answer(h.Context(), q, s, r.runModel)
}

func (r *Router) plain(w http.ResponseWriter, h *http.Request) {
	q, err := r.parser().plain(h, h.PathValue("service"), h.PathValue("path"))
	if err != nil {
		problemOf(err).write(w)
		return
	}
	w.Header().Set(headerRequestID, q.key.RequestID())
	r.answer(h.Context(), q, &plainSink{w: w}, r.runPlain)
}

func (r *Router) answer(ctx context.Context, q *request, s sink, run runFunc) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	began := time.Now()
	err := r.serve(ctx, q, s, run)
	r.recordEnd(q, began, err)
	if err != nil {
		p := problemOf(err)
		p.RequestID = q.key.RequestID()
		s.fail(p)
	}
}
