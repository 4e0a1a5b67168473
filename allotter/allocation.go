package allotter

import (
	"sync"
	"time"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// Horizon is how long a router should be able to serve from the tokens that it holds while no
	// keeper is reachable, even if demand rises by half.
	Horizon = 14 * time.Second
	// scarceHorizon replaces Horizon while tokens are scarce, to prepare for a network partition
	// that begins at once.
	scarceHorizon = 5 * time.Second
	// The rise delay of a bound is how long it stays at its ceiling before it rises. If a process
	// crashes and is back within this delay, only tokens up to the ceiling count as spent. In a
	// network partition, a router refuses requests for the part of it that exceeds the ceiling time,
	// which maxPartitionStall limits. maxRiseDelay covers a VM's restart.
	maxPartitionStall = 450 * time.Millisecond
	maxRiseDelay      = 2050 * time.Millisecond
	// Without demand, the rise delay covers the claim interval and restartTime, because many idle
	// bounds would otherwise rise while all VMs restart.
	restartTime = 1750 * time.Millisecond
	// defaultRiseDelay is the rise delay of claims that state none.
	defaultRiseDelay = 1500 * time.Millisecond
	// A ceiling leaves room for the demand until the next claim and during failedClaimTime, in which
	// a claim times out and is repeated, but for at most maxCeilingTime, because the room counts as
	// spent when the process crashes. If the interval plus ceilingMargin is longer, it leaves room
	// for that.
	failedClaimTime = 1300 * time.Millisecond
	maxCeilingTime  = 1670 * time.Millisecond
	ceilingMargin   = 250 * time.Millisecond
	// slopeFactor is the slope of a bound as a multiple of the demand rate, because bursts during
	// a network partition exceed the mean.
	slopeFactor = 1.5
	// idleCeiling, in tokens, and idleSlope, in tokens per second, are a bound's ceiling and slope
	// without demand. They allow for small requests while no keeper is reachable. More than
	// idleHolders routers divide the slope among themselves, and have no such ceiling: its parts
	// would be too small for any request.
	idleCeiling = 1_000
	idleSlope   = 2_000
	idleHolders = 24
	// lendReserve is the time for which a lender keeps tokens for its own demand. It equals the
	// window over which demand is averaged.
	lendReserve = 4 * time.Second
	// failedSearchTTL is how long a failed search for tokens prevents further ones.
	failedSearchTTL = 300 * time.Millisecond
	// minLoan is the smallest loan in tokens: one small request.
	minLoan = 500
	// lendHorizon is how long borrowed tokens should last: several searches.
	lendHorizon = 2 * time.Second
	// demandWindow is the window over which demand is averaged, so that single large prompts have
	// little weight.
	demandWindow = 4 * time.Second
	// minDemandTime is the shortest time over which a demand rate is computed.
	minDemandTime = time.Second
	// minBoundDemand, in tokens, is the smallest demand until the next claim that a bound counts as
	// demand: one small request.
	minBoundDemand = 500
	// minBoundDemandTime is the same for a bound's ceiling and slope, because the tokens that they
	// allow are lost if the process crashes.
	minBoundDemandTime = 3 * time.Second
	// maxKeptSurplus, in tokens, is a surplus that a router may keep: one large request. It
	// prevents small amounts from going back and forth. A router that holds a floor keeps at most
	// 1/floorSurplusDivisor of the floor.
	maxKeptSurplus      = 20_000
	floorSurplusDivisor = 4
	// Of its even share of a pooled total, a router keeps a surplus of at most
	// 1/shareSurplusDivisor, and holds at most 1/shareHeadroomDivisor ahead of requests, or
	// 1/scarceShareHeadroomDivisor while tokens are scarce.
	shareSurplusDivisor        = 64
	shareHeadroomDivisor       = 2
	scarceShareHeadroomDivisor = 32
)

