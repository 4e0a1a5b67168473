package allotter

import (
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// Horizon is how long a router should be able to serve from what it holds while no
	// keeper is in reach, also if demand rises by half.
	Horizon = 14 * time.Second
	// scarceHorizon is the headroom that a router keeps while the pool is low, for a cut
	// that begins the next moment.
	scarceHorizon = 5 * time.Second
	// BoundRest is how long a bound stays at its ceiling before it rises: a process that
	// is back within it costs no more than the ceiling left open.
	BoundRest = 1800 * time.Millisecond
	// defaultRest is the rest of claims that state none.
	defaultRest = 1500 * time.Millisecond
	// boundCover is the demand for which a ceiling leaves room at least, or that of the
	// pause between two claims and boundMargin.
	boundCover  = 1500 * time.Millisecond
	boundMargin = 250 * time.Millisecond
	// boundRise is the rise of a bound, as a multiple of the demand: bursts during a cut
	// go beyond the mean.
	boundRise = 1.5
	// boundSlack, in tokens, and boundSlope, in tokens a second, are what a bound leaves
	// open and its rise without demand: one small request. More than boundRouters
	// routers share them out.
	boundSlack   = 1_000
	boundSlope   = 2_000
	boundRouters = 24
	// lendReserve of its own demand a router keeps when it lends: as much as it is
	// averaged over.
	lendReserve = 4 * time.Second
	// dryFor is how long a search that found nothing spares the next ones.
	dryFor = 300 * time.Millisecond
	// lendSmall is the least worth lending, in tokens: a small request.
	lendSmall = 500
	// lendHorizon is how long what a router borrows should last: several searches.
	lendHorizon = 2 * time.Second
	// rateWindow is over how much time demand is averaged: single large prompts don't
	// count as demand.
	rateWindow = 4 * time.Second
	// rateLeast is the shortest time that demand is reckoned from.
	rateLeast = time.Second
	// rateSure is the same for what a limit leaves open, which is lost when the process
	// dies.
	rateSure = 3 * time.Second
	// returnSlack, in tokens, keeps small amounts from going back and forth: one large
	// request, or a part of the floor if that is less.
	returnSlack  = 20_000
	slackOfFloor = 4
	// slackOfShare is the same for the part of a pooled total. At most a part of it, as a
	// divisor, is held ahead of requests, and less while the pool is low.
	slackOfShare  = 64
	aheadOfShare  = 2
	scarceOfShare = 32
)

// Purse is what a router holds of one workspace's rights. All amounts but
// reserved only ever grow. It is safe for concurrent use.
type Purse struct {
	mu sync.Mutex
	// Spent + reserved never exceeds granted - returned + received. Received
	// is what other routers lent: the lender counts it as spent, so keepers
	// never hear of it here.
	granted, returned, received, spent, reserved int64
	// Waiting is what requests that didn't fit since the last claim ask for, the
	// largest of them, and lacked the same since other routers were asked; queued is
	// what all of them ask for.
	waiting, lacked, queued int64
	// Limits are the bounds of the claim that was answered last and of all later ones,
	// oldest first; a keeper may have taken in any of them. Spent + reserved - received
	// exceeds none.
	limits []limit
	// Unanswered says that the last claim got no answer yet.
	unanswered bool
	left       int64
	scarce     bool
	// DryAt is when drySize tokens were last looked for in vain.
	dryAt   time.Time
	drySize int64
	// Known says that a keeper has answered a claim for this workspace.
	known bool
	// Closed says that nothing more may be set aside.
	closed bool
	// Routers is how many hold rights of the workspace; 0 before that is told.
	routers int64
	// Share is an even part of a pooled total among its holders, in tokens; 0 if not pooled.
	share int64
	// Mean is tokens a second as of meanAt, averaged over rateWindow as if there
	// had been none before rateFrom, when the first was asked for.
	mean             float64
	meanAt, rateFrom time.Time
}

// Reserve sets n tokens aside for a new request and reports whether they were
// there. They count as demand in both cases: with only what was served counted,
// a router that held nothing asked for one request's worth at a time.
func (p *Purse) Reserve(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand(now, n)
	return p.take(now, n)
}

// Retry is Reserve for a request that has asked before.
func (p *Purse) Retry(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(now, n)
}

func (p *Purse) take(now time.Time, n int64) bool {
	if p.closed {
		return false
	}
	if n > p.headroom() || n > p.bounded(now) {
		p.waiting, p.lacked, p.queued = max(p.waiting, n), max(p.lacked, n), p.queued+n
		return false
	}
	p.reserved += n
	return true
}

