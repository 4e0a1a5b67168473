package router

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// resendPause is the first pause between tries at a keeper; each is twice
	// the one before, up to resendMaxPause. A keeper that is down fails calls
	// at once, and thousands of claims may be waiting for it.
	resendPause    = 50 * time.Millisecond
	resendMaxPause = 400 * time.Millisecond
	// callTimeout bounds one try.
	callTimeout = 2 * time.Second
)

// resend calls until an answer comes that a resend would not change.
func resend[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	for pause := resendPause; ; pause = min(2*pause, resendMaxPause) {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := f(c)
		cancel()
		if !transient(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(pause):
		}
	}
}

func transient(err error) bool {
	c := status.Code(err)
	return c == codes.Unavailable || c == codes.DeadlineExceeded
}