// Allocation holds the tokens of one workspace that a router may spend. All amounts except
// reserved only grow. It is safe for concurrent use.
type Allocation struct {
	mu sync.Mutex
	// Spent + reserved never exceeds granted - returned + received. Received is the tokens that
	// other routers lent. The lender counts them as spent, so they are not reported to keepers
	// here.
	granted, returned, received, spent, reserved int64
	// LargestWaiting is the size of the largest request refused since the last claim, and
	// waitingTotal the sum of all of them. LargestSinceBorrowing is the largest refused since
	// other routers were last asked for tokens. WaitingDemand is
	// the part of the demand that is of these requests.
	largestWaiting, largestSinceBorrowing, waitingTotal, waitingDemand int64
	// Limits are the bounds of the last claim that was answered and of all later claims, oldest
	// first. A keeper may have applied any of them, so spent + reserved - received exceeds none.
	limits []limit
	// ClaimUnanswered is set while the last claim has no answer.
	claimUnanswered bool
	unallocated     int64
	scarce          bool
	// FailedSearchAt is when a search for failedSearchSize tokens last failed.
	failedSearchAt   time.Time
	failedSearchSize int64
	// Answered is set once a keeper has answered a claim for this workspace.
	answered bool
	// Closed is set once nothing more may be reserved.
	closed bool
	// Holders is the number of routers that hold tokens of the workspace, or 0 if unknown.
	holders int64
	// EvenShare is an even share of a pooled total among its holders, in tokens, or 0 if the total
	// is not pooled.
	evenShare int64
	// MeanDemand is in tokens per second as of meanDemandAt, averaged over demandWindow as if
	// there had been no demand before demandSince, the time of the first request.
	meanDemand                float64
	meanDemandAt, demandSince time.Time
	early                     earlyClaims
}

// Reserve reserves n tokens for a new request, and reports whether they were available. The
// request counts as demand in both cases. If only served requests counted, a router without tokens
// would ask for one request's worth at a time.
func (p *Allocation) Reserve(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordDemand(now, n)
	ok := p.reserve(now, n)
	if !ok {
		p.waitingDemand += n
	}
	return ok
}

// RetryReserve is Reserve for a request that already counted as demand.
func (p *Allocation) RetryReserve(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserve(now, n)
}

// reserve reserves n tokens, or records that a request waits for them.
func (p *Allocation) reserve(now time.Time, n int64) bool {
	if p.closed {
		return false
	}
	if n > p.headroom() || n > p.remainingAllowed(now) {
		p.largestWaiting, p.largestSinceBorrowing, p.waitingTotal = max(p.largestWaiting, n), max(p.largestSinceBorrowing, n), p.waitingTotal+n
		return false
	}
	p.reserved += n
	return true
}

// ClaimAnswered reports whether a keeper has answered a claim for this workspace.
func (p *Allocation) ClaimAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered
}

// Holds reports whether n unreserved tokens are held, even if the limits do not allow them to be
// used yet.
func (p *Allocation) Holds(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && n <= p.headroom()
}

// TryReserve reserves n tokens if they are available, and records nothing otherwise.
func (p *Allocation) TryReserve(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || n > p.headroom() || n > p.remainingAllowed(now) {
		return false
	}
	p.reserved += n
	return true
}

// ReceiveReserved adds n tokens that another router lent for one request and reserves them.
func (p *Allocation) ReceiveReserved(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
	p.reserved += n
}

// Settle ends a reservation, of which only a part may have been spent.
func (p *Allocation) Settle(reserved, spent int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= reserved
	p.spent += min(spent, reserved)
}

// Exhausted reports whether a keeper has said that fewer than n tokens are unallocated, including
// those that the router itself holds, which a claim can complete. If the router holds them but its
// limit does not allow them yet, the total is not exhausted.
func (p *Allocation) Exhausted(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered && p.unallocated+max(p.headroom(), 0) < n
}

// RecordFailedSearch records that neither keepers nor other routers had n tokens.
func (p *Allocation) RecordFailedSearch(now time.Time, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.failedSearchAt) > failedSearchTTL || n < p.failedSearchSize {
		p.failedSearchSize = n
	}
	p.failedSearchAt = now
}

// FailedSearchRecently reports whether a request for n tokens is expected to fail, because a
// search for at most that many has just failed and the router itself holds fewer.
func (p *Allocation) FailedSearchRecently(now time.Time, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.failedSearchAt) < failedSearchTTL && n >= p.failedSearchSize && n > p.headroom()
}

