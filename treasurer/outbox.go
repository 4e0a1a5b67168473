package treasurer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Target is a keeper to which charges are sent.
type Target int

// Targets of charges.
const (
	// OwnKeeper is the keeper of the router's zone, which decides.
	OwnKeeper Target = iota
	// Witness is a keeper of another zone, which stores charges while the own
	// keeper is out of reach.
	Witness
	targets
)

// copyEvery is the pause between resends of charges that one disk has.
const copyEvery = 500 * time.Millisecond

// Outcome is what became of a charge.
type Outcome struct {
	Key   rattanhoist.RequestKey
	State messenger.ChargeState
	// Billed is what the request costs in all.
	Billed rattanhoist.Tokens
	// Spent is what it took out of this incarnation's lease.
	Spent rattanhoist.Tokens
}

// Send passes charges to a target; the shell answers with Answered.
type Send struct {
	Target  Target
	entries []*entry
}

// Charges returns what is to be sent.
func (s Send) Charges() []*messenger.Charge {
	out := make([]*messenger.Charge, len(s.entries))
	for i, e := range s.entries {
		out[i] = e.charge
	}
	return out
}

// entry is one charge until two disks have it.
type entry struct {
	charge *messenger.Charge
	key    rattanhoist.RequestKey
	added  time.Time
	// Durable reports whether a disk has it, so that the answer may complete.
	durable bool
	// Decided reports whether the own keeper has answered.
	decided bool
	// Gone reports whether the outbox has forgotten it.
	gone bool
}

// Outbox is the state machine of a router's charges at one incarnation. Its
// memory is bounded by PendingMost charges.
type Outbox struct {
	policy *Policy
	byKey  map[rattanhoist.RequestKey]*entry
	// Fresh holds charges that the own keeper has not decided and that are not
	// on their way to it.
	fresh queue
	// Unwitnessed holds those that the witness has not, in order of arrival.
	unwitnessed queue
	// Copies holds charges that one disk has.
	copies queue
	copyAt time.Time
	// Busy marks targets with a call open: one call at a time makes charges
	// that arrive meanwhile share the next one, without a wait when idle.
	busy [targets]bool
	// Tries counts the calls to a target that failed in a row; Again is when
	// it is tried next.
	tries [targets]int
	again [targets]time.Time
	// Undurable and tokens count what would be lost with this process.
	undurable int
	tokens    rattanhoist.Tokens
	dropped   int
	promise
}

// NewOutbox returns an empty outbox.
func NewOutbox(p *Policy) *Outbox {
	return &Outbox{policy: p, byKey: map[rattanhoist.RequestKey]*entry{}}
}

// Has reports whether a request's charge is kept here.
func (o *Outbox) Has(key rattanhoist.RequestKey) bool { return o.byKey[key] != nil }

// Pending returns the charges that are not known to be on two disks.
func (o *Outbox) Pending() []*messenger.Charge {
	out := make([]*messenger.Charge, 0, len(o.byKey))
	for _, e := range o.byKey {
		out = append(out, e.charge)
	}
	return out
}

// AtRisk returns how many charges no disk has, how many one disk has, the
// tokens of both, and how many were forgotten with one copy for want of room.
func (o *Outbox) AtRisk() (none, one int, tokens rattanhoist.Tokens, dropped int) {
	return o.undurable, len(o.byKey) - o.undurable, o.tokens, o.dropped
}

// Add takes a charge and returns what to send now. It reports false when the
// request has a charge here already, or when there is no room.
func (o *Outbox) Add(now time.Time, c *messenger.Charge) ([]Send, bool) {
	key := rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
	if o.byKey[key] != nil || !o.makeRoom() {
		return nil, false
	}
	o.keep(c)
	e := &entry{charge: c, key: key, added: now}
	o.byKey[key] = e
	o.undurable++
	o.tokens += rattanhoist.Tokens(c.Tokens)
	o.fresh.push(e)
	o.unwitnessed.push(e)
	return o.Tick(now), true
}

// makeRoom forgets the oldest charge that a disk has. Without it an hour
// without a second disk would end in refusals, or in memory without bound.
func (o *Outbox) makeRoom() bool {
	if len(o.byKey) < o.policy.PendingMost {
		return true
	}
	for _, q := range []*queue{&o.copies, &o.fresh} {
		for q.front() != nil && q.front().gone {
			q.pop()
		}
		if e := q.front(); e != nil && e.durable {
			q.pop()
			o.pin(e)
			o.forget(e)
			o.dropped++
			return true
		}
	}
	return false
}

func (o *Outbox) forget(e *entry) {
	if e.gone {
		return
	}
	e.gone = true
	delete(o.byKey, e.key)
	o.tokens -= rattanhoist.Tokens(e.charge.Tokens)
	if !e.durable {
		o.undurable--
	}
}

func (o *Outbox) makeDurable(e *entry) {
	if !e.durable && !e.gone {
		e.durable = true
		o.undurable--
	}
}

