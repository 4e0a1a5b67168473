package messenger

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// plainFor is how long calls go one by one after a keeper of an earlier
// version did not know the stream.
const plainFor = 10 * time.Second

// spender is a keeper of budgets whose leases, returns and charges share one
// stream, so that their proof is made and checked once and not with each.
type spender struct {
	BudgetKeeperClient
	zone string
	ctx  context.Context
	work sync.WaitGroup
	// Mu guards the fields below.
	mu sync.Mutex
	// Current is the stream of the latest incarnation, nil before the first
	// call.
	current    *spendStream
	plainUntil time.Time
	closed     bool
}

// NewSpender returns a keeper that carries leases, returns and charges over
// one stream, opened by the first call and again after it broke. A call whose
// stream breaks fails as one whose connection broke: its outcome is not known.
// The returned function ends the stream and leaves k open.
func NewSpender(k BudgetKeeperClient, zone string) (BudgetKeeperClient, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &spender{BudgetKeeperClient: k, zone: zone, ctx: ctx}
	return s, func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		cancel()
		s.work.Wait()
	}
}

// Lease asks for rights.
func (s *spender) Lease(ctx context.Context, r *LeaseRequest, o ...grpc.CallOption) (*LeaseReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Lease(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Lease_FullMethodName, &SpendRequest{Call: &SpendRequest_Lease{Lease: &LeaseRequest{
		Workspace: r.Workspace, Sequence: r.Sequence, WantTokens: r.WantTokens, DemandTokensPerSecond: r.DemandTokensPerSecond,
	}}})
	return typed(out.GetLease(), s.noted(err))
}

// Return gives rights back.
func (s *spender) Return(ctx context.Context, r *ReturnRequest, o ...grpc.CallOption) (*ReturnReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Return(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Return_FullMethodName, &SpendRequest{Call: &SpendRequest_Return{Return: &ReturnRequest{
		Workspace: r.Workspace, Sequence: r.Sequence, Tokens: r.Tokens,
	}}})
	return typed(out.GetReturn(), s.noted(err))
}

// Charge bills requests.
func (s *spender) Charge(ctx context.Context, r *ChargeRequest, o ...grpc.CallOption) (*ChargeReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Charge(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Charge_FullMethodName, &SpendRequest{Call: &SpendRequest_Charge{Charge: &ChargeRequest{Charges: r.Charges}}})
	return typed(out.GetCharge(), s.noted(err))
}

// Witness stores charges for the keeper of the router's own zone.
func (s *spender) Witness(ctx context.Context, r *ChargeRequest, o ...grpc.CallOption) (*ChargeReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Witness(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Witness_FullMethodName, &SpendRequest{Call: &SpendRequest_Witness{Witness: &ChargeRequest{Charges: r.Charges}}})
	return typed(out.GetCharge(), s.noted(err))
}

// typed fails where the keeper has answered with something else.
func typed[M any](m *M, err error) (*M, error) {
	if err == nil && m == nil {
		err = status.Error(codes.Internal, "the keeper's answer is not one to the call")
	}
	return m, err
}

// noted remembers a keeper that does not know the stream; the same call made
// again goes to it plain.
func (s *spender) noted(err error) error {
	if status.Code(err) == codes.Unimplemented {
		s.mu.Lock()
		s.plainUntil = time.Now().Add(plainFor)
		s.mu.Unlock()
	}
	return err
}

// stream returns the stream of an incarnation, a new one where it broke, or
// nil where the call is to go plain: to a keeper of an earlier version, and
// for what an earlier incarnation has left.
func (s *spender) stream(router string, incarnation uint64) *spendStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.current
	if s.closed || time.Now().Before(s.plainUntil) || t != nil && incarnation < t.opening.Incarnation {
		return nil
	}
	if t != nil && t.opening.Incarnation == incarnation && !t.over() {
		return t
	}
	if t != nil {
		t.end(status.Error(codes.Unavailable, "the router goes on under another incarnation"))
	}
	t = newSpendStream(&SpendOpening{Router: router, Incarnation: incarnation, Zone: s.zone})
	s.current = t
	s.work.Go(func() { t.run(s.ctx, s.BudgetKeeperClient) })
	return t
}
