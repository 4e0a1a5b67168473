package router

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// minRetryPause is the first pause between calls to a keeper. Each pause is
	// twice the one before, up to maxRetryPause: calls to a keeper that is down
	// fail at once, and thousands of claims may be waiting for it.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// callTimeout bounds a single call.
	callTimeout = 2 * time.Second
)

// callWithRetries repeats a call until it succeeds, fails with an error that is
// not transient, or ctx ends.
func callWithRetries[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := f(c)
		cancel()
		if !isTransient(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(pause):
		}
	}
}

// isTransient reports whether a repeated call may succeed.
func isTransient(err error) bool {
	c := status.Code(err)
	return c == codes.Unavailable || c == codes.DeadlineExceeded
}
