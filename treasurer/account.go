package treasurer

import (
	"math"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// pendingCall is a lease or return that the keeper has not answered.
type pendingCall struct {
	sequence uint64
	tokens   rattanhoist.Tokens
	// began is the time of the first send.
	began time.Time
	tries int
	// inFlight reports whether an answer may still arrive. Otherwise the call
	// is sent again at resend.
	inFlight bool
	resend   time.Time
	// overtaken marks a lease after which a return was sent. The keeper may
	// have skipped such a lease, so its answer does not show what the zone
	// holds.
	overtaken bool
}

// Account is the state machine that leases rights for one workspace, for one
// incarnation of a router. The slice is safe for concurrent use; Step is not.
type Account struct {
	workspace string
	policy    *Policy
	slice     budgeter.LeasedBudget
	// sequence numbers leases and returns together. It never repeats within
	// an incarnation, so that the keeper can tell a resend from a new
	// request.
	sequence uint64
	// acknowledged is the highest sequence that was answered.
	acknowledged uint64
	// pendingLease and pendingReturn are the unanswered calls. No lease
	// starts while a return is unanswered: the keeper would ignore a resend
	// of the return because of its lower sequence, and the returned rights
	// would be lost.
	pendingLease, pendingReturn *pendingCall
	// lastLeaseOvertaken reports whether a return overtook the last answered
	// lease. The next lease then ignores recalls. Otherwise two routers
	// without rights that recall each other's would lease forever, and their
	// requests would wait without an answer. The first round has already
	// pooled the rights.
	lastLeaseOvertaken bool
	// lastShortage is the shortage that the last lease found. It is valid until
	// shortageUntil.
	lastShortage  *Shortage
	shortageUntil time.Time
	// zoneLeft is the number of unspent tokens in the zone at the keeper's
	// last answer, or -1 if unknown.
	zoneLeft rattanhoist.Tokens
	// requestSize is the decaying maximum of recent request sizes.
	requestSize rattanhoist.Tokens
	// lowMark is the number of tokens below which the slice is refilled.
	// Requests read it concurrently.
	lowMark atomic.Int64
	meter   demandMeter
}

// demandMeter measures a workspace's demand at this router.
type demandMeter struct {
	// rate is the moving average of demand in tokens per second.
	rate float64
	// unmet counts tokens refused since the last tick. This is demand that
	// spending does not show.
	unmet     rattanhoist.Tokens
	lastSpent rattanhoist.Tokens
	lastTick  time.Time
	// lastUse is the last time at which the slice was seen in use.
	lastUse time.Time
}

// Totals holds the counters of a retired account. A new account for the
// workspace continues from them, because totals and sequences must not
// restart within an incarnation.
type Totals struct {
	sequence                  uint64
	granted, withdrawn, spent rattanhoist.Tokens
}

// NewAccount returns an account without rights that continues from the totals
// r.
func NewAccount(workspace string, p *Policy, now time.Time, r Totals) *Account {
	a := &Account{
		workspace: workspace, policy: p, zoneLeft: -1,
		sequence: r.sequence, acknowledged: r.sequence,
		meter: demandMeter{lastTick: now, lastUse: now, lastSpent: r.spent},
	}
	a.slice.RestoreTotals(r.granted, r.withdrawn, r.spent)
	return a
}

// Totals returns the counters for a later account to continue from. The
// account must hold no rights.
func (a *Account) Totals() Totals {
	return Totals{sequence: a.sequence, granted: a.slice.Granted(), withdrawn: a.slice.Withdrawn(), spent: a.slice.Spent()}
}

// Slice returns the leased rights from which requests reserve.
func (a *Account) Slice() *budgeter.LeasedBudget { return &a.slice }

// Workspace returns the workspace whose budget is spent.
func (a *Account) Workspace() string { return a.workspace }

// BelowLowMark reports whether the slice should be refilled.
func (a *Account) BelowLowMark() bool {
	return a.slice.AvailableBelow(rattanhoist.Tokens(a.lowMark.Load()))
}

// Demand returns the recent demand in tokens per second.
func (a *Account) Demand() float64 { return a.meter.rate }

// Step applies an event and returns the actions that it requires.
func (a *Account) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Need:
		return a.handleNeed(now, e)
	case Leased:
		a.handleLeased(now, e)
	case Returned:
		a.handleReturned(e)
	case CallFailed:
		a.handleFailed(now, e)
	case Recall:
		return a.handleRecall(now, e)
	case Tick:
		return a.handleTick(now)
	}
	return nil
}

