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

// term is one incarnation with all that it holds.
type term struct {
	incarnation rattanhoist.Incarnation
	policy      *Policy
	// Registered is closed when the keeper knows the incarnation.
	registered chan struct{}
	// Ended is closed when the incarnation was fenced.
	ended chan struct{}
	// Accounts maps workspaces to *holder; only those with traffic.
	accounts sync.Map
	// Mu guards the fields below; requests take it to bill, not to reserve.
	mu    sync.Mutex
	rests map[string]Rest
	// Outbox and bills hold the charges in progress.
	outbox *Outbox
	bills  map[rattanhoist.RequestKey]*bill
	// Added wakes the pump.
	added chan struct{}
}

func newTerm(i rattanhoist.Incarnation, p *Policy) *term {
	return &term{
		incarnation: i, policy: p,
		registered: make(chan struct{}), ended: make(chan struct{}), added: make(chan struct{}, 1),
		rests: map[string]Rest{}, outbox: NewOutbox(p), bills: map[rattanhoist.RequestKey]*bill{},
	}
}

func (m *term) end() {
	close(m.ended)
	for h := range m.holders() {
		h.mu.Lock()
		h.wake()
		h.mu.Unlock()
	}
}

func (m *term) answeredBefore() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outbox.AnsweredBefore(time.Now())
}

func (m *term) notBefore(ms int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outbox.NotBefore(ms)
}

func (m *term) over() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// holder is an account with what its shell needs.
type holder struct {
	*Account
	term *term
	// Mu guards Step and the fields below; a request takes it only when the
	// slice runs dry.
	mu sync.Mutex
	// Changed is closed and replaced at every change that may end a wait.
	changed chan struct{}
	// Wanted is the sum of all requests that wait.
	wanted  rattanhoist.Tokens
	retired bool
	// Waiters is the number of requests that wait.
	waiters atomic.Int32
	// Poked limits the looks of requests at a low slice to one a tick.
	poked atomic.Bool
	// Trace is that of the latest request that waited for a lease.
	trace atomic.Pointer[tracer.Link]
}

// wake lets every waiting request look again; the caller holds mu.
func (h *holder) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (m *term) find(workspace string) (*holder, bool) {
	v, ok := m.accounts.Load(workspace)
	if !ok {
		return nil, false
	}
	return v.(*holder), true
}

// holder returns the account of a workspace, going on from what it left.
func (m *term) holder(workspace string) *holder {
	if h, ok := m.find(workspace); ok {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.find(workspace); ok {
		return h
	}
	a := NewAccount(workspace, m.policy, time.Now(), m.rests[workspace])
	h := &holder{Account: a, term: m, changed: make(chan struct{})}
	delete(m.rests, workspace)
	m.accounts.Store(workspace, h)
	counters.active.Add(1)
	return h
}

// retire forgets an account that holds nothing but its totals.
func (m *term) retire(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	busy := h.waiters.Load() > 0 || h.pending() != nil || h.slice.Left() > 0 || h.slice.Reserved() > 0
	if busy || h.retired {
		return
	}
	h.retired = true
	m.rests[h.Workspace()] = h.Rest()
	m.accounts.Delete(h.Workspace())
	counters.active.Add(-1)
}

func (m *term) holders() iter.Seq[*holder] {
	return func(yield func(*holder) bool) {
		m.accounts.Range(func(_, v any) bool { return yield(v.(*holder)) })
	}
}

// awaitReturn waits until no return is unanswered.
func (h *holder) awaitReturn(ctx context.Context) {
	for {
		h.mu.Lock()
		open, changed := h.back != nil, h.changed
		h.mu.Unlock()
		if !open {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-h.term.ended:
			return
		}
	}
}

// describe fills in what the term holds. A grant whose answer is lost is not
// in it: the keeper finds that its own sequence is newer.
func (m *term) describe(out *messenger.HoldingsReply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, r := range m.rests {
		out.Holdings = append(out.Holdings, &messenger.Holding{
			Workspace: name, Sequence: r.sequence,
			GrantedTokens: int64(r.granted), ReturnedTokens: int64(r.withdrawn),
		})
	}
	for h := range m.holders() {
		h.mu.Lock()
		out.Holdings = append(out.Holdings, h.Holding())
		h.mu.Unlock()
	}
	out.Charges = m.outbox.Pending()
}

// Holding is the account's proof: what it was granted and gave back up to the
// sequence whose answer it has, and what it may still charge. A return whose
// answer is lost is not in it: the keeper that takes this proof would count
// the resend as a second one, and grant the rights to another router.
func (a *Account) Holding() *messenger.Holding {
	returned := a.slice.Withdrawn()
	if a.back != nil {
		returned -= a.back.tokens
	}
	return &messenger.Holding{
		Workspace: a.workspace, Sequence: a.acknowledged,
		GrantedTokens: int64(a.slice.Granted()), ReturnedTokens: int64(returned),
		OutstandingTokens: int64(a.slice.Granted() - returned - a.slice.Spent()),
	}
}
