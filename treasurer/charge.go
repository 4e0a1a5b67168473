package treasurer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracer"
)

// pendingCharge is a charge and the tokens reserved for it. It is kept until
// the outbox removes the charge.
type pendingCharge struct {
	account *managedAccount
	// trace is the trace of the request that was charged.
	trace tracer.Link
	// reserved is the number of tokens reserved until the outcome is known.
	reserved rattanhoist.Tokens
	// spent is the number of tokens settled as spent.
	spent   rattanhoist.Tokens
	settled bool
	outcome Outcome
	// done is closed when the outcome is known.
	done chan struct{}
}

// Charge bills the request and ends the reservation. The answer may be
// completed only after a nil error. Charge returns the tokens billed; for a
// request that was billed before, these are the tokens of the first bill.
// After ErrInDoubt the charge is still resent, and the reservation is settled
// when a keeper has stored the charge.
func (r Reservation) Charge(ctx context.Context, c *messenger.Charge) (rattanhoist.Tokens, error) {
	m := r.account.session
	cost := rattanhoist.Tokens(c.Tokens)
	if cost < 0 || cost > r.tokens {
		r.Release()
		return 0, merry.Wrap(ErrNotBilled, merry.AppendMessage("the charge exceeds the reservation"))
	}
	if most := r.treasurer.policy.MaxRunTime; most > 0 && time.Now().Round(0).Sub(r.begun) > most {
		r.Release()
		return 0, merry.Wrap(ErrNotBilled, merry.AppendMessagef("the run began more than %s ago", most))
	}
	b, first, err := r.treasurer.enqueueCharge(ctx, m, r.account, c)
	if err != nil {
		r.Release()
		return 0, err
	}
	if !first {
		cost = 0
	}
	r.account.settle(r.tokens-cost, 0)
	return r.treasurer.awaitOutcome(ctx, m, b)
}

// enqueueCharge adds a charge to the outbox. If a charge for the same request
// is already there, it returns that one, which uses none of this run's
// reservation.
func (t *Treasurer) enqueueCharge(ctx context.Context, m *session, h *managedAccount, c *messenger.Charge) (b *pendingCharge, first bool, err error) {
	key := rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
	m.mu.Lock()
	if m.isFenced() {
		m.mu.Unlock()
		return nil, false, ErrFenced
	}
	if old := m.charges[key]; old != nil && m.outbox.Has(key) {
		m.mu.Unlock()
		return old, false, nil
	}
	sends, ok := m.outbox.Add(time.Now(), c)
	if !ok {
		m.mu.Unlock()
		return nil, false, ErrFull
	}
	b = &pendingCharge{account: h, trace: tracer.LinkFromContext(ctx), reserved: rattanhoist.Tokens(c.Tokens), done: make(chan struct{})}
	m.charges[key] = b
	m.mu.Unlock()
	t.startSends(m, sends)
	select {
	case m.chargeAdded <- struct{}{}:
	default:
	}
	return b, true, nil
}

// awaitOutcome waits for a charge's outcome and returns the tokens billed, or
// ErrInDoubt when ctx ends first.
func (t *Treasurer) awaitOutcome(ctx context.Context, m *session, b *pendingCharge) (rattanhoist.Tokens, error) {
	select {
	case <-b.done:
	case <-ctx.Done():
		counters.inDoubt.Add(1)
		return 0, ErrInDoubt
	}
	m.mu.Lock()
	o := b.outcome
	m.mu.Unlock()
	switch o.State {
	case messenger.ChargeState_CHARGE_STATE_BILLED:
		return o.Billed, nil
	case messenger.ChargeState_CHARGE_STATE_FENCED:
		return 0, ErrFenced
	default:
		return 0, merry.Wrap(ErrNotBilled, merry.AppendMessage(o.State.String()))
	}
}

// startSends sends each batch in its own goroutine.
func (t *Treasurer) startSends(m *session, sends []Send) {
	for _, s := range sends {
		t.work.Go(func() { t.sendBatch(m, s) })
	}
}

// sendBatch sends one batch and the batches that its reply makes due.
func (t *Treasurer) sendBatch(m *session, s Send) {
	r := t.callCharge(m, s)
	t.startSends(m, t.handleChargeReply(m, s, r))
}

// handleChargeReply settles the charges that a reply decides and returns the
// next batches. After a fence the new session starts before any request
// learns of the fence: a request that follows immediately must not reserve
// from the old slices.
func (t *Treasurer) handleChargeReply(m *session, s Send, r *messenger.ChargeReply) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, more := m.outbox.ApplyReply(time.Now(), s, r)
	for _, o := range known {
		switch o.State {
		case messenger.ChargeState_CHARGE_STATE_FENCED:
			t.replaceSession(m)
		case messenger.ChargeState_CHARGE_STATE_NOT_LEASED:
			t.options.Log.Error("keeper refuses a charge as not leased", zap.String("request", o.Key.String()))
		}
		m.settleCharge(o)
	}
	for _, e := range s.entries {
		if e.removed {
			delete(m.charges, e.key)
		}
	}
	m.updateMetrics()
	return more
}

// settleCharge settles a charge's reservation by its outcome. The decision of
// the zone's own keeper may come after the witness's and then corrects the
// spent count. The caller holds mu.
func (m *session) settleCharge(o Outcome) {
	b := m.charges[o.Key]
	if b == nil {
		return
	}
	spent := min(o.Spent, b.reserved)
	if o.State == messenger.ChargeState_CHARGE_STATE_NOT_LEASED {
		// The keeper knows of fewer rights than this slice. Releasing the
		// tokens here could let them be spent twice.
		spent = b.reserved
		counters.notLeased.Add(1)
	}
	if b.settled {
		b.account.settle(0, spent-b.spent)
		b.spent = spent
		return
	}
	b.settled, b.spent, b.outcome = true, spent, o
	b.account.settle(b.reserved, spent)
	close(b.done)
}

// resendLoop resends charges that no target has confirmed.
func (t *Treasurer) resendLoop(m *session) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ended := m.fenced
	for {
		m.mu.Lock()
		now := time.Now()
		sends := m.outbox.Tick(now)
		next, some := m.outbox.Next(now)
		m.updateMetrics()
		m.mu.Unlock()
		if !some && m.isFenced() {
			return
		}
		t.startSends(m, sends)
		if some {
			timer.Reset(max(time.Until(next), time.Millisecond))
		}
		select {
		case <-t.background.Done():
			return
		case <-ended:
			ended = nil
		case <-m.chargeAdded:
		case <-timer.C:
		}
	}
}

// updateMetrics publishes how many charges would be lost with this process or
// with one disk. The caller holds mu.
func (m *session) updateMetrics() {
	none, one, tokens, dropped := m.outbox.AtRisk()
	counters.noDisk.Set(int64(none))
	counters.oneDisk.Set(int64(one))
	counters.atRiskTokens.Set(int64(tokens))
	counters.dropped.Set(int64(dropped))
}

// awaitCharges waits until every charge is on two disks, or until ctx ends.
func (m *session) awaitCharges(ctx context.Context) {
	t := time.NewTicker(copyInterval / 5)
	defer t.Stop()
	for {
		m.mu.Lock()
		n := len(m.outbox.byKey)
		m.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
