package courier

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// syncEvery is how often a keeper is asked: a change is in force a few of
	// these after its acknowledgement, against a bound of seconds.
	syncEvery = 200 * time.Millisecond
	// evenRouters is the number of routers up to which each asks keepers and
	// settles rights at its own pace; with more, all slow down alike, so that
	// a keeper's work stays the same. pacedMost bounds that: a change must be
	// in force within 2 s, and two questions may fail.
	evenRouters = 12
	pacedMost   = 3
	// wholeEvery questions, the ages of all endpoints are asked for.
	wholeEvery = 5
	// askNext is how long a keeper may take before the next one is asked too:
	// many times a way between zones, and three of them are shorter than a
	// bound of 2 s.
	askNext = 350 * time.Millisecond
	// syncTimeout ends one question. A link of 10 Mbit/s that callers filled
	// took 0.4 to 1 s for each way and back, and a new connection needs two.
	syncTimeout = 2 * time.Second
	// touchSlack, beyond the pause between two questions, keepers may take to
	// answer before a router takes itself for cut off, and borrows from others
	// instead of waiting for keepers: two of them asked in turn.
	touchSlack = 700 * time.Millisecond
	// shunSilent is how long a keeper that let askNext pass is asked last.
	shunSilent = 3 * time.Second
	// fetchTimeout is for a whole document: a megabyte over 10 Mbit/s.
	fetchTimeout = 1500 * time.Millisecond
	// freshWithin is how lately a majority must have confirmed what a keeper
	// tells; otherwise another keeper is asked too.
	freshWithin = 700 * time.Millisecond
	// settleFor is how long a starting router waits for a confirmed document
	// before it takes one that its keeper couldn't have confirmed: where no
	// majority answers, that is the newest that its zone can know.
	settleFor = 3 * time.Second
	// siblingsMost bounds the routers that are remembered for lending.
	siblingsMost = 128
	// silentBeats is how many heartbeats an endpoint may miss while keepers
	// are in reach: two more than at the keepers, whose word comes first.
	silentBeats = 8
)

// fleet is what this router knows of keepers, routers, endpoints and the
// document in force.
type fleet struct {
	o     Options
	self  *messenger.FleetMember
	table *predictor.Table
	pool  *pooler.Pool
	index atomic.Pointer[publisher.Index]
	// Published is told of each document before it is in force.
	published func(*publisher.Document)
	// Known is how many routers there are, this one included.
	known atomic.Int64
	// Fetching says that a document is on its way.
	fetching atomic.Bool
	// Current is the keeper asked last with success.
	current atomic.Pointer[messenger.Link]
	// Near holds the other routers' addresses for datagrams.
	near atomic.Pointer[[]netip.AddrPort]
	news atomic.Pointer[news]
	// Turned is told when another keeper is the current one.
	turned chan struct{}
	// Touched is when a keeper last answered, as time since start.
	touched atomic.Int64

	mu      sync.Mutex
	keepers map[string]*messenger.Link
	// Zones holds the keepers' zones as far as known.
	zones map[string]string
	// Siblings are the other routers, those of the zone first.
	siblings []*messenger.Link
	// Owing holds the keepers that owe an answer, and silent when one last let
	// askNext pass.
	owing  map[string]bool
	silent map[string]time.Time

	// The rest belongs to the goroutine of run.
	roll      *enroller.Table
	endpoints map[string]*predictor.Endpoint
	revisions map[string]uint64
	answers   chan reply
	asked     int
	start     time.Time
	// TouchedAt is when a keeper last answered, touchSince since when they have
	// been answering without a gap.
	touchedAt  time.Time
	touchSince time.Time
	// Failure is why the last question failed that did; lost says that the
	// loss of all keepers was logged.
	failure error
	lost    bool
	// Shown is the revision of the endpoints in service.
	shown uint64
}

