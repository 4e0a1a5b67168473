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
	// minFloor is the least worth holding ahead of demand, in tokens: a small request. The
	// rights of a workspace of which an even share would be less are pooled: in each
	// availability zone one router, the owner, holds them for all.
	minFloor = 500
	// floorDelay is how long after its start a router holds nothing ahead of demand of more
	// than maxEagerFloors workspaces: until then it does not know how many routers there are.
	floorDelay     = 3 * time.Second
	maxEagerFloors = 32
	// maxOwners is how many routers are asked in turn, the owner and its successor.
	maxOwners    = 2
	ownerTimeout = 350 * time.Millisecond
	// elsewhereTimeout bounds a question to another zone, which may pass it on.
	elsewhereTimeout = 300 * time.Millisecond
	// ownerSuspectTTL is how long an owner that did not answer is passed over.
	ownerSuspectTTL = 2 * time.Second
	// returnInterval is how often a router gives back to owners what it borrowed and did
	// not spend, and minReturn the least worth giving back, in tokens.
	returnInterval = time.Second
	minReturn      = 500
)

// owners finds the routers that hold the pooled rights of workspaces. It is safe for
// concurrent use.
type owners struct {
	fleet *fleet
	mu    sync.Mutex
	// Suspects holds until when routers are passed over, by address.
	suspects map[string]time.Time
}

func newOwners(f *fleet) *owners { return &owners{fleet: f, suspects: map[string]time.Time{}} }

// of returns the routers to ask for a workspace's rights, in order, up to this router: nil
// if this router is the owner.
func (o *owners) of(now time.Time, workspace string) []*messenger.Link {
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

// ownerRank orders the routers of a zone for a workspace, the highest first.
func ownerRank(address, workspace string) uint64 {
	return xxhash.Sum64String(address + "\x00" + workspace)
}

func (o *owners) suspected(now time.Time, l *messenger.Link) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	until, ok := o.suspects[l.Address()]
	if ok && !now.Before(until) {
		delete(o.suspects, l.Address())
	}
	return ok && now.Before(until)
}

func (o *owners) suspect(now time.Time, l *messenger.Link) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.suspects[l.Address()] = now.Add(ownerSuspectTTL)
}

// share is this router's even part of what is held of a workspace ahead of demand.
func (r *rights) share(workspace string) int64 {
	return r.totals[workspace] / int64(floorPart*max(r.fleet.Routers(), 1))
}

// pooled reports whether few routers of each zone hold the rights of a workspace.
func (r *rights) pooled(workspace string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, limited := r.totals[workspace]
	return limited && r.share(workspace) < minFloor
}

// reserveInZone sets pooled tokens aside: those that this router has left over, or those
// that the owner in its zone lends. It is not done where this router has to look for them
// itself.
func (r *rights) reserveInZone(ctx context.Context, workspace string, tokens int64, scope messenger.RightsScope) (res *reservation, done bool, err error) {
	p, _, _ := r.purse(workspace)
	if p.TakeHeld(time.Now(), tokens) {
		return &reservation{purse: p, tokens: tokens}, true, nil
	}
	for _, l := range r.owners.of(time.Now(), workspace) {
		reply, err := l.ReserveRights(ctx, ownerTimeout, &messenger.ReserveRightsRequest{Workspace: workspace, Tokens: tokens, Scope: scope})
		if err != nil {
			r.ownerSilent(ctx, l, err)
			continue
		}
		res, err := lent(p, tokens, reply)
		return res, true, err
	}
	return nil, false, nil
}

// ownerSilent passes an owner over that did not answer in time.
func (r *rights) ownerSilent(ctx context.Context, l *messenger.Link, err error) {
	ownersSilent.Inc()
	if ctx.Err() == nil {
		r.owners.suspect(time.Now(), l)
		r.log.Warn("owner of rights does not answer", zap.String("router", l.Address()), zap.Error(err))
	}
}

// lent takes in what another router answered to a request for tokens.
func lent(p *allotter.Purse, tokens int64, reply *messenger.ReserveRightsReply) (*reservation, error) {
	switch {
	case reply.Lent >= tokens:
		borrowedTokens.AddInt64(reply.Lent)
		p.Borrow(tokens)
		return &reservation{purse: p, tokens: tokens}, nil
	case reply.Spent:
		rightsSpent.Inc()
		return nil, forwarder.ErrSpent
	}
	rightsRefused.Inc()
	return nil, forwarder.OutOfReach{After: time.Duration(reply.RetryAfterMs) * time.Millisecond}
}