// Tick returns what is due.
func (o *Outbox) Tick(now time.Time) []Send {
	var out []Send
	for t, fill := range []func(time.Time) []*entry{o.forKeeper, o.forWitness} {
		if o.busy[t] || now.Before(o.again[t]) {
			continue
		}
		if batch := fill(now); len(batch) > 0 {
			o.busy[t] = true
			out = append(out, Send{Target: Target(t), entries: batch})
		}
	}
	return out
}

func (o *Outbox) forKeeper(now time.Time) []*entry {
	batch := o.drain(nil, &o.fresh)
	if now.Before(o.copyAt) {
		return batch
	}
	o.copyAt = now.Add(copyEvery)
	return o.drain(batch, &o.copies)
}

func (o *Outbox) drain(batch []*entry, q *queue) []*entry {
	for q.len() > 0 && len(batch) < o.policy.BatchMost {
		if e := q.pop(); !e.gone {
			batch = append(batch, e)
		}
	}
	return batch
}

// forWitness returns charges that have waited for the own keeper long enough,
// or at once while it is known to be silent.
func (o *Outbox) forWitness(now time.Time) []*entry {
	var batch []*entry
	for e := o.unwitnessed.front(); e != nil && len(batch) < o.policy.BatchMost; e = o.unwitnessed.front() {
		done := e.gone || e.decided
		due := o.tries[OwnKeeper] > 0 || now.Sub(e.added) >= o.policy.WitnessAfter
		if !done && !due {
			break
		}
		o.unwitnessed.pop()
		if !done {
			batch = append(batch, e)
		}
	}
	return batch
}

// Answered takes a target's answer to a batch, or nil when none came. It
// returns the charges whose fate is now known, and what to send next.
func (o *Outbox) Answered(now time.Time, s Send, r *messenger.ChargeReply) ([]Outcome, []Send) {
	o.busy[s.Target] = false
	if r == nil || len(r.Results) != len(s.entries) {
		o.silent(now, s)
		return nil, o.Tick(now)
	}
	o.tries[s.Target] = 0
	var out []Outcome
	for i, e := range s.entries {
		take := o.takeDecision
		if s.Target == Witness {
			take = o.takeWitnessed
		}
		if known, ok := take(e, r.Results[i], r.TwoDisks); ok {
			out = append(out, known)
		}
	}
	return out, o.Tick(now)
}

// silent books a call without an answer: the charges may be on the target's
// disk or not, so they go out again.
func (o *Outbox) silent(now time.Time, s Send) {
	o.again[s.Target] = now.Add(o.policy.pause(o.tries[s.Target]))
	o.tries[s.Target]++
	if s.Target == Witness {
		o.unwitnessed.putBack(s.entries)
		return
	}
	var fresh []*entry
	for _, e := range s.entries {
		if e.decided {
			o.copies.push(e)
			continue
		}
		fresh = append(fresh, e)
	}
	o.fresh.putBack(fresh)
}

// takeDecision books the own keeper's word on a charge.
func (o *Outbox) takeDecision(e *entry, r *messenger.ChargeResult, twoDisks bool) (Outcome, bool) {
	first := !e.decided
	e.decided = true
	billed := r.State == messenger.ChargeState_CHARGE_STATE_BILLED
	if billed {
		o.makeDurable(e)
	}
	if !billed {
		o.pin(e)
	}
	if !billed || twoDisks {
		o.forget(e)
	} else if !e.gone {
		o.copies.push(e)
	}
	return Outcome{
		Key: e.key, State: r.State,
		Billed: rattanhoist.Tokens(r.BilledTokens), Spent: rattanhoist.Tokens(r.SpentTokens),
	}, first
}

// takeWitnessed books a witness's word: it makes a charge durable, and the
// own keeper decides later what was spent. Until then it counts as spent.
func (o *Outbox) takeWitnessed(e *entry, r *messenger.ChargeResult, _ bool) (Outcome, bool) {
	if e.durable || e.decided || e.gone {
		return Outcome{}, false
	}
	cost := rattanhoist.Tokens(e.charge.Tokens)
	switch r.State {
	case messenger.ChargeState_CHARGE_STATE_BILLED:
		o.makeDurable(e)
		return Outcome{Key: e.key, State: r.State, Billed: cost, Spent: cost}, true
	case messenger.ChargeState_CHARGE_STATE_FENCED:
		o.pin(e)
		o.forget(e)
		return Outcome{Key: e.key, State: r.State}, true
	default:
		return Outcome{}, false
	}
}

// Next returns when Tick should run if nothing else happens before.
func (o *Outbox) Next(now time.Time) (time.Time, bool) {
	if len(o.byKey) == 0 {
		return time.Time{}, false
	}
	next := now.Add(copyEvery)
	if e := o.unwitnessed.front(); e != nil && !o.busy[Witness] {
		next = earlier(next, e.added.Add(o.policy.WitnessAfter))
	}
	for t := range targets {
		if !o.busy[t] && o.again[t].After(now) {
			next = earlier(next, o.again[t])
		}
	}
	return next, true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
