package steward

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/messenger"
)

// server implements the gRPC service that keepers and routers call.
type server struct {
	messenger.UnimplementedFleetKeeperServer
	keeper *Keeper
}

// Carry passes a message of the replicated log to the loop.
func (v *server) Carry(_ context.Context, m *messenger.LogMessage) (*messenger.LogCarried, error) {
	v.keeper.peers.add(m.From.GetName())
	for _, x := range m.GetHelloReply().GetVoters() {
		v.keeper.peers.add(x.GetName())
	}
	if m.GetHello() != nil {
		v.keeper.logAnnouncement(m)
	}
	if err := v.keeper.loop.Receive(m); err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	return &messenger.LogCarried{}, nil
}

// CarryAll passes messages of the replicated log to the loop in order.
func (v *server) CarryAll(ctx context.Context, list *messenger.LogMessages) (*messenger.LogCarried, error) {
	for _, m := range list.Messages {
		if _, err := v.Carry(ctx, m); err != nil {
			return nil, err
		}
	}
	return &messenger.LogCarried{}, nil
}

// Order commits a change. A change that another keeper passed on is committed only if this
// keeper leads; any other is passed on to the leader if necessary.
func (v *server) Order(ctx context.Context, r *messenger.OrderRequest) (*messenger.OrderReply, error) {
	if r.Passed {
		return v.keeper.commitAsLeader(ctx, r.Change)
	}
	if r.Change.GetRights() != nil {
		return v.keeper.submitClaim(ctx, r.Change)
	}
	if q := r.Change.GetQuarantine(); q != nil && q.AtMs == 0 {
		// An operator's command, whose clock may differ.
		q.AtMs = time.Now().UnixMilli()
		q.UntilMs = q.AtMs
	}
	return v.keeper.submitChange(ctx, r.Change)
}

// Confirm returns a confirmed log index if this keeper leads, and the leader otherwise.
func (v *server) Confirm(ctx context.Context, _ *messenger.ConfirmRequest) (*messenger.ConfirmReply, error) {
	i, err := v.keeper.loop.ReadIndex(ctx)
	if errors.Is(err, committer.ErrNotLeader) {
		return &messenger.ConfirmReply{Leader: v.keeper.loop.State().Leader()}, nil
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &messenger.ConfirmReply{Done: true, Index: i}, nil
}

// Share merges the observations of another keeper.
func (v *server) Share(_ context.Context, s *messenger.Sightings) (*messenger.SightingsTaken, error) {
	v.keeper.peers.setZone(s.From, s.Zone)
	v.keeper.registry.merge(time.Now(), s)
	v.keeper.quarantines.merge(time.Now(), s)
	return &messenger.SightingsTaken{}, nil
}

// Sync returns the current state to a router and records what the router reports.
func (v *server) Sync(_ context.Context, q *messenger.SyncRequest) (*messenger.SyncReply, error) {
	routerSyncs.Inc()
	s, now := v.keeper, time.Now()
	state, committed := s.loop.State(), s.committedState.Load()
	out := &messenger.SyncReply{
		ConfirmedAgeMs: s.confirmedAge(now), Leader: state.Leader(), Number: committed.document.Number(),
		UptimeMs: now.Sub(s.startedAt).Milliseconds(),
		Keepers:  []*messenger.FleetMember{{Address: s.node.Internal(), Zone: s.node.Zone()}},
	}
	out.Keepers = append(out.Keepers, s.peers.fleetMembers()...)
	s.registry.answerSync(now, state.Deployment(), q, out)
	s.quarantines.recordReports(now, q)
	s.permitTrials(now, q.Router, q.Refused)
	out.Suspects = s.quarantines.suspectedParts(now)
	out.Evacuations = committed.evacuationsMessage(now)
	out.Quarantined = quarantinesSince(committed.quarantines, q.Quarantine, now, q.Router)
	return out, nil
}

// Fetch returns this keeper's current configuration document.
func (v *server) Fetch(_ context.Context, r *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	// The age is read before the document: the confirmation then covers the document that
	// is read after it.
	age := v.keeper.confirmedAge(time.Now())
	committed := v.keeper.committedState.Load()
	d := committed.document
	out := &messenger.FleetDocumentReply{
		Number: d.Number(), Content: d.Content(), ConfirmedAgeMs: age, Evacuations: committed.evacuationsMessage(time.Now()),
	}
	if r.ListQuarantines {
		for _, q := range quarantinesSince(committed.quarantines, 0, time.Now(), nil) {
			if q.LeftMs > 0 {
				out.Quarantined = append(out.Quarantined, q)
			}
		}
	}
	return out, nil
}

// confirmedAge returns the milliseconds since a majority last confirmed this keeper's
// copy, or -1 if none has.
func (s *Keeper) confirmedAge(now time.Time) int64 {
	at := s.loop.State().ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
