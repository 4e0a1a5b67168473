// Package router implements the process between callers and endpoints. It
// authenticates the caller, reserves budget, picks an endpoint, relays the
// whole answer and bills it once.
package router

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/tracker"
	"rattanhoist.example/rattanhoist/treasurer"
)

// States of a router process and the events that change them.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
	eventReady    = "configured"
	eventDrain    = "drain"
)

const (
	readHeaderTimeout       = 5 * time.Second
	maxHeaderBytes          = 64 << 10
	idleTimeout             = 2 * time.Minute
	expiryInterval          = time.Second
	returnRightsTimeout     = 3 * time.Second
	maxIdleConnsPerEndpoint = 64
	// dialTimeout bounds a connection attempt to an endpoint. The address of a
	// lost VM neither accepts nor refuses connections; a request that waited
	// for it until its deadline could not be tried elsewhere. The time allows
	// for one retransmission of the SYN.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes idle connections to endpoints. Nothing else bounds
	// those to endpoints that no longer get work.
	idleConnTimeout = 90 * time.Second
	// drainNoticePeriod is how long a draining router keeps answering that it
	// is draining, so that load balancers and callers learn of it without a
	// lost connection.
	drainNoticePeriod = time.Second
	// endpointRetention is how long the ledger keeps an endpoint that is no
	// longer heard of.
	endpointRetention = 10 * time.Minute
)

// Router is one router process.
type Router struct {
	settings     *loader.Settings
	self         loader.Process
	log          *zap.Logger
	lifecycle    *fsm.FSM
	snapshot     atomic.Pointer[configurer.Snapshot]
	tracker      *tracker.Tracker
	gossip       *gossiper
	treasurer    *treasurer.Treasurer
	engineClient *http.Client
	// keeperConn is the connection to the zone's keeper.
	keeperConn *grpc.ClientConn
	decisions  decisionRecorder
	// pickers maps plug-in names to *picker.Picker instances.
	pickers sync.Map
	// ledger holds what this router has learned about endpoints, with times
	// relative to ledgerBase.
	ledger          *picker.Ledger
	ledgerBase      time.Time
	candidateTables atomic.Pointer[candidateCache]
	// limiters maps service names to *limiter.
	limiters   sync.Map
	server     *http.Server
	dialer     *messenger.Dialer
	acceptor   *acceptor.Acceptor
	peerRPC    *grpc.Server
	peers      *peerTable
	runRecords runRecordStore
	joiner     *joiner.Joiner
	claims     claimKeepers
	// incarnation identifies this start of the process in claims.
	incarnation rattanhoist.Incarnation
	// attempts counts the claims that this incarnation has requested.
	attempts atomic.Uint64
	// handover is canceled when the operator does not want to wait until rights
	// are returned.
	handover       context.Context
	cancelHandover context.CancelFunc
	// gate counts requests and runs in progress. It is closed to drain.
	gate gate
}

// New returns a router. The returned function releases its resources.
func New(s *loader.Settings, self loader.Process, log *zap.Logger) (*Router, func(), error) {
	now := time.Now()
	r := &Router{
		settings: s, self: self, log: log,
		incarnation:  rattanhoist.Incarnation(now.UnixNano()),
		joiner:       joiner.New(joiner.Limits{Grace: abandonedRunGrace, Keep: s.Policy().KeepAnswer(), MaxBytes: maxKeptAnswerBytes}),
		decisions:    recorder.New(maxExplainedRequests),
		tracker:      newTracker(s, self),
		engineClient: newEngineClient(),
		ledgerBase:   now,
		ledger:       picker.NewLedger(now),
		lifecycle:    newLifeCycle(log),
	}
	r.acceptor = acceptor.New(enforcer.NewMemory(r.resources().RequestMemory()), log)
	r.ledger.SetRouters(len(s.Processes(loader.KindRouter)))
	closePeers, err := r.connect()
	if err != nil {
		return nil, nil, err
	}
	r.registerRPC()
	publishCounters()
	r.handover, r.cancelHandover = context.WithCancel(context.Background())
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		WriteTimeout: s.Policy().MaxTimeout() + idleTimeout,
	}
	return r, closePeers, nil
}

