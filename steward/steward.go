// Package steward is a keeper of a fleet whose members find each other through
// seeds: it votes in the log, takes orders and heartbeats, and tells routers
// what is in force.
package steward

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// A leader's death costs one to two times election and a round of votes.
	heartbeat = 100 * time.Millisecond
	election  = 600 * time.Millisecond
	// replaceAfter is the silence after which a complete copy takes a voter's
	// seat. It is longer than a restart or a cut between zones usually lasts;
	// taking a seat too early is safe, only needless.
	replaceAfter = 6 * time.Second
	// compactAfter entries, or compactBytes, a snapshot is written.
	compactAfter = 1024
	compactBytes = 4 << 20
	// balanceEvery is how often prepaid totals are looked at.
	balanceEvery = time.Second
	// shareEvery is how often keepers tell each other what they heard.
	shareEvery = 300 * time.Millisecond
	// announceEvery is how often a keeper that heard nothing tells the others its zone.
	announceEvery = 2 * time.Second
	// headerTimeout bounds a caller that is slow to ask, and idleTimeout how long an
	// endpoint's connection is kept between heartbeats.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// callTimeout is for calls between keepers; it is within the second that
	// operators and endpoints wait.
	callTimeout = 400 * time.Millisecond
	// orderTimeout ends an order's wait just before its sender gives up.
	orderTimeout = 900 * time.Millisecond
)

// view is the committed state that is shown to others; immutable.
type view struct {
	document    *governor.Document
	left        []enroller.Incarnation
	quarantines []governor.Quarantine
	evacuations *governor.Evacuations
	// Returned holds when zones were put back in service, as this keeper saw it.
	returned map[string]time.Time
}

// Steward is one keeper process.
type Steward struct {
	node  *loader.Node
	log   *zap.Logger
	start time.Time
	loop  *committer.Loop
	// State is stepped by the loop only; view shows copies.
	state   *governor.Governor
	view    atomic.Pointer[view]
	members *members
	roster  *roster
	batcher *batcher
	// Quarantine finds the requests that end endpoints.
	quarantine *quarantine
	// Note remembers the endpoints.
	note *storer.Note
	// Scarce holds the workspaces whose totals were last told to run low, and
	// toldAt when that was looked at; both belong to the loop.
	scarce map[string]bool
	toldAt time.Time
}

// New opens the store and restores the log. The returned function closes the
// store.
func New(n *loader.Node, log *zap.Logger) (*Steward, func(), error) {
	store, closeStore, err := storer.Open(n.DataDir())
	if err != nil {
		return nil, nil, err
	}
	s := &Steward{
		node: n, log: log, start: time.Now(), state: governor.New(), scarce: map[string]bool{}, note: storer.NewNote(n.DataDir(), endpointsNote),
	}
	s.view.Store(&view{document: s.state.Document(), evacuations: s.state.Evacuations()})
	s.members = newMembers(n.Internal(), n.Seeds(), s.setPeers)
	s.roster = newRoster(n.Heartbeat())
	s.quarantine = newQuarantine(n.Quarantine())
	s.loop, err = committer.New(committer.Options{
		Core: replicator.Options{
			Name: n.Internal(), Peers: s.members.names(), Voters: 2*n.LostDisks() + 1,
			Timing:  replicator.Timing{Heartbeat: heartbeat, Election: election, Replace: replaceAfter},
			Rand:    newRand(),
			Machine: s.state, CompactAfter: compactAfter, CompactBytes: compactBytes,
			NeverFounds: !n.FirstStart() || !slices.Contains(n.Seeds(), n.Internal()),
		},
		Store: store, Send: s.members.send, Committed: s.committed, Log: log,
	})
	if err != nil {
		_ = closeStore()
		return nil, nil, err
	}
	s.gauges()
	s.batcher = newBatcher(s.loop.Propose, log)
	s.recall()
	// After it: what has left must not come back.
	s.committed()
	return s, func() { _ = closeStore() }, nil
}

