// Package treasurer is the router's side of the prepaid budgets: it leases
// rights ahead of need, lets requests reserve from them without a round trip,
// and makes every charge durable before its answer completes.
//
// Account and Outbox are pure state machines; Treasurer is the shell that
// calls the keeper for them.
package treasurer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// Errors of billing. Compare with errors.Is.
var (
	// ErrFenced says that this router's incarnation may not spend any more;
	// the answer must not be completed.
	ErrFenced = merry.Sentinel("router incarnation is fenced")
	// ErrNotBilled says that the keeper refused a charge; the answer must not
	// be completed.
	ErrNotBilled = merry.Sentinel("charge refused")
	// ErrInDoubt says that no disk is known to have the charge; it is sent on.
	ErrInDoubt = merry.Sentinel("no keeper has confirmed the charge")
	// ErrFull says that too many charges wait for a keeper.
	ErrFull = merry.Sentinel("too many charges wait for a keeper")
)

// Keeper is the part of the budget protocol that a router calls.
type Keeper = messenger.BudgetKeeperClient

// Options describe a treasurer.
type Options struct {
	Router, Zone string
	// Incarnation is higher than that of every earlier start.
	Incarnation rattanhoist.Incarnation
	// Keeper is the zone's own.
	Keeper Keeper
	// Witness is the keeper to use until the own one names another; nil for
	// none.
	Witness Keeper
	// Dial connects to the witness that the own keeper names; nil ignores it.
	Dial   func(address string) (Keeper, func(), error)
	Policy Policy
	Log    *zap.Logger
}

// Treasurer leases, settles and bills for one router.
type Treasurer struct {
	options Options
	policy  *Policy
	// Term is replaced when the keeper fences the incarnation.
	term    atomic.Pointer[term]
	renewal sync.Mutex
	witness atomic.Pointer[witness]
	// Solo is the latest mark that a keeper left here.
	solo atomic.Pointer[messenger.HoldingsRequest]
	// Told is the latest vault that asked what this router holds. An answer of
	// an earlier vault, still under way then, would add rights that the later
	// one does not know of.
	told atomic.Uint64
	// Renewals counts the incarnations that were fenced in a row.
	renewals   atomic.Int64
	background context.Context
	work       sync.WaitGroup
}

type witness struct {
	keeper  Keeper
	address string
	close   func()
}

// Steps between incarnations of one process, of which the last doubles the
// first maxDoublings times.
const (
	firstJump    = time.Second
	maxDoublings = 24
)

// New returns a treasurer that registers its incarnation and looks after its
// slices until the returned function is called; that function waits for every
// call in progress.
func New(o Options) (*Treasurer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Treasurer{options: o, policy: &o.Policy, background: ctx}
	if t.options.Log == nil {
		t.options.Log = zap.NewNop()
	}
	t.solo.Store(&messenger.HoldingsRequest{})
	t.witness.Store(&witness{keeper: o.Witness, close: func() {}})
	t.begin(o.Incarnation)
	t.work.Go(t.look)
	return t, func() {
		cancel()
		t.work.Wait()
		t.witness.Load().close()
	}
}

// begin opens a term: an incarnation that holds nothing yet.
func (t *Treasurer) begin(i rattanhoist.Incarnation) {
	m := newTerm(i, t.policy)
	t.term.Store(m)
	t.work.Go(func() { t.register(m) })
	t.work.Go(func() { t.pump(m) })
}

// renew goes on under a new incarnation once the keeper has fenced one. What
// the old one held is the keeper's to return. The step doubles: after a clock
// that was set back, the keeper knows incarnations far above the clock's. The
// caller may hold the old term's mu.
func (t *Treasurer) renew(old *term) {
	t.renewal.Lock()
	defer t.renewal.Unlock()
	if t.term.Load() != old || t.background.Err() != nil {
		return
	}
	counters.fenced.Add(1)
	jump := firstJump << min(t.renewals.Add(1)-1, maxDoublings)
	next := max(rattanhoist.Incarnation(time.Now().UnixNano()), old.incarnation+rattanhoist.Incarnation(jump))
	t.options.Log.Warn("incarnation is fenced; going on under a new one",
		zap.Uint64("fenced", uint64(old.incarnation)), zap.Uint64("incarnation", uint64(next)))
	old.end()
	t.begin(next)
}

