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

// spendMost bounds the calls of one stream that are served at once, leases and
// others each. More leases wait, as many as the router has workspaces: it has
// one open for each. More of the others wait unread.
const spendMost = 256

// spendServer serves one router's stream.
type spendServer struct {
	keeper  BudgetKeeperServer
	stream  BudgetKeeper_SpendServer
	opening *SpendOpening
	// Places and leasePlaces have a place for each call that is served. Leases
	// wait for other zones, half a second for each question to one that is cut
	// off: in the same places they would hold up every charge, and with it the
	// end of every answer.
	places, leasePlaces chan struct{}
	// Sending guards the stream's sends.
	sending sync.Mutex
}

// ServeSpend answers the calls of a stream by the keeper's own methods, until
// the stream ends. All are made as the router that opened it, and that is the
// node whose proof came with the stream.
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
	s := &spendServer{keeper: k, stream: stream, opening: o, places: make(chan struct{}, spendMost), leasePlaces: make(chan struct{}, spendMost)}
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
			// It waits for its place in lease, and not here.
			work.Go(func() { s.serve(r) })
			continue
		}
		if err := enter(stream.Context(), s.places); err != nil {
			return err
		}
		work.Go(func() {
			defer leave(s.places)
			s.serve(r)
		})
	}
}

// enter takes a place, or fails with the context.
func enter(ctx context.Context, places chan struct{}) error {
	select {
	case places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

func leave(places chan struct{}) { <-places }

// provedNode returns the name that the checked proof of a call is for.
func provedNode(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	return first(md, nodeHeader)
}

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
	// Where it fails, the stream has ended, and its reader hears of it.
	_ = s.stream.Send(out)
}

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

// answer fills in whose call it is: what a message on the stream says of that
// does not count.
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
		s.own(c.Charge)
		m, err := s.keeper.Charge(ctx, c.Charge)
		return &SpendReply{Answer: &SpendReply_Charge{Charge: m}}, err
	case *SpendRequest_Witness:
		s.own(c.Witness)
		m, err := s.keeper.Witness(ctx, c.Witness)
		return &SpendReply{Answer: &SpendReply_Charge{Charge: m}}, err
	default:
		return nil, status.Error(codes.Unimplemented, "call: this keeper does not know it")
	}
}

func (s *spendServer) lease(ctx context.Context, r *LeaseRequest) (*LeaseReply, error) {
	if err := enter(ctx, s.leasePlaces); err != nil {
		return nil, err
	}
	defer leave(s.leasePlaces)
	return s.keeper.Lease(ctx, r)
}

func (s *spendServer) own(r *ChargeRequest) {
	r.Router, r.Incarnation, r.Zone = s.opening.Router, s.opening.Incarnation, s.opening.Zone
}
