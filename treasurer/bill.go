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

// bill is a charge with what was reserved for it, until the outbox forgets
// the charge.
type bill struct {
	holder *holder
	// Trace is that of the request that made the charge.
	trace tracer.Link
	// Held is reserved for the charge until an outcome is known.
	held rattanhoist.Tokens
	// Spent is what was settled at the first outcome.
	spent   rattanhoist.Tokens
	known   bool
	outcome Outcome
	// Done is closed when an outcome is known.
	done chan struct{}
}

// Charge bills the request and ends the reservation. Only after a nil error
// may the answer be completed; it returns the tokens billed, which for a
// request billed before are those of the first bill. After ErrInDoubt the
// charge is sent on, and settles when a keeper has it.
func (r Reservation) Charge(ctx context.Context, c *messenger.Charge) (rattanhoist.Tokens, error) {
	m := r.holder.term
	cost := rattanhoist.Tokens(c.Tokens)
	if cost < 0 || cost > r.tokens {
		r.Release()
		return 0, merry.Wrap(ErrNotBilled, merry.AppendMessage("the charge exceeds the reservation"))
	}
	if most := r.treasurer.policy.RunMost; most > 0 && time.Now().Round(0).Sub(r.begun) > most {
		r.Release()
		return 0, merry.Wrap(ErrNotBilled, merry.AppendMessagef("the run began more than %s ago", most))
	}
	b, first, err := r.treasurer.post(ctx, m, r.holder, c)
	if err != nil {
		r.Release()
		return 0, err
	}
	if !first {
		cost = 0
	}
	r.holder.settle(r.tokens-cost, 0)
	return r.treasurer.await(ctx, m, b)
}

// post hands a charge to the outbox, or joins the one of the same request,
// which then holds nothing of this run's reservation.
func (t *Treasurer) post(ctx context.Context, m *term, h *holder, c *messenger.Charge) (b *bill, first bool, err error) {
	key := rattanhoist.NewRequestKey(c.Workspace, c.RequestId)
	m.mu.Lock()
	if m.over() {
		m.mu.Unlock()
		return nil, false, ErrFenced
	}
	if old := m.bills[key]; old != nil && m.outbox.Has(key) {
		m.mu.Unlock()
		return old, false, nil
	}
	sends, ok := m.outbox.Add(time.Now(), c)
	if !ok {
		m.mu.Unlock()
		return nil, false, ErrFull
	}
	b = &bill{holder: h, trace: tracer.LinkOf(ctx), held: rattanhoist.Tokens(c.Tokens), done: make(chan struct{})}
	m.bills[key] = b
	m.mu.Unlock()
	t.send(m, sends)
	select {
	case m.added <- struct{}{}:
	default:
	}
	return b, true, nil
}

func (t *Treasurer) await(ctx context.Context, m *term, b *bill) (rattanhoist.Tokens, error) {
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

// send starts calls for batches.
func (t *Treasurer) send(m *term, sends []Send) {
	for _, s := range sends {
		t.work.Go(func() { t.sendOne(m, s) })
	}
}

func (t *Treasurer) sendOne(m *term, s Send) {
	r := t.callCharge(m, s)
	t.send(m, t.answered(m, s, r))
}

// answered settles what a batch's answer decides and returns what to send
// next. After a fence the new term begins before any request hears of it: one
// that comes right after must not reserve from the old slices.
func (t *Treasurer) answered(m *term, s Send, r *messenger.ChargeReply) []Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, more := m.outbox.Answered(time.Now(), s, r)
	for _, o := range known {
		switch o.State {
		case messenger.ChargeState_CHARGE_STATE_FENCED:
			t.renew(m)
		case messenger.ChargeState_CHARGE_STATE_NOT_LEASED:
			t.options.Log.Error("keeper refuses a charge as not leased", zap.String("request", o.Key.String()))
		}
		m.resolve(o)
	}
	for _, e := range s.entries {
		if e.gone {
			delete(m.bills, e.key)
		}
	}
	m.report()
	return more
}

// resolve settles a bill; the caller holds mu. The own keeper's word after
// the witness's corrects what the slice counts as spent.
func (m *term) resolve(o Outcome) {
	b := m.bills[o.Key]
	if b == nil {
		return
	}
	spent := min(o.Spent, b.held)
	if o.State == messenger.ChargeState_CHARGE_STATE_NOT_LEASED {
		// The keeper knows of fewer rights than this slice: giving the tokens
		// back here could let them be spent twice.
		spent = b.held
		counters.notLeased.Add(1)
	}
	if b.known {
		b.holder.settle(0, spent-b.spent)
		b.spent = spent
		return
	}
	b.known, b.spent, b.outcome = true, spent, o
	b.holder.settle(b.held, spent)
	close(b.done)
}

// pump sends again what no target has confirmed.
func (t *Treasurer) pump(m *term) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	ended := m.ended
	for {
		m.mu.Lock()
		now := time.Now()
		sends := m.outbox.Tick(now)
		next, some := m.outbox.Next(now)
		m.report()
		m.mu.Unlock()
		if !some && m.over() {
			return
		}
		t.send(m, sends)
		if some {
			timer.Reset(max(time.Until(next), time.Millisecond))
		}
		select {
		case <-t.background.Done():
			return
		case <-ended:
			ended = nil
		case <-m.added:
		case <-timer.C:
		}
	}
}

// report shows what would be lost with this process or one disk; the caller
// holds mu.
func (m *term) report() {
	none, one, tokens, dropped := m.outbox.AtRisk()
	counters.noDisk.Set(int64(none))
	counters.oneDisk.Set(int64(one))
	counters.atRiskTokens.Set(int64(tokens))
	counters.dropped.Set(int64(dropped))
}

// awaitCharges waits until every charge is on two disks, or ctx ends.
func (m *term) awaitCharges(ctx context.Context) {
	t := time.NewTicker(copyEvery / 5)
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
