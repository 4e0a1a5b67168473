package courier

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// routerListInterval is the age of the router list from which a new one is requested.
	// Together with the time until the next sync, it is well below the age up to which the
	// list is used to assign cold endpoints to routers.
	routerListInterval = 2 * time.Second
	// routerListStart is how long after its start a router asks for the list in each sync: routers that
	// start together learn of each other soon.
	routerListStart = 3 * time.Second
	// minRouterListInterval is the time between two lists that are requested early.
	minRouterListInterval = 500 * time.Millisecond
	// fullSyncRounds is the number of rounds after which a keeper of an older version is
	// asked for its complete state.
	fullSyncRounds = 5
	// nextKeeperDelay is how long a keeper may take to answer before the next one is asked
	// too. It is many times the round trip between zones, and three of them are shorter
	// than the bound of 2 s for changes.
	nextKeeperDelay = 350 * time.Millisecond
	// syncTimeout bounds one sync. On a link of 10 Mbit/s that callers fill, a round trip
	// takes 0.4 to 0.5 s, and a new connection needs two.
	syncTimeout = 2 * time.Second
	// demoteDuration is how long a keeper that exceeded nextKeeperDelay is asked last.
	demoteDuration = 3 * time.Second
	// maxConfirmedAge is the maximum time since a majority confirmed the copy of a keeper.
	// If it is exceeded, another keeper is asked too.
	maxConfirmedAge = 700 * time.Millisecond
)

// keeperOrder returns the keepers in the order in which to ask them: those of this router's
// zone, the one that answered last, the others. Keepers that have not answered yet are left
// out, and those that were slow recently come last. Keepers of equal rank are ordered by a
// hash of router and keeper, so that the routers spread over them.
func (f *fleetView) keeperOrder() []*messenger.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	currentKeeper, now := f.currentKeeper.Load(), time.Now()
	var out []*messenger.Link
	for a, l := range f.keepers {
		if !f.pending[a] {
			out = append(out, l)
		}
	}
	rank := func(l *messenger.Link) int {
		switch {
		case now.Sub(f.slowAt[l.Address()]) < demoteDuration:
			return 3
		case f.keeperZones[l.Address()] == f.self.Zone:
			return 0
		case l == currentKeeper:
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b *messenger.Link) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(f.keeperHash(a), f.keeperHash(b)), cmp.Compare(a.Address(), b.Address()))
	})
	return out
}

// keeperHash is the order of keepers of equal rank, lowest first.
func (f *fleetView) keeperHash(l *messenger.Link) uint64 {
	return xxhash.Sum64String(f.self.Address + "\x00" + l.Address())
}

// syncRound asks keepers one after the other until one has answered whose copy a majority
// confirmed recently. The next keeper is asked when the ones before have failed or have exceeded
// nextKeeperDelay, and those may still answer later. A keeper that is cut off never answers, and
// over a link that callers fill all keepers answer, but half a second or more later. A short
// timeout for each keeper would fail on such a link for as long as the load lasts. A long
// timeout for each in turn would take seconds to reach a keeper that is not cut off.
func (f *fleetView) syncRound(ctx context.Context) {
	f.rounds++
	for _, l := range f.keeperOrder() {
		f.startSync(ctx, l)
		wait := nextKeeperDelay
		if f.disconnected() {
			// All keepers are asked at once.
			wait = 0
		}
		if f.awaitReply(ctx, wait) {
			return
		}
		f.demote(l)
	}
}

// demote moves a keeper that has not answered yet to the end of the order.
func (f *fleetView) demote(l *messenger.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending[l.Address()] {
		f.slowAt[l.Address()] = time.Now()
	}
}

