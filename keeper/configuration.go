package keeper

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// unknownAge is the reported age of a copy that no majority has confirmed
// since the keeper started.
const unknownAge = -1

// configurationServer serves the configuration from the replicated log.
type configurationServer struct {
	messenger.UnimplementedConfigurationKeeperServer
	keeper   *Keeper
	loop     *logLoop
	outboxes map[string]*outbox
	reports  reports
}

func newConfigurationServer(k *Keeper) (*configurationServer, error) {
	s := &configurationServer{keeper: k, outboxes: map[string]*outbox{}}
	var names []string
	for _, p := range k.peers.keepers {
		names = append(names, p.process.Name())
		s.outboxes[p.process.Name()] = &outbox{peer: p, messages: make(chan *messenger.LogMessage, maxOutboxMessages)}
	}
	var err error
	s.loop, err = newLogLoop(k.self.Name(), names, k.store, newRand(), k.log, s.send)
	return s, err
}

func (s *configurationServer) send(m *messenger.LogMessage) {
	if o := s.outboxes[m.To.Name]; o != nil {
		o.put(m)
	}
}

func (s *configurationServer) run(ctx context.Context) error {
	for _, o := range s.outboxes {
		go o.run(ctx)
	}
	return s.loop.Run(ctx)
}

func (s *configurationServer) version() uint64 { return s.loop.version() }

func (s *configurationServer) ageMS() int64 { return ageMS(s.loop.State().ConfirmedAt()) }

func ageMS(confirmedAt time.Time) int64 {
	if confirmedAt.IsZero() {
		return unknownAge
	}
	return max(time.Since(confirmedAt).Milliseconds(), 0)
}

// hasWorkspace looks up a workspace in the local copy and, if it is missing
// there, in a copy that a majority has confirmed: a workspace that was just
// accepted must not be refused because the local copy lags.
func (s *configurationServer) hasWorkspace(ctx context.Context, name string) (bool, error) {
	look := func(b *configurer.Book) bool { return b.HasWorkspace(name) }
	if has, err := viewBook(ctx, s.loop, look); err != nil || has {
		return has, err
	}
	if err := s.barrier(ctx); err != nil {
		return false, s.noMajorityError("the workspace is not known here")
	}
	return viewBook(ctx, s.loop, look)
}

// Read returns the configuration, either the local copy with its age or, on
// request, one that a majority has confirmed.
func (s *configurationServer) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	if r.Confirmed && s.barrier(ctx) != nil {
		return nil, s.noMajorityError("the read can't be confirmed")
	}
	age := s.ageMS()
	out, err := viewBook(ctx, s.loop, func(b *configurer.Book) *messenger.ReadReply {
		return &messenger.ReadReply{Configuration: s.loop.configuration(), Digest: b.Digest()}
	})
	if err != nil {
		return nil, err
	}
	out.AgeMs, out.Confirmed = age, r.Confirmed
	out.Keepers = s.members()
	out.LeaderName = s.loop.State().Leader()
	out.Leader = out.LeaderName == s.keeper.self.Name()
	return out, nil
}

// History returns accepted changes in order, for as long as they are kept.
func (s *configurationServer) History(ctx context.Context, r *messenger.HistoryRequest) (*messenger.HistoryReply, error) {
	type since struct {
		changes []*messenger.Change
		kept    bool
	}
	got, err := viewBook(ctx, s.loop, func(b *configurer.Book) since {
		changes, kept := b.ChangesSince(r.AfterVersion)
		return since{changes, kept}
	})
	if err != nil {
		return nil, err
	}
	changes := got.changes
	if !got.kept {
		return nil, status.Errorf(codes.OutOfRange, "after_version: changes after %d are no longer kept", r.AfterVersion)
	}
	if r.Most > 0 && len(changes) > int(r.Most) {
		changes = changes[:r.Most]
	}
	out := &messenger.HistoryReply{}
	for i, c := range changes {
		out.Entries = append(out.Entries, &messenger.HistoryEntry{Version: r.AfterVersion + uint64(i) + 1, Change: c})
	}
	return out, nil
}

// members lists the configured keepers and, for those that vote, the disk
// incarnation that does.
func (s *configurationServer) members() []*messenger.Member {
	var out []*messenger.Member
	for _, p := range s.keeper.settings.Processes(loader.KindKeeper) {
		m := &messenger.Member{Name: p.Name(), Zone: p.Zone(), Address: p.RPC(), Learner: true}
		for _, v := range s.loop.State().Voters() {
			if v.Name == p.Name() {
				m.Learner, m.Incarnation = false, v.Incarnation
			}
		}
		out = append(out, m)
	}
	return out
}
