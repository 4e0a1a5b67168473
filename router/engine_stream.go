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

// Errors of an endpoint's answer. Compare with errors.Is.
var (
	// ErrFragment says that an answer ended before its completion mark, or
	// does not fit it.
	ErrFragment = merry.Sentinel("the endpoint's answer is not whole")
	// ErrCrossed says that an answer belongs to another request.
	ErrCrossed = merry.Sentinel("the endpoint answered another request")
	// ErrEndpointStatus says that the endpoint refused.
	ErrEndpointStatus = merry.Sentinel("the endpoint refused")
	// ErrEngine says that the engine reported a failure of its own.
	ErrEngine = merry.Sentinel("the engine failed")
	// ErrUnsupported says that an answer holds what a router can't pass on.
	ErrUnsupported = merry.Sentinel("the answer holds what the router does not carry")
)

const (
	maxEvent  = 1 << 20
	doneEvent = "[DONE]"
	// maxTokenBytes is above the longest token of the usual vocabularies (128
	// bytes).
	maxTokenBytes = 256
)

// engineEvent is one event of a model engine's stream. Engines that know the
// mark send offset in each event and length and digest in the last; ordinary
// ones send neither.
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

func isNull(m json.RawMessage) bool { return len(m) == 0 || string(m) == "null" || string(m) == "[]" }

// assembler checks a stream and gives its text to the run in order. It lives
// through resumes of the same stream.
type assembler struct {
	key    string
	run    *joiner.Run
	digest hash.Hash
	answer joiner.Answer
	// Most bounds the answer in bytes: an engine that ignores max_tokens would
	// otherwise fill the memory of the router, which shows as its resident
	// size growing with one stream.
	most  int64
	usage *usage
	// First is the first event; it shows what kind of engine sends.
	first *engineEvent
	// Finished says that the engine ended the text; whole, that the answer
	// has its mark.
	finished, whole bool
	// Closed says that nothing may follow.
	closed bool
	// Progress is called at every event, begun at every text.
	progress, begun func()
}

func newAssembler(q *request, run *joiner.Run) *assembler {
	return &assembler{key: q.key.String(), run: run, digest: sha256.New(), most: q.maxAnswer * maxTokenBytes, progress: func() {}, begun: func() {}}
}

// read takes one connection's events until it ends.
func (a *assembler) read(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEvent)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		a.progress()
		if err := a.take(strings.TrimSpace(data)); err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil && !a.whole {
		return merry.Wrap(ErrFragment, merry.AppendMessage(err.Error()))
	}
	if !a.whole {
		return ErrFragment
	}
	return nil
}

func (a *assembler) take(data string) error {
	if a.closed {
		return merry.Wrap(ErrFragment, merry.AppendMessage("data after the end"))
	}
	if data == doneEvent {
		return a.done()
	}
	var e engineEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return merry.Wrap(ErrFragment, merry.AppendMessage(err.Error()))
	}
	if !isNull(e.Error) {
		return merry.Wrap(ErrEngine, merry.AppendMessage(clip(string(e.Error))))
	}
	if err := a.identify(&e); err != nil {
		return err
	}
	if e.Usage != nil {
		a.usage = e.Usage
	}
	if len(e.Choices) == 0 {
		return nil
	}
	return a.choice(&e)
}

// marks reports whether the engine sends offsets, length and digest.
func (a *assembler) marks() bool { return a.first.Offset != nil }

// identify refuses an event of another request's answer. An engine that knows
// the mark echoes the request's identity; of an ordinary one only a change in
// the middle of a stream can be found out.
func (a *assembler) identify(e *engineEvent) error {
	if a.first == nil {
		a.first = e
	}
	if a.marks() {
		if e.ID != a.key {
			return ErrCrossed
		}
		if e.Offset == nil {
			return merry.Wrap(ErrFragment, merry.AppendMessage("an event has no offset"))
		}
		return nil
	}
	if e.ID != a.first.ID || e.Offset != nil {
		return ErrCrossed
	}
	return nil
}

func (a *assembler) choice(e *engineEvent) error {
	c := e.Choices[0]
	if len(e.Choices) > 1 || c.Index != 0 {
		return merry.Wrap(ErrUnsupported, merry.AppendMessage("more than one choice"))
	}
	if c.Delta != nil && !isNull(c.Delta.ToolCalls) {
		return merry.Wrap(ErrUnsupported, merry.AppendMessage("tool calls"))
	}
	if c.Delta != nil && c.Delta.Content != "" {
		if err := a.text(e.Offset, c.Delta.Content); err != nil {
			return err
		}
	}
	if c.FinishReason == nil {
		return nil
	}
	a.finished, a.answer.FinishReason = true, *c.FinishReason
	if a.marks() {
		return a.mark(e)
	}
	return nil
}

func (a *assembler) text(offset *int64, text string) error {
	if a.finished || offset != nil && *offset != a.answer.Length {
		return ErrFragment
	}
	if a.answer.Length+int64(len(text)) > a.most {
		return merry.Wrap(ErrEngine, merry.AppendMessage("more text than max_tokens allows"))
	}
	a.begun()
	if err := a.run.Append(a.answer.Length, text); err != nil {
		return err
	}
	_, _ = io.WriteString(a.digest, text)
	a.answer.Length += int64(len(text))
	return nil
}

// mark compares the engine's length and digest with what arrived: a stream
// that lost a piece, or holds a piece of another, must not pass as whole.
func (a *assembler) mark(e *engineEvent) error {
	if e.Length != a.answer.Length || e.Digest != hex.EncodeToString(a.digest.Sum(nil)) || a.usage == nil {
		a.finished = false
		return ErrFragment
	}
	a.end()
	return nil
}

// done ends an ordinary engine's answer: its end, its usage and the last
// event together count as the mark.
func (a *assembler) done() error {
	if !a.finished || a.usage == nil {
		return ErrFragment
	}
	a.closed = true
	if !a.whole {
		a.end()
	}
	return nil
}

func (a *assembler) end() {
	a.whole = true
	a.answer.Digest = hex.EncodeToString(a.digest.Sum(nil))
	a.answer.PromptTokens = a.usage.PromptTokens
	a.answer.AnswerTokens = a.usage.CompletionTokens
}
