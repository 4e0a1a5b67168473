package courier

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
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
	// touchSlack, beyond the pause between two questions, keepers may take to
	// answer before a router takes itself for cut off, and borrows from others
	// instead of waiting for keepers: two of them asked in turn.
	touchSlack = 700 * time.Millisecond
	// touchGap is the longest silence of keepers in which what they tell of
	// endpoints counts as whole: five questions, or two with many routers.
	touchGap = time.Second
)

// fleet is what this router knows of keepers, routers, endpoints and the
// document in force.
type fleet struct {
	o     Options
	self  *messenger.FleetMember
	table *predictor.Table
	pool  *pooler.Pool
	index atomic.Pointer[publisher.Index]
	// First is closed once there is a document.
	first chan struct{}
	// Quarantine knows the requests that are held back.
	quarantine *quarantine
	localizer  *localizer.Localizer
	// Published is told of each document before it is in force.
	published func(*publisher.Document)
	// Known is how many routers there are, this one included.
	known atomic.Int64
	// Announced holds the known documents that are newer than the one in force.
	announced announcements
	fetches   fetches
	// Publishing is held while a document is put in force.
	publishing sync.Mutex
	// Current is the keeper asked last with success.
	current atomic.Pointer[messenger.Link]
	// Circles holds the other routers' addresses for datagrams.
	circles atomic.Pointer[circles]
	news    atomic.Pointer[news]
	// Turned is told when another keeper is the current one.
	turned chan struct{}
	// Touched is when a keeper last answered, as time since start.
	touched atomic.Int64

	mu      sync.Mutex
	keepers map[string]*messenger.Link
	// Zones holds the keepers' zones as far as known.
	zones map[string]string
	// Siblings are the other routers, the first near of them those of the zone.
	siblings []*messenger.Link
	near     int
	// PeerZones holds the siblings' zones as keepers told last, by address.
	peerZones map[string]string
	// Owing holds the keepers that owe an answer, and silent when one last let
	// askNext pass.
	owing  map[string]bool
	silent map[string]time.Time
	// Leaving holds the incarnations that have reported that they are leaving, until the
	// goroutine of run removes them from service.
	leaving []enroller.Incarnation

	// The rest belongs to the goroutine of run.
	roll      *enroller.Table
	endpoints map[enroller.Incarnation]*predictor.Endpoint
	// KeptAsked holds the endpoints that were asked what they keep.
	keptAsked map[enroller.Incarnation]bool
	// RenewAlive is the least time between two notes that the endpoints of a source are alive:
	// a heartbeat, of which several may be missed.
	renewAlive time.Duration
	// Sources holds what is known from each keeper, by its address.
	sources map[string]*source
	// Primary is the keeper that told of endpoints last, at primaryAt.
	primary   string
	primaryAt time.Time
	answers   chan reply
	asked     int
	start     time.Time
	// TouchedAt is when a keeper last answered, touchSince since when they have
	// been answering without a gap.
	touchedAt time.Time
	// ListedAt is when a keeper with a majority last told of all routers, and lister the
	// keeper whose list is in use.
	listedAt   time.Time
	lister     *messenger.Link
	touchSince time.Time
	// Failure is why the last question failed that did; lost says that the
	// loss of all keepers was logged.
	failure error
	lost    bool
	// AppliedRevision is the revision of the endpoints in service.
	appliedRevision uint64
	// AppliedEvacuations is the revision of the evacuated zones that the endpoints in
	// service leave out.
	appliedEvacuations uint64
	evacuations        *evacuations
	// Shedding moves callers to other routers; nil without a link whose load is known.
	shedding       *shedding
	warmup         *warmup
	rateLimitPolls rateLimitPolls
	// RateLimited is set once any endpoint has reported a rate limit.
	rateLimited atomic.Bool
}

func newFleet(o Options, incarnation uint64, table *predictor.Table, pool *pooler.Pool) *fleet {
	f := &fleet{
		o: o, table: table, pool: pool, quarantine: newQuarantine(o.Log), localizer: localizer.New(o.Node.Regions()), start: time.Now(),
		self:    &messenger.FleetMember{Address: o.Node.Internal(), Zone: o.Node.Zone(), Incarnation: incarnation},
		keepers: map[string]*messenger.Link{}, zones: map[string]string{},
		roll: enroller.NewTable(silentBeats * o.Node.Heartbeat()), endpoints: map[enroller.Incarnation]*predictor.Endpoint{}, keptAsked: map[enroller.Incarnation]bool{},
		renewAlive: o.Node.Heartbeat(), sources: map[string]*source{}, owing: map[string]bool{}, silent: map[string]time.Time{},
		evacuations: newEvacuations(o.Log), warmup: newWarmup(o), rateLimitPolls: rateLimitPolls{},
		answers: make(chan reply), first: make(chan struct{}), turned: make(chan struct{}, 1),
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

// learn makes a keeper known, and its zone where that is told.
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
		if f.outOfTouch() {
			f.quarantine.step(time.Now())
		}
		f.askKept(ctx)
		f.pollRateLimits(ctx)
		f.listen(ctx, max(f.paced(syncEvery, pacedMost)-time.Since(begun), syncEvery/4))
		f.show(time.Now())
	}
}

// take takes in what a keeper told. It returns the routers that it names, or nil where it
// told nothing of them. Skipped says that the keeper was not asked for endpoints.
func (f *fleet) take(ctx context.Context, l *messenger.Link, r *messenger.SyncReply, sent time.Time, skipped bool) []*messenger.FleetMember {
	now := time.Now()
	if f.lost {
		f.lost = false
		f.o.Log.Info("keepers answer again", zap.String("keeper", l.Address()), zap.Duration("silence", f.untouched()))
	}
	if now.Sub(f.touchedAt) > touchGap {
		f.touchSince = now
	}
	f.touchedAt = now
	f.touched.Store(int64(now.Sub(f.start)))
	for _, k := range r.Keepers {
		f.learn(k.Address, k.Zone)
	}
	if !skipped {
		f.hearEndpoints(l.Address(), r, sent, now)
		f.primary, f.primaryAt = l.Address(), now
	}
	listed := f.listRouters(l.Address(), r)
	if len(listed) > 0 && (len(r.Routers)+len(r.RoutersGone) > 0 || f.lister != l) {
		f.lister = l
		f.meet(listed)
	}
	// Before the document: a router that starts serves once it has one.
	f.quarantine.learn(now, r.Quarantined)
	f.evacuations.learn(now, r.Evacuations)
	f.shedding.observe(r.ZoneLoad)
	f.renew(ctx, l, r.Number)
	for _, l := range r.Left {
		f.roll.Leave(now, enroller.LeaveOf(l))
	}
	f.warmup.apply(now, f)
	return listed
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