// ClaimDue reports whether a claim should be sent now: because a request waits, an early claim is
// due, headroom or the bound is running low, there is surplus to return, or more tokens are in use than the ceiling
// that a keeper has confirmed.
func (p *Allocation) ClaimDue(now time.Time, floor int64, interval time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.answered && p.largestWaiting == 0 && floor <= 0 {
		return false
	}
	rate := p.demandRate(now)
	need := p.targetHeadroom(rate, floor)
	headroom := p.headroom()
	return p.earlyClaimDue() || !p.limitCoversUsed() || p.largestWaiting > 0 || headroom < need-need/8 ||
		now.Sub(p.lastLimitAt()) >= interval && (rate >= 1 || p.reserved > 0) || p.surplus(need, rate, floor) > 0
}

// limitCoversUsed reports whether a keeper has answered the last claim and the used tokens are
// within its ceiling.
func (p *Allocation) limitCoversUsed() bool {
	return p.answered && !p.claimUnanswered && p.used() <= p.limits[len(p.limits)-1].ceiling
}

// lastLimitAt returns when the newest limit was stated, or the zero time.
func (p *Allocation) lastLimitAt() time.Time {
	if len(p.limits) == 0 {
		return time.Time{}
	}
	return p.limits[len(p.limits)-1].statedAt
}

// OmitFromClaim reports whether a claim sent now may omit the workspace, which confirms the last
// ceiling from now on. Without that, the bound of a workspace without requests would rise as long
// as its router runs, and all tokens that the router holds ahead of demand would count as spent
// when it crashes.
func (p *Allocation) OmitFromClaim(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limitCoversUsed() {
		return false
	}
	last := &p.limits[len(p.limits)-1]
	if now.After(last.statedAt) {
		last.statedAt = now
	}
	p.claimUnanswered = true
	return true
}

// OmissionAnswered records that a keeper answered a claim that omitted the workspace. The answer
// says whether tokens are scarce, in which case idle routers return them.
func (p *Allocation) OmissionAnswered(scarce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scarce, p.claimUnanswered = scarce, false
}

// surplus returns the headroom to return to the keepers, beyond the headroom that the router
// needs. Tokens lent by others can't be returned, because the lender counts them as spent.
func (p *Allocation) surplus(need int64, rate float64, floor int64) int64 {
	maxKept := need
	if !p.scarce {
		maxKept = 3 * need
	}
	if !p.scarce || rate >= 1 {
		maxKept += p.allowedSurplus(floor)
	}
	surplus := min(p.headroom()-need, p.granted-p.returned-p.spent-p.reserved)
	if need+surplus <= maxKept {
		return 0
	}
	return surplus
}

// used returns the tokens that the bound known to keepers must cover.
func (p *Allocation) used() int64 { return p.spent + p.reserved - p.received }

// allowedSurplus returns the surplus that a router with a floor may keep.
func (p *Allocation) allowedSurplus(floor int64) int64 {
	switch {
	case p.evenShare > 0:
		return min(maxKeptSurplus, p.evenShare/shareSurplusDivisor)
	case floor <= 0:
		return maxKeptSurplus
	}
	return min(maxKeptSurplus, floor/floorSurplusDivisor)
}

// targetHeadroom returns the headroom that the router should hold at a demand rate.
func (p *Allocation) targetHeadroom(rate float64, floor int64) int64 {
	horizon, divisor := Horizon, int64(shareHeadroomDivisor)
	if p.scarce {
		horizon, floor, divisor = scarceHorizon, 0, scarceShareHeadroomDivisor
	}
	need := int64(rate * horizon.Seconds())
	if p.evenShare > 0 {
		need = min(need, p.evenShare/divisor)
	}
	return max(need, min(floor, p.unallocated))
}

// NextClaim returns a claim to send to a keeper, if the next claim follows after interval. The
// router asks for at least floor tokens ahead of demand. Surplus headroom is taken out at once,
// before the keeper receives the claim.
func (p *Allocation) NextClaim(now time.Time, workspace string, floor int64, interval time.Duration) *messenger.RightsClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.demandRate(now)
	headroom := p.headroom()
	need := p.targetHeadroom(rate, floor) + p.largestWaiting
	surplus := p.surplus(need, rate, floor)
	p.returned += surplus
	headroom -= surplus
	boundRate, ceilingTime, delay := p.servedRate(now), ceilingTime(interval), p.claimRiseDelay(now, interval)
	c := &messenger.RightsClaim{
		Workspace: workspace, Returned: p.returned, Spent: max(p.spent-p.received, 0),
		Wanted: max(need-headroom, 0), Urgent: max(p.largestWaiting-headroom, 0),
		Ceiling: max(p.used(), 0) + p.waitingTotal + int64(boundRate*ceilingTime.Seconds()) + idleCeilingOf(p.holders),
		Slope:   int64(boundRate*slopeFactor) + idleSlopePart(p.holders), RestMs: delay.Milliseconds(),
	}
	if p.claimUnanswered && p.answered {
		// This claim may reach a keeper only after a network partition, during which the router
		// spends under its earlier limits.
		c.Ceiling, c.Slope = max(c.Ceiling, p.allowedAt(now.Add(delay))), max(c.Slope, p.maxSlope())
	}
	p.largestWaiting, p.waitingTotal, p.waitingDemand, p.claimUnanswered = 0, 0, 0, true
	p.addLimit(claimLimit(c, now))
	return c
}

