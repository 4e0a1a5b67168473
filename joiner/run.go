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
	// ErrStopped is returned if the run was stopped before its dispatch.
	ErrStopped = merry.Sentinel("the run was stopped before its dispatch")
	// ErrStreamChanged is returned if a waiter already got bytes of another stream.
	ErrStreamChanged = merry.Sentinel("bytes of another run have been passed on")
	// ErrGap is returned if bytes of the response are missing.
	ErrGap = merry.Sentinel("bytes of the answer are missing")
)

// Answer describes a complete response of an endpoint.
type Answer struct {
	Endpoint     string
	PromptTokens int64
	AnswerTokens int64
	Length       int64
	// Digest is the SHA-256 sum of the response's bytes, in hex.
	Digest       string
	FinishReason string
	// Charged is the billed amount, set once the charge is durable.
	Charged rattanhoist.Tokens
	// Status and Header are those of the response of a plain HTTP service.
	Status int
	Header http.Header
}

// Stream identifies a response stream at an engine for resuming it. A stream
// with an empty id can't be resumed.
type Stream struct{ ID, Endpoint string }

// Run is the execution of a request with the bytes of its response so far. Any
// number of waiters can read it from the first byte. It is safe for concurrent
// use.
type Run struct {
	mu sync.Mutex
	// dispatches counts the dispatches that were not undone.
	dispatches int
	stopped    bool
	// proven is set if no earlier attempt of the request can have run.
	proven bool
	// text is append-only, so that waiters can share its bytes. Begin replaces
	// it, but only while no waiter has got any bytes; so does end on an error.
	text []byte
	// visible is the number of bytes that waiters may read: all but the last
	// character until the response is complete and billed.
	visible int
	// delivered is the highest number of bytes that a waiter has read.
	delivered int
	stream    Stream
	// following is set if the bytes come from another router's run.
	following bool
	ended     bool
	answer    *Answer
	err       error
	// updated is closed and replaced at every change.
	updated chan struct{}
	// context is cancelled when the run must not continue.
	context context.Context
	cancel  context.CancelFunc
}

func newRun() *Run {
	r := &Run{updated: make(chan struct{})}
	r.context, r.cancel = context.WithCancel(context.Background())
	return r
}

// Context returns the context in which the run is executed.
func (r *Run) Context() context.Context { return r.context }

// update calls f with the lock held and wakes the waiters.
func (r *Run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.updated)
	r.updated = make(chan struct{})
}

// MarkFirstAttempt records that no earlier attempt of the request can have run.
// After that, a successful Stop proves that the request did not run.
func (r *Run) MarkFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven = true
}

// Dispatch records that the request is about to be sent to an endpoint. It
// returns ErrStopped if the run was stopped, because a waiter may have been told
// that the request did not run.
func (r *Run) Dispatch() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return ErrStopped
	}
	r.dispatches++
	return nil
}

// UndoDispatch undoes one Dispatch whose request certainly did not reach the
// endpoint.
func (r *Run) UndoDispatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatches--
}

// Stop prevents the run from being dispatched. stopped reports whether this run
// will never be dispatched; proven reports whether, in addition, no earlier
// attempt of the request can have run.
func (r *Run) Stop() (stopped, proven bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dispatches > 0 {
		return false, false
	}
	r.stopped = true
	return true, r.proven
}

// Begin sets the stream from which the bytes come. If it differs from the
// previous stream, the previous bytes are discarded. If a waiter has already read
// some of them, Begin returns ErrStreamChanged instead, because the waiter would
// get a response mixed from two streams.
func (r *Run) Begin(s Stream) error {
	var err error
	r.update(func() {
		if s.ID != "" && s == r.stream {
			return
		}
		if r.delivered > 0 {
			err = ErrStreamChanged
			return
		}
		r.text, r.visible, r.stream = nil, 0, s
	})
	return err
}

// SetFollowing sets whether the bytes come from another router's run.
func (r *Run) SetFollowing(following bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.following = following
}

// Following reports whether the bytes come from another router's run.
func (r *Run) Following() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.following
}

// Stream returns the stream from which the bytes come.
func (r *Run) Stream() Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream
}

// Length returns the number of bytes received so far.
func (r *Run) Length() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.text))
}

// Append adds the bytes at an offset of the response and skips those already
// present. It returns ErrGap if bytes before the offset are missing. The last
// character is held back from waiters until the response is billed.
func (r *Run) Append(offset int64, text string) error {
	var err error
	r.update(func() {
		have := int64(len(r.text)) - offset
		if have < 0 {
			err = ErrGap
			return
		}
		if have >= int64(len(text)) {
			return
		}
		r.text = append(r.text, text[have:]...)
		_, n := utf8.DecodeLastRune(r.text)
		r.visible = max(r.visible, len(r.text)-n)
	})
	return err
}

// AnyDelivered reports whether a waiter has read any bytes.
func (r *Run) AnyDelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivered > 0
}

// end ends the run with a complete response or an error.
func (r *Run) end(a *Answer, err error) {
	r.update(func() {
		r.ended, r.answer, r.err = true, a, err
		if err == nil {
			r.visible = len(r.text)
			return
		}
		// The entry of a failed run is kept, but not its bytes.
		r.text, r.visible = nil, 0
	})
	r.cancel()
}

// Next returns the bytes from an offset on. It blocks until there are any or the
// run has ended. Callers must not modify the bytes.
func (r *Run) Next(ctx context.Context, offset int) (text []byte, ended bool, err error) {
	for {
		text, ended, changed := r.available(offset)
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

// available returns the visible bytes from an offset on, or, if there are none,
// whether the run has ended and a channel that is closed at the next change.
func (r *Run) available(offset int) ([]byte, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset >= r.visible {
		return nil, r.ended, r.updated
	}
	r.delivered = max(r.delivered, r.visible)
	return r.text[offset:r.visible:r.visible], false, r.updated
}

// Wait waits for the end of the run without reading bytes, so that the run can
// still switch to another stream.
func (r *Run) Wait(ctx context.Context) error {
	for {
		r.mu.Lock()
		ended, changed := r.ended, r.updated
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

// Answer returns the response or the error with which the run ended.
func (r *Run) Answer() (*Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer, r.err
}
