package router

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// leaseAhead is how many requests of the size at hand a lease asks for.
	leaseAhead = 4
	// retryPause is the pause between tries at a keeper.
	retryPause  = 50 * time.Millisecond
	callTimeout = 2 * time.Second
)

// errNotBilled says that the keeper refused a charge; the answer must not be
// completed.
var errNotBilled = merry.Sentinel("charge refused")

// purse is the router's slice of one workspace.
type purse struct {
	workspace string
	slice     budgeter.Slice
	// Mu serialises lease requests; Reserve does not take it.
	mu       sync.Mutex
	sequence uint64
}

// treasurer leases, settles and bills for the whole router.
type treasurer struct {
	router      string
	incarnation rattanhoist.Incarnation
	keeper      messenger.BudgetKeeperClient
	// Purses maps workspace names to *purse; only those with traffic.
	purses sync.Map
}

func (t *treasurer) purse(workspace string) *purse {
	p, ok := t.purses.Load(workspace)
	if !ok {
		p, _ = t.purses.LoadOrStore(workspace, &purse{workspace: workspace})
	}
	return p.(*purse)
}

// reserve sets n tokens aside, leasing more where the slice holds too few.
func (t *treasurer) reserve(ctx context.Context, workspace string, n rattanhoist.Tokens) (*purse, error) {
	p := t.purse(workspace)
	if p.slice.Reserve(n) {
		return p, nil
	}
	return p, t.leaseAndReserve(ctx, p, n)
}

func (t *treasurer) leaseAndReserve(ctx context.Context, p *purse, n rattanhoist.Tokens) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slice.Reserve(n) {
		return nil
	}
	r, err := t.lease(ctx, p, n-p.slice.Left()+(leaseAhead-1)*n)
	if err != nil {
		return rattanhoist.ErrBudgetOutOfReach
	}
	p.slice.Grant(rattanhoist.Tokens(r.GrantedTokens))
	if p.slice.Reserve(n) {
		return nil
	}
	if len(r.UnreachableZones) > 0 {
		return rattanhoist.ErrBudgetOutOfReach
	}
	return rattanhoist.ErrBudgetSpent
}

// lease resends under one sequence until the keeper answers, so that a lost
// answer does not strand the rights it granted.
func (t *treasurer) lease(ctx context.Context, p *purse, want rattanhoist.Tokens) (*messenger.LeaseReply, error) {
	p.sequence++
	r := &messenger.LeaseRequest{
		Workspace: p.workspace, Router: t.router, Incarnation: uint64(t.incarnation),
		Sequence: p.sequence, WantTokens: int64(want),
	}
	return resend(ctx, func(ctx context.Context) (*messenger.LeaseReply, error) { return t.keeper.Lease(ctx, r) })
}

// bill makes a charge durable; it returns the tokens billed.
func (t *treasurer) bill(ctx context.Context, c *messenger.Charge) (rattanhoist.Tokens, error) {
	r := &messenger.ChargeRequest{Router: t.router, Incarnation: uint64(t.incarnation), Charges: []*messenger.Charge{c}}
	out, err := resend(ctx, func(ctx context.Context) (*messenger.ChargeReply, error) { return t.keeper.Charge(ctx, r) })
	if err != nil {
		return 0, err
	}
	if s := out.Results[0].State; s != messenger.ChargeState_CHARGE_STATE_BILLED {
		return 0, merry.Errorf("%w: %s", errNotBilled, s)
	}
	return rattanhoist.Tokens(out.Results[0].BilledTokens), nil
}

// recall returns up to the wanted rights to the keeper.
func (t *treasurer) recall(ctx context.Context, r *messenger.RecallRequest) (*messenger.RecallReply, error) {
	v, ok := t.purses.Load(r.Workspace)
	if !ok {
		return &messenger.RecallReply{}, nil
	}
	n := t.returnRights(ctx, v.(*purse), rattanhoist.Tokens(r.WantTokens))
	return &messenger.RecallReply{ReturningTokens: int64(n)}, nil
}

// returnRights gives up to n unreserved tokens back to the keeper.
func (t *treasurer) returnRights(ctx context.Context, p *purse, n rattanhoist.Tokens) rattanhoist.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = p.slice.Withdraw(n)
	p.sequence++
	_, _ = resend(ctx, func(ctx context.Context) (*messenger.ReturnReply, error) {
		return t.keeper.Return(ctx, &messenger.ReturnRequest{
			Workspace: p.workspace, Router: t.router, Incarnation: uint64(t.incarnation),
			Sequence: p.sequence, Tokens: int64(n),
		})
	})
	return n
}

// giveBack returns what is not reserved, at shutdown.
func (t *treasurer) giveBack(ctx context.Context) {
	t.purses.Range(func(_, v any) bool {
		p := v.(*purse)
		t.returnRights(ctx, p, p.slice.Left())
		return true
	})
}

// resend calls until an answer comes that a resend would not change.
func resend[R any](ctx context.Context, f func(context.Context) (R, error)) (R, error) {
	for {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := f(c)
		cancel()
		if !transient(err) {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, err
		case <-time.After(retryPause):
		}
	}
}

func transient(err error) bool {
	c := status.Code(err)
	return c == codes.Unavailable || c == codes.DeadlineExceeded
}
