// Package router is the process between callers and endpoints: it checks the
// caller, reserves budget, picks an endpoint, relays the whole answer and
// bills it once.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
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
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/tracker"
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
)

// Router is one router process.
type Router struct {
	settings *loader.Settings
	self     loader.Process
	log      *zap.Logger
	life     *fsm.FSM
	snapshot atomic.Pointer[configurer.Snapshot]
	tracker  *tracker.Tracker
	money    *treasurer
	config   messenger.ConfigurationKeeperClient
	engines  *http.Client
	// Pickers maps plug-in names to *picker.Picker instances.
	pickers sync.Map
	// InFlight maps endpoint names to *atomic.Int64.
	inFlight sync.Map
	server   *http.Server
	// Active counts requests in progress, for draining.
	active sync.WaitGroup
}

// New returns a router; the returned function releases what New took.
func New(s *loader.Settings, self loader.Process, log *zap.Logger) (*Router, func(), error) {
	d := messenger.NewDialer(self.Name(), messenger.RoleMember, s.DeploymentKey())
	conn, err := d.Dial(zoneKeeper(s, self.Zone()).RPC())
	if err != nil {
		return nil, nil, err
	}
	r := &Router{
		settings: s, self: self, log: log,
		tracker: tracker.New(s.Policy().EndpointMaxAge()),
		money:   newTreasurer(self, conn),
		config:  messenger.NewConfigurationKeeperClient(conn),
		engines: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	r.life = fsm.NewFSM(stateStarting, fsm.Events{
		{Name: eventReady, Src: []string{stateStarting}, Dst: stateReady},
		{Name: eventDrain, Src: []string{stateStarting, stateReady}, Dst: stateDraining},
	}, fsm.Callbacks{"enter_state": func(_ context.Context, e *fsm.Event) {
		log.Info("state changed", zap.String("from", e.Src), zap.String("to", e.Dst))
	}})
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
	return r, func() { _ = conn.Close() }, nil
}

func newTreasurer(self loader.Process, conn *grpc.ClientConn) *treasurer {
	return &treasurer{
		router: self.Name(), incarnation: rattanhoist.Incarnation(time.Now().UnixNano()),
		keeper: messenger.NewBudgetKeeperClient(conn),
	}
}

// zoneKeeper returns the keeper of a zone; checked settings have one.
func zoneKeeper(s *loader.Settings, zone string) loader.Process {
	for _, p := range s.Processes(loader.KindKeeper) {
		if p.Zone() == zone {
			return p
		}
	}
	return loader.Process{}
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
	failed := make(chan error, 1)
	go r.follow(background)
	go r.expire(background)
	go func() { failed <- r.server.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return r.drain(background)
	}
}

func (r *Router) expire(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.tracker.Expire(time.Now())
		}
	}
}

func (r *Router) drain(ctx context.Context) error {
	_ = r.life.Event(ctx, eventDrain)
	ctx, cancel := context.WithTimeout(ctx, r.settings.Policy().DrainTimeout())
	defer cancel()
	err := r.server.Shutdown(ctx)
	r.active.Wait()
	give, cancelGive := context.WithTimeout(ctx, giveBackTimeout)
	defer cancelGive()
	r.money.giveBack(give)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (r *Router) picker(name string) picker.Picker {
	if name == "" {
		name = r.settings.Policy().Picker()
	}
	p, ok := r.pickers.Load(name)
	if !ok {
		made, _ := picker.New(name)
		p, _ = r.pickers.LoadOrStore(name, made)
	}
	return p.(picker.Picker)
}

func (r *Router) inFlightAt(endpoint string) *atomic.Int64 {
	n, ok := r.inFlight.Load(endpoint)
	if !ok {
		n, _ = r.inFlight.LoadOrStore(endpoint, &atomic.Int64{})
	}
	return n.(*atomic.Int64)
}

// pick returns an endpoint that may serve the request and is not in tried.
func (r *Router) pick(q *request, tried map[string]bool) (*rattanhoist.Endpoint, error) {
	now := time.Now()
	allowed := r.snapshot.Load().Allowed(q.workspace, q.service)
	var c []picker.Candidate
	for _, e := range r.tracker.Table().Service(q.service.Name) {
		if r.tracker.Usable(e, now) && !tried[e.Name()] && allowed(e) {
			c = append(c, picker.Candidate{Endpoint: e, InFlight: r.inFlightAt(e.Name()).Load()})
		}
	}
	i := r.picker(q.service.Picker).Pick(picker.Query{
		Now: now, Deadline: q.deadline, Zone: r.self.Zone(), Prefix: q.prefix,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, c)
	if i < 0 {
		return nil, rattanhoist.ErrNoEndpoint
	}
	return c[i].Endpoint, nil
}
