package commander

import (
	"context"
	"strings"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// processTimeout bounds the question to one of several processes.
const processTimeout = 2 * time.Second

// answers are what the processes of a kind said.
type answers[R any] struct {
	got []R
	// Unreachable names the processes that did not answer; reasons says why.
	unreachable, reasons []string
}

// askAll asks every process of a kind, or of all kinds for "", at once.
func askAll[R any](ctx context.Context, s *loader.Settings, kind string, f func(context.Context, *client) (R, error)) answers[R] {
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
		out.got = append(out.got, got[i])
	}
	return out
}

// warnUnreachable says whose answers are missing.
func (a *app) warnUnreachable(kind string, names []string) {
	if len(names) > 0 {
		a.warn("%s out of reach: %s", kind, strings.Join(names, ", "))
	}
}

// state asks a process for its state; for askAll.
func state(ctx context.Context, c *client) (*messenger.StateReply, error) {
	return c.operations().State(ctx, &messenger.StateRequest{})
}
