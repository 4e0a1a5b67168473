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
	"rattanhoist.example/rattanhoist/storer"
)

// budgetServer serves the budget protocol from the vault of this zone.
type budgetServer struct {
	messenger.UnimplementedBudgetKeeperServer
	keeper *Keeper
	loop   *vaultLoop
	sender mirrorSender
	copies *copyStore
	shares *shares
	// monitor is used only by the goroutine of runMaintenance.
	monitor routerMonitor
	pruner  *pruner
}

func newBudgetServer(k *Keeper) *budgetServer {
	sender := newMirrorSender(k.peers)
	s := &budgetServer{
		keeper: k, sender: sender, shares: newShares(),
		loop:    newVaultLoop(k.self.Zone(), k.store, sender, k.log),
		copies:  &copyStore{store: k.store, log: k.log},
		monitor: routerMonitor{lastAnswer: map[string]time.Time{}, reports: map[string]budgeter.RouterReport{}},
	}
	s.pruner = newPruner(s, k.settings.Policy().KeepCharges())
	return s
}

func (s *budgetServer) log() *zap.Logger { return s.keeper.log }

// run opens the vault and serves it until ctx ends or the store fails. Calls
// that arrive before the vault is open fail with errNotDurable.
func (s *budgetServer) run(ctx context.Context) error {
	if err := s.openVault(ctx); err != nil {
		return err
	}
	p := &mirrorSync{loop: s.loop, sender: s.sender, store: s.keeper.store, log: s.log()}
	go p.run(ctx)
	go s.runMaintenance(ctx)
	go s.verifyRestored(ctx)
	go s.runPlacement(ctx)
	go s.updateGauges(ctx)
	return s.loop.run(ctx)
}

// TopUp mints tokens in the zone that the top-up id names, and forwards the
// request if that is another zone.
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
		s.shares.markActive(r.Workspace, time.Now())
		return grpcReply[*messenger.TopUpReply](s.loop.handle(ctx, budgeter.Mint{Request: r}))
	}
	p, ok := s.keeper.peers.keeperOfZone(zone)
	if !ok {
		return nil, status.Errorf(codes.InvalidArgument, "top_up_id: %q: no availability zone %q", r.TopUpId, zone)
	}
	out, err := p.budget().TopUp(ctx, r)
	if c := status.Code(err); c == codes.Unavailable || c == codes.DeadlineExceeded {
		return nil, status.Errorf(codes.Unavailable, "outcome unknown: zone %s does not answer; resend under the same id %s", zone, r.TopUpId)
	}
	return out, err
}

// Spend serves a router's stream of leases, returns and charges.
func (s *budgetServer) Spend(stream messenger.BudgetKeeper_SpendServer) error {
	return messenger.ServeSpend(s, stream)
}

// Charge bills requests and replies once the bills are synced to disk.
func (s *budgetServer) Charge(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	return grpcReply[*messenger.ChargeReply](s.loop.handle(ctx, budgeter.Bill{Request: r}))
}

// Return takes unused rights back from a router.
func (s *budgetServer) Return(ctx context.Context, r *messenger.ReturnRequest) (*messenger.ReturnReply, error) {
	return grpcReply[*messenger.ReturnReply](s.loop.handle(ctx, budgeter.ReturnRights{Request: r}))
}

// Witness stores charges on behalf of another zone's keeper.
func (s *budgetServer) Witness(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	out, err := grpcReply[*messenger.ChargeReply](s.loop.handle(ctx, budgeter.Witness{Request: r}))
	if err == nil {
		// The router must keep the charge until its own keeper has it on two
		// disks.
		out.TwoDisks = false
	}
	return out, err
}

// Register admits a new incarnation of a router and returns the keeper that
// is its witness.
func (s *budgetServer) Register(ctx context.Context, r *messenger.RegisterRequest) (*messenger.RegisterReply, error) {
	out, err := grpcReply[*messenger.RegisterReply](s.loop.handle(ctx, budgeter.Register{Request: r}))
	if err != nil {
		return nil, err
	}
	if p, ok := s.keeper.peers.keeperByName(s.keeper.peers.mirror); ok {
		out.WitnessName, out.WitnessAddress = p.process.Name(), p.process.RPC()
	}
	return out, nil
}

// Fence rejects further calls of a router's incarnations. Their remaining
// rights return once the witness rejects them too.
func (s *budgetServer) Fence(ctx context.Context, r *messenger.FenceRequest) (*messenger.FenceReply, error) {
	return grpcReply[*messenger.FenceReply](s.loop.handle(ctx, budgeter.Fence{Request: r}))
}

// FenceWitness rejects further charges of another zone's router.
func (s *budgetServer) FenceWitness(ctx context.Context, r *messenger.FenceWitnessRequest) (*messenger.FenceWitnessReply, error) {
	return grpcReply[*messenger.FenceWitnessReply](s.loop.handle(ctx, budgeter.FenceWitness{Request: r}))
}

// HandOver bills charges that a witness has stored for this zone.
func (s *budgetServer) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverReply, error) {
	return grpcReply[*messenger.HandOverReply](s.loop.handle(ctx, budgeter.HandOver{Request: r}))
}

// Mark stores another keeper's solo mark. A keeper that is itself waiting for
// its mark to be stored refuses: two keepers could otherwise wait for each
// other forever.
func (s *budgetServer) Mark(ctx context.Context, r *messenger.MarkRequest) (*messenger.MarkReply, error) {
	if s.loop.currentMode() == budgeter.ModeMarking {
		return nil, status.Error(codes.Unavailable, errNotDurable.Error())
	}
	return grpcReply[*messenger.MarkReply](s.loop.handle(ctx, budgeter.RecordSoloMark{Request: r}))
}

