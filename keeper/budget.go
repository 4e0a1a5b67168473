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

// budgetServer serves the budget protocol from the zone's vault.
type budgetServer struct {
	messenger.UnimplementedBudgetKeeperServer
	keeper *Keeper
	loop   *vaultLoop
	sender mirrorSender
	holder *mirrorHolder
	shares *shares
	// Watch belongs to the goroutine of rounds.
	watch routerWatch
	prune *pruning
}

func newBudgetServer(k *Keeper) *budgetServer {
	sender := newMirrorSender(k.peers)
	s := &budgetServer{
		keeper: k, sender: sender, shares: newShares(),
		loop:   newVaultLoop(k.self.Zone(), k.store, sender, k.log),
		holder: &mirrorHolder{store: k.store, log: k.log},
		watch:  routerWatch{heard: map[string]time.Time{}, said: map[string]budgeter.Heard{}},
	}
	s.prune = newPruning(s, k.settings.Policy().KeepCharges())
	return s
}

func (s *budgetServer) log() *zap.Logger { return s.keeper.log }

// run opens the vault and serves it; until then calls are answered with
// errNotYet.
func (s *budgetServer) run(ctx context.Context) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	p := &pairing{loop: s.loop, sender: s.sender, store: s.keeper.store, log: s.log()}
	go p.run(ctx)
	go s.rounds(ctx)
	go s.prove(ctx)
	go s.place(ctx)
	go s.gauges(ctx)
	return s.loop.run(ctx)
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
		s.shares.touch(r.Workspace, time.Now())
		return answer[*messenger.TopUpReply](s.loop.handle(ctx, budgeter.Mint{Request: r}))
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

// Spend serves a router's stream of leases, returns and charges.
func (s *budgetServer) Spend(stream messenger.BudgetKeeper_SpendServer) error {
	return messenger.ServeSpend(s, stream)
}

// Charge bills requests; the answer means that the bills are synced.
func (s *budgetServer) Charge(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	return answer[*messenger.ChargeReply](s.loop.handle(ctx, budgeter.Bill{Request: r}))
}

// Return takes rights back from a router.
func (s *budgetServer) Return(ctx context.Context, r *messenger.ReturnRequest) (*messenger.ReturnReply, error) {
	return answer[*messenger.ReturnReply](s.loop.handle(ctx, budgeter.Return{Request: r}))
}

// Witness stores charges for another zone's keeper.
func (s *budgetServer) Witness(ctx context.Context, r *messenger.ChargeRequest) (*messenger.ChargeReply, error) {
	out, err := answer[*messenger.ChargeReply](s.loop.handle(ctx, budgeter.Witness{Request: r}))
	if err == nil {
		// The router keeps the charge until its own keeper has it twice.
		out.TwoDisks = false
	}
	return out, err
}

// Register admits an incarnation of a router and names its witness.
func (s *budgetServer) Register(ctx context.Context, r *messenger.RegisterRequest) (*messenger.RegisterReply, error) {
	out, err := answer[*messenger.RegisterReply](s.loop.handle(ctx, budgeter.Register{Request: r}))
	if err != nil {
		return nil, err
	}
	if p, ok := s.keeper.peers.name(s.keeper.peers.mirror); ok {
		out.WitnessName, out.WitnessAddress = p.process.Name(), p.process.RPC()
	}
	return out, nil
}

// Fence refuses a router's incarnations; what they hold returns once the
// witness refuses them too.
func (s *budgetServer) Fence(ctx context.Context, r *messenger.FenceRequest) (*messenger.FenceReply, error) {
	return answer[*messenger.FenceReply](s.loop.handle(ctx, budgeter.Fence{Request: r}))
}

// FenceWitness refuses a router of another zone.
func (s *budgetServer) FenceWitness(ctx context.Context, r *messenger.FenceWitnessRequest) (*messenger.FenceWitnessReply, error) {
	return answer[*messenger.FenceWitnessReply](s.loop.handle(ctx, budgeter.FenceWitness{Request: r}))
}

