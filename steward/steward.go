// Package steward implements the keeper process of a fleet whose members find each other
// through seed addresses. A keeper votes in the replicated log, takes configurations from
// operators and heartbeats from endpoints, and tells routers which configuration and
// endpoints are current.
package steward

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/committer"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/replicator"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/storer"
)

const (
	// The failure of a leader costs one to two election timeouts and a round of votes.
	logHeartbeatInterval = 100 * time.Millisecond
	electionTimeout      = 600 * time.Millisecond
	// foundingDelay is the time after its start from which a majority of the seeds founds the deployment
	// without the others: several times the time between the starts of the machines.
	foundingDelay = time.Second
	// replaceDivisor is the part of the catch-up time for which a voter must be silent before a
	// keeper with a complete copy replaces it. Each new leader measures the silence anew, and the
	// change of the voters takes time as well. Replacing a voter too early is safe, only
	// unnecessary.
	replaceDivisor = 3
	// A snapshot of the log is written after compactEntries entries or compactBytes bytes.
	compactEntries = 1024
	compactBytes   = 4 << 20
	// balanceLogInterval is the minimum time between two checks of the prepaid balances.
	balanceLogInterval = time.Second
	// shareInterval is how often keepers send each other what they observed.
	shareInterval = 300 * time.Millisecond
	// minShareInterval is the time between two messages of which the second was sent early, because of a new
	// version.
	minShareInterval = 50 * time.Millisecond
	// announceInterval is how often a keeper without new observations sends its zone to
	// the others.
	announceInterval = 2 * time.Second
	// headerTimeout bounds the wait for a caller's request headers, requestTimeout that for the whole
	// request, and idleTimeout how long an endpoint's connection is kept between heartbeats.
	headerTimeout  = 5 * time.Second
	requestTimeout = 10 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultRequestMemory bounds what operators and endpoints may hold of a process without a limit on its
	// memory, in bytes.
	defaultRequestMemory = 56 << 20
	// maxMessageLogLines bounds the log lines a second about messages of other processes that cannot be
	// encoded or decoded.
	maxMessageLogLines = 5
	// callTimeout bounds a call between keepers; it is shorter than the second that
	// operators and endpoints wait for an answer.
	callTimeout = 400 * time.Millisecond
	// changeTimeout bounds the wait for a commit; it is slightly shorter than the sender's
	// own timeout.
	changeTimeout = 900 * time.Millisecond
)

// committedState is the committed state that readers outside the log's loop see;
// immutable.
type committedState struct {
	document    *governor.Document
	quarantines []governor.Quarantine
	evacuations *governor.Evacuations
	// returnedAt holds when this keeper saw each evacuated zone return to service.
	returnedAt map[string]time.Time
}

// Keeper is one keeper process.
type Keeper struct {
	node      *loader.Node
	log       *zap.Logger
	startedAt time.Time
	loop      *committer.Loop
	// state is changed by the loop only; committedState holds what other goroutines may
	// read.
	state          *governor.StateMachine
	committedState atomic.Pointer[committedState]
	peers          *peerLinks
	registry       *registry
	batcher        *batcher
	// claimPace states the interval of claims while this keeper leads.
	claimPace *claimPace
	// quarantines detects the requests under which endpoints crash.
	quarantines *quarantineTracker
	// endpointsFile stores the known endpoints across restarts.
	endpointsFile *storer.AtomicFile
	// scarce holds the workspaces whose balance was last logged as low, and
	// balancesCheckedAt the time of that check; only the loop uses them.
	scarce            map[string]bool
	balancesCheckedAt time.Time
	announcementLog   *zap.Logger
	announcements     announcements
	acceptor          *acceptor.Acceptor
	// nonVoterLoggedAt is used by shareObservations only.
	nonVoterLoggedAt time.Time
}

// New opens the store and restores the log. The returned function closes the store.
func New(n *loader.Node, log *zap.Logger) (*Keeper, func(), error) {
	return newKeeper(n, log, messenger.NewLink)
}

