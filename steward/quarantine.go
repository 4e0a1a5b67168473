package steward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

// quarantine gathers what routers tell of endpoints that ended, and finds the requests
// to hold back. Crashes are in memory only: one that is lost with a keeper costs one
// more endpoint. What is held back is in the log, so that no restart forgets it.
type quarantine struct {
	// Lasts is how long a request is held back, and crashes are remembered.
	lasts time.Duration

	mu       sync.Mutex
	register *quarantiner.Register
	// Fresh holds what routers told this very keeper since the last share.
	fresh []*messenger.Crash
	// Ordering says that an order is under way.
	ordering atomic.Bool
}

func newQuarantine(lasts time.Duration) *quarantine {
	return &quarantine{lasts: lasts, register: quarantiner.NewRegister(lasts)}
}

// tell takes in what a router tells.
func (q *quarantine) tell(now time.Time, crashes []*messenger.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		if q.register.Hear(now, quarantiner.CrashOf(c)) {
			crashesHeard.Inc()
			q.fresh = append(q.fresh, c)
		}
	}
}

// take takes in what another keeper was told.
func (q *quarantine) take(now time.Time, crashes []*messenger.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		q.register.Hear(now, quarantiner.CrashOf(c))
	}
}

// news returns what was told here since the last call.
func (q *quarantine) news() []*messenger.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.fresh
	q.fresh = nil
	return out
}

// hold says which requests are held back.
func (q *quarantine) hold(list []governor.Quarantine) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []quarantiner.Fingerprint
	for _, x := range list {
		held = append(held, x.Request)
	}
	q.register.Hold(held)
}

func (q *quarantine) due(now time.Time) []quarantiner.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.Due(now)
}

// holdBack puts the requests to hold back into the log, if this keeper leads.
func (s *Steward) holdBack(ctx context.Context) {
	s.quarantine.hold(inForce(s.view.Load().quarantines, time.Now()))
	if !s.loop.State().Leads() {
		return
	}
	due := s.quarantine.due(time.Now())
	if len(due) == 0 || !s.quarantine.ordering.CompareAndSwap(false, true) {
		return
	}
	now := time.Now()
	change := &messenger.QuarantineChange{AtMs: now.UnixMilli(), UntilMs: now.Add(s.quarantine.lasts).UnixMilli()}
	for _, f := range due {
		change.Requests = append(change.Requests, f.Content())
	}
	go func() {
		defer s.quarantine.ordering.Store(false)
		err := s.mustOrder(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: change}})
		if err != nil {
			s.log.Warn("requests under which endpoints ended not held back yet, tried again", zap.Int("requests", len(due)), zap.Error(err))
			return
		}
		for _, f := range due {
			s.log.Warn("request held back: endpoints ended under it", zap.Stringer("content", f), zap.String("workspace", f.Workspace),
				zap.Duration("for", s.quarantine.lasts))
		}
	}()
}

// inForce returns the quarantines that have not ended.
func inForce(list []governor.Quarantine, now time.Time) []governor.Quarantine {
	var out []governor.Quarantine
	for _, q := range list {
		if q.UntilMS > now.UnixMilli() {
			out = append(out, q)
		}
	}
	return out
}

// quarantinedSince returns what a router is told that knows all up to a number.
func quarantinedSince(list []governor.Quarantine, number uint64, now time.Time) []*messenger.QuarantineTold {
	var out []*messenger.QuarantineTold
	for _, q := range inForce(list, now) {
		if q.Number > number {
			out = append(out, &messenger.QuarantineTold{Request: q.Request.Content(), Number: q.Number, LeftMs: q.UntilMS - now.UnixMilli()})
		}
	}
	return out
}
