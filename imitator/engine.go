// Package imitator holds stand-ins for what surrounds the product: model
// engines, plain services and callers. It is never linked into the product.
package imitator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that a router sends to an endpoint.
const (
	headerRequestID = "Request-Id"
)

var words = strings.Fields("roof beam joist damp crack tile gutter render sill hinge paint drain wall slab vent pipe")

// Answer returns the n words that every engine generates for a request: it
// depends on the request's identity and body alone, so anyone can tell the
// whole answer from a fragment or another's.
func Answer(requestID string, body []byte, n int64) []string {
	sum := sha256.Sum256(append([]byte(requestID+"\x00"), body...))
	r := rand.New(rand.NewChaCha8(sum))
	out := make([]string, 0, n)
	for range n {
		out = append(out, words[r.IntN(len(words))]+" ")
	}
	return out
}

// Engine imitates a model engine that batches continuously.
type Engine struct {
	// Slots holds a value for each request that runs.
	slots chan struct{}
	// TokenTime is the pause between two tokens.
	tokenTime time.Duration
	runs      *RunLog
}

// NewEngine returns an engine that runs capacity requests at once.
func NewEngine(capacity int, tokenTime time.Duration, runs *RunLog) *Engine {
	return &Engine{slots: make(chan struct{}, capacity), tokenTime: tokenTime, runs: runs}
}

// Load returns the requests in progress.
func (e *Engine) Load() int64 { return int64(len(e.slots)) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		MaxTokens int64           `json:"max_tokens"`
		Messages  json.RawMessage `json:"messages"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	id := r.Header.Get(headerRequestID)
	done := e.runs.Begin(id)
	s := engineStream{w: w, id: id}
	err := s.generate(r.Context(), Answer(id, q.Messages, answerLength(id, q.MaxTokens)), e.tokenTime, promptTokens(q.Messages))
	done(err == nil)
}

// answerLength varies the answers between half and all of the bound.
func answerLength(id string, most int64) int64 {
	sum := sha256.Sum256([]byte(id))
	half := most / 2
	return half + int64(sum[0])%max(most-half, 1) + 1
}

// promptTokens counts about four bytes to a token, as engines do.
func promptTokens(messages json.RawMessage) int64 { return int64(len(messages)+3) / 4 }

type engineStream struct {
	w      http.ResponseWriter
	id     string
	offset int
}

func (s *engineStream) generate(ctx context.Context, tokens []string, pause time.Duration, prompt int64) error {
	s.w.Header().Set("Content-Type", "text/event-stream")
	digest := sha256.New()
	for _, t := range tokens {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		digest.Write([]byte(t))
		if err := s.send(map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": t}}}}); err != nil {
			return err
		}
		s.offset += len(t)
	}
	err := s.send(map[string]any{
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}},
		"usage":   map[string]int64{"prompt_tokens": prompt, "completion_tokens": int64(len(tokens))},
		"length":  s.offset, "digest": hex.EncodeToString(digest.Sum(nil)),
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err
}

func (s *engineStream) send(event map[string]any) error {
	event["id"] = s.id
	event["object"] = "chat.completion.chunk"
	event["offset"] = s.offset
	b, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// Plain imitates a plain service; it counts its runs for each request.
type Plain struct {
	runs *RunLog
	work time.Duration
	busy chan struct{}
}

// NewPlain returns a plain service whose calls take work time.
func NewPlain(capacity int, work time.Duration, runs *RunLog) *Plain {
	return &Plain{runs: runs, work: work, busy: make(chan struct{}, capacity)}
}

// Load returns the calls in progress.
func (p *Plain) Load() int64 { return int64(len(p.busy)) }

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.busy <- struct{}{}
	defer func() { <-p.busy }()
	id := r.Header.Get(headerRequestID)
	done := p.runs.Begin(id)
	time.Sleep(p.work)
	done(true)
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Run-Count", strconv.Itoa(p.runs.Count(id)))
	_ = json.NewEncoder(w).Encode(map[string]string{"request_id": id, "path": r.URL.Path, "state": "done"})
}