// resources returns what the process may use for its clients.
func (r *Router) resources() acceptor.Resources {
	p := r.settings.Policy()
	return acceptor.Resources{MemoryBytes: p.MemoryBytes(), Descriptors: p.MaxDescriptors(), Shares: acceptor.RouterShares}
}

// newLifeCycle returns the state machine of the process: starting, ready,
// draining.
func newLifeCycle(log *zap.Logger) *fsm.FSM {
	return fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventReady, Src: []string{stateStarting}, Dst: stateReady},
		{Name: eventDrain, Src: []string{stateStarting, stateReady}, Dst: stateDraining},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		log.Info("state changed", zap.String("from", e.Src), zap.String("to", e.Dst))
	}})
}

// Run serves until ctx ends and then drains: requests in progress are
// completed, new ones are refused, and unspent rights are returned.
func (r *Router) Run(ctx context.Context) error {
	l, err := r.acceptor.Listen("callers", r.self.HTTP(), r.resources().ForClients(func() int64 { return maxHeaderBytes }))
	if err != nil {
		return err
	}
	l.Track(r.server)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := r.serveInternal(background); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go r.followConfiguration(background)
	go runEvery(background, expiryInterval, r.expireStale)
	go runEvery(background, runExpiryInterval, r.joiner.Tick)
	for _, x := range r.peers.siblings {
		go r.heartbeatLoop(background, x)
	}
	go r.logKeeperReachability(background)
	go r.gossip.run(background)
	go func() { failed <- r.server.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return r.drain(background)
	}
}

// serveInternal starts the servers for other processes of the deployment.
func (r *Router) serveInternal(ctx context.Context) error {
	l, err := r.acceptor.Listen("processes", r.self.RPC(), r.resources().ForPeers())
	if err != nil {
		return err
	}
	go func() { _ = r.peerRPC.Serve(l) }()
	go func() {
		<-ctx.Done()
		r.peerRPC.Stop()
	}()
	return reporter.Serve(ctx, r.self.Debug(), r.resources(), faultCutter(r.settings, r.dialer), &operationsServer{router: r}, r.log)
}

// faultCutter returns the cutter that injects network faults, or nil if the
// settings don't enable the fault port.
func faultCutter(s *loader.Settings, d *messenger.Dialer) *messenger.Cutter {
	if !s.Policy().FaultPortEnabled() {
		return nil
	}
	return d.Cutter()
}

// expireStale deletes run records, endpoints and ledger entries that have not
// been renewed in time.
func (r *Router) expireStale(now time.Time) {
	r.runRecords.expire(now)
	r.tracker.Expire(rattanhoist.MomentOf(now))
	r.ledger.RemoveIdle(now, endpointRetention)
}

// runEvery calls f at every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(time.Now())
		}
	}
}

// Hurry stops waiting until rights are returned; requests in progress
// continue. Rights that are not returned become available again once the
// incarnation is fenced.
func (r *Router) Hurry() { r.cancelHandover() }

// drain refuses new requests, also from siblings, and returns once every
// request and run in progress has its answer. The listener stays open until
// then, so that callers receive the refusal.
func (r *Router) drain(ctx context.Context) error {
	_ = r.lifecycle.Event(ctx, eventDrain)
	r.gate.close()
	time.Sleep(drainNoticePeriod)
	ctx, cancel := context.WithTimeout(ctx, r.settings.Policy().DrainTimeout())
	defer cancel()
	err := errors.Join(r.gate.wait(ctx), r.server.Shutdown(ctx))
	give, cancelGive := context.WithTimeout(r.handover, returnRightsTimeout)
	defer cancelGive()
	r.treasurer.ReturnAll(give)
	return err
}

// endpoint returns a known endpoint by name, or nil.
func (r *Router) endpoint(service, name string) *rattanhoist.Endpoint {
	for _, e := range r.tracker.Table().Service(service) {
		if e.Name() == name {
			return e
		}
	}
	return nil
}
