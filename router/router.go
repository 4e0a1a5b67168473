// Package router is the process between callers and endpoints: it checks the
// caller, reserves budget, picks an endpoint, relays the whole answer and
// bills it once.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/looplab/fsm"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/joiner"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/recorder"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/tracker"
	"rattanhoist.example/rattanhoist/treasurer"
)

// States and events of a router's life.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
	eventReady    = "configured"
	eventDrain    = "drain"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	expireEvery       = time.Second
	giveBackTimeout   = 3 * time.Second
	idlePerEndpoint   = 64
	// dialTimeout bounds a connection attempt at an endpoint: the address of a
	// lost VM neither takes nor refuses one, and a request that waited for it
	// until its deadline could not be tried elsewhere. One SYN may be sent
	// again.
	dialTimeout = 2 * time.Second
	// idleConnTimeout closes kept connections to endpoints: there is no other
	// bound on those to endpoints that get no work any more.
	idleConnTimeout = 90 * time.Second
	// drainNotice is how long a draining router still answers that it is
	// draining, so that balancers and callers learn it without a lost
	// connection.
	drainNotice    = time.Second
	forgetEndpoint = 10 * time.Minute
)

// Router is one router process.
type Router struct {
	settings     *loader.Settings
	self         loader.Process
	log          *zap.Logger
	life         *fsm.FSM
	snapshot     atomic.Pointer[configurer.Snapshot]
	tracker      *tracker.Tracker
	gossip       *gossiper
	money        *treasurer.Treasurer
	engineClient *http.Client
	// KeeperConn is the connection to the zone's keeper.
	keeperConn *grpc.ClientConn
	decisions  decisionRecorder
	// Pickers maps plug-in names to *picker.Picker instances.
	pickers sync.Map
	// Ledger is what this router has learned of endpoints, from ledgerBase on.
	ledger          *picker.Ledger
	ledgerBase      time.Time
	candidateTables atomic.Pointer[candidateCache]
	// Limiters maps service names to *limiter.
	limiters sync.Map
	server   *http.Server
	dialer   *messenger.Dialer
	peerRPC  *grpc.Server
	peers    *peerTable
	records  records
	joiner   *joiner.Joiner
	claims   claimKeepers
	// Incarnation tells the starts of this process apart in claims.
	incarnation rattanhoist.Incarnation
	// Attempts counts the claims that this incarnation has asked for.
	attempts atomic.Uint64
	// Handover ends when the operator will not wait for rights to go back.
	handover context.Context
	hurry    context.CancelFunc
	// Gate counts requests and runs in progress; it closes to drain.
	gate gate
}

// New returns a router; the returned function releases what New took.
func New(s *loader.Settings, self loader.Process, log *zap.Logger) (*Router, func(), error) {
	now := time.Now()
	r := &Router{
		settings: s, self: self, log: log,
		incarnation:  rattanhoist.Incarnation(now.UnixNano()),
		joiner:       joiner.New(joiner.Limits{Grace: abandonedRunGrace, Keep: s.Policy().KeepAnswer(), MaxBytes: maxKeptAnswerBytes}),
		decisions:    recorder.New(recordedRequests),
		tracker:      newTracker(s, self),
		engineClient: newEngineClient(),
		ledgerBase:   now,
		ledger:       picker.NewLedger(now),
		life:         newLifeCycle(log),
	}
	r.ledger.SetRouters(len(s.Processes(loader.KindRouter)))
	closePeers, err := r.connect()
	if err != nil {
		return nil, nil, err
	}
	r.registerRPC()
	publishCounters()
	r.handover, r.hurry = context.WithCancel(context.Background())
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		WriteTimeout: s.Policy().MaxTimeout() + idleTimeout,
	}
	return r, closePeers, nil
}

func newLifeCycle(log *zap.Logger) *fsm.FSM {
	return fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventReady, Src: []string{stateStarting}, Dst: stateReady},
		{Name: eventDrain, Src: []string{stateStarting, stateReady}, Dst: stateDraining},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		log.Info("state changed", zap.String("from", e.Src), zap.String("to", e.Dst))
	}})
}

// Run serves until ctx ends, then drains: requests in progress end, new ones
// are refused, and unspent rights go back.
func (r *Router) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", r.self.HTTP())
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := r.serveInside(background); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go r.followConfiguration(background)
	go repeat(background, expireEvery, r.expire)
	go repeat(background, runExpiryInterval, r.joiner.Tick)
	for _, x := range r.peers.siblings {
		go r.heartbeatLoop(background, x)
	}
	go r.watchKeeper(background)
	go r.gossip.run(background)
	go func() { failed <- r.server.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return r.drain(background)
	}
}

// serveInside starts the servers for other processes of the deployment.
func (r *Router) serveInside(ctx context.Context) error {
	l, err := net.Listen("tcp", r.self.RPC())
	if err != nil {
		return err
	}
	go func() { _ = r.peerRPC.Serve(l) }()
	go func() {
		<-ctx.Done()
		r.peerRPC.Stop()
	}()
	return reporter.Serve(ctx, r.self.Debug(), faultCutter(r.settings, r.dialer), &operationsServer{router: r}, r.log)
}

// faultCutter returns the cutter only where the settings open the fault port.
func faultCutter(s *loader.Settings, d *messenger.Dialer) *messenger.Cutter {
	if !s.Policy().FaultPortEnabled() {
		return nil
	}
	return d.Cutter()
}

// expire forgets what has not been renewed for long.
func (r *Router) expire(now time.Time) {
	r.records.expire(now)
	r.tracker.Expire(rattanhoist.MomentOf(now))
	r.ledger.Forget(now, forgetEndpoint)
}

// repeat calls f at every interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, f func(now time.Time)) {
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

// Hurry stops waiting for rights to go back; requests in progress go on. The
// rights that stay out return once the incarnation is fenced.
func (r *Router) Hurry() { r.hurry() }

// drain refuses what is new, also from siblings, and ends once every request
// and run in progress has its answer. The listener stays open until then, so
// that a refusal reaches its caller.
func (r *Router) drain(ctx context.Context) error {
	_ = r.life.Event(ctx, eventDrain)
	r.gate.close()
	time.Sleep(drainNotice)
	ctx, cancel := context.WithTimeout(ctx, r.settings.Policy().DrainTimeout())
	defer cancel()
	err := errors.Join(r.gate.wait(ctx), r.server.Shutdown(ctx))
	give, cancelGive := context.WithTimeout(r.handover, giveBackTimeout)
	defer cancelGive()
	r.money.GiveBack(give)
	return err
}

// endpoint returns an endpoint that is known by name, or nil.
func (r *Router) endpoint(service, name string) *rattanhoist.Endpoint {
	for _, e := range r.tracker.Table().Service(service) {
		if e.Name() == name {
			return e
		}
	}
	return nil
}
