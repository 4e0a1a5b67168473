package treasurer

import (
	"math"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// call is a lease or a return until its answer comes.
type call struct {
	sequence uint64
	tokens   rattanhoist.Tokens
	// Began is when it was first sent.
	began time.Time
	tries int
	// Open reports whether an answer may still come; otherwise it is sent
	// again at resend.
	open   bool
	resend time.Time
	// Overtaken marks a lease after which a return was sent: the keeper may
	// have passed it over, so its answer says nothing about the zone.
	overtaken bool
}

// Account is the state machine of one workspace's slice at one incarnation
// of a router. The slice is safe for concurrent use; Step is not.
type Account struct {
	workspace string
	policy    *Policy
	slice     budgeter.Slice
	// Sequence numbers leases and returns together; it never repeats within
	// an incarnation, so that the keeper tells a resend from a new request.
	sequence uint64
	// Acknowledged is the last sequence whose answer arrived.
	acknowledged uint64
	// Lease and back are the calls without an answer. No lease begins while a
	// return is unanswered: a newer sequence would make the keeper ignore the
	// return's resend, and the rights would belong to nobody.
	lease, back *call
	// Overtaken reports whether the last lease that was answered had been. The
	// next one then lets no recall overtake it: two dry routers that recall
	// each other's rights would otherwise both ask for ever, and their requests
	// wait without an answer. The first round has pooled the rights already.
	overtaken bool
	// Refused is what the last lease found, until refusedUntil.
	refused      *Shortage
	refusedUntil time.Time
	// ZoneLeft is what the zone had left when it last answered, or -1.
	zoneLeft rattanhoist.Tokens
	// Size is the size of recent requests.
	size rattanhoist.Tokens
	// LowMark is what the slice should hold at least; read by requests.
	lowMark atomic.Int64
	meter   meter
}

// meter measures a workspace's demand at this router.
type meter struct {
	// Rate is in tokens a second.
	rate float64
	// Unmet is what was refused since the last tick: demand that no spending
	// shows.
	unmet     rattanhoist.Tokens
	lastSpent rattanhoist.Tokens
	lastTick  time.Time
	// LastUse is when the slice was last seen in use.
	lastUse time.Time
}

// Rest is what remains of an account without rights, to go on from: totals
// and sequences must not begin anew within an incarnation.
type Rest struct {
	sequence                  uint64
	granted, withdrawn, spent rattanhoist.Tokens
}

// NewAccount returns an account that holds nothing and goes on from r.
func NewAccount(workspace string, p *Policy, now time.Time, r Rest) *Account {
	a := &Account{
		workspace: workspace, policy: p, zoneLeft: -1,
		sequence: r.sequence, acknowledged: r.sequence,
		meter: meter{lastTick: now, lastUse: now, lastSpent: r.spent},
	}
	a.slice.Resume(r.granted, r.withdrawn, r.spent)
	return a
}

// Rest returns what to go on from; the account must hold nothing.
func (a *Account) Rest() Rest {
	return Rest{sequence: a.sequence, granted: a.slice.Granted(), withdrawn: a.slice.Withdrawn(), spent: a.slice.Spent()}
}

// Slice returns the rights that requests reserve from.
func (a *Account) Slice() *budgeter.Slice { return &a.slice }

// Workspace returns the workspace that pays.
func (a *Account) Workspace() string { return a.workspace }

// Low reports whether the slice should be filled up.
func (a *Account) Low() bool { return a.slice.Below(rattanhoist.Tokens(a.lowMark.Load())) }

// Demand returns recent demand in tokens a second.
func (a *Account) Demand() float64 { return a.meter.rate }

// Step handles one event.
func (a *Account) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Need:
		return a.need(now, e)
	case Leased:
		a.leased(now, e)
	case Returned:
		a.returned(e)
	case Failed:
		a.failed(now, e)
	case Recall:
		return a.recall(now, e)
	case Tick:
		return a.tick(now)
	}
	return nil
}

// need leases, waits or refuses. A refusal that is known is repeated with its
// age, so that a spent budget costs the keeper one call for each RefusalAge
// and not one for each request.
func (a *Account) need(now time.Time, e Need) []Action {
	a.size = max(e.Tokens, a.size-a.size/8)
	a.meter.lastUse = now
	if a.refused != nil && now.Before(a.refusedUntil) {
		return a.settleOrRefuse(now, e)
	}
	if c := a.pending(); c != nil {
		return append(a.resendDue(now), a.waitOrGiveUp(now, e, c))
	}
	want := max(e.Waiting, e.Tokens) - a.slice.Left() + a.ahead(e.Tokens)
	out := a.startLease(now, max(want, 1))
	return append(out, a.waitOrGiveUp(now, e, a.lease))
}

// waitOrGiveUp bounds the wait for a call: by the keeper's silence, and by the
// time that the request itself has.
func (a *Account) waitOrGiveUp(now time.Time, e Need, c *call) Action {
	if !now.Before(c.began.Add(a.policy.KeeperWait)) {
		a.meter.unmet += e.Tokens
		return Refuse{Err: a.silence(now, c)}
	}
	if !now.Before(e.GiveUp) {
		a.meter.unmet += e.Tokens
		return Refuse{Err: outOfReach(now, afterSettlement, "no rights came within the request's time")}
	}
	until := a.patience(c)
	if e.GiveUp.Before(until) {
		until = e.GiveUp
	}
	return Wait{Until: until}
}

