// Package imitator holds stand-ins for what surrounds the product: model
// engines, plain services and callers. It is never linked into the product.
package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Headers between a router and an endpoint.
const (
	headerRequestID = "Request-Id"
	headerPriority  = "Request-Priority"
	// HeaderStreamID names the stream under which an answer can be resumed.
	HeaderStreamID = "Stream-Id"
)

// EngineOptions configure an engine; zero values take the defaults.
type EngineOptions struct {
	// Capacity is how many generations run at once; 8 by default.
	Capacity int
	// TokenTime is the time of a token of a generation that runs alone.
	TokenTime time.Duration
	// PrefillTime is the time for a prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the size of the prefix cache; 1024 by default.
	CacheBlocks int
	// LoadLag is the age of a reported load.
	LoadLag time.Duration
	// Grace is how long a run goes on after its connection is lost; 2s by
	// default.
	Grace time.Duration
	// Keep is how long a finished stream can be resumed; 30s by default.
	Keep time.Duration
}

const (
	defaultCapacity = 8
	defaultGrace    = 2 * time.Second
	defaultKeep     = 30 * time.Second
	maxStreams      = 4096
)

func (o EngineOptions) withDefaults() EngineOptions {
	if o.Capacity == 0 {
		o.Capacity = defaultCapacity
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultBlocks
	}
	if o.Grace == 0 {
		o.Grace = defaultGrace
	}
	if o.Keep == 0 {
		o.Keep = defaultKeep
	}
	return o
}

// Engine imitates a model engine: it batches continuously, caches prefixes,
// honours priorities, and resumes and cancels streams by id.
type Engine struct {
	options EngineOptions
	batch   *batch
	cache   *prefixCache
	report  *loadReport
	faults  Faults
	runs    *RunLog
	mux     *http.ServeMux
	mu      sync.Mutex
	// Streams maps ids to generations, for Keep after their end.
	streams map[string]*generation
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions, runs *RunLog) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o, runs: runs, streams: map[string]*generation{},
		batch:  &batch{capacity: o.Capacity, tokenTime: o.TokenTime},
		cache:  newPrefixCache(o.CacheBlocks),
		report: &loadReport{lag: o.LoadLag},
		mux:    http.NewServeMux(),
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	e.mux.Handle("/faults", &e.faults)
	return e
}

// Faults returns the faults in force.
func (e *Engine) Faults() *Faults { return &e.faults }

// Load returns the requests in progress as the engine reports them.
func (e *Engine) Load() int64 {
	now := time.Now()
	if n, ok := e.faults.lie(now); ok {
		return n
	}
	return e.report.at(now)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

type engineRequest struct {
	MaxTokens int64           `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	if e.faults.Take(time.Now(), FaultRefuse) != nil {
		http.Error(w, "refused by fault", http.StatusServiceUnavailable)
		return
	}
	var q engineRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, prompt, err := e.generation(r, q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.keep(g) {
		http.Error(w, "too many streams", http.StatusServiceUnavailable)
		return
	}
	unfollow := g.follow(e.options.Grace)
	defer unfollow()
	go e.generate(g, prompt)
	streamWriter{w: w, generation: g}.write(r.Context(), 0)
}

func (e *Engine) generation(r *http.Request, q engineRequest) (*generation, []byte, error) {
	id := r.Header.Get(headerRequestID)
	prompt, err := canonical(q.Messages)
	if err != nil {
		return nil, nil, fmt.Errorf("messages: %w", err)
	}
	answer, err := Expect(id, prompt, q.MaxTokens)
	if err != nil {
		return nil, nil, err
	}
	priority, _ := strconv.Atoi(r.Header.Get(headerPriority))
	now := time.Now()
	fault := e.faults.Take(now, FaultStall, FaultDieMidStream, FaultDrop, FaultShort, FaultUnmarked, FaultLate, FaultCrossed, FaultCrossedPiece)
	g := newGeneration(uuid.NewString(), id, answer, priority, fault, e.faults.slowdown(now))
	return g, prompt, nil
}

// keep stores a stream; it reports false when too many are held.
func (e *Engine) keep(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) >= maxStreams {
		return false
	}
	e.streams[g.streamID] = g
	return true
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

// generate runs one generation to its end, whoever follows it.
func (e *Engine) generate(g *generation, prompt []byte) {
	e.report.note(e.batch.load()+1, time.Now())
	defer func() { e.report.note(e.batch.load(), time.Now()) }()
	defer time.AfterFunc(e.options.Keep, func() { e.forget(g.streamID) })
	if !e.batch.enter(g.priority, g.cancelled) {
		g.finish(lost)
		return
	}
	defer e.batch.leave()
	done := e.runs.Begin(g.requestID)
	s := generated
	if !e.tokens(g, prompt) {
		s = lost
	}
	done(s == generated)
	g.finish(s)
}

// tokens emits the answer; it reports false when the run was lost.
func (e *Engine) tokens(g *generation, prompt []byte) bool {
	missing := g.answer.PromptTokens - e.cache.use(prompt, time.Now())
	wait := time.Duration(max(missing, 0)) * e.options.PrefillTime
	if g.has(FaultLate) {
		wait += g.fault.delay
	}
	if !g.pause(wait) {
		return false
	}
	for i := range g.answer.Tokens {
		if i == g.half() && g.has(FaultStall) {
			<-g.cancelled
			return false
		}
		if i == g.half() && g.has(FaultDieMidStream) {
			e.forget(g.streamID)
			return false
		}
		if !g.pause(e.batch.step()) {
			return false
		}
		g.emit()
	}
	return true
}

// pause waits the time of a step; it reports false when cancelled before.
func (g *generation) pause(d time.Duration) bool {
	t := time.NewTimer(time.Duration(float64(d) * g.slowdown))
	defer t.Stop()
	select {
	case <-g.cancelled:
		return false
	case <-t.C:
		return true
	}
}

func (e *Engine) stream(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// resume sends the bytes of a run from an offset on and follows it to its
// end.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	g := e.stream(r.PathValue("id"))
	if g == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeFieldError(w, &FieldError{Field: "offset", Detail: "want a number of bytes"})
		return
	}
	if offset > g.length() {
		http.Error(w, "offset is past the answer", http.StatusRequestedRangeNotSatisfiable)
		return
	}
	if _, s, _ := g.view(); s == lost {
		http.Error(w, "the run was cancelled", http.StatusGone)
		return
	}
	unfollow := g.follow(e.options.Grace)
	defer unfollow()
	streamWriter{w: w, generation: g, resumed: true}.write(r.Context(), offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	g := e.stream(r.PathValue("id"))
	if g == nil {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(e.cache.published(after, time.Now()))
}
