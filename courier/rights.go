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
	// claimEvery is how often rights are settled with the keepers.
	claimEvery = 250 * time.Millisecond
	// claimTimeout is for syncs on slow disks, an entry that waits for the one before, and
	// a way through another keeper.
	claimTimeout = 600 * time.Millisecond
	// patientClaim is the timeout after a claim that got no answer: over a link
	// that callers fill, answers come late, and a short timeout fails for as
	// long as they press.
	patientClaim = 1500 * time.Millisecond
	// claimPacedMost bounds how far claims slow down with the number of
	// routers: what a bound leaves open grows with the pause.
	claimPacedMost = 8
	// claimPause is the least time between two claims made for waiting
	// requests: requests that come meanwhile share the next one.
	claimPause = 10 * time.Millisecond
	// reserveWait bounds the wait of one request for rights: a few claims.
	reserveWait = 500 * time.Millisecond
	// touchLook is how often a waiting request looks whether keepers still
	// answer: with the time that is left it can still be served by what others
	// lend.
	touchLook = 100 * time.Millisecond
	// renewEvery is how often a router without demand settles, so that no bound
	// rises while keepers answer: within allotter.BoundRest, with time for one
	// that gets no answer.
	renewEvery = time.Second
	// floorPart of the even share of a total is held ahead of any demand.
	floorPart = 8
	// closeWait bounds the last claim of a process that stops.
	closeWait = 200 * time.Millisecond
)

// rights holds this router's purses and settles them with the keepers.
type rights struct {
	messenger.UnimplementedFleetRouterServer
	fleet   *fleet
	address string
	log     *zap.Logger
	urgent  chan struct{}
	// Borrower gets rights from other routers.
	borrower *borrower
	owners   *owners

	mu          sync.Mutex
	purses      map[string]*allotter.Purse
	incarnation uint64
	// Sequence counts claims; answered is the last one that was.
	sequence, answered uint64
	started            start
	// Totals are the prepaid totals of the document in force.
	totals map[string]int64
	// Settled is closed and replaced after every answered claim.
	settled chan struct{}
	rounds  uint64

	// Failing says that the last claim got no answer, stated when the last one
	// that got one was sent. Both belong to claim, of which one runs at a time.
	failing bool
	stated  time.Time
}

func newRights(f *fleet, address string, log *zap.Logger) *rights {
	r := &rights{
		fleet: f, address: address, log: log, urgent: make(chan struct{}, 1), purses: map[string]*allotter.Purse{},
		incarnation: newIncarnation(), settled: make(chan struct{}), started: newStart(),
	}
	r.borrower = newBorrower(r, log)
	r.owners = newOwners(f)
	return r
}

// reservation is tokens set aside in one purse.
type reservation struct {
	purse  *allotter.Purse
	tokens int64
}

// Settle gives back what was not spent.
func (r *reservation) Settle(spent int64) { r.purse.Settle(r.tokens, spent) }

// Reserve sets tokens aside, asking other routers or the keepers where this router holds too
// few.
func (r *rights) Reserve(ctx context.Context, workspace string, tokens int64) (forwarder.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveWait)
	defer cancel()
	if r.pooled(workspace) {
		if res, done, err := r.reserveInZone(ctx, workspace, tokens, messenger.RightsScope_RIGHTS_SCOPE_FLEET); done {
			return asReservation(res, err)
		}
	}
	return asReservation(r.reserveHere(ctx, workspace, tokens, true))
}

// asReservation keeps a nil reservation from becoming an interface that is not nil.
func asReservation(res *reservation, err error) (forwarder.Reservation, error) {
	if err != nil {
		return nil, err
	}
	return res, nil
}

// reserveHere sets tokens aside that this router holds, asking the keepers where they are
// too few, and other routers too where that is allowed.
func (r *rights) reserveHere(ctx context.Context, workspace string, tokens int64, others bool) (*reservation, error) {
	p, settled, first := r.purse(workspace)
	if p.IsDry(time.Now(), tokens) {
		rightsSpent.Inc()
		return nil, forwarder.ErrSpent
	}
	for asked := false; ; asked = true {
		if !asked && p.Reserve(time.Now(), tokens) || asked && p.Retry(time.Now(), tokens) {
			return &reservation{purse: p, tokens: tokens}, nil
		}
		if r.fleet.outOfTouch() {
			if others && r.borrow(ctx, p, workspace, tokens) {
				return &reservation{purse: p, tokens: tokens}, nil
			}
			rightsRefused.Inc()
			return nil, forwarder.OutOfReach{After: r.expected(p, tokens)}
		}
		select {
		case r.urgent <- struct{}{}:
		default:
		}
		select {
		case <-settled:
		case <-time.After(touchLook):
			// The keepers may have fallen silent since the last look.
			continue
		case <-ctx.Done():
			return nil, r.refused(p, tokens)
		}
		var now uint64
		p, settled, now = r.purse(workspace)
		if now > first+1 && p.Exhausted(tokens) {
			if others && r.borrow(ctx, p, workspace, tokens) {
				return &reservation{purse: p, tokens: tokens}, nil
			}
			return nil, r.refused(p, tokens)
		}
	}
}

