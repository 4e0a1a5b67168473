package courier

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// minFloor is the smallest amount worth holding ahead of demand, in tokens: a small
	// request. If floorShare is less for a workspace, its rights are pooled: in each
	// availability zone one router, the owner, holds them for all routers of the zone.
	minFloor = 500
	// floorDelay is how long after its start a router holds nothing ahead of demand if
	// there are more than maxEagerFloors workspaces. Until then, it does not know how many
	// routers there are.
	floorDelay     = 3 * time.Second
	maxEagerFloors = 32
	// maxOwners is how many routers are asked in turn: the owner and its successor.
	maxOwners    = 2
	ownerTimeout = 350 * time.Millisecond
	// otherZoneTimeout bounds a request to a router in another zone, which may pass it on.
	otherZoneTimeout = 300 * time.Millisecond
	// ownerSuspectTTL is how long an owner is skipped after it has not answered.
	ownerSuspectTTL = 2 * time.Second
	// returnInterval is how often a router returns unspent borrowed rights to owners, and
	// minReturn the smallest amount worth returning, in tokens.
	returnInterval = time.Second
	minReturn      = 500
)

// owners finds the routers that hold the pooled rights of workspaces. It is safe for
// concurrent use.
type owners struct {
	fleet *fleetView
	mu    sync.Mutex
	// suspects holds, by address, the time until which a router is skipped.
	suspects map[string]time.Time
}

func newOwners(f *fleetView) *owners { return &owners{fleet: f, suspects: map[string]time.Time{}} }

// ahead returns the routers to ask for a workspace's rights, in order. These are the
// routers that rank higher than this one; the result is nil if this router is the owner.
func (o *owners) ahead(now time.Time, workspace string) []*messenger.Link {
	type ranked struct {
		link *messenger.Link
		hash uint64
	}
	own := ownerRank(o.fleet.self.Address, workspace)
	var ahead []ranked
	for _, l := range o.fleet.zonePeers() {
		if h := ownerRank(l.Address(), workspace); h > own && !o.suspected(now, l) {
			ahead = append(ahead, ranked{l, h})
		}
	}
	slices.SortFunc(ahead, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	var out []*messenger.Link
	for _, r := range ahead[:min(len(ahead), maxOwners)] {
		out = append(out, r.link)
	}
	return out
}

// ownerRank ranks the routers of a zone for a workspace (rendezvous hashing). The router
// with the highest rank is the owner.
func ownerRank(address, workspace string) uint64 {
	return xxhash.Sum64String(address + "\x00" + workspace)
}

// suspected reports whether a router is being skipped.
func (o *owners) suspected(now time.Time, l *messenger.Link) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.suspects[l.Address()]
	if ok && !now.Before(until) {
		delete(o.suspects, l.Address())
	}
	return ok && now.Before(until)
}

// suspect skips a router for ownerSuspectTTL.
func (o *owners) suspect(now time.Time, l *messenger.Link) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspects[l.Address()] = now.Add(ownerSuspectTTL)
}

// floorShare returns the part of a workspace's total that this router would hold ahead of
// demand: its even share of the total, divided by floorDivisor. It needs r.mu.
func (r *rights) floorShare(workspace string) int64 {
	return r.totals[workspace] / int64(floorDivisor*max(r.fleet.Routers(), 1))
}

// pooled reports whether the rights of a workspace are held by one owner in each zone.
func (r *rights) pooled(workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, limited := r.totals[workspace]
	return limited && r.floorShare(workspace) < minFloor
}

// reserveInZone reserves pooled tokens: from what this router holds already, or from a loan
// of the owner in its zone. done is false if this router has to obtain the tokens itself,
// because it is the owner or because no owner answers.
func (r *rights) reserveInZone(ctx context.Context, workspace string, tokens int64, scope messenger.RightsScope) (res *reservation, done bool, err error) {
	p, _, _ := r.allocation(workspace)
	if p.TryReserve(time.Now(), tokens) {
		return &reservation{allocation: p, tokens: tokens}, true, nil
	}
	for _, l := range r.owners.ahead(time.Now(), workspace) {
		reply, err := l.ReserveRights(ctx, ownerTimeout, &messenger.ReserveRightsRequest{Workspace: workspace, Tokens: tokens, Scope: scope})
		if err != nil {
			r.ownerTimedOut(ctx, l, err)
			continue
		}
		r.observeShortages(reply.Shortages)
		res, err := r.acceptLoan(p, tokens, reply)
		return res, true, err
	}
	return nil, false, nil
}

// ownerTimedOut records that an owner did not answer, and skips it for a
// while unless ctx has ended.
func (r *rights) ownerTimedOut(ctx context.Context, l *messenger.Link, err error) {
	ownerFailures.Inc()
	if ctx.Err() == nil {
		r.owners.suspect(time.Now(), l)
		r.log.Warn("owner of rights does not answer", zap.String("router", l.Address()), zap.Error(err))
	}
}

