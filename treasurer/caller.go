package treasurer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracer"
)

func (t *Treasurer) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.background, t.policy.CallTimeout)
}

// fenced reports whether the keeper refuses the incarnation.
func fenced(err error) bool { return status.Code(err) == codes.FailedPrecondition }

// register announces the incarnation until the keeper knows it. No lease goes
// out before: the keeper fences earlier incarnations by this call.
func (t *Treasurer) register(m *term) {
	r := &messenger.RegisterRequest{Router: t.options.Router, Incarnation: uint64(m.incarnation), Zone: t.options.Zone}
	for try := 0; t.background.Err() == nil; try++ {
		ctx, cancel := t.callContext()
		out, err := t.options.Keeper.Register(ctx, r)
		cancel()
		switch {
		case fenced(err):
			t.pause(int(t.renewals.Load()))
			t.renew(m)
			return
		case err == nil:
			t.useWitness(out.WitnessAddress)
			t.renewals.Store(0)
			m.notBefore(out.OldestChargeMs)
			close(m.registered)
			return
		}
		t.pause(try)
	}
}

// pause waits before another try, or until the end.
func (t *Treasurer) pause(tries int) {
	select {
	case <-t.background.Done():
	case <-time.After(t.policy.pause(tries)):
	}
}

// useWitness connects to the witness that the keeper names. The connection
// to an earlier one stays open until the end: a batch may be on it.
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

func (t *Treasurer) lease(h *holder, a SendLease) {
	ctx, cancel := t.callContext()
	defer cancel()
	if l := h.trace.Load(); l != nil {
		ctx = l.Resume(ctx)
	}
	select {
	case <-h.term.registered:
	case <-ctx.Done():
		t.step(h, Failed{Sequence: a.Sequence})
		return
	}
	counters.leases.Add(1)
	r, err := t.options.Keeper.Lease(ctx, &messenger.LeaseRequest{
		Workspace: h.Workspace(), Router: t.options.Router, Incarnation: uint64(h.term.incarnation),
		Sequence: a.Sequence, WantTokens: int64(a.Want), DemandTokensPerSecond: a.Demand,
	})
	if err != nil {
		t.step(h, Failed{Sequence: a.Sequence})
		t.renewIfFenced(h.term, err)
		return
	}
	t.leased(h, a.Sequence, r)
}

func (t *Treasurer) giveBack(h *holder, a SendReturn) {
	ctx, cancel := t.callContext()
	defer cancel()
	counters.returns.Add(1)
	_, err := t.options.Keeper.Return(ctx, &messenger.ReturnRequest{
		Workspace: h.Workspace(), Router: t.options.Router, Incarnation: uint64(h.term.incarnation),
		Sequence: a.Sequence, Tokens: int64(a.Tokens),
	})
	if err != nil {
		t.step(h, Failed{Sequence: a.Sequence})
		t.renewIfFenced(h.term, err)
		return
	}
	t.step(h, Returned{Sequence: a.Sequence})
}

func (t *Treasurer) renewIfFenced(m *term, err error) {
	if fenced(err) {
		t.renew(m)
	}
}

// traceOf returns the trace of the first request of a batch that has one.
func (m *term) traceOf(s Send) tracer.Link {
	if !tracer.On() {
		return tracer.Link{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range s.entries {
		if b := m.bills[e.key]; b != nil && !b.trace.IsZero() {
			return b.trace
		}
	}
	return tracer.Link{}
}

// callCharge returns nil where the target did not answer.
func (t *Treasurer) callCharge(m *term, s Send) *messenger.ChargeReply {
	ctx, cancel := t.callContext()
	defer cancel()
	ctx = m.traceOf(s).Resume(ctx)
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
