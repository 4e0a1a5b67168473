// Package treasurer spends prepaid budgets on the router's side. It leases
// rights ahead of need, lets requests reserve from them without a round trip,
// and makes every charge durable before the request's answer completes.
//
// Account and Outbox are pure state machines; Treasurer runs them and calls
// the keeper.
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

// Billing errors, to be compared with errors.Is.
var (
	// ErrFenced means that this router's incarnation may no longer spend. The
	// answer must not be completed.
	ErrFenced = merry.Sentinel("router incarnation is fenced")
	// ErrNotBilled means that the charge was refused. The answer must not be
	// completed.
	ErrNotBilled = merry.Sentinel("charge refused")
	// ErrInDoubt means that no disk is known to have the charge. The charge
	// is still resent.
	ErrInDoubt = merry.Sentinel("no keeper has confirmed the charge")
	// ErrFull means that the outbox is full.
	ErrFull = merry.Sentinel("too many charges wait for a keeper")
)

// Keeper is the part of the budget protocol that a router calls.
type Keeper = messenger.BudgetKeeperClient

// Options configure a Treasurer.
type Options struct {
	Router, Zone string
	// Incarnation must be higher than that of every earlier start.
	Incarnation rattanhoist.Incarnation
	// Keeper is the keeper of the router's own zone.
	Keeper Keeper
	// Witness is used until the own keeper names another; nil for none.
	Witness Keeper
	// Dial connects to the witness that the own keeper names. If it is nil,
	// that name is ignored.
	Dial   func(address string) (Keeper, func(), error)
	Policy Policy
	Log    *zap.Logger
}

// Treasurer leases rights and bills charges for one router. It is safe for
// concurrent use.
type Treasurer struct {
	options Options
	policy  *Policy
	// session is replaced when the keeper fences the incarnation.
	session   atomic.Pointer[session]
	replaceMu sync.Mutex
	witness   atomic.Pointer[witness]
	// soloMark is the latest solo commit that a keeper has stored here.
	soloMark atomic.Pointer[messenger.HoldingsRequest]
	// newestVault is the latest vault incarnation that asked for this
	// router's holdings. A lease reply from an earlier vault that is still in
	// flight would add rights that the newer vault does not know of.
	newestVault atomic.Uint64
	// consecutiveFences counts the incarnations fenced in a row.
	consecutiveFences atomic.Int64
	background        context.Context
	work              sync.WaitGroup
}

type witness struct {
	keeper  Keeper
	address string
	close   func()
}

// The step from one incarnation of a process to the next starts at
// firstIncarnationStep and doubles at most maxStepDoublings times.
const (
	firstIncarnationStep = time.Second
	maxStepDoublings     = 24
)

// New returns a treasurer that registers its incarnation and maintains its
// slices until the returned function is called. That function waits for all
// calls in flight.
func New(o Options) (*Treasurer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Treasurer{options: o, policy: &o.Policy, background: ctx}
	if t.options.Log == nil {
		t.options.Log = zap.NewNop()
	}
	t.soloMark.Store(&messenger.HoldingsRequest{})
	t.witness.Store(&witness{keeper: o.Witness, close: func() {}})
	t.startSession(o.Incarnation)
	t.work.Go(t.tickLoop)
	return t, func() {
		cancel()
		t.work.Wait()
		t.witness.Load().close()
	}
}

// startSession starts an incarnation that holds no rights.
func (t *Treasurer) startSession(i rattanhoist.Incarnation) {
	m := newSession(i, t.policy)
	t.session.Store(m)
	t.work.Go(func() { t.register(m) })
	t.work.Go(func() { t.resendLoop(m) })
}

// replaceSession starts a new incarnation after the keeper has fenced the old
// one, whose rights the keeper takes back. The step doubles, because after
// the clock was set back the keeper may know incarnations far above the
// current time. The caller may hold the old session's mu.
func (t *Treasurer) replaceSession(old *session) {
	t.replaceMu.Lock()
	defer t.replaceMu.Unlock()
	if t.session.Load() != old || t.background.Err() != nil {
		return
	}
	counters.fenced.Add(1)
	jump := firstIncarnationStep << min(t.consecutiveFences.Add(1)-1, maxStepDoublings)
	next := max(rattanhoist.Incarnation(time.Now().UnixNano()), old.incarnation+rattanhoist.Incarnation(jump))
	t.options.Log.Warn("incarnation is fenced; going on under a new one",
		zap.Uint64("fenced", uint64(old.incarnation)), zap.Uint64("incarnation", uint64(next)))
	old.markFenced()
	t.startSession(next)
}