// borrowElsewhere asks one router of each other zone, two at once, which look at their own
// zones' owners. It reports whether one lent the tokens, which are then set aside; what another
// lends as well serves later requests here.
func (r *rights) borrowElsewhere(ctx context.Context, p *allotter.Purse, workspace string, tokens int64) bool {
	for peers := range slices.Chunk(r.fleet.remotePeers(), 2) {
		answers := make(chan bool, len(peers))
		for _, l := range peers {
			go func() { answers <- r.borrowFrom(ctx, l, p, workspace, tokens) }()
		}
		for range peers {
			select {
			case lent := <-answers:
				if lent && p.TakeHeld(time.Now(), tokens) {
					return true
				}
			case <-ctx.Done():
				return false
			}
		}
	}
	return false
}

// borrowFrom asks a router of another zone. Tokens that come too late for the request that
// needs them serve others.
func (r *rights) borrowFrom(ctx context.Context, l *messenger.Link, p *allotter.Purse, workspace string, tokens int64) bool {
	q := &messenger.ReserveRightsRequest{Workspace: workspace, Tokens: tokens, Scope: messenger.RightsScope_RIGHTS_SCOPE_ZONE}
	reply, err := l.ReserveRights(context.WithoutCancel(ctx), elsewhereTimeout, q)
	if err != nil || reply.Lent < tokens {
		return false
	}
	borrowedTokens.AddInt64(reply.Lent)
	p.Receive(reply.Lent)
	return true
}

// ReserveRights serves another router that is no owner of a workspace's rights, or that has
// found too few in its own zone. What is lent counts as spent here.
func (r *rights) ReserveRights(ctx context.Context, q *messenger.ReserveRightsRequest) (*messenger.ReserveRightsReply, error) {
	res, err := r.reserveFor(ctx, q)
	if err == nil && ctx.Err() != nil {
		res.Settle(0)
		return nil, ctx.Err()
	}
	if err == nil {
		res.Settle(q.Tokens)
		lentTokens.AddInt64(q.Tokens)
		return &messenger.ReserveRightsReply{Lent: q.Tokens}, nil
	}
	out := &messenger.ReserveRightsReply{Spent: errors.Is(err, forwarder.ErrSpent)}
	var o forwarder.OutOfReach
	if errors.As(err, &o) {
		out.RetryAfterMs = o.After.Milliseconds()
	}
	return out, nil
}

func (r *rights) reserveFor(ctx context.Context, q *messenger.ReserveRightsRequest) (*reservation, error) {
	if q.Scope == messenger.RightsScope_RIGHTS_SCOPE_ZONE {
		if res, done, err := r.reserveInZone(ctx, q.Workspace, q.Tokens, messenger.RightsScope_RIGHTS_SCOPE_LOCAL); done {
			return res, err
		}
	}
	others := q.Scope == messenger.RightsScope_RIGHTS_SCOPE_FLEET
	if p, _, _ := r.purse(q.Workspace); !others && !p.Holds(q.Tokens) {
		// The router that asks has heard from keepers, or can't.
		return nil, forwarder.OutOfReach{}
	}
	return r.reserveHere(ctx, q.Workspace, q.Tokens, others)
}

// returnLeftovers gives back to owners what this router borrowed and did not spend. A gift
// whose answer is lost may have arrived, so it is not given twice.
func (r *rights) returnLeftovers(ctx context.Context) {
	gifts := map[*messenger.Link]*messenger.LeaveRightsRequest{}
	now := time.Now()
	for _, w := range r.borrowedPurses() {
		owners := r.owners.of(now, w)
		if len(owners) == 0 {
			continue
		}
		p, _, _ := r.purse(w)
		if n := p.RestAbove(now, minReturn); n > 0 {
			q := gifts[owners[0]]
			if q == nil {
				q = &messenger.LeaveRightsRequest{}
				gifts[owners[0]] = q
			}
			q.Gifts = append(q.Gifts, &messenger.PrepaidTotal{Workspace: w, Tokens: n})
		}
	}
	for l, q := range gifts {
		go func() {
			if err := l.LeaveRights(ctx, ownerTimeout, q); err != nil {
				r.log.Warn("leftover rights not given back", zap.String("router", l.Address()), zap.Error(err))
			}
		}()
	}
}

// borrowedPurses returns the workspaces of which this router holds only what it borrowed.
func (r *rights) borrowedPurses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for w, p := range r.purses {
		if !p.Known() {
			out = append(out, w)
		}
	}
	return out
}