// HandOver bills charges that a witness has stored.
func (s *budgetServer) HandOver(ctx context.Context, r *messenger.HandOverRequest) (*messenger.HandOverReply, error) {
	return answer[*messenger.HandOverReply](s.loop.handle(ctx, budgeter.HandOver{Request: r}))
}

// Mark holds another keeper's solo mark. Two keepers that each wait for the
// other's mark would wait for ever, so one that waits itself holds none.
func (s *budgetServer) Mark(ctx context.Context, r *messenger.MarkRequest) (*messenger.MarkReply, error) {
	if s.loop.currentMode() == budgeter.ModeMarking {
		return nil, status.Error(codes.Unavailable, errNotYet.Error())
	}
	return answer[*messenger.MarkReply](s.loop.handle(ctx, budgeter.Mark{Request: r}))
}

// Ask transfers rights to another zone. Where this one has leased them, it
// recalls what its routers don't use: a budget that lies idle in one zone's
// slices must not be refused in another.
func (s *budgetServer) Ask(ctx context.Context, r *messenger.AskRequest) (*messenger.AskReply, error) {
	g := &gathering{server: s, workspace: r.Workspace, want: r.WantTokens}
	g.recall(ctx, "")
	return answer[*messenger.AskReply](s.loop.handle(ctx, budgeter.Ask{Request: r}))
}

// ClaimBills records which zone billed a request first.
func (s *budgetServer) ClaimBills(ctx context.Context, r *messenger.ClaimBillsRequest) (*messenger.ClaimBillsReply, error) {
	return answer[*messenger.ClaimBillsReply](s.loop.handle(ctx, budgeter.ClaimBills{Request: r}))
}

// Exchange answers with this zone's shares of the workspaces that another zone
// has traffic of.
func (s *budgetServer) Exchange(ctx context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	var names []string
	for _, x := range r.Shares {
		names = append(names, x.Workspace)
		s.shares.heard(r.Zone, x, time.Now())
	}
	out := &messenger.ExchangeReply{VaultIncarnation: s.loop.incarnation.Load()}
	var err error
	out.Shares, err = s.ownShares(ctx, names)
	return out, err
}

// Give takes transfers from another zone.
func (s *budgetServer) Give(ctx context.Context, r *messenger.GiveRequest) (*messenger.GiveReply, error) {
	return answer[*messenger.GiveReply](s.loop.handle(ctx, budgeter.Receive{Request: r}))
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
	err := s.localCharges(r, out)
	if err != nil || r.Local {
		return out, err
	}
	others := make(chan *messenger.ChargesReply, len(s.keeper.peers.list))
	local := proto.CloneOf(r)
	local.Local = true
	failed := s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		got, err := p.budget().Charges(ctx, local)
		others <- got
		return err
	})
	close(others)
	for c := range others {
		out.Charges = append(out.Charges, c.GetCharges()...)
		out.Pruned = append(out.Pruned, c.GetPruned()...)
	}
	out.UnreachableZones = zonesOf(failed)
	return out, nil
}

// chargesMost bounds the bills that one zone lists.
const chargesMost = 10000

// localCharges lists bills in the order of their request ids, from the disk:
// they may be many, and memory holds none of them for long.
func (s *budgetServer) localCharges(r *messenger.ChargesRequest, out *messenger.ChargesReply) error {
	most := chargesMost
	if r.Most > 0 {
		most = min(most, int(r.Most))
	}
	prefix := rattanhoist.NewRequestKey(r.Workspace, r.RequestId).String()
	return s.keeper.store.View(func(v storer.View) error {
		if err := prunedDays(v, r.Workspace, out); err != nil {
			return err
		}
		return v.Each(budgeter.BucketCharges, prefix, func(key string, value []byte) error {
			if len(out.Charges) >= most || r.RequestId != "" && key != prefix {
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
