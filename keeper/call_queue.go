package keeper

import (
	"context"

	"rattanhoist.example/rattanhoist/storer"
)

// callQueue carries calls to the one goroutine that steps a state machine and
// syncs its rows. A caller never waits past the end of that goroutine.
type callQueue[C any] struct {
	calls chan C
	// Ended is closed once no call will be answered any more.
	ended chan struct{}
}

func newCallQueue[C any](most int) callQueue[C] {
	return callQueue[C]{calls: make(chan C, most), ended: make(chan struct{})}
}

// put hands a call over. It fails with storer.ErrStore after the end.
func (q callQueue[C]) put(ctx context.Context, c C) error {
	select {
	case q.calls <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-q.ended:
		return storer.ErrStore
	}
}

// batch returns the first call with those that wait, as many as the queue
// holds at most, so that they share one sync.
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

// await returns the answer to a call that was put.
func await[A, C any](ctx context.Context, q callQueue[C], done <-chan A) (A, error) {
	var none A
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-q.ended:
		return none, storer.ErrStore
	}
}