// acceptLoan converts the reply of another router to a reservation or an error.
func (r *rights) acceptLoan(p *allotter.Allocation, tokens int64, reply *messenger.ReserveRightsReply) (*reservation, error) {
	switch {
	case reply.Lent >= tokens:
		borrowedTokens.AddInt64(reply.Lent)
		p.ReceiveReserved(tokens)
		return &reservation{allocation: p, tokens: tokens}, nil
	case reply.Spent:
		rightsSpent.Inc()
		return nil, forwarder.ErrSpent
	}
	rightsOutOfReach.Inc()
	after := time.Duration(reply.RetryAfterMs) * time.Millisecond
	if r.notices && after <= 0 {
		after = r.retryAfter(p, tokens)
	}
	return nil, forwarder.RightsUnavailable{After: after}
}

// borrowFromOtherZones asks one router of each other zone, two at a time. Each of them asks
// the owner in its own zone. It reports whether one lent the tokens, which are then
// reserved. If a second router lends tokens too, they serve later requests here.
func (r *rights) borrowFromOtherZones(ctx context.Context, p *allotter.Allocation, workspace string, tokens int64) bool {
	for peers := range slices.Chunk(r.fleet.remotePeers(), 2) {
		answers := make(chan bool, len(peers))
		for _, l := range peers {
			go func() { answers <- r.borrowFromPeer(ctx, l, p, workspace, tokens) }()
		}
		for range peers {
			select {
			case lent := <-answers:
				if lent && p.TryReserve(time.Now(), tokens) {
					return true
				}
			case <-ctx.Done():
				return false
			}
		}
	}
	return false
}

// borrowFromPeer asks a router of another zone. Tokens that arrive too late for the request
// serve other requests.
func (r *rights) borrowFromPeer(ctx context.Context, l *messenger.Link, p *allotter.Allocation, workspace string, tokens int64) bool {
	q := &messenger.ReserveRightsRequest{Workspace: workspace, Tokens: tokens, Scope: messenger.RightsScope_RIGHTS_SCOPE_ZONE}
	reply, err := l.ReserveRights(context.WithoutCancel(ctx), otherZoneTimeout, q)
	if err != nil {
		return false
	}
	r.observeShortages(reply.Shortages)
	if reply.Lent < tokens {
		return false
	}
	borrowedTokens.AddInt64(reply.Lent)
	p.Receive(reply.Lent)
	return true
}

// ReserveRights serves another router that does not own a workspace's rights, or that has
// found too few in its own zone. Lent tokens count as spent here.
func (r *rights) ReserveRights(ctx context.Context, q *messenger.ReserveRightsRequest) (*messenger.ReserveRightsReply, error) {
	res, err := r.reserveForPeer(ctx, q)
	if err == nil && ctx.Err() != nil {
		res.Settle(0)
		return nil, ctx.Err()
	}
	if err == nil {
		res.Settle(q.Tokens)
		lentTokens.AddInt64(q.Tokens)
		return &messenger.ReserveRightsReply{Lent: q.Tokens, Shortages: r.reportShortages(q.Workspace)}, nil
	}
	out := &messenger.ReserveRightsReply{Spent: errors.Is(err, forwarder.ErrSpent), Shortages: r.reportShortages(q.Workspace)}
	var o forwarder.RightsUnavailable
	if errors.As(err, &o) {
		out.RetryAfterMs = o.After.Milliseconds()
	}
	return out, nil
}

// reserveForPeer reserves tokens for another router, within the scope of its request.
func (r *rights) reserveForPeer(ctx context.Context, q *messenger.ReserveRightsRequest) (*reservation, error) {
	if q.Scope == messenger.RightsScope_RIGHTS_SCOPE_ZONE {
		if res, done, err := r.reserveInZone(ctx, q.Workspace, q.Tokens, messenger.RightsScope_RIGHTS_SCOPE_LOCAL); done {
			return res, err
		}
	}
	others := q.Scope == messenger.RightsScope_RIGHTS_SCOPE_FLEET
	if p, _, _ := r.allocation(q.Workspace); !others && !p.Holds(q.Tokens) {
		// The asking router has already tried the keepers, or can't reach them.
		return nil, forwarder.RightsUnavailable{}
	}
	return r.reserveLocally(ctx, q.Workspace, q.Tokens, others)
}

// returnUnspent returns to owners the rights that this router borrowed and did not spend.
// If the response is lost, the rights may have arrived, so they are not returned again.
func (r *rights) returnUnspent(ctx context.Context) {
	requests := map[*messenger.Link]*messenger.LeaveRightsRequest{}
	now := time.Now()
	for _, w := range r.borrowedWorkspaces() {
		owners := r.owners.ahead(now, w)
		if len(owners) == 0 {
			continue
		}
		p, _, _ := r.allocation(w)
		if n := p.TakeIdle(now, minReturn); n > 0 {
			q := requests[owners[0]]
			if q == nil {
				q = &messenger.LeaveRightsRequest{}
				requests[owners[0]] = q
			}
			q.Gifts = append(q.Gifts, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	for l, q := range requests {
		go func() {
			if err := l.LeaveRights(ctx, ownerTimeout, q); err != nil {
				r.log.Warn("leftover rights not given back", zap.String("router", l.Address()), zap.Error(err))
			}
		}()
	}
}

// borrowedWorkspaces returns the workspaces of which this router holds only borrowed rights.
func (r *rights) borrowedWorkspaces() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for w, p := range r.allocations {
		if !p.ClaimAnswered() {
			out = append(out, w)
		}
	}
	return out
}
