package keeper

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// resendEvery is the pause between resends of unconfirmed transfers.
const resendEvery = 200 * time.Millisecond

// budgetServer serves the budget protocol from the zone's vault.
type budgetServer struct {
	messenger.UnimplementedBudgetKeeperServer
	keeper *Keeper
	loop   *vaultLoop
}

func newBudgetServer(k *Keeper) (*budgetServer, error) {
	l, err := newVaultLoop(k.self.Zone(), k.store)
	if err != nil {
		return nil, err
	}
	return &budgetServer{keeper: k, loop: l}, nil
}

func (s *budgetServer) run(ctx context.Context) error {
	go s.resend(ctx)
	return s.loop.run(ctx)
}

// resend pushes transfers until the other zone has them on disk: without it a
// lost answer would leave rights in transfer for ever.
func (s *budgetServer) resend(ctx context.Context) {
	t := time.NewTicker(resendEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.resendOnce(ctx)
		}
	}
}

func (s *budgetServer) resendOnce(ctx context.Context) {
	byZone := map[string]*messenger.GiveRequest{}
	_ = s.loop.read(ctx, func(v *budgeter.Vault) {
		for _, t := range v.Pending() {
			if byZone[t.ToZone] == nil {
				byZone[t.ToZone] = &messenger.GiveRequest{}
			}
			byZone[t.ToZone].Transfers = append(byZone[t.ToZone].Transfers, t)
		}
	})
	for zone, r := range byZone {
		p, ok := s.keeper.peers.zone(zone)
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		got, err := p.budget().Give(ctx, r)
		cancel()
		if err == nil {
			_, _ = s.loop.step(ctx, budgeter.Confirm{TransferIDs: got.AcceptedIds})
		}
	}
}

// TopUp mints in the zone that the identity names, forwarding to it.
func (s *budgetServer) TopUp(ctx context.Context, r *messenger.TopUpRequest) (*messenger.TopUpReply, error) {
	known, err := s.keeper.config.hasWorkspace(ctx, r.Workspace)
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, status.Errorf(codes.NotFound, "workspace: %q does not exist", r.Workspace)
	}
	zone, ok := rattanhoist.TopUpZone(r.TopUpId)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "top_up_id: %q: want ZONE/UNIQUE", r.TopUpId)
	}
	if zone == s.keeper.self.Zone() {
		return answer[*messenger.TopUpReply](s.loop.step(ctx, budgeter.Mint{Request: r}))
	}
	p, ok := s.keeper.peers.zone(zone)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "top_up_id: %q: no availability zone %q", r.TopUpId, zone)
	}
	out, err := p.budget().TopUp(ctx, r)
	if c := status.Code(err); c == codes.Unavailable || c == codes.DeadlineExceeded {
		return nil, status.Errorf(codes.Unavailable, "outcome unknown: zone %s does not answer; resend under the same id %s", zone, r.TopUpId)
	}
	return out, err
}

// Lease grants rights to a router, asking the other zones where this one
// holds too few.
func (s *budgetServer) Lease(ctx context.Context, r *messenger.LeaseRequest) (*messenger.LeaseReply, error) {
	var unspent int64
	err := s.loop.read(ctx, func(v *budgeter.Vault) { unspent = v.Book(r.Workspace).UnspentTokens })
	if err != nil {
		return nil, err
	}
	var silent []string
	var elsewhere int64
	if unspent < r.WantTokens {
		silent, elsewhere = s.gather(ctx, r.Workspace, r.WantTokens-unspent)
	}
	out, err := answer[*messenger.LeaseReply](s.loop.step(ctx, budgeter.Lease{Request: r}))
	if err != nil {
		return nil, err
	}
	out.UnreachableZones = silent
	out.ElsewhereTokens = elsewhere
	return out, nil
}

// gather asks the other zones in turn until they have given n tokens.
func (s *budgetServer) gather(ctx context.Context, workspace string, n int64) (silent []string, elsewhere int64) {
	for _, p := range s.keeper.peers.list {
		if n <= 0 {
			return silent, elsewhere
		}
		got, err := s.ask(ctx, p, &messenger.AskRequest{Workspace: workspace, Zone: s.keeper.self.Zone(), WantTokens: n})
		if err != nil {
			silent = append(silent, p.process.Zone())
			continue
		}
		elsewhere += got.LeftTokens
		n -= got.GetTransfer().GetTokens()
	}
	return silent, elsewhere
}

