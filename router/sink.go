package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// sink takes one answer on its way to the caller.
type sink interface {
	// chunk passes the bytes at an offset on.
	chunk(offset int64, text string) error
	// complete ends a whole, billed answer.
	complete(*result) error
	// fail refuses, or marks an answer that has begun as broken.
	fail(*Problem)
	// passed reports whether bytes have gone to the caller.
	passed() bool
}

// mark is what the router adds to an answer in the ecosystem's shape.
type mark struct {
	RequestID     string `json:"request_id"`
	Offset        int64  `json:"offset"`
	Complete      bool   `json:"complete"`
	Length        int64  `json:"length,omitempty"`
	Digest        string `json:"digest,omitempty"`
	Endpoint      string `json:"endpoint,omitempty"`
	ChargedTokens int64  `json:"charged_tokens"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
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
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
	Rattanhoist mark     `json:"rattanhoist"`
}

var finishStop = "stop"

func finalMark(q *request, res *result) mark {
	return mark{
		RequestID: q.key.RequestID(), Offset: res.length, Complete: true, Length: res.length,
		Digest: res.digest, Endpoint: res.endpoint, ChargedTokens: int64(res.charged),
	}
}

func usageOf(res *result) *usage {
	return &usage{PromptTokens: res.promptTokens, CompletionTokens: res.answerTokens, TotalTokens: res.promptTokens + res.answerTokens}
}

// streamSink writes server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	request *request
	begun   bool
}

func (s *streamSink) passed() bool { return s.begun }

func (s *streamSink) event(c completion) error {
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
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *streamSink) base(m mark) completion {
	return completion{ID: s.request.key.RequestID(), Object: "chat.completion.chunk", Created: time.Now().Unix(), Rattanhoist: m}
}

func (s *streamSink) chunk(offset int64, text string) error {
	c := s.base(mark{RequestID: s.request.key.RequestID(), Offset: offset})
	c.Choices = []choice{{Delta: &message{Content: text}}}
	return s.event(c)
}

func (s *streamSink) complete(res *result) error {
	c := s.base(finalMark(s.request, res))
	c.Choices = []choice{{Delta: &message{}, FinishReason: &finishStop}}
	c.Usage = usageOf(res)
	if err := s.event(c); err != nil {
		return err
	}
	_, err := io.WriteString(s.w, "data: [DONE]\n\n")
	return err
}

func (s *streamSink) fail(p *Problem) {
	if !s.begun {
		p.write(s.w)
		return
	}
	b, _ := json.Marshal(map[string]*Problem{"error": p})
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", b)
}

// wholeSink gathers the answer and writes it once it is complete.
type wholeSink struct {
	w       http.ResponseWriter
	request *request
	text    strings.Builder
}

func (*wholeSink) passed() bool { return false }

func (s *wholeSink) chunk(offset int64, text string) error {
	if offset == 0 {
		s.text.Reset()
	}
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) complete(res *result) error {
	c := completion{ID: s.request.key.RequestID(), Object: "chat.completion", Created: time.Now().Unix(), Rattanhoist: finalMark(s.request, res)}
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: s.text.String()}, FinishReason: &finishStop}}
	c.Usage = usageOf(res)
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(c)
}

func (s *wholeSink) fail(p *Problem) { p.write(s.w) }

// plainSink passes a plain service's answer on once it is whole.
type plainSink struct {
	w       http.ResponseWriter
	status  int
	headers http.Header
	body    []byte
}

func (*plainSink) passed() bool { return false }

func (*plainSink) chunk(int64, string) error { return nil }

func (s *plainSink) complete(res *result) error {
	s.w.Header().Set("Content-Type", s.headers.Get("Content-Type"))
	s.w.Header().Set("Answer-Digest", res.digest)
	s.w.Header().Set("Answer-Endpoint", res.endpoint)
	s.w.Header().Set("Charged-Tokens", fmt.Sprint(int64(res.charged)))
	s.w.WriteHeader(s.status)
	_, err := s.w.Write(s.body)
	return err
}

func (s *plainSink) fail(p *Problem) { p.write(s.w) }
