package messenger

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// plainDuration is how long calls are made without a stream after a keeper of an earlier version did
// not support it.
const plainDuration = 10 * time.Second

// spender is a client of a keeper of budgets that sends leases, returns and charges over one stream, so
// that the proof is made and checked once for all of them.
type spender struct {
	BudgetKeeperClient
	zone string
	ctx  context.Context
	work sync.WaitGroup
	// mu guards the fields below.
	mu sync.Mutex
	// current is the stream of the latest incarnation, or nil before the first call.
	current *spendStream
	// plainUntil is until when calls are made without a stream.
	plainUntil time.Time
	closed     bool
}

// NewSpender returns a client that sends leases, returns and charges over one stream. The stream is
// opened by the first call, and opened again after it broke. A call whose stream breaks fails like one
// whose connection breaks: its outcome is unknown. The returned function ends the stream and leaves k
// open.
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

// Lease requests rights.
func (s *spender) Lease(ctx context.Context, r *LeaseRequest, o ...grpc.CallOption) (*LeaseReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Lease(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Lease_FullMethodName, &SpendRequest{Call: &SpendRequest_Lease{Lease: &LeaseRequest{
		Workspace: r.Workspace, Sequence: r.Sequence, WantTokens: r.WantTokens, DemandTokensPerSecond: r.DemandTokensPerSecond,
	}}})
	return requireAnswer(out.GetLease(), s.recordSupport(err))
}

// Return returns rights.
func (s *spender) Return(ctx context.Context, r *ReturnRequest, o ...grpc.CallOption) (*ReturnReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Return(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Return_FullMethodName, &SpendRequest{Call: &SpendRequest_Return{Return: &ReturnRequest{
		Workspace: r.Workspace, Sequence: r.Sequence, Tokens: r.Tokens,
	}}})
	return requireAnswer(out.GetReturn(), s.recordSupport(err))
}

// Charge bills requests.
func (s *spender) Charge(ctx context.Context, r *ChargeRequest, o ...grpc.CallOption) (*ChargeReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Charge(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Charge_FullMethodName, &SpendRequest{Call: &SpendRequest_Charge{Charge: &ChargeRequest{Charges: r.Charges}}})
	return requireAnswer(out.GetCharge(), s.recordSupport(err))
}

// Witness stores charges for the keeper of the router's own zone.
func (s *spender) Witness(ctx context.Context, r *ChargeRequest, o ...grpc.CallOption) (*ChargeReply, error) {
	t := s.stream(r.Router, r.Incarnation)
	if t == nil {
		return s.BudgetKeeperClient.Witness(ctx, r, o...)
	}
	out, err := t.call(ctx, BudgetKeeper_Witness_FullMethodName, &SpendRequest{Call: &SpendRequest_Witness{Witness: &ChargeRequest{Charges: r.Charges}}})
	return requireAnswer(out.GetCharge(), s.recordSupport(err))
}

// requireAnswer returns an error if the answer of the keeper is of another type than the call.
func requireAnswer[M any](m *M, err error) (*M, error) {
	if err == nil && m == nil {
		err = status.Error(codes.Internal, "the keeper's answer is not one to the call")
	}
	return m, err
}

// recordSupport records whether the keeper supports the stream, by the error of a call. If it does not,
// the next calls are made without one.
func (s *spender) recordSupport(err error) error {
	if status.Code(err) == codes.Unimplemented {
		s.mu.Lock()
		s.plainUntil = time.Now().Add(plainDuration)
		s.mu.Unlock()
	}
	return err
}

// stream returns the stream of an incarnation, which is a new one after a break. It returns nil if the
// call is to be made without a stream: to a keeper of an earlier version, or for an earlier
// incarnation.
func (s *spender) stream(router string, incarnation uint64) *spendStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.current
	if s.closed || time.Now().Before(s.plainUntil) || t != nil && incarnation < t.opening.Incarnation {
		return nil
	}
	if t != nil && t.opening.Incarnation == incarnation && !t.hasEnded() {
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
