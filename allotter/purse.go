package allotter

import (
	"math"
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// Horizon is how long a router should be able to serve from what it holds
	// while no keeper is in reach: cuts of nine seconds are ordinary, and
	// demand may rise by half meanwhile.
	Horizon = 14 * time.Second
	// scarceHorizon is the headroom that a router keeps while the pool is
	// low. Routers lend to each other, so what one holds too much of is not
	// lost to the others, while all of them may be cut off the next moment.
	scarceHorizon = 5 * time.Second
	// The ceiling that a claim states leaves room for the demand of BoundRest, or,
	// where claims come less often, of the pause between two and boundMargin, and for
	// boundSlack in tokens; then it rises by boundRise times the demand. What a bound
	// leaves open is lost when the process dies: 2 s of demand for one that is back
	// after 1.1 s. With room for 0.5 s, no request could begin from half a second
	// after the last claim on for two seconds, in every cut: of a calm day with two
	// cuts twice as many requests were refused (12 of 1,000 instead of 6). A rise of
	// 1.1 refused bursts during cuts (16 instead of 7).
	boundMargin = 250 * time.Millisecond
	boundSlack  = 1_000
	boundRise   = 1.5
	// BoundRest is how long a bound stays at its ceiling before it rises: while
	// claims are answered in time, how long a dead process was down does not
	// matter at all.
	BoundRest = 1500 * time.Millisecond
	// boundSlope is tokens a second for a workspace without demand yet: a usual
	// request in one to two seconds. More than boundRouters share it out, and
	// boundSlack too: what many routers leave open for a workspace that nobody asks them
	// for counts many times, while a router that lacks rights finds many lenders. Twelve
	// of 78 without power for 3.5 s lost 2 in 100 of all totals so, their whole floors.
	boundSlope = 2_000
	// boundRouters is above the number of routers of the fleets where the whole of both
	// paid: with nine, no slack and half of the rise, a calm day with two cuts was worth
	// 0.706 instead of 0.730.
	boundRouters = 24
	// lendReserve of its own demand a router keeps when it lends: as much as it is
	// averaged over.
	lendReserve = 4 * time.Second
	// dryFor is how long a search that found nothing spares the next ones. Each
	// takes several calls and up to half a second; a total that is raised, or
	// rights that come back, are found within this time.
	dryFor = 300 * time.Millisecond
	// lendSmall is the least worth lending, in tokens, a small request: a purse
	// that is nearly empty gave halves of halves, a thousand times in two
	// seconds.
	lendSmall = 500
	// lendHorizon is how long what a router borrows should last: several searches,
	// so that a lender that is slow to answer is not missed.
	lendHorizon = 2 * time.Second
	// rateWindow is over how much time demand is averaged: long enough that
	// single large prompts don't count as demand, short against Horizon.
	rateWindow = 4 * time.Second
	// rateLeast is the shortest time that demand is reckoned from: some dozen
	// requests of a busy router.
	rateLeast = time.Second
	// rateSure is the same for what a limit leaves open: what it leaves is lost when the
	// process dies, and a few requests of a caller that has just come tell little.
	rateSure = 3 * time.Second
	// returnSlack keeps small amounts from going back and forth, in tokens: about
	// one large request, or a part of the floor if that is less. With many
	// routers the floor is small, and 62 that each kept 20,000 tokens kept 1.2
	// of a total of 3 million.
	returnSlack  = 20_000
	slackOfFloor = 4
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
	// The bound that a keeper knows of: ceiling at boundAt, rising by slope
	// tokens a second. Spent + reserved - received never exceeds it.
	ceiling, slope int64
	boundAt        time.Time
	// Unanswered says that a claim stated another bound and got no answer: a
	// keeper may know either.
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

// demand notes n tokens asked for.
func (p *Purse) demand(now time.Time, n int64) {
	if p.rate(now) < 1 {
		p.rateFrom = now
	}
	p.mean += float64(n) / rateWindow.Seconds()
}

// rate is the demand in tokens a second. A mean over a window takes as long as
// the window to show demand that begins; divided by the part of it that has
// been seen, it shows it after rateLeast.
func (p *Purse) rate(now time.Time) float64 {
	if gone := now.Sub(p.meanAt); gone > 0 {
		p.mean *= math.Exp(-gone.Seconds() / rateWindow.Seconds())
		p.meanAt = now
	}
	return p.rateSeen(now, rateLeast)
}

// rateSeen is the rate reckoned from so long a time at least.
func (p *Purse) rateSeen(now time.Time, least time.Duration) float64 {
	seen := max(now.Sub(p.rateFrom), least)
	return p.mean / (1 - math.Exp(-seen.Seconds()/rateWindow.Seconds()))
}

// Until returns how long it takes until the bound has risen far enough for n
// tokens, where the router holds as many. It returns false where it does not.
func (p *Purse) Until(now time.Time, n int64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || n > p.headroom() || p.slope <= 0 {
		return 0, false
	}
	missing := n + p.used() - p.ceiling
	rises := time.Duration(float64(max(missing, 0)) / float64(p.slope) * float64(time.Second))
	return max(p.boundAt.Add(BoundRest+rises).Sub(now), 0), true
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
	rate := p.rate(now)
	need := p.need(rate, floor)
	headroom := p.headroom()
	return !p.covered() || p.waiting > 0 || headroom < need-need/8 ||
		now.Sub(p.boundAt) >= pause && (rate >= 1 || p.reserved > 0) || p.surplus(need, rate, floor) > 0
}

// Covered reports whether it is certain which ceiling a keeper knows, and that it
// covers all that was used. Only then may a claim leave the workspace out.
func (p *Purse) Covered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covered()
}

