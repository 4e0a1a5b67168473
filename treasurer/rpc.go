package treasurer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracer"
)

// callContext returns a context limited by CallTimeout and the treasurer's end.
func (t *Treasurer) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.background, t.policy.CallTimeout)
}

// isFencedError reports whether the keeper rejected the incarnation as
// fenced.
func isFencedError(err error) bool { return status.Code(err) == codes.FailedPrecondition }

// register sends the incarnation to the keeper until it is accepted. Leases
// wait for this, because the keeper fences earlier incarnations in this call.
func (t *Treasurer) register(m *session) {
	r := &messenger.RegisterRequest{Router: t.options.Router, Incarnation: uint64(m.incarnation), Zone: t.options.Zone}
	for try := 0; t.background.Err() == nil; try++ {
		ctx, cancel := t.callContext()
		out, err := t.options.Keeper.Register(ctx, r)
		cancel()
		switch {
		case isFencedError(err):
			t.waitBackoff(int(t.consecutiveFences.Load()))
			t.replaceSession(m)
			return
		case err == nil:
			t.useWitness(out.WitnessAddress)
			t.consecutiveFences.Store(0)
			m.setEarliestCharge(out.OldestChargeMs)
			close(m.registered)
			return
		}
		t.waitBackoff(try)
	}
}

// waitBackoff waits before the next attempt, or until the treasurer stops.
func (t *Treasurer) waitBackoff(tries int) {
	select {
	case <-t.background.Done():
	case <-time.After(t.policy.backoff(tries)):
	}
}

// useWitness connects to the witness named by the keeper. The previous
// connection stays open until shutdown because a batch may be in flight on
// it.
func (t *Treasurer) useWitness(address string) {
	old := t.witness.Load()
	if address == "" || address == old.address || t.options.Dial == nil {
		return
	}
	k, closeKeeper, err := t.options.Dial(address)
	if err != nil {
		return
	}
	t.witness.Store(&witness{keeper: k, address: address, close: func() {
		closeKeeper()
		old.close()
	}})
}

// callLease sends a lease, once the keeper has accepted the incarnation.
func (t *Treasurer) callLease(h *managedAccount, a SendLease) {
	ctx, cancel := t.callContext()
	defer cancel()
	if l := h.trace.Load(); l != nil {
		ctx = l.Resume(ctx)
	}
	select {
	case <-h.session.registered:
	case <-ctx.Done():
		t.step(h, CallFailed{Sequence: a.Sequence})
		return
	}
	counters.leases.Add(1)
	r, err := t.options.Keeper.Lease(ctx, &messenger.LeaseRequest{
		Workspace: h.Workspace(), Router: t.options.Router, Incarnation: uint64(h.session.incarnation),
		Sequence: a.Sequence, WantTokens: int64(a.Want), DemandTokensPerSecond: a.Demand,
	})
	if err != nil {
		t.step(h, CallFailed{Sequence: a.Sequence})
		t.replaceIfFenced(h.session, err)
		return
	}
	t.handleLeaseReply(h, a.Sequence, r)
}

// callReturn sends a return to the keeper.
func (t *Treasurer) callReturn(h *managedAccount, a SendReturn) {
	ctx, cancel := t.callContext()
	defer cancel()
	counters.returns.Add(1)
	_, err := t.options.Keeper.Return(ctx, &messenger.ReturnRequest{
		Workspace: h.Workspace(), Router: t.options.Router, Incarnation: uint64(h.session.incarnation),
		Sequence: a.Sequence, Tokens: int64(a.Tokens),
	})
	if err != nil {
		t.step(h, CallFailed{Sequence: a.Sequence})
		t.replaceIfFenced(h.session, err)
		return
	}
	t.step(h, Returned{Sequence: a.Sequence})
}

// replaceIfFenced starts a new incarnation if the keeper fenced this one.
func (t *Treasurer) replaceIfFenced(m *session, err error) {
	if isFencedError(err) {
		t.replaceSession(m)
	}
}

// batchTrace returns the trace of the first charge in a batch that has one.
func (m *session) batchTrace(s Send) tracer.Link {
	if !tracer.Enabled() {
		return tracer.Link{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range s.entries {
		if b := m.charges[e.key]; b != nil && !b.trace.IsZero() {
			return b.trace
		}
	}
	return tracer.Link{}
}

// callCharge sends a batch to its target and returns nil if the target did
// not answer.
func (t *Treasurer) callCharge(m *session, s Send) *messenger.ChargeReply {
	ctx, cancel := t.callContext()
	defer cancel()
	ctx = m.batchTrace(s).Resume(ctx)
	r := &messenger.ChargeRequest{
		Router: t.options.Router, Incarnation: uint64(m.incarnation), Charges: s.Charges(), Zone: t.options.Zone,
	}
	counters.batches.Add(1)
	counters.charges.Add(int64(len(r.Charges)))
	call := t.options.Keeper.Charge
	if s.Target == Witness {
		k := t.witness.Load().keeper
		if k == nil {
			return nil
		}
		call = k.Witness
		counters.witnessed.Add(int64(len(r.Charges)))
	}
	out, err := call(ctx, r)
	if err != nil {
		return nil
	}
	return out
}