// handleNeed starts a lease, waits for a pending call or refuses. A known
// refusal is repeated with its age, so that a spent budget costs the keeper
// one call per RefusalAge instead of one per request.
func (a *Account) handleNeed(now time.Time, e Need) []Action {
	a.requestSize = max(e.Tokens, a.requestSize-a.requestSize/8)
	a.meter.lastUse = now
	if a.lastShortage != nil && now.Before(a.shortageUntil) {
		return a.waitForOthersOrRefuse(now, e)
	}
	if c := a.openCall(); c != nil {
		return append(a.resendDue(now), a.waitForCall(now, e, c))
	}
	want := max(e.Waiting, e.Tokens) - a.slice.Available() + a.leaseAhead(e.Tokens)
	out := a.startLease(now, max(want, 1))
	return append(out, a.waitForCall(now, e, a.pendingLease))
}

// waitForCall makes a request wait for a pending call. It refuses once the
// keeper has been silent for KeeperWait, or at the request's own deadline.
func (a *Account) waitForCall(now time.Time, e Need, c *pendingCall) Action {
	if !now.Before(c.began.Add(a.policy.KeeperWait)) {
		a.meter.unmet += e.Tokens
		return Refuse{Err: a.keeperUnreachable(now, c)}
	}
	if !now.Before(e.Deadline) {
		a.meter.unmet += e.Tokens
		return Refuse{Err: newOutOfReach(now, retryAfterSettlement, "no rights came within the request's time")}
	}
	until := a.nextCheck(c)
	if e.Deadline.Before(until) {
		until = e.Deadline
	}
	return Wait{Until: until}
}

// nextCheck returns when a request that waits for a call should check again.
func (a *Account) nextCheck(c *pendingCall) time.Time {
	end := c.began.Add(a.policy.KeeperWait)
	if !c.inFlight && c.resend.Before(end) {
		return c.resend
	}
	return end
}

// openCall returns the unanswered call, or nil. A return takes precedence.
func (a *Account) openCall() *pendingCall {
	if a.pendingReturn != nil {
		return a.pendingReturn
	}
	return a.pendingLease
}

// waitForOthersOrRefuse waits while rights held by others, or reserved by
// running requests here, may still cover the request; it leases again after
// every RefusalAge. If these rights can't cover the request it refuses at
// once.
func (a *Account) waitForOthersOrRefuse(now time.Time, e Need) []Action {
	covers := a.slice.Available()+a.slice.Reserved()+a.lastShortage.obtainable >= e.Tokens
	if covers && now.Before(e.Deadline) {
		until := a.shortageUntil
		if e.Deadline.Before(until) {
			until = e.Deadline
		}
		return []Action{Wait{Until: until}}
	}
	a.meter.unmet += e.Tokens
	if !covers && !a.lastShortage.zonesUnreachable {
		return []Action{Refuse{Err: newSpent(a.lastShortage.foundAt).withAge(now)}}
	}
	return []Action{Refuse{Err: a.lastShortage.withAge(now)}}
}

// keeperUnreachable returns the shortage for a call that the keeper does not
// answer.
func (*Account) keeperUnreachable(now time.Time, c *pendingCall) *Shortage {
	return newOutOfReach(c.began, retryAfterRepair, "the zone's keeper does not answer").withAge(now)
}

// leaseAhead returns the number of tokens that a lease requests beyond the
// immediate need, limited to ZoneFraction of what the zone has left.
func (a *Account) leaseAhead(n rattanhoist.Tokens) rattanhoist.Tokens {
	want := max(a.demandOver(a.policy.Horizon), n*rattanhoist.Tokens(a.policy.LeaseAhead-1))
	if a.zoneLeft >= 0 {
		want = min(want, rattanhoist.Tokens(float64(a.zoneLeft)*a.policy.ZoneFraction))
	}
	return want
}

// demandOver returns the expected demand within d.
func (a *Account) demandOver(d time.Duration) rattanhoist.Tokens {
	return rattanhoist.Tokens(math.Ceil(a.meter.rate * d.Seconds()))
}

// startLease sends a lease for the wanted tokens under a new sequence.
func (a *Account) startLease(now time.Time, want rattanhoist.Tokens) []Action {
	a.sequence++
	a.pendingLease = &pendingCall{sequence: a.sequence, tokens: want, began: now, inFlight: true}
	return []Action{a.sendLease()}
}