func newFleet(o Options, incarnation uint64, table *predictor.Table, pool *pooler.Pool) *fleet {
	f := &fleet{
		o: o, table: table, pool: pool, start: time.Now(),
		self:    &messenger.FleetMember{Address: o.Node.Internal(), Zone: o.Node.Zone(), Incarnation: incarnation},
		keepers: map[string]*messenger.Link{}, zones: map[string]string{},
		roll: enroller.NewTable(silentBeats * o.Node.Heartbeat()), endpoints: map[string]*predictor.Endpoint{},
		revisions: map[string]uint64{}, owing: map[string]bool{}, silent: map[string]time.Time{},
		answers: make(chan reply), turned: make(chan struct{}, 1),
	}
	f.known.Store(1)
	for _, s := range o.Node.Seeds() {
		f.learn(s, "")
	}
	return f
}

// Index returns the document in force, or nil before the first.
func (f *fleet) Index() *publisher.Index { return f.index.Load() }

// Routers returns how many routers share the fleet's bounds.
func (f *fleet) Routers() int { return int(f.known.Load()) }

func (f *fleet) learn(address, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keepers[address] == nil {
		f.keepers[address] = messenger.NewLink(address)
	}
	if zone != "" {
		f.zones[address] = zone
	}
}

// order returns the keepers in the order in which to ask them: those of the
// zone, the one that answered last, the others; those that owe an answer are
// left out, and those that owed one lately come last.
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
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.Address(), b.Address()))
	})
	return out
}

// paced returns a pause stretched by the number of routers, at most so much.
func (f *fleet) paced(pause time.Duration, most float64) time.Duration {
	x := float64(f.known.Load()) / evenRouters
	return time.Duration(float64(pause) * min(max(x, 1), most))
}

// run asks keepers until ctx ends.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		f.round(ctx)
		f.show(time.Now())
		f.listen(ctx, max(f.paced(syncEvery, pacedMost)-time.Since(begun), syncEvery/4))
		f.show(time.Now())
	}
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
	f.take(ctx, a.link, a.body, a.sent)
	age := time.Duration(a.body.ConfirmedAgeMs) * time.Millisecond
	fresh := a.body.ConfirmedAgeMs >= 0 && age < freshWithin
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
	q := f.syncRequest(l)
	f.mu.Lock()
	f.owing[l.Address()] = true
	f.mu.Unlock()
	go func() {
		r := reply{link: l, sent: time.Now()}
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

// syncRequest returns what to ask a keeper.
func (f *fleet) syncRequest(l *messenger.Link) *messenger.SyncRequest {
	q := &messenger.SyncRequest{Router: f.self, Revision: f.revisions[l.Address()]}
	if x := f.index.Load(); x != nil {
		q.Number = x.Number()
	}
	if f.asked%wholeEvery == 0 {
		q.Revision = 0
	}
	return q
}

func (f *fleet) take(ctx context.Context, l *messenger.Link, r *messenger.SyncReply, sent time.Time) {
	now := time.Now()
	if f.lost {
		f.lost = false
		f.o.Log.Info("keepers answer again", zap.String("keeper", l.Address()), zap.Duration("silence", f.untouched()))
	}
	if now.Sub(f.touchedAt) > time.Second {
		f.touchSince = now
	}
	f.touchedAt = now
	f.touched.Store(int64(now.Sub(f.start)))
	for _, k := range r.Keepers {
		f.learn(k.Address, k.Zone)
	}
	if len(r.Routers) > 0 {
		f.meet(r.Routers)
	}
	f.renew(ctx, l, r.Number)
	f.revisions[l.Address()] = r.Revision
	for _, s := range r.Endpoints {
		b, age := enroller.BeatOf(s)
		f.roll.Hear(sent, b, age)
	}
	for _, id := range r.Left {
		f.roll.Leave(now, id)
	}
}

// untouched returns how long no keeper has answered.
func (f *fleet) untouched() time.Duration {
	return time.Since(f.start) - time.Duration(f.touched.Load())
}

// outOfTouch reports whether keepers have been silent for longer than a round
// of questions with slow answers takes.
func (f *fleet) outOfTouch() bool {
	return f.untouched() > f.paced(syncEvery, pacedMost)+touchSlack
}

// meet takes the other routers in. Those that keepers no longer name stay
// known until others take their place: a keeper that has just started knows
// few.
func (f *fleet) meet(routers []*messenger.FleetMember) {
	f.known.Store(int64(max(len(routers), 1)))
	f.mu.Lock()
	defer f.mu.Unlock()
	old := map[string]*messenger.Link{}
	for _, l := range f.siblings {
		old[l.Address()] = l
	}
	var near, far []*messenger.Link
	for _, m := range routers {
		if m.Address == f.self.Address {
			continue
		}
		l := old[m.Address]
		if l == nil {
			l = messenger.NewLink(m.Address)
		}
		delete(old, m.Address)
		if m.Zone == f.self.Zone {
			near = append(near, l)
		} else {
			far = append(far, l)
		}
	}
	for _, l := range old {
		if len(near)+len(far) < siblingsMost {
			far = append(far, l)
		}
	}
	f.siblings = append(near, far...)
	var addresses []netip.AddrPort
	for _, l := range f.siblings {
		if a, err := netip.ParseAddrPort(l.Address()); err == nil {
			addresses = append(addresses, a)
		}
	}
	f.near.Store(&addresses)
}

// neighbours returns the other routers' addresses for datagrams.
func (f *fleet) neighbours() []netip.AddrPort {
	if a := f.near.Load(); a != nil {
		return *a
	}
	return nil
}

// Dispatched tells the other routers of a prompt sent to an endpoint.
func (f *fleet) Dispatched(endpoint string, unread int64) {
	if n := f.news.Load(); n != nil {
		n.tell(endpoint, unread)
	}
}

// others returns the other routers, those of the zone first.
func (f *fleet) others() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.siblings
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
	f.index.Store(publisher.NewIndex(d))
	f.o.Log.Info("configuration in force", zap.Uint64("number", d.Number), zap.Int("routes", len(d.Routes)), zap.Bool("confirmed", confirmed))
}

