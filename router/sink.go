package router

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/joiner"
)

// answerMetadata is the extension that the router adds to answers in the chat
// completion format.
type answerMetadata struct {
	RequestID     string `json:"request_id"`
	Offset        int64  `json:"offset"`
	Complete      bool   `json:"complete"`
	Length        int64  `json:"length,omitempty"`
	Digest        string `json:"digest,omitempty"`
	Endpoint      string `json:"endpoint,omitempty"`
	ChargedTokens int64  `json:"charged_tokens"`
}

// usage is the token count of an answer.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// PromptDetails is sent by engines that report cached prompt tokens.
	PromptDetails *promptDetails `json:"prompt_tokens_details,omitempty"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// cachedTokens returns the number of prompt tokens that were cached, or -1 if
// the engine does not report it.
func (u *usage) cachedTokens() int64 {
	if u == nil || u.PromptDetails == nil {
		return -1
	}
	return u.PromptDetails.CachedTokens
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID          string         `json:"id"`
	Object      string         `json:"object"`
	Created     int64          `json:"created"`
	Choices     []choice       `json:"choices"`
	Usage       *usage         `json:"usage,omitempty"`
	Rattanhoist answerMetadata `json:"rattanhoist"`
}

// completionMetadata returns the metadata of a complete answer.
func completionMetadata(q *request, a *joiner.Answer) answerMetadata {
	return answerMetadata{
		RequestID: q.key.RequestID(), Offset: a.Length, Complete: true, Length: a.Length,
		Digest: a.Digest, Endpoint: a.Endpoint, ChargedTokens: int64(a.Charged),
	}
}

func usageFromAnswer(a *joiner.Answer) *usage {
	return &usage{PromptTokens: a.PromptTokens, CompletionTokens: a.AnswerTokens, TotalTokens: a.PromptTokens + a.AnswerTokens}
}

// streamSink writes an answer as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	request *request
	begun   bool
}

func (*streamSink) begin(joiner.Stream) error { return nil }

func (*streamSink) streamed() bool { return true }

func (s *streamSink) writeEvent(c completion) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return callerGoneError(err)
	}
	return callerGoneError(http.NewResponseController(s.w).Flush())
}

// errCallerGone is returned if the caller no longer reads its answer.
var errCallerGone = merry.Sentinel("the caller has gone")

// callerGoneError wraps a write error in errCallerGone.
func callerGoneError(err error) error {
	if err == nil {
		return nil
	}
	return merry.Errorf("%w: %s", errCallerGone, err.Error())
}

// newChunk returns an event with the given metadata and no content.
func (s *streamSink) newChunk(m answerMetadata) completion {
	return completion{ID: s.request.key.RequestID(), Object: "chat.completion.chunk", Created: time.Now().Unix(), Rattanhoist: m}
}

func (s *streamSink) chunk(offset int64, text []byte) error {
	c := s.newChunk(answerMetadata{RequestID: s.request.key.RequestID(), Offset: offset})
	c.Choices = []choice{{Delta: &message{Content: string(text)}}}
	return s.writeEvent(c)
}

func (s *streamSink) complete(a *joiner.Answer) error {
	c := s.newChunk(completionMetadata(s.request, a))
	c.Choices = []choice{{Delta: &message{}, FinishReason: &a.FinishReason}}
	c.Usage = usageFromAnswer(a)
	if err := s.writeEvent(c); err != nil {
		return err
	}
	_, err := io.WriteString(s.w, "data: [DONE]\n\n")
	return callerGoneError(err)
}

func (s *streamSink) fail(p *Problem) {
	if !s.begun {
		p.write(s.w)
		return
	}
	p.setDefaultTitle()
	b, _ := json.Marshal(map[string]*Problem{"error": p})
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", b)
}

// bodyBuffer holds the bytes of an answer until it is complete.
type bodyBuffer struct{ body bytes.Buffer }

func (g *bodyBuffer) begin(joiner.Stream) error {
	g.body.Reset()
	return nil
}

func (*bodyBuffer) streamed() bool { return false }

func (g *bodyBuffer) chunk(_ int64, text []byte) error {
	_, err := g.body.Write(text)
	return err
}

// jsonSink writes a model's answer as one JSON object once it is complete.
type jsonSink struct {
	bodyBuffer
	w       http.ResponseWriter
	request *request
}

func (s *jsonSink) complete(a *joiner.Answer) error {
	c := completion{ID: s.request.key.RequestID(), Object: "chat.completion", Created: time.Now().Unix(), Rattanhoist: completionMetadata(s.request, a)}
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: s.body.String()}, FinishReason: &a.FinishReason}}
	c.Usage = usageFromAnswer(a)
	s.w.Header().Set("Content-Type", "application/json")
	return callerGoneError(json.NewEncoder(s.w).Encode(c))
}

func (s *jsonSink) fail(p *Problem) { p.write(s.w) }

// plainSink writes a plain service's answer once it is complete.
type plainSink struct {
	bodyBuffer
	w http.ResponseWriter
}

func (s *plainSink) complete(a *joiner.Answer) error {
	h := s.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set("Answer-Digest", a.Digest)
	h.Set("Answer-Endpoint", a.Endpoint)
	h.Set("Charged-Tokens", strconv.FormatInt(int64(a.Charged), 10))
	s.w.WriteHeader(a.Status)
	_, err := s.w.Write(s.body.Bytes())
	if errors.Is(err, http.ErrBodyNotAllowed) {
		// The answer to a HEAD request has a length but no body.
		return nil
	}
	return callerGoneError(err)
}

func (s *plainSink) fail(p *Problem) { p.write(s.w) }
