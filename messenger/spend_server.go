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

// spendMost bounds the calls of one stream that are served at once; more wait
// unread.
const spendMost = 256

// spendServer serves one router's stream.
type spendServer struct {
	keeper  BudgetKeeperServer
	stream  BudgetKeeper_SpendServer
	opening *SpendOpening
	places  chan struct{}
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
	s := &spendServer{keeper: k, stream: stream, opening: o, places: make(chan struct{}, spendMost)}
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
		select {
		case s.places <- struct{}{}:
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
		work.Go(func() { s.serve(r) })
	}
}

// provedNode returns the name that the checked proof of a call is for.
func provedNode(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	return first(md, nodeHeader)
}

func (s *spendServer) serve(r *SpendRequest) {
	defer func() { <-s.places }()
	ctx := s.stream.Context()
	if r.WaitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond)
		defer cancel()
	}
	method := methodOf(r)
	ctx, span := tracer.BeginServed(ctx, method, r.Traceparent)
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
		m, err := s.keeper.Lease(ctx, c.Lease)
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

func (s *spendServer) own(r *ChargeRequest) {
	r.Router, r.Incarnation, r.Zone = s.opening.Router, s.opening.Incarnation, s.opening.Zone
}
