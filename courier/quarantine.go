package courier

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

const (
	// recentMost bounds the crashes that are kept for keepers; past it, the oldest are
	// dropped. A router cut off for as long as cuts usually last sees fewer.
	recentMost = 1024
	// toldAtOnce bounds those of one question, some 60 bytes each.
	toldAtOnce = 256
	// tellAgainFor is how long crashes are kept that keepers have been told: those that
	// start again know none.
	tellAgainFor = time.Minute
	// aloneFor is how long a router holds a request back by what it saw itself; what
	// the keepers say holds for longer.
	aloneFor = time.Minute
)

// heldBack is what a router refuses to send; immutable.
type heldBack struct {
	// Newest is the highest number that a keeper told.
	newest uint64
	until  map[quarantiner.Fingerprint]time.Time
}

func (h *heldBack) anyEnded(now time.Time) bool {
	for _, until := range h.until {
		if !until.After(now) {
			return true
		}
	}
	return false
}

// quarantine is what a router knows of requests under which endpoints end: what keepers
// hold back, and what it saw itself.
type quarantine struct {
	*livenessChecks
	log  *zap.Logger
	held atomic.Pointer[heldBack]

	mu       sync.Mutex
	answered quarantiner.Recent
	// Own holds what this router saw, so that it protects endpoints without keepers.
	own *quarantiner.Register
	// Recent holds the latest crashes, oldest first; dropped counts those that are in
	// it no more, and told those, from the first of all, that keepers have been told.
	recent        []quarantiner.Crash
	dropped, told int
	// Cleared holds requests that were answered though endpoints ended under them,
	// until a keeper has taken that in.
	cleared []quarantiner.Fingerprint
	// ToldAt is when keepers were last told.
	toldAt time.Time
}

func newQuarantine(log *zap.Logger) *quarantine {
	q := &quarantine{log: log, own: quarantiner.NewRegister(aloneFor)}
	q.held.Store(&heldBack{})
	q.livenessChecks = newLivenessChecks(log, q.crashed)
	return q
}

// Held returns for how much longer a request is held back, or 0.
func (q *quarantine) Held(f quarantiner.Fingerprint) time.Duration {
	until, ok := q.held.Load().until[f]
	if !ok {
		return 0
	}
	return max(time.Until(until), 0)
}

// Answered notes that an endpoint gave a request its whole answer.
func (q *quarantine) Answered(f quarantiner.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered.Add(f)
	if (q.own.Suspects(f) || q.Held(f) > 0) && !slices.Contains(q.cleared, f) && len(q.cleared) < toldAtOnce {
		q.cleared = append(q.cleared, f)
		q.own.Clear(f)
	}
}

// BrokenOff notes that the connection on which a request was under way ended before
// its answer.
func (q *quarantine) BrokenOff(e *predictor.Endpoint, f quarantiner.Fingerprint, underway time.Duration) {
	q.livenessChecks.brokenOff(e.Beat(), quarantiner.Crash{
		Request: f, Endpoint: e.Beat().Incarnation, At: time.Now(), Underway: underway,
	})
}

// crashed takes in what was under way at an endpoint that ended.
func (q *quarantine) crashed(list []quarantiner.Crash) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range list {
		if !q.answered.Has(c.Request) && q.own.Hear(now, c) {
			q.recent = append(q.recent, c)
		}
	}
	for len(q.recent) > 0 && (len(q.recent) > recentMost || now.Sub(q.recent[0].At) > tellAgainFor && q.dropped < q.told) {
		if q.dropped >= q.told {
			q.log.Warn("end of an endpoint not told to keepers", zap.Stringer("endpoint", q.recent[0].Endpoint))
		}
		q.recent = q.recent[1:]
		q.dropped++
	}
	q.told = max(q.told, q.dropped)
}

// step holds back what this router's own crashes call for. In touch, keepers decide:
// they know what else was under way at the endpoints that ended.
func (q *quarantine) step(now time.Time) {
	q.mu.Lock()
	due := q.own.Due(now)
	q.mu.Unlock()
	q.hold(now, 0, due, func(int) time.Duration { return aloneFor })
}

// telling is what one question tells a keeper: crashes up to one, counted from the first
// of all, and so many answered requests.
type telling struct{ crashes, cleared int }

// ask fills in what a keeper is told and asked.
func (q *quarantine) ask(r *messenger.SyncRequest) telling {
	r.Quarantine = q.held.Load().newest
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.recent[q.told-q.dropped:] {
		if len(r.Crashes) < toldAtOnce {
			r.Crashes = append(r.Crashes, c.Message(now))
		}
	}
	for _, f := range q.cleared {
		r.Answered = append(r.Answered, f.Content())
	}
	return telling{crashes: q.told + len(r.Crashes), cleared: len(r.Answered)}
}

// tellEnded notes that a keeper which a majority follows, and which started at a time,
// has taken in what ask filled in. One that started after keepers were last told may
// be one of several that did, and none may know what was told before.
func (q *quarantine) tellEnded(now, started time.Time, t telling) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if started.After(q.toldAt) {
		q.told = q.dropped
	} else {
		q.told = min(max(q.told, t.crashes), q.dropped+len(q.recent))
	}
	q.cleared = q.cleared[min(t.cleared, len(q.cleared)):]
	q.toldAt = now
}

// learn takes in what a keeper holds back.
func (q *quarantine) learn(now time.Time, list []*messenger.QuarantineTold) {
	var requests []quarantiner.Fingerprint
	var newest uint64
	for _, x := range list {
		requests = append(requests, quarantiner.FingerprintOf(x.Request))
		newest = max(newest, x.Number)
	}
	q.hold(now, newest, requests, func(i int) time.Duration { return time.Duration(list[i].LeftMs) * time.Millisecond })
}

// hold holds requests back, each for at least a time, and lets those go whose time is 0.
// Called by the goroutine that asks keepers alone.
func (q *quarantine) hold(now time.Time, newest uint64, requests []quarantiner.Fingerprint, lasts func(int) time.Duration) {
	old := q.held.Load()
	if len(requests) == 0 && !old.anyEnded(now) {
		return
	}
	next := &heldBack{newest: max(old.newest, newest), until: maps.Clone(old.until)}
	if next.until == nil {
		next.until = map[quarantiner.Fingerprint]time.Time{}
	}
	maps.DeleteFunc(next.until, func(_ quarantiner.Fingerprint, until time.Time) bool { return !until.After(now) })
	for i, f := range requests {
		until, known := now.Add(lasts(i)), next.until[f]
		switch {
		case lasts(i) <= 0:
			delete(next.until, f)
			if known.IsZero() {
				continue
			}
		case known.After(until):
			continue
		default:
			next.until[f] = until
		}
		q.log.Info(message(lasts(i)), zap.Stringer("content", f), zap.String("workspace", f.Workspace), zap.Duration("for", lasts(i)), zap.Bool("told", newest > 0))
	}
	q.held.Store(next)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.own.Hold(slices.Collect(maps.Keys(next.until)))
}

func message(lasts time.Duration) string {
	if lasts <= 0 {
		return "request let go"
	}
	return "request held back"
}
