package router

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// resendPause is the pause between tries at a keeper.
	resendPause = 50 * time.Millisecond
	callTimeout = 2 * time.Second
)

// resend calls until an answer comes that a resend would not change.
func resend[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	for {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := f(c)
		cancel()
		if !transient(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(resendPause):
		}
	}
}

func transient(err error) bool {
	c := status.Code(err)
	return c == codes.Unavailable || c == codes.DeadlineExceeded
}
