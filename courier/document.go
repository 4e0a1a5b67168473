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
	// fetchTimeout bounds the fetch of one document over a link that callers fill.
	fetchTimeout = 8 * time.Second
	// fetchHedge is how long a fetch may take before another keeper is asked as well, and
	// maxFetches bounds the fetches in progress.
	fetchHedge = 1500 * time.Millisecond
	maxFetches = 3
	// maxAnnouncements bounds the newer documents that are remembered; the oldest decide.
	maxAnnouncements = 64
	// maxOutdatedPart of the time within which a change must be in force, a router serves
	// by the document that it holds after it has heard of a newer one.
	maxOutdatedPart = 0.5
	// settleFor is how long a starting router waits for a confirmed document
	// before it takes one that its keeper couldn't have confirmed: where no
	// majority answers, that is the newest that its zone can know.
	settleFor = 3 * time.Second
	// startPatience is how long after its start a router lets callers wait for the
	// first document: with keepers that start at the same moment it is there after 0.3
	// to 0.9 s. Sent back, a caller who comes back once finds the same.
	startPatience = 1200 * time.Millisecond
	// comeBackUnset is when a caller should come back to a router that no keeper and
	// no other router has told a document: a few rounds of its questions.
	comeBackUnset = time.Second
)

// announcements are the documents that keepers have reported and that are newer than the one
// in force. It is safe for concurrent use.
type announcements struct {
	mu sync.Mutex
	// Newer is ordered by number and by time; it has at most maxAnnouncements elements.
	newer []announcement
	// Unreadable is the highest number of a document that could not be decoded.
	unreadable uint64
}

type announcement struct {
	number uint64
	at     time.Time
}

// observe records the number of a keeper's document and reports whether to fetch it, where
// the router holds another one.
func (a *announcements) observe(now time.Time, number, held uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := len(a.newer)
	if number > max(held, a.unreadable) && n < maxAnnouncements && (n == 0 || number > a.newer[n-1].number) {
		a.newer = append(a.newer, announcement{number: number, at: now})
	}
	return number > held
}

// publish records that a document came into force.
func (a *announcements) publish(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newer = slices.DeleteFunc(a.newer, func(x announcement) bool { return x.number <= number })
}

// reject records that a document could not be decoded: the one in force stays.
func (a *announcements) reject(number uint64) {
	a.mu.Lock()
	a.unreadable = max(a.unreadable, number)
	a.mu.Unlock()
	a.publish(number)
}

// age returns how long a newer document has been known, or 0 if none is.
func (a *announcements) age(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.newer) == 0 {
		return 0
	}
	return now.Sub(a.newer[0].at)
}

// fetches limits the fetches of documents in progress. It is safe for concurrent use.
type fetches struct {
	mu      sync.Mutex
	running int
	lastAt  time.Time
}

// begin reports whether another fetch may begin.
func (x *fetches) begin(now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.running >= maxFetches || x.running > 0 && now.Sub(x.lastAt) < fetchHedge {
		return false
	}
	x.running++
	x.lastAt = now
	return true
}

func (x *fetches) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
}

// outdated reports whether a newer document has been known for so long that requests may no
// longer be served by the one in force.
func (f *fleet) outdated() bool {
	return f.announced.age(time.Now()) > time.Duration(maxOutdatedPart*float64(f.o.Node.Apply()))
}

// Await returns the document in force, or nil while it is outdated. A router that has just
// started waits for the first one until startPatience after its start; later, or if it does
// not come, it returns after what time one is expected: once it takes what its zone has.
func (f *fleet) Await(ctx context.Context) (*publisher.Index, time.Duration) {
	if x := f.index.Load(); x != nil {
		if f.outdated() {
			outdatedRefusals.Inc()
			return nil, 0
		}
		return x, 0
	}
	t := time.NewTimer(startPatience - time.Since(f.start))
	defer t.Stop()
	select {
	case <-f.first:
		return f.index.Load(), 0
	case <-t.C:
	case <-ctx.Done():
	}
	return f.index.Load(), max(settleFor-time.Since(f.start), comeBackUnset)
}

// renew fetches a newer document, beside the questions: a large one takes
// seconds over a small link.
func (f *fleet) renew(ctx context.Context, l *messenger.Link, number uint64) {
	var held uint64
	if x := f.index.Load(); x != nil {
		held = x.Number()
	}
	now := time.Now()
	if !f.announced.observe(now, number, held) || !f.fetches.begin(now) {
		return
	}
	go func() {
		defer f.fetches.end()
		sent := time.Now()
		var r *messenger.FleetDocumentReply
		err := l.Call(ctx, fetchTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r, err = c.Fetch(ctx, &messenger.FleetDocumentRequest{})
			return err
		})
		if err != nil {
			f.o.Log.Warn("configuration not fetched, asked for again", zap.Uint64("number", number), zap.Error(err))
			return
		}
		f.publish(r, sent)
	}()
}

// publish takes a document into force. The number only ever grows; the first
// document of this process must have been confirmed after its start, since it
// may have served a newer one before.
func (f *fleet) publish(r *messenger.FleetDocumentReply, sent time.Time) {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	old := f.index.Load()
	if old != nil && r.Number <= old.Number() {
		return
	}
	confirmed := r.ConfirmedAgeMs >= 0 && sent.Add(-time.Duration(r.ConfirmedAgeMs)*time.Millisecond).After(f.start)
	if old == nil && !confirmed && time.Since(f.start) < settleFor {
		return
	}
	d, err := f.decode(r.Content)
	if err != nil {
		f.announced.reject(r.Number)
		f.o.Log.Error("configuration from a keeper is unreadable", zap.Uint64("number", r.Number), zap.Error(err))
		return
	}
	f.published(d)
	f.evacuations.learn(time.Now(), r.Evacuations)
	f.index.Store(publisher.NewIndex(d, f.localizer))
	f.announced.publish(d.Number)
	if old == nil {
		close(f.first)
	}
	f.o.Log.Info("configuration in force", zap.Uint64("number", d.Number), zap.Int("routes", len(d.Routes)), zap.Bool("confirmed", confirmed))
}

func (f *fleet) decode(packed []byte) (*publisher.Document, error) {
	b, err := publisher.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return f.o.Decode(b)
}