func (s *budgetServer) ask(ctx context.Context, p peer, r *messenger.AskRequest) (*messenger.AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := p.budget().Ask(ctx, r)
	if err != nil || out.Transfer == nil {
		return out, err
	}
	_, err = s.Give(ctx, &messenger.GiveRequest{Transfers: []*messenger.Transfer{out.Transfer}})
	return out, err
}

// Charge bills requests; the answer means that the bills are synced.
func (s *budgetServer) Charge(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	return answer[*messenger.ChargeReply](s.loop.step(ctx, budgeter.Bill{Request: r}))
}

// Return takes rights back from a router.
func (s *budgetServer) Return(ctx context.Context, r *messenger.ReturnRequest) (*messenger.ReturnReply, error) {
	return answer[*messenger.ReturnReply](s.loop.step(ctx, budgeter.Return{Request: r}))
}

// Fence ends a router's incarnations.
func (s *budgetServer) Fence(ctx context.Context, r *messenger.FenceRequest) (*messenger.FenceReply, error) {
	return answer[*messenger.FenceReply](s.loop.step(ctx, budgeter.Fence{Request: r}))
}

// Ask transfers rights to another zone.
func (s *budgetServer) Ask(ctx context.Context, r *messenger.AskRequest) (*messenger.AskReply, error) {
	return answer[*messenger.AskReply](s.loop.step(ctx, budgeter.Ask{Request: r}))
}

// Give takes transfers from another zone.
func (s *budgetServer) Give(ctx context.Context, r *messenger.GiveRequest) (*messenger.GiveReply, error) {
	return answer[*messenger.GiveReply](s.loop.step(ctx, budgeter.Receive{Request: r}))
}

// Books returns the accounts of a workspace in every zone that answers.
func (s *budgetServer) Books(ctx context.Context, r *messenger.BookRequest) (*messenger.BookReply, error) {
	out := &messenger.BookReply{}
	err := s.loop.read(ctx, func(v *budgeter.Vault) { out.Books = append(out.Books, v.Book(r.Workspace)) })
	if err != nil || r.Local {
		return out, err
	}
	others := make(chan *messenger.Book, len(s.keeper.peers.list))
	failed := s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		got, err := p.budget().Books(ctx, &messenger.BookRequest{Workspace: r.Workspace, Local: true})
		if err == nil && len(got.Books) > 0 {
			others <- got.Books[0]
		}
		return err
	})
	close(others)
	for b := range others {
		out.Books = append(out.Books, b)
	}
	out.UnreachableZones = zonesOf(failed)
	return out, nil
}

// Charges returns the bills of a workspace from every zone that answers.
func (s *budgetServer) Charges(ctx context.Context, r *messenger.ChargesRequest) (*messenger.ChargesReply, error) {
	out := &messenger.ChargesReply{}
	err := s.loop.read(ctx, func(v *budgeter.Vault) { out.Charges = v.Charges(r.Workspace, r.RequestId) })
	if err != nil || r.Local {
		return out, err
	}
	others := make(chan []*messenger.Charge, len(s.keeper.peers.list))
	local := proto.CloneOf(r)
	local.Local = true
	failed := s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		got, err := p.budget().Charges(ctx, local)
		others <- got.GetCharges()
		return err
	})
	close(others)
	for c := range others {
		out.Charges = append(out.Charges, c...)
	}
	out.UnreachableZones = zonesOf(failed)
	return out, nil
}

func zonesOf(peers []peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.process.Zone())
	}
	return out
}

// answer turns a vault's reply into the types and codes of the wire.
func answer[M proto.Message](m proto.Message, err error) (M, error) {
	var none M
	if err != nil {
		return none, status.Error(codeOf(err), err.Error())
	}
	out, ok := m.(M)
	if !ok {
		zap.L().DPanic("vault replied with the wrong type", zap.Any("reply", m))
		return none, status.Error(codes.Internal, "vault replied with the wrong type")
	}
	return out, nil
}

func codeOf(err error) codes.Code {
	switch {
	case errors.Is(err, budgeter.ErrAmount), errors.Is(err, budgeter.ErrWrongZone):
		return codes.InvalidArgument
	case errors.Is(err, budgeter.ErrTopUpReused):
		return codes.AlreadyExists
	case errors.Is(err, budgeter.ErrFenced):
		return codes.FailedPrecondition
	case errors.Is(err, context.DeadlineExceeded):
		return codes.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		return codes.Canceled
	default:
		return codes.Unavailable
	}
}
