package router

import (
	"context"
	"sync/atomic"
	"time"
)

// gate counts work in progress. Once closed, it admits no new work, and callers
// can wait until the existing work has ended.
type gate struct {
	active atomic.Int64
	closed atomic.Bool
}

// enter counts new work and returns false if the gate is closed. It counts
// before it checks, so there is no moment in which work is admitted but not
// waited for.
func (g *gate) enter() bool {
	g.active.Add(1)
	if g.closed.Load() {
		g.active.Add(-1)
		return false
	}
	return true
}

// add counts work that is started by work already counted. It succeeds even if
// the gate is closed.
func (g *gate) add() { g.active.Add(1) }

// leave must be called when counted work has ended.
func (g *gate) leave() { g.active.Add(-1) }

// close stops the admission of new work.
func (g *gate) close() { g.closed.Store(true) }

const gatePollInterval = 20 * time.Millisecond

// wait blocks until no work is in progress.
func (g *gate) wait(ctx context.Context) error {
	t := time.NewTicker(gatePollInterval)
	defer t.Stop()
	for g.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	return nil
}
