package courier

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

const (
	// claimInterval is the interval at which rights are settled with the keepers, if these state
	// none.
	claimInterval = allotter.MinClaimInterval
	// claimTimeout allows for syncs on slow disks, a log entry that waits for the one
	// before it, and forwarding by another keeper.
	claimTimeout = 600 * time.Millisecond
	// slowClaimTimeout is the timeout after a claim without a response. Over a link that callers
	// fill, responses are slow, and a short timeout would fail for as long as the load lasts.
	slowClaimTimeout = 1500 * time.Millisecond
	// maxClaimPaceFactor limits how far claims slow down with the number of routers. The
	// amount that routers may spend beyond a total grows with the interval.
	maxClaimPaceFactor = 8
	// minClaimPause is the minimum pause between two claims made for waiting requests.
	// Requests that arrive in the meantime share the next claim.
	minClaimPause = 10 * time.Millisecond
	// reserveTimeout bounds how long one request waits for rights: a few claims. With notices
	// of shortages, requests state a shorter wait, and only those for pooled rights may wait
	// that long, for an owner that does not answer.
	reserveTimeout = 500 * time.Millisecond
	// minRetryAfter is the shortest time after which a request is to be retried while no keeper
	// can be reached, so that its caller doesn't return at once.
	minRetryAfter = 100 * time.Millisecond
	// contactCheckInterval is how often a waiting request checks whether keepers can still
	// be reached. If not, there is time left to borrow from other routers.
	contactCheckInterval = 100 * time.Millisecond
	// renewInterval is the interval at which a router without demand settles, so that its
	// bound doesn't rise while keepers answer. It is shorter than the time for which a bound
	// stays constant, so that one claim may get no response.
	renewInterval = time.Second
	// floorDivisor is the divisor of the even share of a total that yields the amount held
	// ahead of demand.
	floorDivisor = 8
	// closeTimeout bounds the last claim of a process that stops.
	closeTimeout = 200 * time.Millisecond
)

// rights manages this router's prepaid rights: an allocation for each workspace, from which
// requests reserve tokens, and which is settled with the keepers. It implements FleetRouter
// for other routers.
type rights struct {
	messenger.UnimplementedFleetRouterServer
	fleet   *fleetView
	address string
	log     *zap.Logger
	urgent  chan struct{}
	// borrower obtains rights from other routers.
	borrower *borrower
	owners   *owners
	pace     claimPace
	// notices is set if requests are refused by what was reported of short totals.
	notices   bool
	shortages *allotter.Shortages

	mu          sync.Mutex
	allocations map[string]*allotter.Allocation
	incarnation uint64
	// sequence counts claims, and answeredSequence is that of the last claim with a response.
	sequence, answeredSequence uint64
	started                    accountStart
	// totals are the prepaid totals of the document in force.
	totals map[string]int64
	// settled is closed and replaced after every claim that got a response.
	settled        chan struct{}
	answeredClaims uint64

	// failing is set if the last claim got no response, and answeredSentAt is when the last
	// claim that got one was sent. Both belong to claim, which doesn't run concurrently.
	failing        bool
	answeredSentAt time.Time
}

func newRights(f *fleetView, address string, log *zap.Logger) *rights {
	r := &rights{
		fleet: f, address: address, log: log, urgent: make(chan struct{}, 1), allocations: map[string]*allotter.Allocation{},
		incarnation: newIncarnation(), settled: make(chan struct{}), started: newAccountStart(),
		notices: f.options.Node.Features().ShortageNotices, shortages: allotter.NewShortages(),
	}
	r.borrower = newBorrower(r, log)
	r.owners = newOwners(f)
	r.pace.ignored = !f.options.Node.Features().PacedClaims
	return r
}

// claimInterval returns the interval between two claims: the one that keepers state, or else the
// one by the number of routers.
func (r *rights) claimInterval() time.Duration {
	return r.pace.current(time.Now(), r.fleet.paced(claimInterval, maxClaimPaceFactor))
}

// reservation is an amount of tokens that one allocation has reserved for a request.
type reservation struct {
	allocation *allotter.Allocation
	tokens     int64
}

