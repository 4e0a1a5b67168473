package treasurer

import (
	"context"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/tracer"
)

// Reservation is what one request may spend. Exactly one of Release and
// Charge ends it.
type Reservation struct {
	treasurer *Treasurer
	holder    *holder
	tokens    rattanhoist.Tokens
	// Begun is wall time without the monotonic clock, which stands still while
	// a VM is frozen.
	begun time.Time
}

// Reserve sets n tokens of a workspace aside. Where the slice holds too few
// it waits for a lease and for settlements, within ctx, and then refuses with
// a Shortage.
func (t *Treasurer) Reserve(ctx context.Context, workspace string, n rattanhoist.Tokens) (Reservation, error) {
	for {
		m := t.term.Load()
		h := m.holder(workspace)
		got, err := h.slice.Reserve(n), error(nil)
		if !got {
			got, err = t.wait(ctx, h, n)
		}
		if err != nil {
			counters.refused.Add(1)
			return Reservation{}, err
		}
		if got {
			t.poke(h)
			return Reservation{treasurer: t, holder: h, tokens: n, begun: time.Now().Round(0)}, nil
		}
	}
}

// poke has a low slice filled up before it is dry, at most once a tick.
func (t *Treasurer) poke(h *holder) {
	if h.Low() && h.poked.CompareAndSwap(false, true) {
		t.step(h, Tick{})
	}
}

// wait returns false without an error when the account has ended.
func (t *Treasurer) wait(ctx context.Context, h *holder, n rattanhoist.Tokens) (bool, error) {
	giveUp := t.giveUp(ctx)
	if l := tracer.LinkOf(ctx); !l.IsZero() {
		h.trace.Store(&l)
	}
	h.enter(n)
	defer h.leave(n)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		h.mu.Lock()
		if h.retired || h.term.over() {
			h.mu.Unlock()
			return false, nil
		}
		if h.slice.Reserve(n) {
			h.mu.Unlock()
			return true, nil
		}
		actions := h.Step(time.Now(), Need{Tokens: n, Waiting: h.wanted, GiveUp: giveUp})
		changed := h.changed
		h.mu.Unlock()
		until, refusal := t.perform(h, actions)
		if refusal != nil {
			return false, refusal
		}
		timer.Reset(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return false, outOfReach(time.Now(), afterSettlement, "the deadline passed while waiting for rights")
		}
	}
}

// giveUp leaves half of the deadline for the run itself.
func (t *Treasurer) giveUp(ctx context.Context) time.Time {
	now := time.Now()
	wait := t.policy.SettleWait
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, d.Sub(now)/2)
	}
	return now.Add(wait)
}

func (h *holder) enter(n rattanhoist.Tokens) {
	h.waiters.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted += n
}

func (h *holder) leave(n rattanhoist.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted -= n
	h.waiters.Add(-1)
}

// settle ends a part of a reservation and lets waiting requests look again.
func (h *holder) settle(reserved, spent rattanhoist.Tokens) {
	h.slice.Settle(reserved, spent)
	if h.waiters.Load() > 0 {
		h.mu.Lock()
		h.wake()
		h.mu.Unlock()
	}
}

// Tokens returns the size of the reservation.
func (r Reservation) Tokens() rattanhoist.Tokens { return r.tokens }

// Release ends a reservation of which nothing was spent.
func (r Reservation) Release() { r.holder.settle(r.tokens, 0) }
