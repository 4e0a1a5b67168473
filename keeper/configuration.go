package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	bucketChanges = "configuration_changes"
	rewatchAfter  = 200 * time.Millisecond
)

// configurationServer serves the configuration. For now the first keeper in
// name order accepts changes alone and the others follow it; the replicated
// log takes its place.
type configurationServer struct {
	messenger.UnimplementedConfigurationKeeperServer
	keeper *Keeper
	leader string
	mu     sync.Mutex
	book   *configurer.Book
	// Changes holds every accepted change; its length is the version.
	changes []*messenger.Change
	// Changed is closed and replaced at every change.
	changed chan struct{}
	inForce map[string]inForce
}

type inForce struct {
	zone    string
	version uint64
	at      time.Time
}

func newConfigurationServer(k *Keeper) (*configurationServer, error) {
	s := &configurationServer{
		keeper: k, leader: firstKeeper(k.settings), book: configurer.NewBook(),
		changed: make(chan struct{}), inForce: map[string]inForce{},
	}
	err := k.store.Each(bucketChanges, func(_ string, value []byte) error {
		c := &messenger.Change{}
		if err := proto.Unmarshal(value, c); err != nil {
			return err
		}
		s.book.Apply(c)
		s.changes = append(s.changes, c)
		return nil
	})
	return s, err
}

func firstKeeper(s *loader.Settings) string {
	var name string
	for _, p := range s.Processes(loader.KindKeeper) {
		if name == "" || p.Name() < name {
			name = p.Name()
		}
	}
	return name
}

func (s *configurationServer) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Version()
}

// hasWorkspace looks in the local copy, then in a confirmed one: a workspace
// that was accepted a moment ago must not be refused for a copy that lags.
func (s *configurationServer) hasWorkspace(ctx context.Context, name string) (bool, error) {
	for _, confirmed := range []bool{false, true} {
		r, err := s.Read(ctx, &messenger.ReadRequest{Confirmed: confirmed})
		if err != nil {
			return false, err
		}
		for _, w := range r.Configuration.Workspaces {
			if w.Name == name {
				return true, nil
			}
		}
	}
	return false, nil
}

// Propose accepts or refuses a change, forwarding it to the leader.
func (s *configurationServer) Propose(ctx context.Context, r *messenger.ProposeRequest) (*messenger.ProposeReply, error) {
	if r.Change == nil {
		return nil, status.Error(codes.InvalidArgument, "change: missing")
	}
	if p, ok := s.keeper.peers.name(s.leader); ok {
		return p.configuration().Propose(ctx, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.book.Check(r.Change)
	if out.Outcome == messenger.ChangeOutcome_CHANGE_OUTCOME_CONFLICT {
		out.Since = s.changes[min(r.Change.BaseVersion, uint64(len(s.changes))):]
	}
	_, known := s.book.Answered(r.Change.ChangeId)
	if out.Outcome != messenger.ChangeOutcome_CHANGE_OUTCOME_ACCEPTED || known {
		return out, nil
	}
	r.Change.AcceptedAtMs = time.Now().UnixMilli()
	return out, s.append(r.Change)
}

// append stores a change and then shows it; the caller holds mu.
func (s *configurationServer) append(c *messenger.Change) error {
	b, err := proto.Marshal(c)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%020d", len(s.changes)+1)
	if err := s.keeper.store.Apply([]storer.Row{{Bucket: bucketChanges, Key: key, Value: b}}); err != nil {
		return err
	}
	s.book.Apply(c)
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Read returns the local copy, or the leader's when it must be confirmed.
func (s *configurationServer) Read(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	if p, ok := s.keeper.peers.name(s.leader); ok && r.Confirmed {
		return p.configuration().Read(ctx, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &messenger.ReadReply{
		Configuration: s.book.Configuration(),
		Leader:        s.leader == s.keeper.self.Name(), LeaderName: s.leader,
	}, nil
}

// History returns accepted changes in order.
func (s *configurationServer) History(_ context.Context, r *messenger.HistoryRequest) (*messenger.HistoryReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &messenger.HistoryReply{}
	for i := r.AfterVersion; i < uint64(len(s.changes)); i++ {
		if r.Most > 0 && len(out.Entries) >= int(r.Most) {
			break
		}
		out.Entries = append(out.Entries, &messenger.HistoryEntry{Version: i + 1, Change: s.changes[i]})
	}
	return out, nil
}

// Watch pushes changes to a subscriber until it goes.
func (s *configurationServer) Watch(r *messenger.WatchRequest, w grpc.ServerStreamingServer[messenger.Update]) error {
	have := r.Version
	for {
		u, changed := s.updateFrom(have)
		if u != nil {
			if err := w.Send(u); err != nil {
				return err
			}
			have = u.Version
		}
		select {
		case <-w.Context().Done():
			return w.Context().Err()
		case <-changed:
		}
	}
}

func (s *configurationServer) updateFrom(have uint64) (*messenger.Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := uint64(len(s.changes))
	if have >= now && have > 0 {
		return nil, s.changed
	}
	return &messenger.Update{BaseVersion: have, Changes: s.changes[min(have, now):], Version: now}, s.changed
}

// ReportInForce notes the version that a subscriber serves.
func (s *configurationServer) ReportInForce(_ context.Context, r *messenger.InForceReport) (*messenger.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce[r.Node] = inForce{zone: r.Zone, version: r.Version, at: time.Now()}
	return &messenger.ReportReply{}, nil
}

// InForce returns the versions that the subscribers of every keeper serve.
func (s *configurationServer) InForce(ctx context.Context, r *messenger.InForceRequest) (*messenger.InForceReply, error) {
	out := &messenger.InForceReply{Nodes: s.localInForce()}
	if r.Local {
		return out, nil
	}
	others := make(chan []*messenger.InForceEntry, len(s.keeper.peers.list))
	failed := s.keeper.peers.each(ctx, func(ctx context.Context, p peer) error {
		got, err := p.configuration().InForce(ctx, &messenger.InForceRequest{Local: true})
		others <- got.GetNodes()
		return err
	})
	close(others)
	for n := range others {
		out.Nodes = append(out.Nodes, n...)
	}
	for _, p := range failed {
		out.UnreachableKeepers = append(out.UnreachableKeepers, p.process.Name())
	}
	return out, nil
}

func (s *configurationServer) localInForce() []*messenger.InForceEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*messenger.InForceEntry
	for name, f := range s.inForce {
		out = append(out, &messenger.InForceEntry{
			Node: name, Zone: f.zone, Version: f.version, AgeMs: time.Since(f.at).Milliseconds(),
		})
	}
	return out
}

// run follows the leader; the leader has nothing to follow.
func (s *configurationServer) run(ctx context.Context) {
	p, ok := s.keeper.peers.name(s.leader)
	for ok && ctx.Err() == nil {
		if err := s.follow(ctx, p); err != nil && ctx.Err() == nil {
			s.keeper.log.Debug("leader's stream ended", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewatchAfter):
		}
	}
}

func (s *configurationServer) follow(ctx context.Context, p peer) error {
	w, err := p.configuration().Watch(ctx, &messenger.WatchRequest{Node: s.keeper.self.Name(), Version: s.version()})
	if err != nil {
		return err
	}
	for {
		u, err := w.Recv()
		if err != nil {
			return err
		}
		if err := s.take(u); err != nil {
			return err
		}
	}
}

func (s *configurationServer) take(u *messenger.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.BaseVersion != uint64(len(s.changes)) {
		return status.Error(codes.Aborted, "update has another base")
	}
	for _, c := range u.Changes {
		if err := s.append(c); err != nil {
			return err
		}
	}
	return nil
}
