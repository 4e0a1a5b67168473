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
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// syncInterval is how often this router syncs with a keeper. A change is in force a few
	// intervals after its acknowledgement, where a bound of seconds applies.
	syncInterval = 200 * time.Millisecond
	// maxUnpacedRouters is the number of routers up to which each syncs with keepers and
	// settles rights at its own pace. With more routers, all of them slow down in
	// proportion, so that the load of a keeper stays the same. maxSyncPaceFactor limits
	// this slowdown: a change must be in force within 2 s, and two syncs may fail.
	maxUnpacedRouters = 12
	maxSyncPaceFactor = 3
	// disconnectSlack is the time that keepers may take to answer, in addition to the
	// interval between two syncs, before a router considers itself disconnected. It then
	// borrows rights from other routers instead of waiting for keepers. It allows for
	// asking two keepers in turn.
	disconnectSlack = 700 * time.Millisecond
	// maxContactGap is the longest silence of keepers during which their reports about
	// endpoints still count as complete: five syncs, or two with many routers.
	maxContactGap = time.Second
)

// fleetView is this router's knowledge of keepers, routers, endpoints and the document in force.
type fleetView struct {
	options Options
	self    *messenger.FleetMember
	table   *predictor.Table
	pool    *pooler.Pool
	index   atomic.Pointer[publisher.Index]
	// firstDocument is closed once there is a document.
	firstDocument chan struct{}
	// quarantine holds the requests that are held back.
	quarantine *quarantine
	localizer  *localizer.Localizer
	// onDocument is called with each document before it comes into force.
	onDocument func(*publisher.Document)
	// routerCount is the number of routers in the fleet, including this one.
	routerCount atomic.Int64
	// announcements holds the known documents that are newer than the one in force.
	announcements announcements
	fetches       fetchLimiter
	// activateMu is held while a document is put in force.
	activateMu sync.Mutex
	// currentKeeper receives the rights claims. It is usually the last keeper that replied
	// with a recently confirmed copy.
	currentKeeper atomic.Pointer[messenger.Link]
	// notifyLists holds the addresses of the other routers for dispatch notices.
	notifyLists atomic.Pointer[notifyLists]
	notifier    atomic.Pointer[dispatchNotifier]
	// versionGauges count the endpoints in service.
	versionGauges versionGauges
	versions      knownVersions
	// syncRequested receives a value when a request waits for the next sync.
	syncRequested chan struct{}
	// origins is nil if streams go on at any version.
	origins *streamOrigins
	// permits is nil if requests need no permits.
	permits *permits
	// listSoon is set if the next sync is to ask for the list of routers, and listSoonAt is when it was
	// last set, as a duration since startedAt.
	listSoon   atomic.Bool
	listSoonAt atomic.Int64
	// listedPeers holds the other routers as keepers last listed them.
	listedPeers atomic.Pointer[listedPeers]
	// digestPeers holds the routers of each zone for load digests.
	digestPeers atomic.Pointer[digestPeers]
	// keeperChanged receives a value when currentKeeper changes.
	keeperChanged chan struct{}
	// lastContact is when a keeper last answered, as a duration since startedAt.
	lastContact atomic.Int64

	mu      sync.Mutex
	keepers map[string]*messenger.Link
	// keeperZones holds the zones of keepers, by address, if known.
	keeperZones map[string]string
	// peers are the other routers. The first zonePeerCount of them are in this router's zone.
	peers         []*messenger.Link
	zonePeerCount int
	// peerZones holds the zones of peers by address, as last reported by keepers.
	peerZones map[string]string
	// pending holds the keepers that have not answered a sync yet, and slowAt when a keeper
	// last took longer than nextKeeperDelay or failed.
	pending map[string]bool
	slowAt  map[string]time.Time
	// leaving holds the incarnations that have reported that they are leaving, until the
	// goroutine of run removes them from service.
	leaving []enroller.Incarnation

	// The fields below are only used by the goroutine of run.
	registered *enroller.Table
	endpoints  map[enroller.Incarnation]*predictor.Endpoint
	// cacheQueried holds the endpoints whose prefix cache has been queried.
	cacheQueried map[enroller.Incarnation]bool
	// aliveInterval is the minimum interval at which the endpoints of a source are recorded
	// as alive. It is one heartbeat interval, and several heartbeats may be missed.
	aliveInterval time.Duration
	// sources holds the state received from each keeper, by its address.
	sources map[string]*keeperSource
	// primarySource is the keeper that last reported endpoints, at primaryAt.
	primarySource string
	primaryAt     time.Time
	results       chan syncResult
	rounds        int
	startedAt     time.Time
	// contactAt is when a keeper last answered.
	contactAt time.Time
	// endpointsAt is when a keeper last reported endpoints, and endpointsSince the time since which
	// keepers have reported them without a gap.
	endpointsAt, endpointsSince time.Time
	// versionsAsOf is when the latest reply was requested whose endpoints, and versions that have gone, are in
	// registered.
	versionsAsOf time.Time
	// listFailed holds the keepers, by address, whose last reply with endpoints did not arrive.
	listFailed map[string]bool
	// routersListedAt is when a keeper with a confirmed copy last listed all routers, and
	// routerLister the keeper whose list is in use.
	routersListedAt time.Time
	routerLister    *messenger.Link
	// lastFailure is the error of the last failed sync. disconnectLogged is set once the
	// loss of all keepers has been logged.
	lastFailure      error
	disconnectLogged bool
	syncFailures     syncFailures
	// appliedRevision is the revision of the endpoints in service.
	appliedRevision uint64
	// appliedEvacuations is the revision of the evacuations that the
	// endpoints in service reflect.
	appliedEvacuations uint64
	evacuations        *evacuations
	// leaves records which leaves are known.
	leaves leaveTracker
	// roundTrips measures the syncs with keepers.
	roundTrips shaper.RoundTrips
	// shedding moves callers to other routers. It is nil if the load of the link is not known.
	shedding       *shedding
	warmup         *warmup
	rateLimitPolls rateLimitPolls
	// rateLimited is set once any endpoint has reported a rate limit.
	rateLimited atomic.Bool
	// rejectionsLimited is set once any endpoint has reported a limit on rejections.
	rejectionsLimited atomic.Bool
}