// look lets time pass for every account.
func (t *Treasurer) look() {
	tick := time.NewTicker(t.policy.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-t.background.Done():
			return
		case <-tick.C:
			for h := range t.term.Load().holders() {
				h.poked.Store(false)
				t.step(h, Tick{})
			}
		}
	}
}

// step has an account handle an event and starts what it asks for.
func (t *Treasurer) step(h *holder, e Event) {
	h.mu.Lock()
	actions := h.Step(time.Now(), e)
	if _, tick := e.(Tick); !tick {
		h.wake()
	}
	h.mu.Unlock()
	t.perform(h, actions)
}

// perform starts calls and returns the answer to a Need.
func (t *Treasurer) perform(h *holder, actions []Action) (until time.Time, refusal *Shortage) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendLease:
			t.work.Go(func() { t.lease(h, a) })
		case SendReturn:
			t.work.Go(func() { t.giveBack(h, a) })
		case Wait:
			until = a.Until
		case Refuse:
			refusal = a.Err
		case Retire:
			h.term.retire(h)
		}
	}
	return until, refusal
}

// leased takes a lease's answer, unless a later vault was told meanwhile what
// this router holds; then the same lease goes out again, to that vault.
func (t *Treasurer) leased(h *holder, sequence uint64, r *messenger.LeaseReply) {
	h.mu.Lock()
	var e Event = Leased{Sequence: sequence, Reply: r}
	if r.VaultIncarnation > 0 && r.VaultIncarnation < t.told.Load() {
		e = Failed{Sequence: sequence}
	}
	actions := h.Step(time.Now(), e)
	h.wake()
	h.mu.Unlock()
	t.perform(h, actions)
}

// Incarnation returns the incarnation that spends now.
func (t *Treasurer) Incarnation() rattanhoist.Incarnation { return t.term.Load().incarnation }

// Held returns the rights of all workspaces that are leased and not spent.
func (t *Treasurer) Held() rattanhoist.Tokens {
	var n rattanhoist.Tokens
	for h := range t.term.Load().holders() {
		n += h.slice.Left() + h.slice.Reserved()
	}
	return n
}

// Recall returns up to the wanted rights to the keeper, so that a sibling can
// spend them, and waits until the keeper has them.
func (t *Treasurer) Recall(ctx context.Context, r *messenger.RecallRequest) (*messenger.RecallReply, error) {
	m := t.term.Load()
	out := &messenger.RecallReply{Incarnation: uint64(m.incarnation), AnsweredBeforeMs: m.answeredBefore()}
	h, ok := m.find(r.Workspace)
	if !ok {
		return out, nil
	}
	before := h.slice.Withdrawn()
	t.step(h, Recall{Tokens: rattanhoist.Tokens(r.WantTokens)})
	h.awaitReturn(ctx)
	counters.recalls.Add(1)
	out.ReturningTokens = int64(h.slice.Withdrawn() - before)
	return out, nil
}

// GiveBack returns what is not reserved, and waits until the keeper has the
// returns and the charges or ctx ends; it is for shutdown.
func (t *Treasurer) GiveBack(ctx context.Context) {
	m := t.term.Load()
	for h := range m.holders() {
		t.step(h, Recall{Tokens: h.slice.Left()})
	}
	for h := range m.holders() {
		h.awaitReturn(ctx)
		// What a lease in progress brought meanwhile goes back as well.
		t.step(h, Recall{Tokens: h.slice.Left()})
		h.awaitReturn(ctx)
	}
	m.awaitCharges(ctx)
}

// Holdings reports what this router holds, as proof for a keeper whose copy
// may be behind, and keeps the keeper's mark.
func (t *Treasurer) Holdings(_ context.Context, r *messenger.HoldingsRequest) (*messenger.HoldingsReply, error) {
	for told := t.told.Load(); r.AskingIncarnation > told; told = t.told.Load() {
		t.told.CompareAndSwap(told, r.AskingIncarnation)
	}
	m := t.term.Load()
	out := &messenger.HoldingsReply{Router: t.options.Router, Incarnation: uint64(m.incarnation)}
	m.describe(out)
	mark := t.solo.Load()
	out.VaultIncarnation, out.SoloCommit = mark.VaultIncarnation, mark.SoloCommit
	if r.SoloCommit > 0 {
		t.solo.Store(r)
	}
	return out, nil
}
