package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// roundEvery is the pause between rounds of resends.
	roundEvery = 200 * time.Millisecond
	// handOverMost bounds the charges of one call.
	handOverMost = 256
)

// rounds repeats what other processes have not yet confirmed. Without it a
// lost answer would leave rights in transfer, or a dead router's remainder
// leased, for ever.
func (s *budgetServer) rounds(ctx context.Context) {
	for ctx.Err() == nil {
		s.resend(ctx)
		s.release(ctx)
		s.handOver(ctx)
		s.claimBills(ctx)
		s.watchRouters(ctx)
		s.prune.round(ctx)
		pause(ctx, roundEvery)
	}
}

// resend pushes transfers until the other zone has them on disk. None leaves
// before it is on two disks here: a restored copy would still hold the rights.
func (s *budgetServer) resend(ctx context.Context) {
	pending, _ := readVault(ctx, s.loop, (*budgeter.Vault).Pending)
	byZone := map[string]*messenger.GiveRequest{}
	for _, t := range pending {
		if byZone[t.ToZone] == nil {
			byZone[t.ToZone] = &messenger.GiveRequest{}
		}
		byZone[t.ToZone].Transfers = append(byZone[t.ToZone].Transfers, t)
	}
	if len(byZone) == 0 || !s.loop.copied(ctx) {
		return
	}
	for zone, r := range byZone {
		if p, ok := s.keeper.peers.zone(zone); ok {
			s.give(ctx, p, r)
		}
	}
}

func (s *budgetServer) give(ctx context.Context, p peer, r *messenger.GiveRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	got, err := p.budget().Give(ctx, r)
	if err == nil && len(got.AcceptedIds) > 0 {
		_, _ = s.loop.handle(ctx, budgeter.Confirm{TransferIDs: got.AcceptedIds})
	}
}

// release returns what fenced incarnations had left, once the witness refuses
// them too. It waits until the fence is on two disks: a restored copy without
// it would take charges for rights that somebody else spends.
func (s *budgetServer) release(ctx context.Context) {
	fencing, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) (out []*messenger.FenceWitnessRequest) {
		for _, r := range v.Fencing() {
			out = append(out, &messenger.FenceWitnessRequest{Zone: v.Zone(), Router: r.Router, Incarnation: r.Fenced})
		}
		return out
	})
	if len(fencing) == 0 || !s.loop.copied(ctx) {
		return
	}
	for _, r := range fencing {
		if err := s.releaseOne(ctx, r); err != nil && ctx.Err() == nil {
			s.log().Debug("remainder waits for the witness", zap.String("router", r.Router), zap.Error(err))
		}
	}
}

func (s *budgetServer) releaseOne(ctx context.Context, r *messenger.FenceWitnessRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	got := &messenger.FenceWitnessReply{}
	if s.sender.exists() {
		var err error
		if got, err = s.sender.client().FenceWitness(ctx, r); err != nil {
			return err
		}
	}
	m, err := s.loop.handle(ctx, budgeter.Release{Router: r.Router, Incarnation: r.Incarnation, Witness: got})
	if err != nil {
		return err
	}
	s.log().Info("remainder of a fenced router returned", zap.String("router", r.Router),
		zap.Uint64("incarnation", r.Incarnation), zap.Int64("tokens", m.(*messenger.FenceReply).ReturnedTokens))
	return nil
}

// handOver brings witnessed charges to their own keepers.
func (s *budgetServer) handOver(ctx context.Context) {
	for _, p := range s.keeper.peers.list {
		charges, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) []*messenger.Charge {
			return v.Witnessed(p.process.Zone(), handOverMost)
		})
		if len(charges) == 0 {
			continue
		}
		c, cancel := context.WithTimeout(ctx, peerTimeout)
		_, err := p.budget().HandOver(c, &messenger.HandOverRequest{Charges: charges})
		cancel()
		if err == nil {
			_, _ = s.loop.handle(ctx, budgeter.HandedOver{Charges: charges})
		}
	}
}