func newFleetView(o Options, incarnation uint64, table *predictor.Table, pool *pooler.Pool) *fleetView {
	f := &fleetView{
		options: o, table: table, pool: pool, quarantine: newQuarantine(o.Log, o.Node.Features().PartQuarantine), localizer: localizer.New(o.Node.Regions()), startedAt: time.Now(),
		self:    &messenger.FleetMember{Address: o.Node.Internal(), Zone: o.Node.Zone(), Incarnation: incarnation},
		keepers: map[string]*messenger.Link{}, keeperZones: map[string]string{},
		registered: enroller.NewTable(maxMissedHeartbeats * o.Node.Heartbeat()), endpoints: map[enroller.Incarnation]*predictor.Endpoint{}, cacheQueried: map[enroller.Incarnation]bool{},
		aliveInterval: o.Node.Heartbeat(), sources: map[string]*keeperSource{}, pending: map[string]bool{}, slowAt: map[string]time.Time{},
		evacuations: newEvacuations(o.Log), warmup: newWarmup(o), rateLimitPolls: rateLimitPolls{}, syncFailures: syncFailures{}, listFailed: map[string]bool{},
		results: make(chan syncResult), firstDocument: make(chan struct{}), keeperChanged: make(chan struct{}, 1),
		versions: knownVersions{published: make(chan struct{})}, syncRequested: make(chan struct{}, 1),
	}
	f.routerCount.Store(1)
	f.leaves.startedAt = f.startedAt
	f.quarantine.replaced = f.isReplaced
	f.quarantine.takeIdle = pool.TakeIdle
	for _, s := range o.Node.Seeds() {
		f.addKeeper(s, "")
	}
	return f
}

// Index returns the document in force, or nil if there is none yet.
func (f *fleetView) Index() *publisher.Index { return f.index.Load() }

// Routers returns the number of routers that share the limits of the fleet.
func (f *fleetView) Routers() int { return int(f.routerCount.Load()) }