// Settle returns the tokens that were not spent.
func (r *reservation) Settle(spent int64) { r.allocation.Settle(r.tokens, spent) }

// Reserve reserves tokens for a request. If this router holds too few, it asks other
// routers or the keepers, for at most the time that the request may wait.
func (r *rights) Reserve(ctx context.Context, workspace string, tokens int64, wait time.Duration) (forwarder.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if r.pooled(workspace) {
		if res, done, err := r.reserveInZone(ctx, workspace, tokens, messenger.RightsScope_RIGHTS_SCOPE_FLEET); done {
			return asReservation(res, err)
		}
	}
	if r.notices {
		var cancelWait context.CancelFunc
		ctx, cancelWait = context.WithTimeout(ctx, wait)
		defer cancelWait()
	}
	return asReservation(r.reserveLocally(ctx, workspace, tokens, true))
}

// asReservation returns a nil interface on error: a nil *reservation in an interface would
// compare unequal to nil.
func asReservation(res *reservation, err error) (forwarder.Reservation, error) {
	if err != nil {
		return nil, err
	}
	return res, nil
}

// reserveLocally reserves tokens from this router's own allocation. If it holds too few, the
// keepers are asked, and, if others is set, other routers too.
func (r *rights) reserveLocally(ctx context.Context, workspace string, tokens int64, others bool) (*reservation, error) {
	p, settled, firstCount := r.allocation(workspace)
	if r.knownSpent(p, workspace, tokens) {
		return nil, refuseKnownSpent()
	}
	if p.FailedSearchRecently(time.Now(), tokens) {
		rightsSpent.Inc()
		return nil, forwarder.ErrSpent
	}
	for asked := false; ; asked = true {
		if !asked && p.Reserve(time.Now(), tokens) || asked && p.RetryReserve(time.Now(), tokens) {
			r.claimEarly(p, workspace)
			return &reservation{allocation: p, tokens: tokens}, nil
		}
		if r.fleet.disconnected() {
			return r.reserveDisconnected(ctx, p, workspace, tokens, others)
		}
		r.signalClaim()
		select {
		case <-settled:
		case <-time.After(r.contactCheckDelay()):
			// The keepers may have become unreachable since the last check.
			continue
		case <-ctx.Done():
			return nil, r.refusal(p, tokens)
		}
		var count uint64
		p, settled, count = r.allocation(workspace)
		if r.knownSpent(p, workspace, tokens) {
			return nil, refuseKnownSpent()
		}
		if count > firstCount+1 && p.Exhausted(tokens) {
			if others && r.borrow(ctx, p, workspace, tokens) {
				return &reservation{allocation: p, tokens: tokens}, nil
			}
			return nil, r.refusal(p, tokens)
		}
	}
}

// reserveDisconnected reserves tokens while no keeper can be reached: once the limits of this router
// allow them, if that is within the time for which the request may wait, or if other routers lend
// them. A refused request gets the time at which the limits will allow it.
func (r *rights) reserveDisconnected(ctx context.Context, p *allotter.Allocation, workspace string, tokens int64, others bool) (*reservation, error) {
	if r.awaitLimits(ctx, p, workspace, tokens) || others && r.borrow(ctx, p, workspace, tokens) {
		return &reservation{allocation: p, tokens: tokens}, nil
	}
	rightsOutOfReach.Inc()
	return nil, forwarder.RightsUnavailable{After: r.retryAfter(p, tokens)}
}

// awaitLimits waits until the limits of this router allow a request whose tokens it holds, if that
// is before ctx ends, and reserves the tokens. Pooled rights are excluded, as owners in other zones
// lend them within one round trip.
func (r *rights) awaitLimits(ctx context.Context, p *allotter.Allocation, workspace string, tokens int64) bool {
	if !r.notices || r.pooled(workspace) {
		return false
	}
	d, held := p.TimeUntilAllowed(time.Now(), tokens)
	end, limited := ctx.Deadline()
	if !held || limited && time.Until(end) < d {
		return false
	}
	// Loans may be needed too, if several requests wait for the same tokens.
	r.borrower.signal()
	select {
	case <-time.After(d):
		return p.RetryReserve(time.Now(), tokens)
	case <-ctx.Done():
		return false
	}
}

