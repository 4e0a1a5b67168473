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
	// ErrGap says that bytes of an answer are missing.
	ErrGap = merry.Sentinel("bytes of the answer are missing")
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

// Run is one run of a request with the bytes of its answer so far. Any number
// of waiters read it from the first byte on. Safe for concurrent use.
type Run struct {
	mu sync.Mutex
	// Dispatches counts those that were not taken back.
	dispatches int
	stopped    bool
	// Proven says that no earlier attempt of the request can have run.
	proven bool
	// Text is only appended to, so that waiters share its bytes; Restart,
	// which no reader has seen bytes before, makes a new one.
	text []byte
	// Visible is how many bytes waiters may have: all but the last character
	// until the answer is whole and billed.
	visible int
	// Seen is how many bytes a waiter has had.
	seen   int
	stream Stream
	// Following says that the bytes come from another router's run.
	following bool
	ended     bool
	answer    *Answer
	err       error
	// Changed is closed and replaced at every change.
	changed chan struct{}
	// Context ends when the run may not go on.
	context context.Context
	cancel  context.CancelFunc
}

func newRun() *Run {
	r := &Run{changed: make(chan struct{})}
	r.context, r.cancel = context.WithCancel(context.Background())
	return r
}

// Context returns the context of the run's work.
func (r *Run) Context() context.Context { return r.context }

func (r *Run) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Prove says that no earlier attempt of the request can have run, so that
// Stop proves that the request did not run.
func (r *Run) Prove() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven = true
}

// Dispatch marks that an endpoint may get the request from now on; it returns
// ErrStopped where a waiter was told that the request did not run.
func (r *Run) Dispatch() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return ErrStopped
	}
	r.dispatches++
	return nil
}

// Undispatch takes one Dispatch back: the endpoint provably did not get it.
func (r *Run) Undispatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatches--
}

// Stop keeps the run from being dispatched. Stopped reports whether this run
// never is; proven, whether moreover no earlier one can have been.
func (r *Run) Stop() (stopped, proven bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dispatches > 0 {
		return false, false
	}
	r.stopped = true
	return true, r.proven
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

// Follow says whether the bytes come from another router's run.
func (r *Run) Follow(following bool) {
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

// Append takes the bytes at an offset; those that are there already, of the
// same run, are passed over. It returns ErrGap when bytes are missing before
// them. The last character is held back until the answer is billed.
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
			return
		}
		// A failed run is remembered, its bytes are not.
		r.text, r.visible = nil, 0
	})
	r.cancel()
}

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
