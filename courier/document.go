package courier

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// fetchTimeout is for a whole document: a megabyte over 10 Mbit/s.
	fetchTimeout = 1500 * time.Millisecond
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

// Await returns the document in force. A router that has just started waits for the
// first one until startPatience after its start; later, or if it does not come, it
// returns after what time one is expected: once it takes what its zone has.
func (f *fleet) Await(ctx context.Context) (*publisher.Index, time.Duration) {
	if x := f.index.Load(); x != nil {
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
	if old := f.index.Load(); number == 0 || old != nil && number <= old.Number() || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.fetching.Store(false)
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
		f.o.Log.Error("configuration from a keeper is unreadable", zap.Uint64("number", r.Number), zap.Error(err))
		return
	}
	f.published(d)
	f.evacuations.learn(time.Now(), r.Evacuations)
	f.index.Store(publisher.NewIndex(d, f.localizer))
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