func (a *Account) sendLease() Action {
	return SendLease{Sequence: a.pendingLease.sequence, Want: a.pendingLease.tokens, Demand: int64(math.Ceil(a.meter.rate))}
}

// handleLeased adds the granted rights to the slice. The keeper's total also
// covers the grant of an earlier lease whose answer was lost after a return
// had overtaken it.
func (a *Account) handleLeased(now time.Time, e Leased) {
	c := a.pendingLease
	if c == nil || c.sequence != e.Sequence {
		return
	}
	a.pendingLease = nil
	a.lastLeaseOvertaken = c.overtaken
	a.acknowledged = max(a.acknowledged, e.Sequence)
	r := e.Reply
	n := rattanhoist.Tokens(r.GrantedTokens)
	if r.TotalGrantedTokens > 0 {
		n = max(rattanhoist.Tokens(r.TotalGrantedTokens)-a.slice.Granted(), 0)
	}
	if n > 0 {
		a.slice.Grant(n)
	}
	a.zoneLeft = rattanhoist.Tokens(r.ZoneLeftTokens)
	a.lastShortage = nil
	if n < c.tokens && !c.overtaken {
		a.lastShortage = a.newShortage(now, r)
		a.shortageUntil = now.Add(a.policy.RefusalAge)
	}
}

// newShortage describes why a lease granted less than requested: rights exist
// and may be freed, or zones that may hold more do not answer.
func (*Account) newShortage(now time.Time, r *messenger.LeaseReply) *Shortage {
	possible := rattanhoist.Tokens(r.ZoneLeftTokens + r.HeldTokens)
	if len(r.UnreachableZones) > 0 {
		s := newOutOfReach(now, retryAfterRepair, "zones do not answer: "+joinZones(r.UnreachableZones))
		s.obtainable, s.zonesUnreachable = possible, true
		return s
	}
	s := newOutOfReach(now, retryAfterSettlement, "requests in progress, or other zones, hold the remaining rights")
	s.obtainable = possible + rattanhoist.Tokens(r.ElsewhereTokens)
	return s
}

// handleReturned completes the pending return.
func (a *Account) handleReturned(e Returned) {
	if a.pendingReturn != nil && a.pendingReturn.sequence == e.Sequence {
		a.acknowledged = max(a.acknowledged, e.Sequence)
		a.pendingReturn = nil
	}
}

// handleFailed schedules a resend under the same sequence, because the keeper
// may have carried the call out.
func (a *Account) handleFailed(now time.Time, e CallFailed) {
	for _, c := range []*pendingCall{a.pendingLease, a.pendingReturn} {
		if c != nil && c.sequence == e.Sequence {
			c.inFlight = false
			c.resend = now.Add(a.policy.backoff(c.tries))
			c.tries++
		}
	}
}

// resendDue resends the unanswered calls whose pause has passed.
func (a *Account) resendDue(now time.Time) []Action {
	var out []Action
	if c := a.pendingReturn; c != nil && !c.inFlight && !now.Before(c.resend) {
		c.inFlight = true
		out = append(out, SendReturn{Sequence: c.sequence, Tokens: c.tokens})
	}
	if c := a.pendingLease; c != nil && !c.inFlight && !now.Before(c.resend) {
		c.inFlight = true
		out = append(out, a.sendLease())
	}
	return out
}

// handleRecall returns rights so that another router can lease them. The
// return may overtake a lease in progress: otherwise two routers that lease
// at the same time would wait for each other.
func (a *Account) handleRecall(now time.Time, e Recall) []Action {
	if a.pendingReturn != nil {
		return a.resendDue(now)
	}
	if a.pendingLease != nil && a.lastLeaseOvertaken {
		return nil
	}
	return a.startReturn(now, e.Tokens)
}

// startReturn withdraws up to n unreserved tokens and sends them back.
func (a *Account) startReturn(now time.Time, n rattanhoist.Tokens) []Action {
	n = a.slice.Withdraw(n)
	if n <= 0 {
		return nil
	}
	a.sequence++
	a.pendingReturn = &pendingCall{sequence: a.sequence, tokens: n, began: now, inFlight: true}
	if a.pendingLease != nil {
		a.pendingLease.overtaken = true
	}
	return []Action{SendReturn{Sequence: a.sequence, Tokens: n}}
}