// Ask transfers rights to another zone. If routers of this zone hold leases,
// it first recalls what they don't use: a workspace must not be refused in
// one zone while its budget is idle in another.
func (s *budgetServer) Ask(ctx context.Context, r *messenger.AskRequest) (*messenger.AskReply, error) {
	g := &rightsCollector{server: s, workspace: r.Workspace, want: r.WantTokens}
	g.recallFromRouters(ctx, "")
	return grpcReply[*messenger.AskReply](s.loop.handle(ctx, budgeter.RequestTransfer{Request: r}))
}

// ClaimBills records which zone billed a request first.
func (s *budgetServer) ClaimBills(ctx context.Context, r *messenger.ClaimBillsRequest) (*messenger.ClaimBillsReply, error) {
	return grpcReply[*messenger.ClaimBillsReply](s.loop.handle(ctx, budgeter.ClaimBills{Request: r}))
}

// Exchange records another zone's shares and returns this zone's shares of
// the same workspaces, which have traffic in the other zone.
func (s *budgetServer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	var names []string
	for _, x := range r.Shares {
		names = append(names, x.Workspace)
		s.shares.recordShare(r.Zone, x, time.Now())
	}
	out := &messenger.ExchangeReply{VaultIncarnation: s.loop.incarnation.Load()}
	var err error
	out.Shares, err = s.ownShares(ctx, names)
	return out, err
}

// Give accepts transfers of rights from another zone.
func (s *budgetServer) Give(ctx context.Context, r *messenger.GiveRequest) (*messenger.GiveReply, error) {
	return grpcReply[*messenger.GiveReply](s.loop.handle(ctx, budgeter.ReceiveTransfers{Request: r}))
}

// Books returns the accounts of a workspace from every zone that answers.
func (s *budgetServer) Books(ctx context.Context, r *messenger.BookRequest) (*messenger.BookReply, error) {
	out := &messenger.BookReply{}
	err := s.loop.read(ctx, func(v *budgeter.Vault) { out.Books = append(out.Books, v.Book(r.Workspace)) })
	if err != nil || r.Local {
		return out, err
	}
	others := make(chan *messenger.Book, len(s.keeper.peers.keepers))
	failed := s.keeper.peers.callKeepers(ctx, func(ctx context.Context, p peer) error {
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
	out.UnreachableZones = zoneNames(failed)
	return out, nil
}

// Charges returns the bills of a workspace from every zone that answers.
func (s *budgetServer) Charges(ctx context.Context, r *messenger.ChargesRequest) (*messenger.ChargesReply, error) {
	out := &messenger.ChargesReply{}
	err := s.localCharges(r, out)
	if err != nil || r.Local {
		return out, err
	}
	others := make(chan *messenger.ChargesReply, len(s.keeper.peers.keepers))
	local := proto.CloneOf(r)
	local.Local = true
	failed := s.keeper.peers.callKeepers(ctx, func(ctx context.Context, p peer) error {
		got, err := p.budget().Charges(ctx, local)
		others <- got
		return err
	})
	close(others)
	for c := range others {
		out.Charges = append(out.Charges, c.GetCharges()...)
		out.Pruned = append(out.Pruned, c.GetPruned()...)
	}
	out.UnreachableZones = zoneNames(failed)
	return out, nil
}

// maxListedCharges bounds the bills that one zone returns.
const maxListedCharges = 10000

// localCharges lists this zone's bills in the order of their request ids. It
// reads them from the disk, because there may be too many to keep in memory.
func (s *budgetServer) localCharges(r *messenger.ChargesRequest, out *messenger.ChargesReply) error {
	limit := maxListedCharges
	if r.Most > 0 {
		limit = min(limit, int(r.Most))
	}
	prefix := rattanhoist.NewRequestKey(r.Workspace, r.RequestId).String()
	return s.keeper.store.View(func(v storer.View) error {
		if err := prunedDays(v, r.Workspace, out); err != nil {
			return err
		}
		return v.Each(budgeter.BucketCharges, prefix, func(key string, value []byte) error {
			if len(out.Charges) >= limit || r.RequestId != "" && key != prefix {
				return nil
			}
			c := &messenger.Charge{}
			if err := proto.Unmarshal(value, c); err != nil {
				return budgeter.ErrCorrupt
			}
			out.Charges = append(out.Charges, c)
			return nil
		})
	})
}

// prunedDays adds the daily sums of a workspace's pruned bills.
func prunedDays(v storer.View, workspace string, out *messenger.ChargesReply) error {
	return v.Each(budgeter.BucketPruned, workspace+"/", func(_ string, value []byte) error {
		day := &messenger.PrunedRow{}
		if err := proto.Unmarshal(value, day); err != nil {
			return budgeter.ErrCorrupt
		}
		out.Pruned = append(out.Pruned, day)
		return nil
	})
}

func zoneNames(peers []peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.process.Zone())
	}
	return out
}

// grpcReply converts a vault's reply and error to the message type and gRPC
// status of the call.
func grpcReply[M proto.Message](m proto.Message, err error) (M, error) {
	var none M
	if err != nil {
		return none, status.Error(grpcCode(err), err.Error())
	}
	out, ok := m.(M)
	if !ok {
		zap.L().DPanic("vault replied with the wrong type", zap.Any("reply", m))
		return none, status.Error(codes.Internal, "vault replied with the wrong type")
	}
	return out, nil
}

// grpcCode returns the gRPC status code for an error of the vault.
func grpcCode(err error) codes.Code {
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
