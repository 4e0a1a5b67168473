package commander

import (
	"context"
	"strings"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// processTimeout bounds the query of one of several processes.
const processTimeout = 2 * time.Second

// answers holds the replies of the processes of a kind.
type answers[R any] struct {
	replies []R
	// unreachable holds the names of the processes that did not answer, and reasons their errors.
	unreachable, reasons []string
}

// queryAll queries all processes of a kind concurrently; "" stands for all kinds.
func queryAll[R any](ctx context.Context, s *loader.Settings, kind string, f func(context.Context, *client) (R, error)) answers[R] {
	processes := s.Processes(kind)
	got := make([]R, len(processes))
	errs := make([]error, len(processes))
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, processTimeout)
			defer cancel()
			c, closeConn, err := dial(ctx, s, p)
			if err != nil {
				errs[i] = err
				return
			}
			defer closeConn()
			got[i], errs[i] = f(ctx, c)
		})
	}
	wg.Wait()
	var out answers[R]
	for i, err := range errs {
		if err != nil {
			out.unreachable = append(out.unreachable, processes[i].Name())
			out.reasons = append(out.reasons, reason(processes[i], err))
			continue
		}
		out.replies = append(out.replies, got[i])
	}
	return out
}

// warnUnreachable warns about the processes that did not answer.
func (a *app) warnUnreachable(kind string, names []string) {
	if len(names) > 0 {
		a.warn("%s out of reach: %s", kind, strings.Join(names, ", "))
	}
}

// state queries the state of a process, for queryAll.
func state(ctx context.Context, c *client) (*messenger.StateReply, error) {
	return c.operations().State(ctx, &messenger.StateRequest{})
}