func (p *Purse) covered() bool { return p.known && !p.unanswered && p.used() <= p.ceiling }

// LeftOut notes that a keeper answered a router's claims, sent at a time, that
// left this workspace out while it was Covered: its ceiling holds from that time
// on. Without this the bound of a workspace that nobody asks for rises as long as
// its router lives, and all that the router holds ahead of demand counts as spent
// when it dies. The answer also says whether the pool is low: then idle routers
// give back what they hold. Of a total whose callers had all come to one router,
// the eight others kept 11 in 100.
func (p *Purse) LeftOut(sent time.Time, scarce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scarce = scarce
	if sent.After(p.boundAt) {
		p.boundAt = sent
	}
}

// surplus returns the headroom that should go back to the keepers, beside what the
// router needs at a rate. What was lent can't go back: the lender has written it off.
func (p *Purse) surplus(need int64, rate float64, floor int64) int64 {
	most := need
	if !p.scarce {
		most = 3 * need
	}
	if !p.scarce || rate >= 1 {
		most += slackFor(floor)
	}
	surplus := min(p.headroom()-need, p.granted-p.returned-p.spent-p.reserved)
	if need+surplus <= most {
		return 0
	}
	return surplus
}

// used is what keepers must know to be covered by the bound.
func (p *Purse) used() int64 { return p.spent + p.reserved - p.received }

// slackFor is the surplus that may stay with a router that holds floor ahead.
func slackFor(floor int64) int64 {
	if floor <= 0 {
		return returnSlack
	}
	return min(returnSlack, floor/slackOfFloor)
}

// need is the headroom that the router should hold at a rate.
func (p *Purse) need(rate float64, floor int64) int64 {
	horizon := Horizon
	if p.scarce {
		horizon, floor = scarceHorizon, 0
	}
	return max(int64(rate*horizon.Seconds()), min(floor, p.left))
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
		Ceiling: max(p.used(), 0) + p.queued + int64(sure*max(BoundRest, pause+boundMargin).Seconds()) + p.idle(boundSlack),
		Slope:   int64(sure*boundRise) + p.idle(boundSlope),
	}
	p.waiting, p.queued, p.unanswered = 0, 0, true
	return c
}

// idle is the part of a bound that is there without demand, in tokens or in tokens a
// second.
func (p *Purse) idle(most int64) int64 {
	return most * boundRouters / max(p.routers, boundRouters)
}

// Among says how many routers hold rights of the workspace.
func (p *Purse) Among(routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = int64(routers)
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
	p.ceiling, p.slope, p.boundAt, p.unanswered = c.Ceiling, c.Slope, sent, false
	p.granted = max(p.granted, g.Granted)
	p.left, p.scarce, p.known = g.Left, g.Scarce, true
}

// bounded is what may still be set aside below the bound that a keeper knows.
func (p *Purse) bounded(now time.Time) int64 {
	return bound(p.ceiling, p.slope, now.Sub(p.boundAt)) - p.used()
}

// bound returns the most spent within a time after a claim.
func bound(ceiling, slope int64, after time.Duration) int64 {
	return ceiling + int64(float64(slope)*max(after-BoundRest, 0).Seconds())
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