// Known reports whether a keeper has answered a claim of this purse.
func (p *Purse) Known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// Holds reports whether n tokens are held that are not set aside, whether or not they may be
// used at once.
func (p *Purse) Holds(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && n <= p.headroom()
}

// TakeHeld sets n tokens aside if they are there, and notes nothing otherwise.
func (p *Purse) TakeHeld(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || n > p.headroom() || n > p.bounded(now) {
		return false
	}
	p.reserved += n
	return true
}

// Borrow adds n tokens that another router lent for one request and sets them aside.
func (p *Purse) Borrow(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
	p.reserved += n
}

// Settle ends a reservation of which only part was spent.
func (p *Purse) Settle(reserved, spent int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= reserved
	p.spent += min(spent, reserved)
}

// Exhausted reports whether a keeper has said that fewer than n tokens are
// left for anybody, and the router itself holds fewer: one that holds them and may
// not use them yet, since its limit has not risen, has no right to say that the total
// is spent.
func (p *Purse) Exhausted(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known && p.left < n && p.headroom() < n
}

// Dry notes that neither keepers nor other routers had n tokens.
func (p *Purse) Dry(now time.Time, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.dryAt) > dryFor || n < p.drySize {
		p.drySize = n
	}
	p.dryAt = now
}

// IsDry reports whether a request of n tokens is known to fail: as large a one
// has just been looked for everywhere in vain.
func (p *Purse) IsDry(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.dryAt) < dryFor && n >= p.drySize && n > p.headroom()
}

// Due reports whether a claim is worth its way: something waits, headroom or
// bound run low, headroom should go back, or more may have been spent than the
// ceiling that a keeper knows.
func (p *Purse) Due(now time.Time, floor int64, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known && p.waiting == 0 && floor <= 0 {
		return false
	}
	rate := p.rate(now)
	need := p.need(rate, floor)
	headroom := p.headroom()
	return !p.covered() || p.waiting > 0 || headroom < need-need/8 ||
		now.Sub(p.statedAt()) >= pause && (rate >= 1 || p.reserved > 0) || p.surplus(need, rate, floor) > 0
}

func (p *Purse) covered() bool {
	return p.known && !p.unanswered && p.used() <= p.limits[len(p.limits)-1].ceiling
}

// statedAt is when the newest limit was stated, or the zero time.
func (p *Purse) statedAt() time.Time {
	if len(p.limits) == 0 {
		return time.Time{}
	}
	return p.limits[len(p.limits)-1].at
}

// LeaveOut reports whether a claim sent now may leave the workspace out, which states the
// ceiling stated last anew. Without this the bound of a workspace that nobody asks for
// rises as long as its router lives, and all that the router holds ahead of demand counts
// as spent when it dies.
func (p *Purse) LeaveOut(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.covered() {
		return false
	}
	last := &p.limits[len(p.limits)-1]
	if now.After(last.at) {
		last.at = now
	}
	p.unanswered = true
	return true
}

// LeftOut notes that a keeper answered the claim that left the workspace out. The answer
// says whether the pool is low: then idle routers give back what they hold.
func (p *Purse) LeftOut(scarce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scarce, p.unanswered = scarce, false
}

// surplus returns the headroom that should go back to the keepers, beside what the
// router needs at a rate. What was lent can't go back: the lender has written it off.
func (p *Purse) surplus(need int64, rate float64, floor int64) int64 {
	most := need
	if !p.scarce {
		most = 3 * need
	}
	if !p.scarce || rate >= 1 {
		most += p.slack(floor)
	}
	surplus := min(p.headroom()-need, p.granted-p.returned-p.spent-p.reserved)
	if need+surplus <= most {
		return 0
	}
	return surplus
}

// used is what keepers must know to be covered by the bound.
func (p *Purse) used() int64 { return p.spent + p.reserved - p.received }

// slack is the surplus that may stay with a router that holds floor ahead.
func (p *Purse) slack(floor int64) int64 {
	switch {
	case p.share > 0:
		return min(returnSlack, p.share/slackOfShare)
	case floor <= 0:
		return returnSlack
	}
	return min(returnSlack, floor/slackOfFloor)
}

// need is the headroom that the router should hold at a rate.
func (p *Purse) need(rate float64, floor int64) int64 {
	horizon, part := Horizon, int64(aheadOfShare)
	if p.scarce {
		horizon, floor, part = scarceHorizon, 0, scarceOfShare
	}
	need := int64(rate * horizon.Seconds())
	if p.share > 0 {
		need = min(need, p.share/part)
	}
	return max(need, min(floor, p.left))
}

