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

// server answers the calls of the fleet's other processes.
type server struct {
	messenger.UnimplementedFleetKeeperServer
	s *Steward
}

// Carry takes a message of the log in.
func (v *server) Carry(_ context.Context, m *messenger.LogMessage) (*messenger.LogCarried, error) {
	v.s.members.learn(m.From.GetName())
	if err := v.s.loop.Receive(m); err != nil {
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	return &messenger.LogCarried{}, nil
}

// CarryAll takes messages of the log in, in their order.
func (v *server) CarryAll(ctx context.Context, list *messenger.LogMessages) (*messenger.LogCarried, error) {
	for _, m := range list.Messages {
		if _, err := v.Carry(ctx, m); err != nil {
			return nil, err
		}
	}
	return &messenger.LogCarried{}, nil
}

// Order commits a change if this keeper leads; a router's is passed on to the
// leader.
func (v *server) Order(ctx context.Context, r *messenger.OrderRequest) (*messenger.OrderReply, error) {
	if r.Passed {
		return v.s.orderHere(ctx, r.Change)
	}
	if r.Change.GetRights() != nil {
		return v.s.claim(ctx, r.Change)
	}
	return v.s.order(ctx, r.Change)
}

// Confirm returns a confirmed index if this keeper leads.
func (v *server) Confirm(ctx context.Context, _ *messenger.ConfirmRequest) (*messenger.ConfirmReply, error) {
	i, err := v.s.loop.Confirm(ctx)
	if errors.Is(err, committer.ErrNotLeader) {
		return &messenger.ConfirmReply{Leader: v.s.loop.State().Leader()}, nil
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &messenger.ConfirmReply{Done: true, Index: i}, nil
}

// Share takes in what another keeper heard.
func (v *server) Share(_ context.Context, s *messenger.Sightings) (*messenger.SightingsTaken, error) {
	v.s.members.located(s.From, s.Zone)
	v.s.roster.take(time.Now(), s)
	v.s.quarantine.take(time.Now(), s)
	return &messenger.SightingsTaken{}, nil
}

// Sync tells a router what is in force here.
func (v *server) Sync(_ context.Context, q *messenger.SyncRequest) (*messenger.SyncReply, error) {
	questions.Inc()
	s, now := v.s, time.Now()
	state, shown := s.loop.State(), s.view.Load()
	out := &messenger.SyncReply{
		ConfirmedAgeMs: s.confirmedAge(now), Leader: state.Leader(), Number: shown.document.Number(),
		UptimeMs: now.Sub(s.start).Milliseconds(),
		Keepers:  []*messenger.FleetMember{{Address: s.node.Internal(), Zone: s.node.Zone()}},
	}
	out.Keepers = append(out.Keepers, s.members.list()...)
	s.roster.ask(now, q, out)
	s.quarantine.tell(now, q.Crashes, q.Answered)
	out.Evacuations = shown.evacuationsAt(now)
	out.Quarantined = quarantinedSince(shown.quarantines, q.Quarantine, now)
	if q.SkipEndpoints || len(out.Endpoints) > 0 || q.Revision != out.Revision || q.Epoch != out.Epoch {
		for _, i := range shown.left[max(len(shown.left)-leftTold, 0):] {
			out.Left = append(out.Left, i.Leave())
		}
	}
	return out, nil
}

// Fetch returns the document in force here.
func (v *server) Fetch(context.Context, *messenger.FleetDocumentRequest) (*messenger.FleetDocumentReply, error) {
	// The age is read first: what was confirmed then holds for the document
	// that is read after it.
	age := v.s.confirmedAge(time.Now())
	shown := v.s.view.Load()
	d := shown.document
	return &messenger.FleetDocumentReply{
		Number: d.Number(), Content: d.Content(), ConfirmedAgeMs: age, Evacuations: shown.evacuationsAt(time.Now()),
	}, nil
}

// confirmedAge returns the time since a majority confirmed the copy held here,
// in milliseconds, or -1.
func (s *Steward) confirmedAge(now time.Time) int64 {
	at := s.loop.State().ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}