// contactCheckDelay returns when a waiting request checks again whether keepers can be reached.
func (r *rights) contactCheckDelay() time.Duration {
	if !r.notices {
		return contactCheckInterval
	}
	// Requests wait for little more than the interval, so the check should not be late.
	return max(min(contactCheckInterval, r.fleet.untilDisconnected()), time.Millisecond)
}

// signalClaim makes the next claim start without waiting for the interval.
func (r *rights) signalClaim() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// borrow reserves tokens that other routers lend.
func (r *rights) borrow(ctx context.Context, p *allotter.Allocation, workspace string, tokens int64) bool {
	if r.pooled(workspace) {
		return r.borrowFromOtherZones(ctx, p, workspace, tokens)
	}
	return r.borrower.wait(ctx, func() bool { return p.RetryReserve(time.Now(), tokens) })
}

// retryAfter returns when a request without rights should be retried: once the bound has
// risen, or, if this router holds too few tokens, after the time for which no keeper has
// answered already. The past duration of a partition is the best estimate of the remaining
// one. Callers retry once: when they were told to retry after 0.25 s in a partition of 8 s,
// they failed for good.
func (r *rights) retryAfter(p *allotter.Allocation, tokens int64) time.Duration {
	if !r.fleet.disconnected() {
		return 0
	}
	if d, ok := p.TimeUntilAllowed(time.Now(), tokens); ok {
		return max(d, minRetryAfter)
	}
	return max(r.fleet.sinceContact(), minRetryAfter)
}

// refusal returns the error for a request without rights: the total is spent, or the rights
// are out of reach.
func (r *rights) refusal(p *allotter.Allocation, tokens int64) error {
	if !p.Exhausted(tokens) {
		rightsOutOfReach.Inc()
		return forwarder.RightsUnavailable{After: r.retryAfter(p, tokens)}
	}
	rightsSpent.Inc()
	p.RecordFailedSearch(time.Now(), tokens)
	return forwarder.ErrSpent
}

// Lend serves another router that can't reach a keeper.
func (r *rights) Lend(_ context.Context, q *messenger.LendRequest) (*messenger.LendReply, error) {
	out := &messenger.LendReply{}
	for _, w := range q.Wants {
		out.Shortages = append(out.Shortages, r.reportShortages(w.Workspace)...)
		p, _, _ := r.allocation(w.Workspace)
		if n := p.Lend(time.Now(), w.Tokens); n > 0 {
			lentTokens.AddInt64(n)
			out.Lent = append(out.Lent, &messenger.PrepaidTotal{Workspace: w.Workspace, Tokens: n})
		}
	}
	return out, nil
}

// allocation returns the allocation of a workspace, which is created if necessary. It also returns a
// channel that is closed when the next claim is answered, and the number of answered claims.
func (r *rights) allocation(workspace string) (*allotter.Allocation, chan struct{}, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.allocations[workspace]
	if p == nil {
		p = &allotter.Allocation{}
		r.allocations[workspace] = p
	}
	return p, r.settled, r.answeredClaims
}

// run settles the allocations with the keepers until ctx is done.
func (r *rights) run(ctx context.Context) {
	go r.borrower.run(ctx)
	go r.runReturns(ctx)
	timeout := claimTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.claimInterval()):
		case <-r.urgent:
		case <-r.fleet.keeperChanged:
		}
		timeout = r.claimFromCurrent(ctx, timeout)
		time.Sleep(r.fleet.paced(minClaimPause, maxClaimPaceFactor))
	}
}

// runReturns returns unspent borrowed rights until ctx is done.
func (r *rights) runReturns(ctx context.Context) {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.returnUnspent(ctx)
		}
	}
}

// close returns all remaining rights to the keepers, or to another router if no keeper can
// be reached. Otherwise they would count as spent.
func (r *rights) close(ctx context.Context) {
	var handOver sync.WaitGroup
	defer handOver.Wait()
	if r.fleet.disconnected() {
		if send := r.prepareHandOver(); send != nil {
			handOver.Go(func() { send(ctx) })
		}
	}
	l := r.fleet.currentKeeper.Load()
	if l == nil {
		return
	}
	change, _, _, _ := r.buildClaims(true)
	if _, err := r.sendClaims(ctx, l, closeTimeout, change); err != nil {
		r.log.Warn("last rights claim failed", zap.Error(err))
	}
}