func newRand() *rand.Rand {
	var seed [16]byte
	// It ends the process rather than fail.
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// committed shows what the loop has applied and synced.
func (s *Steward) committed() {
	old := s.view.Load()
	v := &view{
		document: s.state.Document(), left: s.state.Left(), quarantines: s.state.Quarantines(),
		evacuations: s.state.Evacuations(), returned: old.returned,
	}
	if v.evacuations.Revision() != old.evacuations.Revision() {
		v.returned = returnedZones(time.Now(), old, v.evacuations)
		s.log.Info("evacuated zones", zap.Uint64("revision", v.evacuations.Revision()), zap.Strings("zones", v.evacuations.Zones()))
	}
	s.view.Store(v)
	if v.document.Number() != old.document.Number() {
		s.log.Info("configuration", zap.Uint64("number", v.document.Number()), zap.Int("bytes", len(v.document.Content())),
			zap.Int64("prepaid", s.state.Ledger().Prepaid()))
	}
	if len(v.left) > 0 {
		s.roster.leave(time.Now(), v.left)
	}
	s.tellBalances(time.Now())
}

// tellBalances logs each workspace whose total begins or ceases to run low: from
// then on some of its requests are refused.
func (s *Steward) tellBalances(now time.Time) {
	if now.Sub(s.toldAt) < balanceEvery {
		return
	}
	s.toldAt = now
	for _, b := range s.state.Ledger().Balances() {
		if b.Scarce == s.scarce[b.Workspace] {
			continue
		}
		s.scarce[b.Workspace] = b.Scarce
		s.log.Info("prepaid total", zap.String("workspace", b.Workspace), zap.Bool("scarce", b.Scarce), zap.Int64("total", b.Total),
			zap.Int64("left", b.Left), zap.Int64("held", b.Held), zap.Int64("spent", b.Spent), zap.Int64("ended", b.Ended))
	}
}

func (s *Steward) setPeers(names []string) {
	if s.loop == nil || !s.loop.State().Founded() {
		// Before the founding, the seeds alone decide who founds.
		return
	}
	if err := s.loop.SetPeers(names); err != nil {
		s.log.Warn("peers not taken up, tried again with the next one", zap.Error(err))
	}
}

// Learn makes keepers known that changed settings name.
func (s *Steward) Learn(seeds []string) {
	for _, x := range seeds {
		s.members.learn(x)
	}
}

// Run serves until ctx ends.
func (s *Steward) Run(ctx context.Context, control func(*Steward) http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	internal, err := net.Listen("tcp", s.node.Internal())
	if err != nil {
		return err
	}
	outside, err := net.Listen("tcp", s.node.Control())
	if err != nil {
		return err
	}
	rpc := messenger.NewFleetServer()
	messenger.RegisterFleetKeeperServer(rpc, &server{s: s})
	web := &http.Server{Handler: control(s), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(internal) }()
	go func() { failed <- web.Serve(outside) }()
	go func() { failed <- s.loop.Run(ctx) }()
	go s.share(ctx)
	go s.remember(ctx)
	go s.batcher.run(ctx)
	s.members.run(ctx)
	s.log.Info("keeper started", zap.String("zone", s.node.Zone()), zap.Strings("seeds", s.node.Seeds()),
		zap.Bool("first_start", s.node.FirstStart()), zap.Uint64("number", s.view.Load().document.Number()))
	select {
	case <-ctx.Done():
		s.stop(rpc, web)
		return nil
	case err := <-failed:
		s.log.Error("keeper ends", zap.Error(err))
		return err
	}
}

// stopWait lets answers under way leave.
const stopWait = 200 * time.Millisecond

func (s *Steward) stop(rpc *grpc.Server, web *http.Server) {
	s.log.Info("keeper stops")
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	_ = web.Shutdown(ctx)
	rpc.Stop()
}

// share tells the other keepers what this one heard.
func (s *Steward) share(ctx context.Context) {
	t := time.NewTicker(shareEvery)
	defer t.Stop()
	var sharedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m := s.roster.news(time.Now(), s.node.Internal())
		m.Zone = s.node.Zone()
		s.roster.expire(time.Now())
		news := s.quarantine.news(time.Now(), m) || len(m.Sightings)+len(m.Routers) > 0
		if news || time.Since(sharedAt) > announceEvery {
			s.members.share(ctx, m)
			sharedAt = time.Now()
		}
		s.holdBack(ctx)
		s.learnVoters()
	}
}

// learnVoters makes the voters of the log known as peers: after a restart, the
// seeds of the settings may name other VMs.
func (s *Steward) learnVoters() {
	for _, v := range s.loop.State().Voters() {
		s.members.learn(v.Name)
	}
	if s.loop.State().Founded() {
		s.members.refresh()
	}
}
