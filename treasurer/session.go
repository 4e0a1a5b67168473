package treasurer

import (
	"context"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracer"
)

// session holds the state of one incarnation.
type session struct {
	incarnation rattanhoist.Incarnation
	policy      *Policy
	// registered is closed when the keeper has accepted the incarnation.
	registered chan struct{}
	// fenced is closed when the keeper has fenced the incarnation.
	fenced chan struct{}
	// accounts maps workspaces with traffic to their *managedAccount.
	accounts sync.Map
	// mu guards the fields below. Requests take it to charge, not to reserve.
	mu            sync.Mutex
	retiredTotals map[string]Totals
	// outbox and charges hold the charges in progress.
	outbox  *Outbox
	charges map[rattanhoist.RequestKey]*pendingCharge
	// chargeAdded wakes resendLoop.
	chargeAdded chan struct{}
}

func newSession(i rattanhoist.Incarnation, p *Policy) *session {
	return &session{
		incarnation: i, policy: p,
		registered: make(chan struct{}), fenced: make(chan struct{}), chargeAdded: make(chan struct{}, 1),
		retiredTotals: map[string]Totals{}, outbox: NewOutbox(p), charges: map[rattanhoist.RequestKey]*pendingCharge{},
	}
}

// markFenced ends the session and wakes its waiting requests.
func (m *session) markFenced() {
	close(m.fenced)
	for h := range m.allAccounts() {
		h.mu.Lock()
		h.wake()
		h.mu.Unlock()
	}
}

func (m *session) answeredBefore() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outbox.AnsweredBefore(time.Now())
}

func (m *session) setEarliestCharge(ms int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outbox.SetEarliestCharge(ms)
}

func (m *session) isFenced() bool {
	select {
	case <-m.fenced:
		return true
	default:
		return false
	}
}

// managedAccount is an account with the synchronization that Treasurer needs.
type managedAccount struct {
	*Account
	session *session
	// mu guards Step and the fields below. A request takes it only when the
	// slice holds too few rights.
	mu sync.Mutex
	// changed is closed and replaced on every change that may end a wait.
	changed chan struct{}
	// waitingTokens is the total size of all waiting requests.
	waitingTokens rattanhoist.Tokens
	retired       bool
	// waiters is the number of waiting requests.
	waiters atomic.Int32
	// lowTickSent limits the refills triggered by requests to one per tick.
	lowTickSent atomic.Bool
	// trace is the trace of the latest request that waited for a lease.
	trace atomic.Pointer[tracer.Link]
}

// wake makes all waiting requests check again. The caller holds mu.
func (h *managedAccount) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (m *session) lookUp(workspace string) (*managedAccount, bool) {
	v, ok := m.accounts.Load(workspace)
	if !ok {
		return nil, false
	}
	return v.(*managedAccount), true
}

// account returns the account of a workspace. A new account continues from
// the totals of a retired one.
func (m *session) account(workspace string) *managedAccount {
	if h, ok := m.lookUp(workspace); ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.lookUp(workspace); ok {
		return h
	}
	a := NewAccount(workspace, m.policy, time.Now(), m.retiredTotals[workspace])
	h := &managedAccount{Account: a, session: m, changed: make(chan struct{})}
	delete(m.retiredTotals, workspace)
	m.accounts.Store(workspace, h)
	counters.active.Add(1)
	return h
}

// retire removes an account without rights and keeps its totals.
func (m *session) retire(h *managedAccount) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	busy := h.waiters.Load() > 0 || h.openCall() != nil || h.slice.Available() > 0 || h.slice.Reserved() > 0
	if busy || h.retired {
		return
	}
	h.retired = true
	m.retiredTotals[h.Workspace()] = h.Totals()
	m.accounts.Delete(h.Workspace())
	counters.active.Add(-1)
}

func (m *session) allAccounts() iter.Seq[*managedAccount] {
	return func(yield func(*managedAccount) bool) {
		m.accounts.Range(func(_, v any) bool { return yield(v.(*managedAccount)) })
	}
}

// awaitReturn waits until the keeper has answered the pending return.
func (h *managedAccount) awaitReturn(ctx context.Context) {
	for {
		h.mu.Lock()
		open, changed := h.pendingReturn != nil, h.changed
		h.mu.Unlock()
		if !open {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-h.session.fenced:
			return
		}
	}
}

// fillHoldings adds the session's accounts and charges to a reply. A grant
// whose answer was lost is missing; the keeper detects this because its own
// sequence is higher.
func (m *session) fillHoldings(out *messenger.HoldingsReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.retiredTotals {
		out.Holdings = append(out.Holdings, &messenger.Holding{
			Workspace: name, Sequence: r.sequence,
			GrantedTokens: int64(r.granted), ReturnedTokens: int64(r.withdrawn),
		})
	}
	for h := range m.allAccounts() {
		h.mu.Lock()
		out.Holdings = append(out.Holdings, h.Holding())
		h.mu.Unlock()
	}
	out.Charges = m.outbox.Pending()
}

// Holding reports the tokens granted and returned up to the last answered
// sequence, and the tokens that may still be charged. It omits an unanswered
// return: a keeper that rebuilds its state from this report would count the
// resend as a second return and grant the rights to another router.
func (a *Account) Holding() *messenger.Holding {
	returned := a.slice.Withdrawn()
	if a.pendingReturn != nil {
		returned -= a.pendingReturn.tokens
	}
	return &messenger.Holding{
		Workspace: a.workspace, Sequence: a.acknowledged,
		GrantedTokens: int64(a.slice.Granted()), ReturnedTokens: int64(returned),
		OutstandingTokens: int64(a.slice.Granted() - returned - a.slice.Spent()),
	}
}
