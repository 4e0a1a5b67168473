package courier

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// fetchTimeout bounds the fetch of a configuration document. It allows
	// for a link that callers fill.
	fetchTimeout = 8 * time.Second
	// hedgeDelay is how long a fetch may take before another keeper is asked as well, and
	// maxFetches the maximum number of concurrent fetches.
	hedgeDelay = 1500 * time.Millisecond
	maxFetches = 3
	// maxAnnouncements is the maximum number of newer documents that are tracked. The oldest
	// ones are kept, since the age of the oldest decides whether this router is outdated.
	maxAnnouncements = 64
	// maxOutdatedFraction is the fraction of the time within which a change must be in force
	// for which a router still serves by its current document after a newer one was announced.
	maxOutdatedFraction = 0.5
	// unconfirmedDelay is how long after its start a router waits for a document that a
	// majority of the keepers has confirmed. It then accepts an unconfirmed one, which is
	// the newest that its zone can know if no majority answers.
	unconfirmedDelay = 3 * time.Second
	// firstDocumentWait is how long after the start of a router callers wait for its first
	// document. If keepers start at the same time, the document arrives after 0.3 to 0.9 s.
	// A caller that is refused earlier and retries once would be refused again.
	firstDocumentWait = 1200 * time.Millisecond
	// defaultRetryAfter is the minimum Retry-After period while there is no
	// document: a few sync rounds.
	defaultRetryAfter = time.Second
)

// announcements are the documents that keepers have announced and that are newer than the
// one in force. It is safe for concurrent use.
type announcements struct {
	mu sync.Mutex
	// newer is ordered by number and by time, and has at most maxAnnouncements elements.
	newer []announcement
	// unreadable is the highest number of a document that could not be decoded.
	unreadable uint64
}

type announcement struct {
	number uint64
	at     time.Time
}

// observe records the number of a keeper's document. It reports whether the document is
// newer than the one held, and should therefore be fetched.
func (a *announcements) observe(now time.Time, number, held uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.newer)
	if number > max(held, a.unreadable) && n < maxAnnouncements && (n == 0 || number > a.newer[n-1].number) {
		a.newer = append(a.newer, announcement{number: number, at: now})
	}
	return number > held
}

// markInForce removes the announcements up to a document that came into force.
func (a *announcements) markInForce(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newer = slices.DeleteFunc(a.newer, func(x announcement) bool { return x.number <= number })
}

// reject records that a document could not be decoded. The document in force stays, and
// requests are not refused on account of the rejected one.
func (a *announcements) reject(number uint64) {
	a.mu.Lock()
	a.unreadable = max(a.unreadable, number)
	a.mu.Unlock()
	a.markInForce(number)
}

// age returns how long a newer document has been known, or 0 if there is none.
func (a *announcements) age(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.newer) == 0 {
		return 0
	}
	return now.Sub(a.newer[0].at)
}

// fetchLimiter limits concurrent fetches of documents. It is safe for concurrent use.
type fetchLimiter struct {
	mu      sync.Mutex
	running int
	lastAt  time.Time
}

// tryAcquire reports whether another fetch may start. If so, release must be called when it ends.
func (x *fetchLimiter) tryAcquire(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= maxFetches || x.running > 0 && now.Sub(x.lastAt) < hedgeDelay {
		return false
	}
	x.running++
	x.lastAt = now
	return true
}

func (x *fetchLimiter) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// outdated reports whether a newer document has been known for so long that the one in
// force may no longer be used for requests.
func (f *fleetView) outdated() bool {
	return f.announcements.age(time.Now()) > time.Duration(maxOutdatedFraction*float64(f.options.Node.ApplyTimeout()))
}

// AwaitConfiguration returns the document in force, or nil if it is outdated. Before the first document it
// waits, at most until firstDocumentWait after the start of the router. If there is none by then,
// it returns the time after which one is expected, when an unconfirmed document is accepted.
func (f *fleetView) AwaitConfiguration(ctx context.Context) (*publisher.Index, time.Duration) {
	if x := f.index.Load(); x != nil {
		if f.outdated() {
			outdatedRefusals.Inc()
			return nil, 0
		}
		return x, 0
	}
	t := time.NewTimer(firstDocumentWait - time.Since(f.startedAt))
	defer t.Stop()
	select {
	case <-f.firstDocument:
		return f.index.Load(), 0
	case <-t.C:
	case <-ctx.Done():
	}
	return f.index.Load(), max(unconfirmedDelay-time.Since(f.startedAt), defaultRetryAfter)
}

// fetchIfNewer starts to fetch a keeper's document if it is newer than the one in force. It
// doesn't block the sync rounds, since a large document takes seconds over a slow link.
func (f *fleetView) fetchIfNewer(ctx context.Context, l *messenger.Link, number uint64) {
	var held uint64
	if x := f.index.Load(); x != nil {
		held = x.Number()
	}
	now := time.Now()
	if !f.announcements.observe(now, number, held) || !f.fetches.tryAcquire(now) {
		return
	}
	go func() {
		defer f.fetches.release()
		sent := time.Now()
		var r *messenger.FleetDocumentReply
		err := l.Call(ctx, fetchTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r, err = c.Fetch(ctx, &messenger.FleetDocumentRequest{})
			return err
		})
		if err != nil {
			f.options.Log.Warn("fetching the configuration failed, will retry", zap.Uint64("number", number), zap.Error(err))
			return
		}
		f.activate(r, sent)
	}()
}

// activate puts a fetched document in force if it is newer than the current one. The first
// document of a process must have been confirmed by a majority after the process started,
// because the process before it may have served a newer one; after unconfirmedDelay an
// unconfirmed document is accepted too.
func (f *fleetView) activate(r *messenger.FleetDocumentReply, sent time.Time) {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	old := f.index.Load()
	if old != nil && r.Number <= old.Number() {
		return
	}
	confirmed := r.ConfirmedAgeMs >= 0 && sent.Add(-time.Duration(r.ConfirmedAgeMs)*time.Millisecond).After(f.startedAt)
	if old == nil && !confirmed && time.Since(f.startedAt) < unconfirmedDelay {
		return
	}
	d, err := f.decode(r.Content)
	if err != nil {
		f.announcements.reject(r.Number)
		f.options.Log.Error("decoding the configuration from a keeper failed", zap.Uint64("number", r.Number), zap.Error(err))
		return
	}
	f.onDocument(d)
	f.evacuations.update(time.Now(), r.Evacuations)
	f.index.Store(publisher.NewIndex(d, f.localizer))
	f.announcements.markInForce(d.Number)
	if old == nil {
		close(f.firstDocument)
	}
	f.options.Log.Info("configuration in force", zap.Uint64("number", d.Number), zap.Int("routes", len(d.Routes)), zap.Bool("confirmed", confirmed))
}

// decode unpacks and decodes the content of a document.
func (f *fleetView) decode(packed []byte) (*publisher.Document, error) {
	b, err := publisher.Decompress(packed)
	if err != nil {
		return nil, err
	}
	return f.options.Decode(b)
}
