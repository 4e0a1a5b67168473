package treasurer

import (
	"context"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/tracer"
)

// Reservation is the number of tokens that one request may spend. It must be
// ended by exactly one call to Release or Charge.
type Reservation struct {
	treasurer *Treasurer
	account   *managedAccount
	tokens    rattanhoist.Tokens
	// begun is wall-clock time, because the monotonic clock stops while a VM
	// is frozen.
	begun time.Time
}

// Reserve reserves n tokens of a workspace. If the slice holds too few, it
// waits within ctx for a lease or for other requests to settle, and then
// fails with a Shortage.
func (t *Treasurer) Reserve(ctx context.Context, workspace string, n rattanhoist.Tokens) (Reservation, error) {
	for {
		m := t.session.Load()
		h := m.account(workspace)
		got, err := h.slice.Reserve(n), error(nil)
		if !got {
			got, err = t.waitForRights(ctx, h, n)
		}
		if err != nil {
			counters.refused.Add(1)
			return Reservation{}, err
		}
		if got {
			t.refillIfLow(h)
			return Reservation{treasurer: t, account: h, tokens: n, begun: time.Now().Round(0)}, nil
		}
	}
}

// refillIfLow triggers a refill before the slice is empty, at most once per
// tick.
func (t *Treasurer) refillIfLow(h *managedAccount) {
	if h.BelowLowMark() && h.lowTickSent.CompareAndSwap(false, true) {
		t.step(h, Tick{})
	}
}

// waitForRights waits until n tokens are reserved. It returns false without
// an error if the account was retired or its incarnation fenced.
func (t *Treasurer) waitForRights(ctx context.Context, h *managedAccount, n rattanhoist.Tokens) (bool, error) {
	giveUp := t.waitDeadline(ctx)
	if l := tracer.LinkFromContext(ctx); !l.IsZero() {
		h.trace.Store(&l)
	}
	h.addWaiter(n)
	defer h.removeWaiter(n)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		h.mu.Lock()
		if h.retired || h.session.isFenced() {
			h.mu.Unlock()
			return false, nil
		}
		if h.slice.Reserve(n) {
			h.mu.Unlock()
			return true, nil
		}
		actions := h.Step(time.Now(), Need{Tokens: n, Waiting: h.waitingTokens, Deadline: giveUp})
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
			return false, newOutOfReach(time.Now(), retryAfterSettlement, "the deadline passed while waiting for rights")
		}
	}
}

// waitDeadline returns how long to wait for rights. It leaves half of the
// request's deadline for the run itself.
func (t *Treasurer) waitDeadline(ctx context.Context) time.Time {
	now := time.Now()
	wait := t.policy.SettleWait
	if d, ok := ctx.Deadline(); ok {
		wait = min(wait, d.Sub(now)/2)
	}
	return now.Add(wait)
}

func (h *managedAccount) addWaiter(n rattanhoist.Tokens) {
	h.waiters.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitingTokens += n
}

func (h *managedAccount) removeWaiter(n rattanhoist.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitingTokens -= n
	h.waiters.Add(-1)
}

// settle ends part of a reservation and wakes waiting requests.
func (h *managedAccount) settle(reserved, spent rattanhoist.Tokens) {
	h.slice.Settle(reserved, spent)
	if h.waiters.Load() > 0 {
		h.mu.Lock()
		h.wake()
		h.mu.Unlock()
	}
}

// Tokens returns the number of reserved tokens.
func (r Reservation) Tokens() rattanhoist.Tokens { return r.tokens }

// Release ends a reservation without spending any of it.
func (r Reservation) Release() { r.account.settle(r.tokens, 0) }
