package joiner

import (
	"context"
	"net/http"
	"sync"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist"
)

// Errors of a run. Compare with errors.Is.
var (
	// ErrStopped says that the run was stopped before it was dispatched.
	ErrStopped = merry.Sentinel("the run was stopped before its dispatch")
	// ErrPassed says that bytes of another run have been passed on.
	ErrPassed = merry.Sentinel("bytes of another run have been passed on")
)

// Answer is what an endpoint answered, once it is whole.
type Answer struct {
	Endpoint     string
	PromptTokens int64
	AnswerTokens int64
	Length       int64
	// Digest is the SHA-256 sum of the answer's bytes, in hex.
	Digest       string
	FinishReason string
	// Charged is set once the bill is durable.
	Charged rattanhoist.Tokens
	// Status and Header belong to the answer of a plain service.
	Status int
	Header http.Header
}

// Stream names a run at an engine, so that it can be resumed; an empty id
// can't be.
type Stream struct{ ID, Endpoint string }

type phase int

const (
	waiting phase = iota
	dispatched
	stopped
)

// Run is one run of a request with the bytes of its answer so far. Any number
// of waiters read it from the first byte on. Safe for concurrent use.
type Run struct {
	mu    sync.Mutex
	phase phase
	// Text is only appended to, so that waiters share its bytes; Restart,
	// which no reader has seen bytes before, makes a new one.
	text []byte
	// Visible is how many bytes waiters may have: all but the last character
	// until the answer is whole and billed.
	visible int
	// Seen is how many bytes a waiter has had.
	seen   int
	stream Stream
	ended  bool
	answer *Answer
	err    error
	// Changed is closed and replaced at every change.
	changed chan struct{}
	// Over is closed when the run may not go on.
	over   chan struct{}
	cancel sync.Once
}

func newRun() *Run { return &Run{changed: make(chan struct{}), over: make(chan struct{})} }

func (r *Run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Dispatch marks that an endpoint may get the request from now on; it returns
// ErrStopped where a waiter was told that the request did not run.
func (r *Run) Dispatch() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == stopped {
		return ErrStopped
	}
	r.phase = dispatched
	return nil
}

// Undispatch takes Dispatch back: the endpoint provably did not get it.
func (r *Run) Undispatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = waiting
}

// Stop keeps the run from being dispatched; it reports false when it may have
// been.
func (r *Run) Stop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.phase == dispatched {
		return false
	}
	r.phase = stopped
	return true
}

// Begin takes the stream that the bytes come from. Bytes of another run that
// nobody has seen are dropped; once seen, ErrPassed is returned, because a
// reader would get an answer pieced together from two runs.
func (r *Run) Begin(s Stream) error {
	var err error
	r.update(func() {
		if s.ID != "" && s == r.stream {
			return
		}
		if r.seen > 0 {
			err = ErrPassed
			return
		}
		r.text, r.visible, r.stream = nil, 0, s
	})
	return err
}

// Stream returns where the bytes come from.
func (r *Run) Stream() Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream
}

// Length returns the bytes that have come.
func (r *Run) Length() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.text))
}

// Append takes the next bytes. The last character is held back until the
// answer is billed.
func (r *Run) Append(text string) {
	r.update(func() {
		r.text = append(r.text, text...)
		_, n := utf8.DecodeLastRune(r.text)
		r.visible = len(r.text) - n
	})
}

// Seen reports whether a waiter has had bytes.
func (r *Run) Seen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen > 0
}

// end ends the run with a whole answer or an error.
func (r *Run) end(a *Answer, err error) {
	r.update(func() {
		r.ended, r.answer, r.err = true, a, err
		if err == nil {
			r.visible = len(r.text)
		}
	})
}

// Over returns a channel that closes when the run may not go on.
func (r *Run) Over() <-chan struct{} { return r.over }

func (r *Run) giveUp() { r.cancel.Do(func() { close(r.over) }) }

// Next returns the bytes from an offset on, waiting for some or for the end.
// Callers must not change them.
func (r *Run) Next(ctx context.Context, offset int) (text []byte, ended bool, err error) {
	for {
		text, ended, changed := r.view(offset)
		if len(text) > 0 || ended {
			return text, ended, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-changed:
		}
	}
}

func (r *Run) view(offset int) ([]byte, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= r.visible {
		return nil, r.ended, r.changed
	}
	r.seen = max(r.seen, r.visible)
	return r.text[offset:r.visible:r.visible], false, r.changed
}

// Wait waits for the end without reading bytes, so that the run may still be
// started anew.
func (r *Run) Wait(ctx context.Context) error {
	for {
		r.mu.Lock()
		ended, changed := r.ended, r.changed
		r.mu.Unlock()
		if ended {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Answer returns how the run ended.
func (r *Run) Answer() (*Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer, r.err
}
