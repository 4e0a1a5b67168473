package router

import (
	"context"
	"sync/atomic"
	"time"
)

// gate counts work in progress. Once closed it lets nothing new in, and the
// last one out can be waited for.
type gate struct {
	inside atomic.Int64
	closed atomic.Bool
}

// enter counts work in; it reports false when the gate is closed. Counting
// before looking leaves no moment in which work is in and not waited for.
func (g *gate) enter() bool {
	g.inside.Add(1)
	if g.closed.Load() {
		g.inside.Add(-1)
		return false
	}
	return true
}

// follow counts work in that belongs to work that is inside already.
func (g *gate) follow() { g.inside.Add(1) }

func (g *gate) leave() { g.inside.Add(-1) }

func (g *gate) close() { g.closed.Store(true) }

const gatePoll = 20 * time.Millisecond

// wait waits until nothing is inside.
func (g *gate) wait(ctx context.Context) error {
	t := time.NewTicker(gatePoll)
	defer t.Stop()
	for g.inside.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