// borrow sets tokens aside from what other routers lend.
func (r *rights) borrow(ctx context.Context, p *allotter.Purse, workspace string, tokens int64) bool {
	if r.pooled(workspace) {
		return r.borrowElsewhere(ctx, p, workspace, tokens)
	}
	return r.borrower.fetch(ctx, func() bool { return p.Retry(time.Now(), tokens) })
}

// expected returns after what time a request should come back that found no
// rights: once the bound has risen, or, where this router holds too few, after the
// time for which no keeper has answered already; how long a cut will still last is
// best told by how long it has lasted. A caller comes back once, so that sent back
// after a quarter of a second, in a cut of eight, it was refused for good.
func (r *rights) expected(p *allotter.Purse, tokens int64) time.Duration {
	if !r.fleet.outOfTouch() {
		return 0
	}
	if d, ok := p.Until(time.Now(), tokens); ok {
		return d
	}
	return r.fleet.untouched()
}

// refused tells a total that is spent from one that is out of reach.
func (r *rights) refused(p *allotter.Purse, tokens int64) error {
	if !p.Exhausted(tokens) {
		rightsRefused.Inc()
		return forwarder.OutOfReach{After: r.expected(p, tokens)}
	}
	rightsSpent.Inc()
	p.Dry(time.Now(), tokens)
	return forwarder.ErrSpent
}

// Lend serves another router that can't reach a keeper.
func (r *rights) Lend(_ context.Context, q *messenger.LendRequest) (*messenger.LendReply, error) {
	out := &messenger.LendReply{}
	for _, w := range q.Wants {
		p, _, _ := r.purse(w.Workspace)
		if n := p.Lend(time.Now(), w.Tokens); n > 0 {
			lentTokens.AddInt64(n)
			out.Lent = append(out.Lent, &messenger.PrepaidTotal{Workspace: w.Workspace, Tokens: n})
		}
	}
	return out, nil
}

func (r *rights) purse(workspace string) (*allotter.Purse, chan struct{}, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.purses[workspace]
	if p == nil {
		p = &allotter.Purse{}
		r.purses[workspace] = p
	}
	return p, r.settled, r.rounds
}

// run settles purses with the keepers until ctx ends.
func (r *rights) run(ctx context.Context) {
	go r.borrower.run(ctx)
	go r.runReturns(ctx)
	timeout := claimTimeout
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.fleet.paced(claimEvery, claimPacedMost)):
		case <-r.urgent:
		case <-r.fleet.turned:
		}
		timeout = r.claimAnew(ctx, timeout)
		time.Sleep(r.fleet.paced(claimPause, claimPacedMost))
	}
}

// runReturns gives back what is left of borrowed rights until ctx ends.
func (r *rights) runReturns(ctx context.Context) {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.returnLeftovers(ctx)
		}
	}
}

// close gives back what is left: to the keepers, or to another router where no
// keeper answers. Else it would count as spent.
func (r *rights) close(ctx context.Context) {
	if r.fleet.outOfTouch() {
		r.give(ctx)
	}
	l := r.fleet.current.Load()
	if l == nil {
		return
	}
	change, _, _, _ := r.change(true)
	if _, err := r.order(ctx, l, closeWait, change); err != nil {
		r.log.Warn("no keeper took the last account", zap.Error(err))
	}
}