func (f *fleet) decode(packed []byte) (*publisher.Document, error) {
	b, err := publisher.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return f.o.Decode(b)
}

// show puts the known endpoints in service. While no keeper answers, nobody is
// forgotten for silence: what is heard of endpoints comes from keepers.
func (f *fleet) show(now time.Time) {
	if !f.lost && f.outOfTouch() {
		f.lost = true
		f.o.Log.Warn("no keeper answers; serving what is known", zap.Duration("silence", f.untouched()), zap.NamedError("last_failure", f.failure))
	}
	if now.Sub(f.touchedAt) < time.Second && now.Sub(f.touchSince) > silentBeats*f.o.Node.Heartbeat() {
		f.roll.Expire(now)
	}
	if f.roll.Revision() == f.shown {
		return
	}
	f.shown = f.roll.Revision()
	byService := map[string][]*predictor.Endpoint{}
	known := map[string]bool{}
	for _, s := range f.roll.Sightings(now) {
		if s.Leaving {
			continue
		}
		b, _ := enroller.BeatOf(s)
		e := f.endpoints[b.ID]
		if e == nil {
			e = predictor.NewEndpoint(b)
			f.endpoints[b.ID] = e
			f.o.Log.Info("endpoint in service", zap.String("endpoint", b.ID), zap.String("service", b.Service), zap.String("zone", b.Zone))
		}
		known[b.ID] = true
		byService[b.Service] = append(byService[b.Service], e)
	}
	f.table.Replace(byService)
	for id := range f.endpoints {
		if !known[id] {
			delete(f.endpoints, id)
			f.pool.Forget(id)
			f.o.Log.Info("endpoint out of service", zap.String("endpoint", id))
		}
	}
}