// SetHolders sets the number of routers that hold tokens of the workspace.
func (p *Allocation) SetHolders(routers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders, p.evenShare = int64(routers), 0
}

// SetPooledHolders sets the number of routers that share a pooled total of total tokens.
func (p *Allocation) SetPooledHolders(holders int, total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders, p.evenShare = int64(holders), max(total/int64(max(holders, 1)), 1)
}

// Close returns the last claim of a process that shuts down. Requests may still be in progress, so
// their reserved tokens count as spent. If they were returned, they could be granted to another
// router while the last tokens of those requests are delivered.
func (p *Allocation) Close(workspace string) *messenger.RightsClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return &messenger.RightsClaim{Workspace: workspace, Returned: p.returned, Spent: max(p.used(), 0)}
}

// ApplyGrant records a keeper's answer to claim c, which was sent at sent.
func (p *Allocation) ApplyGrant(g *messenger.RightsGrant, c *messenger.RightsClaim, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// No later claim was sent, because claims are sent one after the other.
	p.limits, p.claimUnanswered = []limit{claimLimit(c, sent)}, false
	p.granted = max(p.granted, g.Granted)
	p.unallocated, p.scarce, p.answered = g.Left, g.Scarce, true
}

// headroom returns the tokens that are held and neither spent nor reserved.
func (p *Allocation) headroom() int64 {
	return p.granted - p.returned + p.received - p.spent - p.reserved
}

// TakeAvailable removes all headroom that the limits allow to be used, to give it to another
// router.
func (p *Allocation) TakeAvailable(now time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := max(min(p.headroom(), p.remainingAllowed(now)), 0)
	p.spent += n
	return n
}

// TakeIdle is TakeAvailable if at least minTokens are available and nothing is reserved. Otherwise
// it takes nothing.
func (p *Allocation) TakeIdle(now time.Time, minTokens int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(p.headroom(), p.remainingAllowed(now))
	if p.reserved > 0 || n < minTokens {
		return 0
	}
	p.spent += n
	return n
}

// Lend removes up to wanted tokens to lend them: at most half of the headroom, or what exceeds the
// router's own demand of lendReserve if that is more. They count as spent here.
func (p *Allocation) Lend(now time.Time, wanted int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	headroom := p.headroom()
	spare := max(headroom/2, headroom-int64(p.demandRate(now)*lendReserve.Seconds()))
	n := min(wanted, spare, p.remainingAllowed(now))
	if p.closed || n < minLoan {
		return 0
	}
	p.spent += n
	return n
}

// Receive adds tokens that another router lent.
func (p *Allocation) Receive(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
}

// TokensToBorrow returns how many tokens to ask other routers for: enough for the largest request
// refused since the last call and for the demand of lendHorizon. Without a refused request it
// returns 0 until half of that demand's tokens are gone, because routers that are all partitioned
// off would lend the same tokens back and forth. With onlyIfExhausted, it returns 0 unless a
// request was refused that is larger than what keepers have left.
func (p *Allocation) TokensToBorrow(now time.Time, onlyIfExhausted bool) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	largestRefused, need := p.largestSinceBorrowing, int64(p.demandRate(now)*lendHorizon.Seconds())
	available := min(p.headroom(), p.remainingAllowed(now))
	if p.closed || onlyIfExhausted && (largestRefused == 0 || p.unallocated >= largestRefused) || largestRefused == 0 && available > need/2 {
		return 0
	}
	p.largestSinceBorrowing = 0
	return max(largestRefused, need) - min(available, max(largestRefused, need))
}