// give hands all headroom to another router. One whose answer is lost may have
// it, so it is not offered twice.
func (r *rights) give(ctx context.Context) {
	others := r.fleet.others()
	if len(others) == 0 {
		return
	}
	q := &messenger.LeaveRightsRequest{}
	r.mu.Lock()
	for _, w := range slices.Sorted(maps.Keys(r.purses)) {
		if n := r.purses[w].Rest(time.Now()); n > 0 {
			q.Gifts = append(q.Gifts, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	r.mu.Unlock()
	err := others[0].LeaveRights(ctx, closeWait, q)
	r.log.Info("rights handed over", zap.String("to", others[0].Address()), zap.Error(err))
}

// LeaveRights serves another router that stops while no keeper answers it.
func (r *rights) LeaveRights(_ context.Context, q *messenger.LeaveRightsRequest) (*messenger.LeaveRightsReply, error) {
	for _, x := range q.Gifts {
		p, _, _ := r.purse(x.Workspace)
		p.Receive(x.Tokens)
	}
	return &messenger.LeaveRightsReply{}, nil
}

// claimAnew is claim, begun anew if another keeper becomes the current one meanwhile:
// after a cut, what the keepers know of this router is as old as the cut, and would be
// written off by that time if it died.
func (r *rights) claimAnew(ctx context.Context, timeout time.Duration) time.Duration {
	once, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan time.Duration, 1)
	go func() { next <- r.claim(once, timeout) }()
	select {
	case t := <-next:
		return t
	case <-r.fleet.turned:
		cancel()
		<-next
		return r.claim(ctx, claimTimeout)
	}
}

// claim settles with the keepers once and returns the next one's timeout.
func (r *rights) claim(ctx context.Context, timeout time.Duration) time.Duration {
	// A claim states when it was sent, and is worth less if it waits for a
	// connection first.
	l := r.fleet.current.Load()
	if l == nil {
		return patientClaim
	}
	if err := l.Await(ctx, timeout); err != nil {
		return r.unsettled(l, err)
	}
	if !r.due(time.Now()) {
		return timeout
	}
	change, purses, leftOut, sent := r.change(false)
	reply, err := r.order(ctx, l, timeout, change)
	if err != nil {
		return r.unsettled(l, err)
	}
	claimsAnswered.Inc()
	r.stated = sent
	r.failing = false
	if reply.Grants.GetEnded() {
		r.reset()
		return claimTimeout
	}
	for i, g := range reply.Grants.GetGrants() {
		purses[i].Granted(g, change.Claims[i], sent)
	}
	for w, p := range leftOut {
		p.LeftOut(slices.Contains(reply.Grants.GetScarce(), w))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = change.Sequence
	close(r.settled)
	r.settled = make(chan struct{})
	r.rounds++
	return claimTimeout
}

// unsettled notes a claim without an answer, and logs the first in a row.
func (r *rights) unsettled(l *messenger.Link, err error) time.Duration {
	claimsFailed.Inc()
	if !r.failing {
		r.failing = true
		r.log.Warn("rights not settled, tried again", zap.String("keeper", l.Address()), zap.Error(err))
	}
	return patientClaim
}

// floor is what this router holds of a workspace ahead of any demand: a part
// of the even share of the total, so that the first requests need not wait. Of pooled
// workspaces it is nothing.
func (r *rights) floor(workspace string) int64 {
	n := r.share(workspace)
	if n < minFloor || len(r.totals) > maxEagerFloors && time.Since(r.fleet.start) < floorDelay {
		return 0
	}
	return n
}

// prepare makes purses for the workspaces of a document.
func (r *rights) prepare(d *publisher.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals = map[string]int64{}
	for _, w := range d.Workspaces {
		if w.Prepaid == nil {
			continue
		}
		r.totals[w.Name] = *w.Prepaid
		if r.purses[w.Name] == nil {
			r.purses[w.Name] = &allotter.Purse{}
		}
	}
}

// due reports whether a claim is worth its way now.
func (r *rights) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered == 0 {
		return true
	}
	pause := r.fleet.paced(claimEvery, claimPacedMost)
	renew := now.Sub(r.stated) >= renewEvery
	for w, p := range r.purses {
		if renew && p.Known() || p.Due(now, r.floor(w), pause) {
			return true
		}
	}
	return false
}

// change returns the claims to send now, their purses, and the purses that they
// leave out.
func (r *rights) change(closing bool) (out *messenger.RightsChange, purses []*allotter.Purse, leftOut map[string]*allotter.Purse, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, leftOut = time.Now(), map[string]*allotter.Purse{}
	r.sequence++
	out = &messenger.RightsChange{
		Router: r.address, Incarnation: r.incarnation, Closing: closing, Sequence: r.sequence, Answered: r.answered,
		Sent: moment(sent), Started: r.started.at(sent), Binding: true,
	}
	pause := r.fleet.paced(claimEvery, claimPacedMost)
	for _, w := range slices.Sorted(maps.Keys(r.purses)) {
		p := r.purses[w]
		r.spread(w, p)
		known := p.Known()
		switch {
		case closing:
			c := p.Close(w)
			if !known {
				continue
			}
			out.Claims = append(out.Claims, c)
		case !known && !p.Due(sent, r.floor(w), pause):
			continue
		case !p.Due(sent, r.floor(w), pause) && p.LeaveOut(sent):
			leftOut[w] = p
			continue
		default:
			out.Claims = append(out.Claims, p.Claim(sent, w, r.floor(w), pause))
		}
		purses = append(purses, p)
	}
	return out, purses, leftOut, sent
}

// spread tells a purse among how many routers the rights of its workspace are.
func (r *rights) spread(workspace string, p *allotter.Purse) {
	if total, limited := r.totals[workspace]; limited && r.share(workspace) < minFloor {
		p.Pool(r.fleet.zoneCount(), total)
		return
	}
	p.Among(r.fleet.Routers())
}

// order sends the claims to a keeper, which passes them to the leader.
func (r *rights) order(ctx context.Context, l *messenger.Link, timeout time.Duration, change *messenger.RightsChange) (*messenger.OrderReply, error) {
	var reply *messenger.OrderReply
	err := l.Call(ctx, timeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		var err error
		reply, err = c.Order(ctx, &messenger.OrderRequest{Change: &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: change}}})
		return err
	})
	return reply, err
}

// reset begins a new account: the keepers count this one as ended, with all
// that it held as spent.
func (r *rights) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.Warn("rights of this router were ended; it begins a new account", zap.Uint64("incarnation", r.incarnation))
	for w := range r.purses {
		r.purses[w] = &allotter.Purse{}
	}
	r.incarnation = newIncarnation()
	r.sequence, r.answered, r.started = 0, 0, newStart()
}
