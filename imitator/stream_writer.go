package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// streamWriter sends a generation as server-sent events.
type streamWriter struct {
	w          http.ResponseWriter
	generation *generation
	// Resumed reports whether this is not the first connection; faults of a
	// connection strike only the first.
	resumed bool
}

// engineEvent is one event of a stream in the ecosystem's shape, with the
// offset of its text and, in the last one, the length and digest of all.
type engineEvent struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Offset  int            `json:"offset"`
	Choices []engineChoice `json:"choices"`
	Usage   *engineUsage   `json:"usage,omitempty"`
	Length  int            `json:"length,omitempty"`
	Digest  string         `json:"digest,omitempty"`
}

type engineChoice struct {
	Index        int         `json:"index"`
	Delta        engineDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type engineDelta struct {
	Content string `json:"content,omitempty"`
}

type engineUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

var finishStop = "stop"

// crossedID is the request whose answer FaultCrossed sends.
const crossedID = "another-workspace/another-request"

// write sends the text from an offset on until the generation ends. A lost
// generation breaks the connection off.
func (s streamWriter) write(ctx context.Context, from int) {
	g := s.generation
	s.w.Header().Set(HeaderStreamID, g.streamID)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
	next, offset := 0, 0
	for {
		emitted, state, changed := g.view()
		for ; next < emitted; next++ {
			if s.breaksOff(next) {
				panic(http.ErrAbortHandler)
			}
			text := g.answer.Tokens[next]
			if err := s.token(next, offset, from, text); err != nil {
				return
			}
			offset += len(text)
		}
		switch state {
		case generated:
			_ = s.end(offset)
			return
		case lost:
			panic(http.ErrAbortHandler)
		default:
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s streamWriter) breaksOff(token int) bool {
	return !s.resumed && token == s.generation.half() && s.generation.has(FaultDrop)
}

// cutsShort reports whether the second half is left out.
func (s streamWriter) cutsShort() bool {
	return !s.resumed && (s.generation.has(FaultShort) || s.generation.has(FaultUnmarked))
}

func (s streamWriter) token(i, offset, from int, text string) error {
	if s.cutsShort() && i >= s.generation.half() {
		return nil
	}
	if offset+len(text) <= from {
		return nil
	}
	if offset < from {
		text, offset = text[from-offset:], from
	}
	id := s.id()
	if s.generation.has(FaultCrossedPiece) && i == s.generation.half() {
		id = crossedID
	}
	return s.send(engineEvent{ID: id, Offset: offset, Choices: []engineChoice{{Delta: engineDelta{Content: text}}}})
}

func (s streamWriter) id() string {
	if s.generation.has(FaultCrossed) {
		return crossedID
	}
	return s.generation.requestID
}

func (s streamWriter) end(offset int) error {
	g := s.generation
	if !s.cutsShort() || g.has(FaultShort) {
		completion := int64(len(g.answer.Tokens))
		err := s.send(engineEvent{
			ID: s.id(), Offset: offset, Length: offset, Digest: g.answer.Digest(),
			Choices: []engineChoice{{FinishReason: &finishStop}},
			Usage: &engineUsage{
				PromptTokens: g.answer.PromptTokens, CompletionTokens: completion,
				TotalTokens: g.answer.PromptTokens + completion,
			},
		})
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err
}

func (s streamWriter) send(e engineEvent) error {
	e.Object = "chat.completion.chunk"
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}