// tickLoop sends a Tick to every account once per TickInterval.
func (t *Treasurer) tickLoop() {
	tick := time.NewTicker(t.policy.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.background.Done():
			return
		case <-tick.C:
			for h := range t.session.Load().allAccounts() {
				h.lowTickSent.Store(false)
				t.step(h, Tick{})
			}
		}
	}
}

// step applies an event to an account and carries out the resulting actions.
func (t *Treasurer) step(h *managedAccount, e Event) {
	h.mu.Lock()
	actions := h.Step(time.Now(), e)
	if _, tick := e.(Tick); !tick {
		h.wake()
	}
	h.mu.Unlock()
	t.perform(h, actions)
}

// perform carries out actions and returns the result for a waiting request.
func (t *Treasurer) perform(h *managedAccount, actions []Action) (until time.Time, refusal *Shortage) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendLease:
			t.work.Go(func() { t.callLease(h, a) })
		case SendReturn:
			t.work.Go(func() { t.callReturn(h, a) })
		case Wait:
			until = a.Until
		case Refuse:
			refusal = a.Err
		case Retire:
			h.session.retire(h)
		}
	}
	return until, refusal
}

// handleLeaseReply applies a lease's reply. If a later vault has asked for
// this router's holdings meanwhile, it drops the reply and resends the lease
// to that vault.
func (t *Treasurer) handleLeaseReply(h *managedAccount, sequence uint64, r *messenger.LeaseReply) {
	h.mu.Lock()
	var e Event = Leased{Sequence: sequence, Reply: r}
	if r.VaultIncarnation > 0 && r.VaultIncarnation < t.newestVault.Load() {
		e = CallFailed{Sequence: sequence}
	}
	actions := h.Step(time.Now(), e)
	h.wake()
	h.mu.Unlock()
	t.perform(h, actions)
}

// Incarnation returns the current incarnation.
func (t *Treasurer) Incarnation() rattanhoist.Incarnation { return t.session.Load().incarnation }

// Held returns the leased and unspent rights of all workspaces.
func (t *Treasurer) Held() rattanhoist.Tokens {
	var n rattanhoist.Tokens
	for h := range t.session.Load().allAccounts() {
		n += h.slice.Available() + h.slice.Reserved()
	}
	return n
}

// Recall returns up to the wanted number of tokens to the keeper for another
// router to lease, and waits until the keeper has answered.
func (t *Treasurer) Recall(ctx context.Context, r *messenger.RecallRequest) (*messenger.RecallReply, error) {
	m := t.session.Load()
	out := &messenger.RecallReply{Incarnation: uint64(m.incarnation), AnsweredBeforeMs: m.answeredBefore()}
	h, ok := m.lookUp(r.Workspace)
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

// ReturnAll returns all unreserved rights for shutdown. It waits until the
// keeper has the returns and the charges, or until ctx ends.
func (t *Treasurer) ReturnAll(ctx context.Context) {
	m := t.session.Load()
	for h := range m.allAccounts() {
		t.step(h, Recall{Tokens: h.slice.Available()})
	}
	for h := range m.allAccounts() {
		h.awaitReturn(ctx)
		// A lease in progress may have added rights meanwhile.
		t.step(h, Recall{Tokens: h.slice.Available()})
		h.awaitReturn(ctx)
	}
	m.awaitCharges(ctx)
}

// Holdings reports this router's rights and charges to a keeper whose state
// may be outdated, and stores the keeper's solo commit.
func (t *Treasurer) Holdings(_ context.Context, r *messenger.HoldingsRequest) (*messenger.HoldingsReply, error) {
	for told := t.newestVault.Load(); r.AskingIncarnation > told; told = t.newestVault.Load() {
		t.newestVault.CompareAndSwap(told, r.AskingIncarnation)
	}
	m := t.session.Load()
	out := &messenger.HoldingsReply{Router: t.options.Router, Incarnation: uint64(m.incarnation)}
	m.fillHoldings(out)
	mark := t.soloMark.Load()
	out.VaultIncarnation, out.SoloCommit = mark.VaultIncarnation, mark.SoloCommit
	if r.SoloCommit > 0 {
		t.soloMark.Store(r)
	}
	return out, nil
}
