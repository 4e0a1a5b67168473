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
	// OwnKeeper is the keeper of the router's zone, which decides on charges.
	OwnKeeper Target = iota
	// Witness is a keeper of another zone that stores charges while the own
	// keeper is unreachable.
	Witness
	targetCount
)

// copyInterval is the pause between resends of charges that are stored on one
// disk only.
const copyInterval = 500 * time.Millisecond

// Outcome is the result of a charge.
type Outcome struct {
	Key   rattanhoist.RequestKey
	State messenger.ChargeState
	// Billed is the total price of the request.
	Billed rattanhoist.Tokens
	// Spent is the part of it taken from this incarnation's lease.
	Spent rattanhoist.Tokens
}

// Send is a batch of charges for a target. Its result is reported with
// ApplyReply.
type Send struct {
	Target  Target
	entries []*entry
}

// Charges returns the charges of the batch.
func (s Send) Charges() []*messenger.Charge {
	out := make([]*messenger.Charge, len(s.entries))
	for i, e := range s.entries {
		out[i] = e.charge
	}
	return out
}

// entry is a charge that is not yet known to be on two disks.
type entry struct {
	charge *messenger.Charge
	key    rattanhoist.RequestKey
	added  time.Time
	// durable reports whether at least one disk has stored the charge, so
	// that the answer may complete.
	durable bool
	// decided reports whether the own keeper has answered.
	decided bool
	// removed reports whether the entry has left the outbox.
	removed bool
}

// Outbox is the state machine that delivers a router's charges, for one
// incarnation. It holds at most MaxPending charges.
type Outbox struct {
	policy *Policy
	byKey  map[rattanhoist.RequestKey]*entry
	// unsent holds charges that the own keeper has not decided and that are
	// not in flight to it.
	unsent queue
	// unwitnessed holds charges that the witness does not have, in order of
	// arrival.
	unwitnessed queue
	// singleCopy holds charges that are stored on one disk only.
	singleCopy queue
	nextCopy   time.Time
	// busy marks targets with a call in flight. One call at a time batches
	// the charges that arrive meanwhile, and adds no delay when idle.
	busy [targetCount]bool
	// tries counts consecutive failed calls to a target; retryAt is when it
	// is called next.
	tries   [targetCount]int
	retryAt [targetCount]time.Time
	// notDurable counts charges on no disk; tokens is the sum of all charges
	// in the outbox.
	notDurable int
	tokens     rattanhoist.Tokens
	dropped    int
	watermark
}

// NewOutbox returns an empty outbox.
func NewOutbox(p *Policy) *Outbox {
	return &Outbox{policy: p, byKey: map[rattanhoist.RequestKey]*entry{}}
}

// Has reports whether the outbox holds the request's charge.
func (o *Outbox) Has(key rattanhoist.RequestKey) bool { return o.byKey[key] != nil }

// Pending returns the charges that are not known to be on two disks.
func (o *Outbox) Pending() []*messenger.Charge {
	out := make([]*messenger.Charge, 0, len(o.byKey))
	for _, e := range o.byKey {
		out = append(out, e.charge)
	}
	return out
}

// AtRisk returns the number of charges on no disk, the number on one disk,
// the tokens of both, and the number that were evicted with one copy because
// the outbox was full.
func (o *Outbox) AtRisk() (none, one int, tokens rattanhoist.Tokens, dropped int) {
	return o.notDurable, len(o.byKey) - o.notDurable, o.tokens, o.dropped
}

// Add enqueues a charge and returns the batches to send now. It returns false
// if the outbox already holds a charge for the request or is full.
func (o *Outbox) Add(now time.Time, c *messenger.Charge) ([]Send, bool) {
	key := rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
	if o.byKey[key] != nil || !o.evictIfFull() {
		return nil, false
	}
	o.clampTime(c)
	e := &entry{charge: c, key: key, added: now}
	o.byKey[key] = e
	o.notDurable++
	o.tokens += rattanhoist.Tokens(c.Tokens)
	o.unsent.push(e)
	o.unwitnessed.push(e)
	return o.Tick(now), true
}

// evictIfFull removes the oldest durable charge if the outbox is full.
// Without eviction, an hour without a second disk would lead to refusals or
// unbounded memory.
func (o *Outbox) evictIfFull() bool {
	if len(o.byKey) < o.policy.MaxPending {
		return true
	}
	for _, q := range []*queue{&o.singleCopy, &o.unsent} {
		for q.front() != nil && q.front().removed {
			q.pop()
		}
		if e := q.front(); e != nil && e.durable {
			q.pop()
			o.pin(e)
			o.remove(e)
			o.dropped++
			return true
		}
	}
	return false
}

// remove deletes a charge from the outbox. The queues skip it later.
func (o *Outbox) remove(e *entry) {
	if e.removed {
		return
	}
	e.removed = true
	delete(o.byKey, e.key)
	o.tokens -= rattanhoist.Tokens(e.charge.Tokens)
	if !e.durable {
		o.notDurable--
	}
}

