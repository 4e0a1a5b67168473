package courier

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// listEvery is how old the list of routers may be before it is asked for: with the
	// next question it comes well within what warmer.Members act on.
	listEvery = 2 * time.Second
	// wholeEvery questions, a keeper of an older version is asked for all it knows.
	wholeEvery = 5
	// askNext is how long a keeper may take before the next one is asked too:
	// many times a way between zones, and three of them are shorter than a
	// bound of 2 s.
	askNext = 350 * time.Millisecond
	// syncTimeout ends one question. A link of 10 Mbit/s that callers filled
	// took 0.4 to 0.5 s for each way and back, and a new connection needs two.
	syncTimeout = 2 * time.Second
	// shunSilent is how long a keeper that let askNext pass is asked last.
	shunSilent = 3 * time.Second
	// freshWithin is how lately a majority must have confirmed what a keeper
	// tells; otherwise another keeper is asked too.
	freshWithin = 700 * time.Millisecond
)

// order returns the keepers in the order in which to ask them: those of the
// zone, the one that answered last, the others; those that owe an answer are
// left out, and those that owed one lately come last. Keepers that are equal otherwise are
// ordered by a hash of router and keeper, so that routers spread over them.
func (f *fleet) order() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, now := f.current.Load(), time.Now()
	var out []*messenger.Link
	for a, l := range f.keepers {
		if !f.owing[a] {
			out = append(out, l)
		}
	}
	rank := func(l *messenger.Link) int {
		switch {
		case now.Sub(f.silent[l.Address()]) < shunSilent:
			return 3
		case f.zones[l.Address()] == f.self.Zone:
			return 0
		case l == current:
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b *messenger.Link) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(f.preference(a), f.preference(b)), cmp.Compare(a.Address(), b.Address()))
	})
	return out
}

// preference orders keepers, the lowest first.
func (f *fleet) preference(l *messenger.Link) uint64 {
	return xxhash.Sum64String(f.self.Address + "\x00" + l.Address())
}

// round asks one keeper after the other, each when those before it have failed
// or let askNext pass, until one has answered whose copy a majority confirmed
// lately. Those asked before may still answer: a keeper that is cut off never
// does, and over a link that callers fill all do, half a second and more later.
// A short timeout for each would fail there for as long as callers press, and
// patience with each in turn would take seconds to find one that is not cut
// off.
func (f *fleet) round(ctx context.Context) {
	f.asked++
	for _, l := range f.order() {
		f.question(ctx, l)
		wait := askNext
		if f.outOfTouch() {
			// All are asked at once.
			wait = 0
		}
		if f.await(ctx, wait) {
			return
		}
		f.shun(l)
	}
}

// shun puts a keeper that still owes an answer at the end of the order.
func (f *fleet) shun(l *messenger.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owing[l.Address()] {
		f.silent[l.Address()] = time.Now()
	}
}

// await waits for one answer, or a failure, for a time; it reports whether it is
// of use. One that is not, as of a keeper without a majority, is no reason to wait
// for another.
func (f *fleet) await(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case a := <-f.answers:
		return f.answer(ctx, a)
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// listen takes late answers in until a time has passed.
func (f *fleet) listen(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case a := <-f.answers:
			f.answer(ctx, a)
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// reply is what became of a question to a keeper.
type reply struct {
	link *messenger.Link
	// Body is nil where the question failed.
	body *messenger.SyncReply
	err  error
	sent time.Time
	// Skipped says that the question left endpoints out.
	skipped bool
	// Told is what the question told.
	told telling
}

// answer takes one reply in and reports whether a majority confirmed lately what
// the keeper says.
func (f *fleet) answer(ctx context.Context, a reply) bool {
	f.settle(a)
	if a.err != nil {
		f.failure = a.err
		return false
	}
	regained := f.lost
	listed := f.take(ctx, a.link, a.body, a.sent, a.skipped)
	// A round may go on to other keepers: what has left must not wait for its end.
	f.show(time.Now())
	age := time.Duration(a.body.ConfirmedAgeMs) * time.Millisecond
	fresh := a.body.ConfirmedAgeMs >= 0 && age < freshWithin
	if fresh {
		now := time.Now()
		if len(listed) > 0 {
			f.listedAt = now
			f.warmup.observe(now, listed)
		}
		f.quarantine.tellEnded(now, now.Add(-time.Duration(a.body.UptimeMs)*time.Millisecond), a.told)
	}
	// After a cut the first to answer is as good as any: the one before may be
	// cut off still, or the connection to it not notice for seconds that the cut
	// is over.
	if fresh || regained || f.current.Load() == nil {
		f.turnTo(a.link)
	}
	return fresh
}

// turnTo makes a keeper the one that takes claims, and tells the one that makes
// them if it is another than before.
func (f *fleet) turnTo(l *messenger.Link) {
	if f.current.Swap(l) == l {
		return
	}
	select {
	case f.turned <- struct{}{}:
	default:
	}
}

// settle notes that a keeper owes nothing any more.
func (f *fleet) settle(a reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.owing, a.link.Address())
	if a.err == nil {
		delete(f.silent, a.link.Address())
	} else {
		f.silent[a.link.Address()] = time.Now()
	}
}

// question asks a keeper; the reply comes to answers.
func (f *fleet) question(ctx context.Context, l *messenger.Link) {
	q, told := f.syncRequest(l)
	f.mu.Lock()
	f.owing[l.Address()] = true
	f.mu.Unlock()
	go func() {
		r := reply{link: l, sent: time.Now(), told: told, skipped: q.SkipEndpoints}
		r.err = l.Call(ctx, syncTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r.body, err = c.Sync(ctx, q)
			return err
		})
		select {
		case f.answers <- r:
		case <-ctx.Done():
		}
	}()
}

// syncRequest returns what to ask a keeper, and what it is told by that.
func (f *fleet) syncRequest(l *messenger.Link) (*messenger.SyncRequest, telling) {
	q := &messenger.SyncRequest{Router: f.self, Load: f.shedding.load(time.Now()), SkipEndpoints: f.skipsEndpoints(time.Now(), l.Address())}
	s := f.sources[l.Address()]
	if s != nil {
		q.Revision, q.Epoch, q.RoutersRevision = s.revision, s.epoch, s.routersRevision
	}
	if x := f.index.Load(); x != nil {
		q.Number = x.Number()
	}
	q.ListRouters = time.Since(f.listedAt) > listEvery
	if f.asked%wholeEvery == 0 && s != nil && s.epoch == 0 {
		// A keeper of an older version tells ages, and routers, only so.
		q.Revision = 0
	}
	return q, f.quarantine.ask(q)
}
