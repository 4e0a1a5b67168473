package messenger

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/tracer"
)

// maxConcurrentSpends is the maximum number of leases, and of other calls, of one stream that are
// served at a time. Further leases wait; there is at most one for each workspace of the router.
// Further other calls are not read.
const maxConcurrentSpends = 256

// spendServer serves the stream of one router.
type spendServer struct {
	keeper  BudgetKeeperServer
	stream  BudgetKeeper_SpendServer
	opening *SpendOpening
	// slots and leaseSlots limit the calls served at a time. Leases have slots of their own: they wait
	// for other zones, half a second for each request to one that is partitioned, and would delay
	// every charge, and with it the end of every answer.
	slots, leaseSlots chan struct{}
	// sending guards the stream's sends.
	sending sync.Mutex
}

// ServeSpend serves the calls of a stream with the keeper's own methods until the stream ends. All
// calls count as those of the router that opened the stream, which must be the node that proved its
// membership.
func ServeSpend(k BudgetKeeperServer, stream BudgetKeeper_SpendServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	o := first.GetOpening()
	if o == nil {
		return status.Error(codes.InvalidArgument, "opening: the first message of a stream must have it")
	}
	if node := provedNode(stream.Context()); o.Router != node {
		return status.Errorf(codes.PermissionDenied, "opening: router: %q has proved to be %q", o.Router, node)
	}
	s := &spendServer{keeper: k, stream: stream, opening: o, slots: make(chan struct{}, maxConcurrentSpends), leaseSlots: make(chan struct{}, maxConcurrentSpends)}
	var work sync.WaitGroup
	defer work.Wait()
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.GetLease() != nil {
			// It waits for its slot in lease, so that the calls behind it are read.
			work.Go(func() { s.serve(r) })
			continue
		}
		if err := acquireSlot(stream.Context(), s.slots); err != nil {
			return err
		}
		work.Go(func() {
			defer releaseSlot(s.slots)
			s.serve(r)
		})
	}
}

// acquireSlot acquires a slot, or returns the error of the context.
func acquireSlot(ctx context.Context, places chan struct{}) error {
	select {
	case places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// releaseSlot releases a slot.
func releaseSlot(places chan struct{}) { <-places }

// provedNode returns the name of the node whose proof was checked for a call.
func provedNode(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	return first(md, nodeHeader)
}

// serve serves one call and sends its answer.
func (s *spendServer) serve(r *SpendRequest) {
	ctx := s.stream.Context()
	if r.WaitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond)
		defer cancel()
	}
	method := methodOf(r)
	ctx, span := tracer.StartServerSpan(ctx, method, r.Traceparent)
	out, err := s.answer(ctx, r)
	span.End(err)
	if count(method, err) != nil {
		f := status.Convert(err)
		out = &SpendReply{Answer: &SpendReply_Failure{Failure: &SpendFailure{Code: uint32(f.Code()), Message: f.Message()}}}
	}
	out.Number = r.Number
	s.sending.Lock()
	defer s.sending.Unlock()
	// After an error, the stream has ended and its reader returns.
	_ = s.stream.Send(out)
}

// methodOf returns the gRPC method that a call on the stream stands for.
func methodOf(r *SpendRequest) string {
	switch r.Call.(type) {
	case *SpendRequest_Lease:
		return BudgetKeeper_Lease_FullMethodName
	case *SpendRequest_Return:
		return BudgetKeeper_Return_FullMethodName
	case *SpendRequest_Charge:
		return BudgetKeeper_Charge_FullMethodName
	case *SpendRequest_Witness:
		return BudgetKeeper_Witness_FullMethodName
	default:
		return BudgetKeeper_Spend_FullMethodName
	}
}

// answer calls the keeper as the router that opened the stream, whatever sender the message states.
func (s *spendServer) answer(ctx context.Context, r *SpendRequest) (*SpendReply, error) {
	o := s.opening
	switch c := r.Call.(type) {
	case *SpendRequest_Lease:
		c.Lease.Router, c.Lease.Incarnation = o.Router, o.Incarnation
		m, err := s.lease(ctx, c.Lease)
		return &SpendReply{Answer: &SpendReply_Lease{Lease: m}}, err
	case *SpendRequest_Return:
		c.Return.Router, c.Return.Incarnation = o.Router, o.Incarnation
		m, err := s.keeper.Return(ctx, c.Return)
		return &SpendReply{Answer: &SpendReply_Return{Return: m}}, err
	case *SpendRequest_Charge:
		s.setSender(c.Charge)
		m, err := s.keeper.Charge(ctx, c.Charge)
		return &SpendReply{Answer: &SpendReply_Charge{Charge: m}}, err
	case *SpendRequest_Witness:
		s.setSender(c.Witness)
		m, err := s.keeper.Witness(ctx, c.Witness)
		return &SpendReply{Answer: &SpendReply_Charge{Charge: m}}, err
	default:
		return nil, status.Error(codes.Unimplemented, "call: this keeper does not know it")
	}
}

// lease serves a lease once there is a slot for it.
func (s *spendServer) lease(ctx context.Context, r *LeaseRequest) (*LeaseReply, error) {
	if err := acquireSlot(ctx, s.leaseSlots); err != nil {
		return nil, err
	}
	defer releaseSlot(s.leaseSlots)
	return s.keeper.Lease(ctx, r)
}

// setSender makes a charge that of the router that opened the stream.
func (s *spendServer) setSender(r *ChargeRequest) {
	r.Router, r.Incarnation, r.Zone = s.opening.Router, s.opening.Incarnation, s.opening.Zone
}
