package keeper

import (
	"context"

	"rattanhoist.example/rattanhoist/storer"
)

// callQueue passes calls to the one goroutine that steps a state machine and
// syncs its rows. Callers stop waiting when that goroutine ends.
type callQueue[C any] struct {
	calls chan C
	// stopped is closed once no further call will be answered.
	stopped chan struct{}
}

func newCallQueue[C any](capacity int) callQueue[C] {
	return callQueue[C]{calls: make(chan C, capacity), stopped: make(chan struct{})}
}

// enqueue adds a call to the queue. It fails with storer.ErrStore once the
// queue has stopped.
func (q callQueue[C]) enqueue(ctx context.Context, c C) error {
	select {
	case q.calls <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-q.stopped:
		return storer.ErrStore
	}
}

// batch returns the first call and all that are already queued, up to the
// queue's capacity, so that they share one sync.
func (q callQueue[C]) batch(first C) []C {
	out := []C{first}
	for len(out) < cap(q.calls) {
		select {
		case c := <-q.calls:
			out = append(out, c)
		default:
			return out
		}
	}
	return out
}

// await waits for the answer to an enqueued call.
func await[A, C any](ctx context.Context, q callQueue[C], done <-chan A) (A, error) {
	var none A
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-q.stopped:
		return none, storer.ErrStore
	}
}
