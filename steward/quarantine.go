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
	// Fresh and freshAnswered hold what routers told this very keeper since the last
	// share.
	fresh         []quarantiner.Crash
	freshAnswered []quarantiner.Fingerprint
	// Answered holds requests that endpoints have answered, until they are held back no
	// more.
	answered map[quarantiner.Fingerprint]bool
	// Ordering says that an order is under way.
	ordering atomic.Bool
}

func newQuarantine(lasts time.Duration) *quarantine {
	return &quarantine{lasts: lasts, register: quarantiner.NewRegister(lasts), answered: map[quarantiner.Fingerprint]bool{}}
}

// tell takes in what a router tells.
func (q *quarantine) tell(now time.Time, crashes []*messenger.Crash, answered []*messenger.Content) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range crashes {
		c := quarantiner.CrashOf(now, m)
		if q.register.Hear(now, c) {
			crashesHeard.Inc()
			q.fresh = append(q.fresh, c)
		}
	}
	for _, m := range answered {
		f := quarantiner.FingerprintOf(m)
		q.clear(f)
		q.freshAnswered = append(q.freshAnswered, f)
	}
}

// clear needs q.mu.
func (q *quarantine) clear(f quarantiner.Fingerprint) {
	q.register.Clear(f)
	q.answered[f] = true
}

// take takes in what another keeper was told.
func (q *quarantine) take(now time.Time, s *messenger.Sightings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range s.Crashes {
		q.register.Hear(now, quarantiner.CrashOf(now, m))
	}
	for _, m := range s.Answered {
		q.clear(quarantiner.FingerprintOf(m))
	}
}

// news fills in what was told here since the last call, and reports whether that was
// anything.
func (q *quarantine) news(now time.Time, s *messenger.Sightings) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.fresh {
		s.Crashes = append(s.Crashes, c.Message(now))
	}
	for _, f := range q.freshAnswered {
		s.Answered = append(s.Answered, f.Content())
	}
	q.fresh, q.freshAnswered = nil, nil
	return len(s.Crashes)+len(s.Answered) > 0
}

// hold says which requests are held back, and returns those of them to let go.
func (q *quarantine) hold(list []governor.Quarantine) (letGo []quarantiner.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var held []quarantiner.Fingerprint
	for _, x := range list {
		held = append(held, x.Request)
		if q.answered[x.Request] {
			letGo = append(letGo, x.Request)
		}
	}
	q.register.Hold(held)
	clear(q.answered)
	for _, f := range letGo {
		q.answered[f] = true
	}
	return letGo
}

func (q *quarantine) due(now time.Time) []quarantiner.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.register.Due(now)
}

// holdBack puts the requests to hold back, and those to let go, into the log, if this
// keeper leads.
func (s *Steward) holdBack(ctx context.Context) {
	now := time.Now()
	letGo := s.quarantine.hold(inForce(s.view.Load().quarantines, now))
	if !s.loop.State().Leads() {
		return
	}
	due := s.quarantine.due(now)
	if len(due)+len(letGo) == 0 || !s.quarantine.ordering.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.quarantine.ordering.Store(false)
		s.orderQuarantine(ctx, due, now, s.quarantine.lasts, "request held back: endpoints ended under it")
		s.orderQuarantine(ctx, letGo, now, 0, "request let go: an endpoint answered it")
	}()
}

// orderQuarantine holds requests back for a time from now on; 0 lets them go.
func (s *Steward) orderQuarantine(ctx context.Context, requests []quarantiner.Fingerprint, now time.Time, lasts time.Duration, message string) {
	if len(requests) == 0 {
		return
	}
	change := &messenger.QuarantineChange{AtMs: now.UnixMilli(), UntilMs: now.Add(lasts).UnixMilli()}
	for _, f := range requests {
		change.Requests = append(change.Requests, f.Content())
	}
	err := s.mustOrder(ctx, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: change}})
	if err != nil {
		s.log.Warn("requests not held back or let go yet, tried again", zap.Int("requests", len(requests)), zap.Error(err))
		return
	}
	for _, f := range requests {
		s.log.Warn(message, zap.Stringer("content", f), zap.String("workspace", f.Workspace), zap.Duration("for", lasts))
	}
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
	for _, q := range list {
		if q.Number > number {
			out = append(out, &messenger.QuarantineTold{Request: q.Request.Content(), Number: q.Number, LeftMs: max(q.UntilMS-now.UnixMilli(), 0)})
		}
	}
	return out
}