// Claim returns what to tell a keeper, where the next claim comes after a
// pause. At least floor is held ahead of any demand. Headroom beyond need goes back at once
// here, before the keeper hears of it.
func (p *Purse) Claim(now time.Time, workspace string, floor int64, pause time.Duration) *messenger.RightsClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.rate(now)
	headroom := p.headroom()
	need := p.need(rate, floor) + p.waiting
	back := p.surplus(need, rate, floor)
	p.returned += back
	headroom -= back
	sure := p.rateSeen(now, rateSure)
	c := &messenger.RightsClaim{
		Workspace: workspace, Returned: p.returned, Spent: max(p.spent-p.received, 0),
		Wanted: max(need-headroom, 0), Urgent: max(p.waiting-headroom, 0),
		Ceiling: max(p.used(), 0) + p.queued + int64(sure*max(boundCover, pause+boundMargin).Seconds()) + p.idle(boundSlack),
		Slope:   int64(sure*boundRise) + p.idle(boundSlope), RestMs: BoundRest.Milliseconds(),
	}
	if p.unanswered && p.known {
		// A keeper may hear of this claim only after a cut, through which the router
		// serves by what it stated before.
		c.Ceiling, c.Slope = max(c.Ceiling, p.allowed(now.Add(BoundRest))), max(c.Slope, p.slope())
	}
	p.waiting, p.queued, p.unanswered = 0, 0, true
	p.keepTo(limit{ceiling: c.Ceiling, slope: c.Slope, at: now})
	return c
}

// Among says how many routers hold rights of the workspace.
func (p *Purse) Among(routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers, p.share = int64(routers), 0
}

// Pool says that so many routers hold all rights of the workspace, of so many tokens.
func (p *Purse) Pool(holders int, total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers, p.share = int64(holders), max(total/int64(max(holders, 1)), 1)
}

// Close returns the last claim of a process that ends. Requests may still be
// in progress, so what is set aside for them counts as spent: given back, it
// would be granted to another router while their last tokens are delivered.
func (p *Purse) Close(workspace string) *messenger.RightsClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return &messenger.RightsClaim{Workspace: workspace, Returned: p.returned, Spent: max(p.used(), 0)}
}

// Granted takes a keeper's answer to a claim in, which was sent at a time.
func (p *Purse) Granted(g *messenger.RightsGrant, c *messenger.RightsClaim, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Later claims than this one were not sent: they follow each other.
	p.limits, p.unanswered = []limit{{ceiling: c.Ceiling, slope: c.Slope, at: sent}}, false
	p.granted = max(p.granted, g.Granted)
	p.left, p.scarce, p.known = g.Left, g.Scarce, true
}

// headroom is what may still be set aside.
func (p *Purse) headroom() int64 { return p.granted - p.returned + p.received - p.spent - p.reserved }

// Rest takes all headroom out of the purse, for another router.
func (p *Purse) Rest(now time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := max(min(p.headroom(), p.bounded(now)), 0)
	p.spent += n
	return n
}

// RestAbove is Rest where at least so many tokens are left and nothing is set aside;
// otherwise it takes nothing.
func (p *Purse) RestAbove(now time.Time, least int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(p.headroom(), p.bounded(now))
	if p.reserved > 0 || n < least {
		return 0
	}
	p.spent += n
	return n
}

// Lend gives up to wanted tokens away: half of the headroom, or all that the
// router itself won't need for a while. They count as spent here.
func (p *Purse) Lend(now time.Time, wanted int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	headroom := p.headroom()
	spare := max(headroom/2, headroom-int64(p.rate(now)*lendReserve.Seconds()))
	n := min(wanted, spare, p.bounded(now))
	if p.closed || n < lendSmall {
		return 0
	}
	p.spent += n
	return n
}

// Receive takes in what another router lent.
func (p *Purse) Receive(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
}

// Lack returns what to ask other routers for: what the largest request that was
// refused since the last call needs, and the demand of lendHorizon; ahead of
// need only once half of that is gone, since routers that are all cut off would
// lend the same rights to each other and back. With only set, nothing as long as
// keepers have that much left.
func (p *Purse) Lack(now time.Time, only bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	lacked, need := p.lacked, int64(p.rate(now)*lendHorizon.Seconds())
	there := min(p.headroom(), p.bounded(now))
	if p.closed || only && (lacked == 0 || p.left >= lacked) || lacked == 0 && there > need/2 {
		return 0
	}
	p.lacked = 0
	return max(lacked, need) - min(there, max(lacked, need))
}