// newKeeper is New with the function that returns links to other keepers.
func newKeeper(n *loader.Node, log *zap.Logger, newLink func(address string) *messenger.Link) (*Keeper, func(), error) {
	store, closeStore, err := storer.Open(n.DataDir())
	if err != nil {
		return nil, nil, err
	}
	s := &Keeper{
		node: n, log: log, startedAt: time.Now(), state: governor.New(), scarce: map[string]bool{}, endpointsFile: storer.NewAtomicFile(n.DataDir(), endpointsFileName),
	}
	s.committedState.Store(&committedState{document: s.state.Document(), evacuations: s.state.Evacuations()})
	s.peers = newPeerLinks(n.Internal(), n.Seeds(), newLink, s.setPeers)
	s.acceptor = acceptor.New(enforcer.NewMemory(cmp.Or(s.resources().RequestMemory(), defaultRequestMemory)), log)
	s.registry = newRegistry(n.Heartbeat())
	s.registry.log = reporter.Sampled(log, maxHeartbeatLogLines)
	s.announcements.last = map[string]announcement{}
	s.announcementLog = reporter.Sampled(log, maxAnnouncementLogLines)
	s.quarantines = newQuarantineTracker(n.Quarantine(), n.Features().PartQuarantine)
	s.loop, err = committer.New(committer.Options{
		Core: replicator.Options{
			Name: n.Internal(), Peers: s.peers.names(), Voters: 2*n.LostDisks() + 1,
			Zone:    s.zoneOf,
			Timing:  replicator.Timing{HeartbeatInterval: logHeartbeatInterval, ElectionTimeout: electionTimeout, Replace: n.CatchUp() / replaceDivisor},
			Rand:    newRand(),
			Machine: s.state, CompactAfter: compactEntries, CompactBytes: compactBytes,
			// At the first start of the whole fleet, its seeds found the deployment.
			NoFounding: !n.FirstStart() || !slices.Contains(n.Seeds(), n.Internal()), FoundingDelay: foundingDelay,
		},
		Store: store, Send: s.peers.send, OnCommit: s.onCommit, Log: log,
	})
	if err != nil {
		_ = closeStore()
		return nil, nil, err
	}
	// After a restart, the seeds in the settings may name other VMs.
	s.AddSeeds(s.loop.FoundingSeeds())
	s.claimPace = newClaimPace(n.ProcessorShare())
	s.registerGauges()
	s.batcher = newBatcher(s.loop.Propose, log)
	s.batcher.onCommit = s.claimPace.recordCommit
	s.registry.beginVersions(time.Now(), n.FirstStart())
	s.restoreEndpoints()
	// Runs after restoreEndpoints, so that it removes the restored endpoints that have
	// left.
	s.onCommit()
	return s, func() { _ = closeStore() }, nil
}

// resources returns what the process may use for its clients.
func (s *Keeper) resources() acceptor.Resources {
	return acceptor.Resources{MemoryBytes: s.node.MemoryBytes(), Descriptors: s.node.Descriptors(), Shares: acceptor.KeeperShares}
}

// RequestMemory returns the memory in which the requests of operators and endpoints are held.
func (s *Keeper) RequestMemory() *enforcer.Memory { return s.acceptor.Memory() }

// zoneOf returns the availability zone of a keeper, or "" if it is not known yet.
func (s *Keeper) zoneOf(name string) string {
	if name == s.node.Internal() {
		return s.node.Zone()
	}
	return s.peers.zone(name)
}

