package router

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/joiner"
)

// Errors in the answer of an endpoint. Compare with errors.Is.
var (
	// ErrIncomplete is returned for an answer that ends before its completion
	// mark or does not match it.
	ErrIncomplete = merry.Sentinel("the endpoint's answer is not whole")
	// ErrWrongRequest is returned for an answer that belongs to another
	// request.
	ErrWrongRequest = merry.Sentinel("the endpoint answered another request")
	// ErrEndpointStatus is returned if the endpoint answers with a failure status
	// or refuses to resume a stream.
	ErrEndpointStatus = merry.Sentinel("the endpoint refused")
	// ErrEngineFailed is returned if the engine reports an error, or sends more
	// text than the request allows.
	ErrEngineFailed = merry.Sentinel("the engine failed")
	// ErrUnsupported is returned for an answer with content that the router
	// can't pass on.
	ErrUnsupported = merry.Sentinel("the answer holds what the router does not carry")
)

const (
	maxEventBytes = 1 << 20
	doneEvent     = "[DONE]"
	// maxTokenBytes exceeds the longest token of common vocabularies, which has
	// 128 bytes.
	maxTokenBytes = 256
)

// engineEvent is one event in the stream of a model engine. Engines that
// support the completion mark send the offset in each event, and the length and
// digest in the last one; other engines send none of them.
type engineEvent struct {
	ID      string          `json:"id"`
	Offset  *int64          `json:"offset"`
	Choices []engineChoice  `json:"choices"`
	Usage   *usage          `json:"usage"`
	Length  int64           `json:"length"`
	Digest  string          `json:"digest"`
	Error   json.RawMessage `json:"error"`
}

type engineChoice struct {
	Index        int          `json:"index"`
	Delta        *engineDelta `json:"delta"`
	FinishReason *string      `json:"finish_reason"`
}

type engineDelta struct {
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// isEmptyJSON reports whether m is missing, null or an empty list.
func isEmptyJSON(m json.RawMessage) bool {
	return len(m) == 0 || string(m) == "null" || string(m) == "[]"
}

// assembler validates the event stream of an engine and appends its text to the
// run in order. It is kept across resumes of the same stream.
type assembler struct {
	key    string
	run    *joiner.Run
	digest hash.Hash
	answer joiner.Answer
	// maxBytes bounds the answer. An engine that ignores max_tokens could
	// otherwise fill the router's memory: its resident size would grow with a
	// single stream.
	maxBytes int64
	usage    *usage
	// first is the first event, which shows whether the engine supports the
	// completion mark.
	first *engineEvent
	// finished is set when the engine has sent a finish reason, and complete
	// when the completion mark was verified.
	finished, complete bool
	// closed is set after the end of the stream; no more data may follow.
	closed bool
	// onEvent is called for every event, onText for every piece of text.
	onEvent, onText func()
}

// newAssembler returns an assembler that appends to a run of q.
func newAssembler(q *request, run *joiner.Run) *assembler {
	return &assembler{key: q.key.String(), run: run, digest: sha256.New(), maxBytes: q.maxAnswer * maxTokenBytes, onEvent: func() {}, onText: func() {}}
}

// read processes the events of one connection until it ends.
func (a *assembler) read(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		a.onEvent()
		if err := a.handleData(strings.TrimSpace(data)); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil && !a.complete {
		return merry.Wrap(ErrIncomplete, merry.AppendMessage(err.Error()))
	}
	if !a.complete {
		return ErrIncomplete
	}
	return nil
}

// handleData processes the data of one event.
func (a *assembler) handleData(data string) error {
	if a.closed {
		return merry.Wrap(ErrIncomplete, merry.AppendMessage("data after the end"))
	}
	if data == doneEvent {
		return a.handleDone()
	}
	var e engineEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return merry.Wrap(ErrIncomplete, merry.AppendMessage(err.Error()))
	}
	if !isEmptyJSON(e.Error) {
		return merry.Wrap(ErrEngineFailed, merry.AppendMessage(truncateReason(string(e.Error))))
	}
	if err := a.checkIdentity(&e); err != nil {
		return err
	}
	if e.Usage != nil {
		a.usage = e.Usage
	}
	if len(e.Choices) == 0 {
		return nil
	}
	return a.handleChoice(&e)
}

// sendsMarks reports whether the engine sends offsets, length and digest.
func (a *assembler) sendsMarks() bool { return a.first.Offset != nil }

// checkIdentity rejects an event of another request's answer. Engines that
// support the completion mark return the request's identity; for other engines
// only a change within a stream can be detected.
func (a *assembler) checkIdentity(e *engineEvent) error {
	if a.first == nil {
		a.first = e
	}
	if a.sendsMarks() {
		if e.ID != a.key {
			return ErrWrongRequest
		}
		if e.Offset == nil {
			return merry.Wrap(ErrIncomplete, merry.AppendMessage("an event has no offset"))
		}
		return nil
	}
	if e.ID != a.first.ID || e.Offset != nil {
		return ErrWrongRequest
	}
	return nil
}

// handleChoice processes the text and the finish reason of an event.
func (a *assembler) handleChoice(e *engineEvent) error {
	c := e.Choices[0]
	if len(e.Choices) > 1 || c.Index != 0 {
		return merry.Wrap(ErrUnsupported, merry.AppendMessage("more than one choice"))
	}
	if c.Delta != nil && !isEmptyJSON(c.Delta.ToolCalls) {
		return merry.Wrap(ErrUnsupported, merry.AppendMessage("tool calls"))
	}
	if c.Delta != nil && c.Delta.Content != "" {
		if err := a.appendText(e.Offset, c.Delta.Content); err != nil {
			return err
		}
	}
	if c.FinishReason == nil {
		return nil
	}
	a.finished, a.answer.FinishReason = true, *c.FinishReason
	if a.sendsMarks() {
		return a.verifyMark(e)
	}
	return nil
}

// appendText checks the offset of a piece of text and appends it to the run.
func (a *assembler) appendText(offset *int64, text string) error {
	if a.finished || offset != nil && *offset != a.answer.Length {
		return ErrIncomplete
	}
	if a.answer.Length+int64(len(text)) > a.maxBytes {
		return merry.Wrap(ErrEngineFailed, merry.AppendMessage("more text than max_tokens allows"))
	}
	a.onText()
	if err := a.run.Append(a.answer.Length, text); err != nil {
		return err
	}
	_, _ = io.WriteString(a.digest, text)
	a.answer.Length += int64(len(text))
	return nil
}

// verifyMark compares the engine's length and digest with the received text, so
// that a stream that lost a piece, or contains a piece of another one, is not
// accepted as complete.
func (a *assembler) verifyMark(e *engineEvent) error {
	if e.Length != a.answer.Length || e.Digest != hex.EncodeToString(a.digest.Sum(nil)) || a.usage == nil {
		a.finished = false
		return ErrIncomplete
	}
	a.finish()
	return nil
}

// handleDone processes the [DONE] event. For an engine without completion
// marks, the finish reason, the usage and this event together count as the
// mark.
func (a *assembler) handleDone() error {
	if !a.finished || a.usage == nil {
		return ErrIncomplete
	}
	a.closed = true
	if !a.complete {
		a.finish()
	}
	return nil
}

// finish marks the answer as complete and sets its digest and token counts.
func (a *assembler) finish() {
	a.complete = true
	a.answer.Digest = hex.EncodeToString(a.digest.Sum(nil))
	a.answer.PromptTokens = a.usage.PromptTokens
	a.answer.AnswerTokens = a.usage.CompletionTokens
}