// awaitReply waits for one reply or failure, at most for the given time, and reports
// whether it was a confirmed reply. After an unconfirmed reply, as of a keeper without a
// majority, it returns at once so that the next keeper is asked.
func (f *fleetView) awaitReply(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case a := <-f.results:
		return f.handleResult(ctx, a)
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// processReplies handles late replies for the given duration, or until there are crashes to report. It ends
// after half of the time if a request waits for the next sync.
func (f *fleetView) processReplies(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	early := time.NewTimer(pause / 2)
	defer early.Stop()
	var requested chan struct{}
	for {
		select {
		case <-early.C:
			requested = f.syncRequested
		case <-requested:
			return
		case a := <-f.results:
			f.handleResult(ctx, a)
		case <-f.quarantine.reportSoon:
			return
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// syncResult is the outcome of a sync with a keeper.
type syncResult struct {
	link *messenger.Link
	// reply is nil if the sync failed.
	reply   *messenger.SyncReply
	err     error
	sentAt  time.Time
	request *messenger.SyncRequest
	// report is the crash report in the request.
	report crashReport
}

// handleResult applies the outcome of a sync, and reports whether a majority confirmed the
// keeper's copy recently.
func (f *fleetView) handleResult(ctx context.Context, result syncResult) bool {
	f.recordResult(result)
	f.syncFailures.record(time.Now(), f.options.Log, result.link.Address(), result.err)
	f.listFailed[result.link.Address()] = listFailed(result)
	if result.err != nil {
		f.lastFailure = result.err
		return false
	}
	reconnected := f.disconnectLogged
	listed := f.applyReply(ctx, result)
	// The round may continue with other keepers, but endpoints that have left must be
	// removed at once.
	f.applyEndpoints(time.Now())
	fresh := isConfirmed(result.reply)
	if fresh {
		now := time.Now()
		if len(listed) > 0 {
			f.routersListedAt = now
			f.warmup.observe(now, listed)
			if f.permits != nil {
				f.permits.setMembers(f.warmup.members.List())
			}
		}
		if f.origins != nil {
			f.origins.recordRoutersKept(now, time.Duration(result.reply.RoutersKeptMs)*time.Millisecond)
		}
		f.quarantine.reportAccepted(now, now.Add(-time.Duration(result.reply.UptimeMs)*time.Millisecond), result.report)
	}
	// After a partition, the first keeper that answers becomes the current one. The keeper
	// before may still be cut off, or its connection may take seconds to detect the end of
	// the partition.
	if fresh || reconnected || f.currentKeeper.Load() == nil {
		f.setCurrentKeeper(result.link)
	}
	return fresh
}

// listFailed reports whether a keeper failed to send a reply with endpoints, although it is there. Its next
// reply is requested without them: one that is too large, or cannot be encoded because of one endpoint, would
// keep leaves, the configuration and evacuations from this router.
func listFailed(r syncResult) bool {
	return r.err != nil && !r.request.SkipEndpoints && status.Code(r.err) != codes.Unavailable
}

// setCurrentKeeper selects the keeper that receives rights claims. If it is a new one, the
// goroutine that sends the claims is notified.
func (f *fleetView) setCurrentKeeper(l *messenger.Link) {
	if f.currentKeeper.Swap(l) == l {
		return
	}
	select {
	case f.keeperChanged <- struct{}{}:
	default:
	}
}

// recordResult updates the pending and slow keepers after a sync.
func (f *fleetView) recordResult(a syncResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, a.link.Address())
	if a.err == nil {
		delete(f.slowAt, a.link.Address())
	} else {
		f.slowAt[a.link.Address()] = time.Now()
	}
}

// startSync sends a sync request to a keeper. The result is delivered on f.results.
func (f *fleetView) startSync(ctx context.Context, l *messenger.Link) {
	q, report := f.syncRequest(l)
	f.mu.Lock()
	f.pending[l.Address()] = true
	f.mu.Unlock()
	go func() {
		r := syncResult{link: l, sentAt: time.Now(), report: report, request: q}
		f.roundTrips.Sent(r.sentAt)
		r.err = l.Call(ctx, syncTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
			var err error
			r.reply, err = c.Sync(ctx, q)
			return err
		})
		if answered(r.err) {
			f.roundTrips.Received(time.Now(), r.sentAt)
		}
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	}()
}

// answered reports whether a call was answered, be it with an error.
func answered(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return false
	}
	return true
}

// listRoutersSoon makes the next sync ask for the list of routers, at most once in
// minRouterListInterval. It is called when a router that this one does not know has sent something. It
// is safe for concurrent use.
func (f *fleetView) listRoutersSoon(now time.Time) {
	at := int64(now.Sub(f.startedAt))
	last := f.listSoonAt.Load()
	if (last == 0 || time.Duration(at-last) >= minRouterListInterval) && f.listSoonAt.CompareAndSwap(last, max(at, 1)) {
		f.listSoon.Store(true)
	}
}

// syncRequest returns the request for a keeper, and the crash report in it.
func (f *fleetView) syncRequest(l *messenger.Link) (*messenger.SyncRequest, crashReport) {
	q := &messenger.SyncRequest{Router: f.self, Load: f.shedding.load(time.Now()), SkipEndpoints: f.listFailed[l.Address()] || f.skipEndpoints(time.Now(), l.Address()), KnownLeaves: f.leaves.known()}
	s := f.sources[l.Address()]
	if s != nil {
		q.Revision, q.Epoch, q.RoutersRevision = s.revision, s.epoch, s.routersRevision
	}
	if x := f.index.Load(); x != nil {
		q.Number = x.Number()
	}
	q.ListRouters = time.Since(f.routersListedAt) > routerListInterval || time.Since(f.startedAt) < routerListStart || f.listSoon.Swap(false)
	if f.rounds%fullSyncRounds == 0 && s != nil && s.epoch == 0 {
		// Keepers of an older version only send ages and routers in a full reply.
		q.Revision = 0
	}
	return q, f.quarantine.fillRequest(q)
}