// prepareHandOver takes all available rights and returns a function that gives them to another router,
// or nil if there is none. If its response is lost, it may have received them, so they are not offered
// to a second one.
func (r *rights) prepareHandOver() (send func(context.Context)) {
	others := r.fleet.allPeers()
	if len(others) == 0 {
		return nil
	}
	q := &messenger.LeaveRightsRequest{}
	r.mu.Lock()
	for _, w := range slices.Sorted(maps.Keys(r.allocations)) {
		if n := r.allocations[w].TakeAvailable(time.Now()); n > 0 {
			q.Gifts = append(q.Gifts, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	r.mu.Unlock()
	return func(ctx context.Context) {
		err := others[0].LeaveRights(ctx, closeTimeout, q)
		r.log.Info("rights handed over", zap.String("to", others[0].Address()), zap.Error(err))
	}
}

// LeaveRights accepts rights from another router: one that stops while it can't reach a
// keeper, or one that returns what it borrowed.
func (r *rights) LeaveRights(_ context.Context, q *messenger.LeaveRightsRequest) (*messenger.LeaveRightsReply, error) {
	for _, x := range q.Gifts {
		p, _, _ := r.allocation(x.Workspace)
		p.Receive(x.Tokens)
	}
	return &messenger.LeaveRightsReply{}, nil
}

// claimFromCurrent sends a claim, and restarts it if another keeper becomes the current one
// meanwhile. After a partition, the keepers' knowledge of this router is as old as the
// partition, and if this router ended, they would write off rights on that basis.
func (r *rights) claimFromCurrent(ctx context.Context, timeout time.Duration) time.Duration {
	claimCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan time.Duration, 1)
	go func() { next <- r.claim(claimCtx, timeout) }()
	select {
	case t := <-next:
		return t
	case <-r.fleet.keeperChanged:
		cancel()
		<-next
		return r.claim(ctx, claimTimeout)
	}
}

// claim settles with the keepers once and returns the timeout of the next claim.
func (r *rights) claim(ctx context.Context, timeout time.Duration) time.Duration {
	// A claim contains its send time, and loses value while it waits for a connection.
	// Therefore the connection is awaited first.
	l := r.fleet.currentKeeper.Load()
	if l == nil {
		return slowClaimTimeout
	}
	if err := l.Await(ctx, timeout); err != nil {
		return r.claimFailed(l, err)
	}
	if !r.claimDue(time.Now()) {
		return timeout
	}
	change, allocations, leftOut, sent := r.buildClaims(false)
	reply, err := r.sendClaims(ctx, l, timeout, change)
	if err != nil {
		return r.claimFailed(l, err)
	}
	claimsAnswered.Inc()
	r.answeredSentAt = sent
	r.pace.observe(time.Now(), reply.Grants.GetClaimIntervalMs())
	if r.failing {
		r.failing = false
		r.borrower.keepersAnswer()
	}
	if reply.Grants.GetEnded() {
		r.reset()
		return claimTimeout
	}
	for i, g := range reply.Grants.GetGrants() {
		allocations[i].ApplyGrant(g, change.Claims[i], sent)
		if n := allotter.ShortageOf(g); n != nil {
			r.observeShortages([]*messenger.RightsShortage{n})
		}
	}
	r.observeShortages(reply.Grants.GetShortages())
	for w, p := range leftOut {
		p.OmissionAnswered(slices.Contains(reply.Grants.GetScarce(), w))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeredSequence = change.Sequence
	close(r.settled)
	r.settled = make(chan struct{})
	r.answeredClaims++
	return claimTimeout
}

// claimFailed records a claim without a response, and logs the first of consecutive ones.
func (r *rights) claimFailed(l *messenger.Link, err error) time.Duration {
	claimsFailed.Inc()
	if !r.failing {
		r.failing = true
		r.log.Warn("rights claim failed, will retry", zap.String("keeper", l.Address()), zap.Error(err))
	}
	return slowClaimTimeout
}

// floor returns the tokens of a workspace that this router holds ahead of demand, so that
// the first requests need not wait. It is a part of the even share of the total, and 0 for
// pooled workspaces.
func (r *rights) floor(workspace string) int64 {
	n := r.floorShare(workspace)
	if n < minFloor || len(r.totals) > maxEagerFloors && time.Since(r.fleet.startedAt) < floorDelay {
		return 0
	}
	return n
}

// updateTotals applies the prepaid totals of a document, and adds allocations for new workspaces.
func (r *rights) updateTotals(d *publisher.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals = map[string]int64{}
	for _, w := range d.Workspaces {
		if w.Prepaid == nil {
			continue
		}
		r.totals[w.Name] = *w.Prepaid
		if r.allocations[w.Name] == nil {
			r.allocations[w.Name] = &allotter.Allocation{}
		}
	}
	r.shortages.SetTotals(r.totals)
}

// claimDue reports whether there is something to claim or to settle now.
func (r *rights) claimDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredSequence == 0 {
		return true
	}
	pause := r.claimInterval()
	renew := now.Sub(r.answeredSentAt) >= renewInterval
	for w, p := range r.allocations {
		if renew && p.ClaimAnswered() || p.ClaimDue(now, r.floor(w), pause) {
			return true
		}
	}
	return false
}

// buildClaims returns the claims to send now, their allocations, and the allocations that are left
// out because nothing changed.
func (r *rights) buildClaims(closing bool) (out *messenger.RightsChange, allocations []*allotter.Allocation, leftOut map[string]*allotter.Allocation, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, leftOut = time.Now(), map[string]*allotter.Allocation{}
	r.sequence++
	out = &messenger.RightsChange{
		Router: r.address, Incarnation: r.incarnation, Closing: closing, Sequence: r.sequence, Answered: r.answeredSequence,
		Sent: rightsMoment(sent), Started: r.started.momentAt(sent), Binding: true,
	}
	pause := r.claimInterval()
	for _, w := range slices.Sorted(maps.Keys(r.allocations)) {
		p := r.allocations[w]
		r.setHolders(w, p)
		known := p.ClaimAnswered()
		switch {
		case closing:
			c := p.Close(w)
			if !known {
				continue
			}
			out.Claims = append(out.Claims, c)
		case !known && !p.ClaimDue(sent, r.floor(w), pause):
			continue
		case !p.ClaimDue(sent, r.floor(w), pause) && p.OmitFromClaim(sent):
			leftOut[w] = p
			continue
		default:
			out.Claims = append(out.Claims, p.NextClaim(sent, w, r.floor(w), pause))
		}
		allocations = append(allocations, p)
	}
	return out, allocations, leftOut, sent
}

// setHolders tells an allocation how many routers hold the rights of its workspace.
func (r *rights) setHolders(workspace string, p *allotter.Allocation) {
	if total, limited := r.totals[workspace]; limited && r.floorShare(workspace) < minFloor {
		p.SetPooledHolders(r.fleet.zoneCount(), total)
		return
	}
	p.SetHolders(r.fleet.Routers())
}

// sendClaims sends the claims to a keeper, which forwards them to the leader.
func (r *rights) sendClaims(ctx context.Context, l *messenger.Link, timeout time.Duration, change *messenger.RightsChange) (*messenger.OrderReply, error) {
	var reply *messenger.OrderReply
	err := l.Call(ctx, timeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		reply, err = c.Order(ctx, &messenger.OrderRequest{Change: &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: change}}})
		return err
	})
	return reply, err
}

// reset opens a new account. The keepers have closed the previous one, and count all rights
// that it held as spent.
func (r *rights) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Warn("keepers closed the rights account, opening a new one", zap.Uint64("incarnation", r.incarnation))
	for w := range r.allocations {
		r.allocations[w] = &allotter.Allocation{}
	}
	r.incarnation = newIncarnation()
	r.sequence, r.answeredSequence, r.started = 0, 0, newAccountStart()
}