// makeDurable records that a disk has the charge.
func (o *Outbox) makeDurable(e *entry) {
	if !e.durable && !e.removed {
		e.durable = true
		o.notDurable--
	}
}

// Tick returns the batches that are due.
func (o *Outbox) Tick(now time.Time) []Send {
	var out []Send
	for t, fill := range []func(time.Time) []*entry{o.keeperBatch, o.witnessBatch} {
		if o.busy[t] || now.Before(o.retryAt[t]) {
			continue
		}
		if batch := fill(now); len(batch) > 0 {
			o.busy[t] = true
			out = append(out, Send{Target: Target(t), entries: batch})
		}
	}
	return out
}

// keeperBatch returns unsent charges and, every copyInterval, those on one
// disk only.
func (o *Outbox) keeperBatch(now time.Time) []*entry {
	batch := o.takeBatch(nil, &o.unsent)
	if now.Before(o.nextCopy) {
		return batch
	}
	o.nextCopy = now.Add(copyInterval)
	return o.takeBatch(batch, &o.singleCopy)
}

// takeBatch moves entries from a queue to the batch, up to MaxBatch.
func (o *Outbox) takeBatch(batch []*entry, q *queue) []*entry {
	for q.len() > 0 && len(batch) < o.policy.MaxBatch {
		if e := q.pop(); !e.removed {
			batch = append(batch, e)
		}
	}
	return batch
}

// witnessBatch returns charges that have waited for the own keeper for
// WitnessAfter, or all of them at once after a failed call to the own keeper.
func (o *Outbox) witnessBatch(now time.Time) []*entry {
	var batch []*entry
	for e := o.unwitnessed.front(); e != nil && len(batch) < o.policy.MaxBatch; e = o.unwitnessed.front() {
		done := e.removed || e.decided
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

// ApplyReply applies a target's reply to a batch, or nil if there was none.
// It returns the outcomes that are now known and the next batches.
func (o *Outbox) ApplyReply(now time.Time, s Send, r *messenger.ChargeReply) ([]Outcome, []Send) {
	o.busy[s.Target] = false
	if r == nil || len(r.Results) != len(s.entries) {
		o.requeue(now, s)
		return nil, o.Tick(now)
	}
	o.tries[s.Target] = 0
	var out []Outcome
	for i, e := range s.entries {
		take := o.applyDecision
		if s.Target == Witness {
			take = o.applyWitnessed
		}
		if known, ok := take(e, r.Results[i], r.TwoDisks); ok {
			out = append(out, known)
		}
	}
	return out, o.Tick(now)
}

// requeue schedules an unanswered batch again, because the target may or may
// not have stored its charges.
func (o *Outbox) requeue(now time.Time, s Send) {
	o.retryAt[s.Target] = now.Add(o.policy.backoff(o.tries[s.Target]))
	o.tries[s.Target]++
	if s.Target == Witness {
		o.unwitnessed.putBack(s.entries)
		return
	}
	var fresh []*entry
	for _, e := range s.entries {
		if e.decided {
			o.singleCopy.push(e)
			continue
		}
		fresh = append(fresh, e)
	}
	o.unsent.putBack(fresh)
}

// applyDecision applies the own keeper's result for a charge.
func (o *Outbox) applyDecision(e *entry, r *messenger.ChargeResult, twoDisks bool) (Outcome, bool) {
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
		o.remove(e)
	} else if !e.removed {
		o.singleCopy.push(e)
	}
	return Outcome{
		Key: e.key, State: r.State,
		Billed: rattanhoist.Tokens(r.BilledTokens), Spent: rattanhoist.Tokens(r.SpentTokens),
	}, first
}

// applyWitnessed applies a witness's result for a charge. A witness makes a
// charge durable; the own keeper decides later how much was spent. Until then
// the whole charge counts as spent.
func (o *Outbox) applyWitnessed(e *entry, r *messenger.ChargeResult, _ bool) (Outcome, bool) {
	if e.durable || e.decided || e.removed {
		return Outcome{}, false
	}
	cost := rattanhoist.Tokens(e.charge.Tokens)
	switch r.State {
	case messenger.ChargeState_CHARGE_STATE_BILLED:
		o.makeDurable(e)
		return Outcome{Key: e.key, State: r.State, Billed: cost, Spent: cost}, true
	case messenger.ChargeState_CHARGE_STATE_FENCED:
		o.pin(e)
		o.remove(e)
		return Outcome{Key: e.key, State: r.State}, true
	default:
		return Outcome{}, false
	}
}

// Next returns when Tick should run if nothing else happens first.
func (o *Outbox) Next(now time.Time) (time.Time, bool) {
	if len(o.byKey) == 0 {
		return time.Time{}, false
	}
	next := now.Add(copyInterval)
	if e := o.unwitnessed.front(); e != nil && !o.busy[Witness] {
		next = earlier(next, e.added.Add(o.policy.WitnessAfter))
	}
	for t := range targetCount {
		if !o.busy[t] && o.retryAt[t].After(now) {
			next = earlier(next, o.retryAt[t])
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