// newRand returns a random number generator with a random seed.
func newRand() *rand.Rand {
	var seed [16]byte
	// Read never returns an error: without randomness it ends the process.
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// onCommit publishes what the loop has applied and synced.
func (s *Keeper) onCommit() {
	old := s.committedState.Load()
	v := &committedState{
		document: s.state.Document(), quarantines: s.state.Quarantines(),
		evacuations: s.state.Evacuations(), returnedAt: old.returnedAt,
	}
	if v.evacuations.Revision() != old.evacuations.Revision() {
		v.returnedAt = updateReturnTimes(time.Now(), old, v.evacuations)
		s.log.Info("evacuated zones", zap.Uint64("revision", v.evacuations.Revision()), zap.Strings("zones", v.evacuations.Zones()))
	}
	s.committedState.Store(v)
	if v.document.Number() != old.document.Number() {
		s.log.Info("configuration", zap.Uint64("number", v.document.Number()), zap.Int("bytes", len(v.document.Content())),
			zap.Int64("prepaid", s.state.Ledger().TotalPrepaid()))
	}
	s.registry.applyLeaves(time.Now(), s.state.Leaves(), s.state.Index())
	s.logScarceBalances(time.Now())
}

// logScarceBalances logs each workspace whose prepaid balance becomes low or is no longer
// low. While it is low, some of the workspace's requests are refused.
func (s *Keeper) logScarceBalances(now time.Time) {
	if now.Sub(s.balancesCheckedAt) < balanceLogInterval {
		return
	}
	s.balancesCheckedAt = now
	for _, b := range s.state.Ledger().Balances() {
		if b.Scarce == s.scarce[b.Workspace] {
			continue
		}
		s.scarce[b.Workspace] = b.Scarce
		s.log.Info("prepaid total", zap.String("workspace", b.Workspace), zap.Bool("scarce", b.Scarce), zap.Int64("total", b.Total),
			zap.Int64("left", b.Unallocated), zap.Int64("held", b.Held), zap.Int64("spent", b.Spent), zap.Int64("ended", b.SpentByEnded))
	}
}

// setPeers passes the names of the other keepers to the log.
func (s *Keeper) setPeers(names []string) error {
	err := s.loop.SetPeers(names)
	if err != nil {
		s.log.Warn("cannot update the peers of the log, will retry", zap.Error(err))
	}
	return err
}

// AddSeeds adds keepers that settings name, now or at an earlier start.
func (s *Keeper) AddSeeds(seeds []string) {
	for _, x := range seeds {
		s.peers.add(x)
	}
}

// Run serves calls until ctx ends.
func (s *Keeper) Run(ctx context.Context, control func(*Keeper) http.Handler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resources := s.resources()
	internalListener, err := s.acceptor.Listen("processes", s.node.Internal(), resources.ForPeers())
	if err != nil {
		return err
	}
	controlListener, err := s.acceptor.Listen("control", s.node.Control(), resources.ForClients(func() int64 { return maxHeaderBytes }))
	if err != nil {
		return err
	}
	rpc := messenger.NewFleetServer(reporter.Sampled(s.log, maxMessageLogLines))
	messenger.RegisterFleetKeeperServer(rpc, &server{keeper: s})
	web := &http.Server{
		Handler: control(s), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	controlListener.Track(web)
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(internalListener) }()
	go func() { failed <- web.Serve(controlListener) }()
	go func() { failed <- s.loop.Run(ctx) }()
	go s.shareObservations(ctx)
	go s.persistEndpoints(ctx)
	go s.batcher.run(ctx)
	s.peers.run(ctx)
	s.log.Info("keeper started", zap.String("zone", s.node.Zone()), zap.Strings("seeds", s.node.Seeds()),
		zap.Bool("first_start", s.node.FirstStart()), zap.Uint64("number", s.committedState.Load().document.Number()))
	select {
	case <-ctx.Done():
		s.stop(rpc, internalListener, web)
		return nil
	case err := <-failed:
		s.log.Error("keeper failed", zap.Error(err))
		return err
	}
}

// shutdownTimeout bounds how long a stopping keeper waits for answers in progress.
const shutdownTimeout = 200 * time.Millisecond

// stop closes the servers after a short wait for answers in progress.
func (s *Keeper) stop(rpc *grpc.Server, internal *acceptor.Port, web *http.Server) {
	s.log.Info("keeper stops")
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = web.Shutdown(ctx)
	// The server would wait for connections that are being opened.
	_ = internal.Shutdown()
	rpc.Stop()
}

// shareObservations periodically sends what this keeper observed to the other keepers. A version that was not
// known is shared at once: streams may begin at it as soon as one router knows it, and routers that sync with
// another keeper must not take an earlier version for the only one.
func (s *Keeper) shareObservations(ctx context.Context) {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	var sharedAt time.Time
	failureLog := reporter.Sampled(s.log, maxMessageLogLines)
	onFailure := func(keeper string, err error) {
		sharesFailed.Inc()
		failureLog.Warn("observations not shared with keeper", zap.String("keeper", keeper), zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-s.registry.versionAdded:
			time.Sleep(time.Until(sharedAt.Add(minShareInterval)))
		}
		m := s.registry.takeUnshared(time.Now(), s.node.Internal())
		m.Zone = s.node.Zone()
		s.registry.expire(time.Now())
		hasNews := s.quarantines.takeUnshared(time.Now(), m) || len(m.Sightings)+len(m.Routers) > 0
		if hasNews || time.Since(sharedAt) > announceInterval {
			s.peers.broadcast(ctx, m, onFailure)
			sharedAt = time.Now()
		}
		s.submitQuarantines(ctx)
		s.addVoters()
		s.logNonVoter(time.Now())
	}
}

// addVoters adds the voters of the log to the known peers: after a restart, the seeds in
// the settings may name other VMs.
func (s *Keeper) addVoters() {
	for _, v := range s.loop.State().Voters() {
		s.peers.add(v.Name)
	}
	s.peers.reportNames()
}