// patience is when a request that waits for a call should look again.
func (a *Account) patience(c *call) time.Time {
	end := c.began.Add(a.policy.KeeperWait)
	if !c.open && c.resend.Before(end) {
		return c.resend
	}
	return end
}

func (a *Account) pending() *call {
	if a.back != nil {
		return a.back
	}
	return a.lease
}

// settleOrRefuse waits while rights that others hold, or requests in progress
// here, may still cover the request, asking again after every RefusalAge. Else
// it refuses at once: rights that can't cover it anyway are no reason to wait.
func (a *Account) settleOrRefuse(now time.Time, e Need) []Action {
	covers := a.slice.Left()+a.slice.Reserved()+a.refused.possible >= e.Tokens
	if covers && now.Before(e.GiveUp) {
		until := a.refusedUntil
		if e.GiveUp.Before(until) {
			until = e.GiveUp
		}
		return []Action{Wait{Until: until}}
	}
	a.meter.unmet += e.Tokens
	if !covers && !a.refused.silent {
		return []Action{Refuse{Err: spentOut(a.refused.known).at(now)}}
	}
	return []Action{Refuse{Err: a.refused.at(now)}}
}

func (*Account) silence(now time.Time, c *call) *Shortage {
	return outOfReach(c.began, afterRepair, "the zone's keeper does not answer").at(now)
}

// ahead is what a lease asks for beyond the need, bounded by what the zone
// can spare.
func (a *Account) ahead(n rattanhoist.Tokens) rattanhoist.Tokens {
	want := max(a.perSeconds(a.policy.Horizon), n*rattanhoist.Tokens(a.policy.LeaseAhead-1))
	if a.zoneLeft >= 0 {
		want = min(want, rattanhoist.Tokens(float64(a.zoneLeft)*a.policy.ZoneFraction))
	}
	return want
}

func (a *Account) perSeconds(d time.Duration) rattanhoist.Tokens {
	return rattanhoist.Tokens(math.Ceil(a.meter.rate * d.Seconds()))
}

func (a *Account) startLease(now time.Time, want rattanhoist.Tokens) []Action {
	a.sequence++
	a.lease = &call{sequence: a.sequence, tokens: want, began: now, open: true}
	return []Action{a.sendLease()}
}

func (a *Account) sendLease() Action {
	return SendLease{Sequence: a.lease.sequence, Want: a.lease.tokens, Demand: int64(math.Ceil(a.meter.rate))}
}

// leased books the grant. The keeper's total also brings rights of a lease
// whose own answer was lost after a return had overtaken it.
func (a *Account) leased(now time.Time, e Leased) {
	c := a.lease
	if c == nil || c.sequence != e.Sequence {
		return
	}
	a.lease = nil
	a.overtaken = c.overtaken
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
	a.refused = nil
	if n < c.tokens && !c.overtaken {
		a.refused = a.shortage(now, r)
		a.refusedUntil = now.Add(a.policy.RefusalAge)
	}
}

// shortage notes what a lease that brought too little has found: rights that
// exist and may come, or zones that may hold more and do not answer.
func (*Account) shortage(now time.Time, r *messenger.LeaseReply) *Shortage {
	possible := rattanhoist.Tokens(r.ZoneLeftTokens + r.HeldTokens)
	if len(r.UnreachableZones) > 0 {
		s := outOfReach(now, afterRepair, "zones do not answer: "+join(r.UnreachableZones))
		s.possible, s.silent = possible, true
		return s
	}
	s := outOfReach(now, afterSettlement, "requests in progress, or other zones, hold the remaining rights")
	s.possible = possible + rattanhoist.Tokens(r.ElsewhereTokens)
	return s
}

func (a *Account) returned(e Returned) {
	if a.back != nil && a.back.sequence == e.Sequence {
		a.acknowledged = max(a.acknowledged, e.Sequence)
		a.back = nil
	}
}

// failed keeps the call: the keeper may have carried it out, so only the same
// sequence may be sent again.
func (a *Account) failed(now time.Time, e Failed) {
	for _, c := range []*call{a.lease, a.back} {
		if c != nil && c.sequence == e.Sequence {
			c.open = false
			c.resend = now.Add(a.policy.pause(c.tries))
			c.tries++
		}
	}
}

func (a *Account) resendDue(now time.Time) []Action {
	var out []Action
	if c := a.back; c != nil && !c.open && !now.Before(c.resend) {
		c.open = true
		out = append(out, SendReturn{Sequence: c.sequence, Tokens: c.tokens})
	}
	if c := a.lease; c != nil && !c.open && !now.Before(c.resend) {
		c.open = true
		out = append(out, a.sendLease())
	}
	return out
}

// recall gives rights back for a sibling. It overtakes a lease in progress:
// two routers that lease at once would otherwise each wait for the other.
func (a *Account) recall(now time.Time, e Recall) []Action {
	if a.back != nil {
		return a.resendDue(now)
	}
	if a.lease != nil && a.overtaken {
		return nil
	}
	return a.giveBack(now, e.Tokens)
}

func (a *Account) giveBack(now time.Time, n rattanhoist.Tokens) []Action {
	n = a.slice.Withdraw(n)
	if n <= 0 {
		return nil
	}
	a.sequence++
	a.back = &call{sequence: a.sequence, tokens: n, began: now, open: true}
	if a.lease != nil {
		a.lease.overtaken = true
	}
	return []Action{SendReturn{Sequence: a.sequence, Tokens: n}}
}