// addKeeper adds a keeper, and its zone unless zone is empty.
func (f *fleetView) addKeeper(address, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keepers[address] == nil {
		f.keepers[address] = messenger.NewLink(address)
	}
	if zone != "" {
		f.keeperZones[address] = zone
	}
}

// paced returns an interval multiplied by the number of routers per maxUnpacedRouters, by a
// factor from 1 to maxFactor.
func (f *fleetView) paced(interval time.Duration, maxFactor float64) time.Duration {
	factor := float64(f.routerCount.Load()) / maxUnpacedRouters
	return time.Duration(float64(interval) * min(max(factor, 1), maxFactor))
}

// run syncs with keepers until ctx is done.
func (f *fleetView) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		f.syncRound(ctx)
		f.applyEndpoints(time.Now())
		if f.disconnected() {
			f.quarantine.holdLocal(time.Now())
		}
		f.queryCaches(ctx)
		f.pollRateLimits(ctx)
		f.processReplies(ctx, max(f.paced(syncInterval, maxSyncPaceFactor)-time.Since(begun), syncInterval/4))
		f.applyEndpoints(time.Now())
	}
}

// applyReply applies a keeper's reply to a sync request. It returns the routers that the
// keeper lists, or nil if it reported none.
func (f *fleetView) applyReply(ctx context.Context, x syncResult) []*messenger.FleetMember {
	l, r, sent, now := x.link, x.reply, x.sentAt, time.Now()
	if f.disconnectLogged {
		f.disconnectLogged = false
		f.options.Log.Info("keepers answer again", zap.String("keeper", l.Address()), zap.Duration("silence", f.sinceContact()))
	}
	if now.Sub(f.contactAt) > maxContactGap {
		f.registered.Versions().Begin(now)
		if f.origins != nil && !f.contactAt.IsZero() {
			f.origins.contactLost(now, now.Sub(f.contactAt))
		}
	}
	f.contactAt = now
	f.lastContact.Store(int64(now.Sub(f.startedAt)))
	for _, k := range r.Keepers {
		f.addKeeper(k.Address, k.Zone)
	}
	f.mergeVersions(now, r)
	// Leaves come before the endpoints in the same reply: one of these may have come back under the id
	// of one that has left.
	f.applyLeaves(sent, now, l.Address(), x.request.KnownLeaves, r)
	if (!x.request.SkipEndpoints || r.GetLeaves().GetTruncated()) && !f.leaves.mayListLeft(r.Leaves) {
		if now.Sub(f.endpointsAt) > maxContactGap {
			f.endpointsSince = now
		}
		f.endpointsAt = now
		f.updateEndpoints(l.Address(), r, sent, now)
		if isConfirmed(r) && sent.After(f.versionsAsOf) {
			f.versionsAsOf = sent
		}
		f.primarySource, f.primaryAt = l.Address(), now
	}
	listed := f.updateRouters(l.Address(), r)
	if len(listed) > 0 && (len(r.Routers)+len(r.RoutersGone) > 0 || f.routerLister != l) {
		f.routerLister = l
		f.updatePeers(listed)
	}
	// These come before the document, because a starting router serves callers once it has one.
	f.quarantine.setSuspects(r.Suspects)
	f.quarantine.update(now, r.Quarantined)
	f.evacuations.update(now, r.Evacuations)
	f.shedding.observe(r.ZoneLoad)
	f.fetchIfNewer(ctx, l, r.Number)
	f.warmup.applyLimits(now, f)
	return listed
}

// sinceContact returns the time since a keeper last answered.
func (f *fleetView) sinceContact() time.Duration {
	return time.Since(f.startedAt) - time.Duration(f.lastContact.Load())
}

// disconnected reports whether keepers have been silent for longer than a sync round with
// slow answers takes.
func (f *fleetView) disconnected() bool { return f.untilDisconnected() < 0 }

// untilDisconnected returns the time until this router considers itself disconnected unless a
// keeper answers. It is negative afterwards.
func (f *fleetView) untilDisconnected() time.Duration {
	return f.paced(syncInterval, maxSyncPaceFactor) + disconnectSlack - f.sinceContact()
}
