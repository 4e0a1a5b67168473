package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// maintenanceInterval is the pause between maintenance rounds.
	maintenanceInterval = 200 * time.Millisecond
	// maxHandOverCharges bounds the charges in one call.
	maxHandOverCharges = 256
)

// runMaintenance repeats calls that other processes have not yet confirmed.
// Without it a lost reply would leave rights in transfer, or the rights of a
// dead router leased, forever.
func (s *budgetServer) runMaintenance(ctx context.Context) {
	for ctx.Err() == nil {
		s.resendTransfers(ctx)
		s.releaseFenced(ctx)
		s.handOverCharges(ctx)
		s.claimBills(ctx)
		s.watchRouters(ctx)
		s.pruner.round(ctx)
		sleep(ctx, maintenanceInterval)
	}
}

// resendTransfers sends pending transfers until the receiving zone has them
// on disk. A transfer is sent only once it is on two disks here: a restored
// copy without it would still hold the rights.
func (s *budgetServer) resendTransfers(ctx context.Context) {
	pending, _ := readVault(ctx, s.loop, (*budgeter.Vault).PendingTransfers)
	byZone := map[string]*messenger.GiveRequest{}
	for _, t := range pending {
		if byZone[t.ToZone] == nil {
			byZone[t.ToZone] = &messenger.GiveRequest{}
		}
		byZone[t.ToZone].Transfers = append(byZone[t.ToZone].Transfers, t)
	}
	if len(byZone) == 0 || !s.loop.mirrorUpToDate(ctx) {
		return
	}
	for zone, r := range byZone {
		if p, ok := s.keeper.peers.keeperOfZone(zone); ok {
			s.sendTransfers(ctx, p, r)
		}
	}
}

// sendTransfers sends transfers to a keeper and confirms those that it
// accepted.
func (s *budgetServer) sendTransfers(ctx context.Context, p peer, r *messenger.GiveRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	got, err := p.budget().Give(ctx, r)
	if err == nil && len(got.AcceptedIds) > 0 {
		_, _ = s.loop.handle(ctx, budgeter.ConfirmTransfers{TransferIDs: got.AcceptedIds})
	}
}

// releaseFenced returns the remaining rights of fenced incarnations once the
// witness rejects them too. It waits until the fence is on two disks: a
// restored copy without it would accept charges for rights that another
// router already spends.
func (s *budgetServer) releaseFenced(ctx context.Context) {
	fencing, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) (out []*messenger.FenceWitnessRequest) {
		for _, r := range v.UnreleasedRouters() {
			out = append(out, &messenger.FenceWitnessRequest{Zone: v.Zone(), Router: r.Router, Incarnation: r.Fenced})
		}
		return out
	})
	if len(fencing) == 0 || !s.loop.mirrorUpToDate(ctx) {
		return
	}
	for _, r := range fencing {
		if err := s.releaseFencedRouter(ctx, r); err != nil && ctx.Err() == nil {
			s.log().Debug("remainder waits for the witness", zap.String("router", r.Router), zap.Error(err))
		}
	}
}

// releaseFencedRouter has the witness reject a router's incarnation and then
// returns its remaining rights.
func (s *budgetServer) releaseFencedRouter(ctx context.Context, r *messenger.FenceWitnessRequest) error {
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

// handOverCharges passes charges stored as a witness to the keepers that they
// belong to.
func (s *budgetServer) handOverCharges(ctx context.Context) {
	for _, p := range s.keeper.peers.keepers {
		charges, _ := readVault(ctx, s.loop, func(v *budgeter.Vault) []*messenger.Charge {
			return v.WitnessedCharges(p.process.Zone(), maxHandOverCharges)
		})
		if len(charges) == 0 {
			continue
		}
		c, cancel := context.WithTimeout(ctx, peerTimeout)
		_, err := p.budget().HandOver(c, &messenger.HandOverRequest{Charges: charges})
		cancel()
		if err == nil {
			_, _ = s.loop.handle(ctx, budgeter.DropWitnessed{Charges: charges})
		}
	}
}
