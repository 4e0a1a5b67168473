// Package courier implements a router process. It finds keepers through seed addresses, obtains
// the configuration, the endpoints and the prepaid rights from them, and serves callers.
package courier

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/enforcer"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/limiter"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/reporter"
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// Limits on connections of callers. Operators announce 3 and 15 s to callers; the
	// values here are slightly longer, so that no caller that respects those is
	// disconnected. An idle connection takes 30 kB: a router with 112 MB of memory ran out
	// of it with 2,800 connections kept for 30 s.
	readHeaderTimeout = 6 * time.Second
	idleTimeout       = 16 * time.Second
	// defaultHeaderBytes is the limit on request heads where the configuration states none.
	defaultHeaderBytes = 64 << 10
	// minRequestsForLag is the number of active requests from which the scheduling lag of
	// the process is measured.
	minRequestsForLag = 4
	// poolSweepInterval is the interval at which idle connections to endpoints are checked.
	poolSweepInterval = time.Second
	// minDrainDuration is how long a stopping router accepts connections at least: the platform
	// stops routing callers here after two failed readiness probes, sent one second apart.
	minDrainDuration = 2500 * time.Millisecond
	// drainAcceptFraction is the fraction of the grace period during which a stopping
	// router accepts requests on open connections: 2.9 of 8 s. A request accepted later
	// might not complete before the process is killed. If it is refused as not executed
	// instead, the caller can retry at another router at once.
	drainAcceptFraction = 0.36
	// maxTrustingDrain is how long a stopping router accepts requests that may last longer than it. The
	// platform has moved its callers to other routers by then.
	maxTrustingDrain = 2900 * time.Millisecond
	// exitMargin is how long before the end of the grace period requests that are left are ended. It
	// covers lastAnswersDelay and closeTimeout.
	exitMargin = 400 * time.Millisecond
	// lastCallMargin is how long before the end of the grace period the last calls to other processes
	// end, and minLastCall how long they may take in any case: rights that are not given back count as
	// spent.
	lastCallMargin    = 100 * time.Millisecond
	minLastCall       = 30 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// incarnationLabelBytes is the length of a label that identifies an incarnation in logs.
	incarnationLabelBytes = 6
	// maxMessageLogLines bounds the log lines a second about messages of other processes that cannot be
	// encoded or decoded.
	maxMessageLogLines = 5
)

// Options configure a router.
type Options struct {
	Node   *loader.Node
	Log    *zap.Logger
	Decode func([]byte) (*publisher.Document, error)
	Wire   forwarder.Wire
	// ClassifyResponse reports whether a response header carries the given request id,
	// another id, or none.
	ClassifyResponse func(http.Header, string) pooler.AnswerMatch
	// QueryCache asks the endpoint at an address which prompt parts its prefix
	// cache holds. It also returns the state that the endpoint reports, which is
	// nil only if there was no response.
	QueryCache func(context.Context, string) ([]predictor.Part, *predictor.State, error)
	// ProbeInstance tells which incarnation of an endpoint answers over a connection.
	ProbeInstance ProbeFunc
	// DialEndpoint opens connections to endpoints; nil stands for pooler.DialDirect.
	DialEndpoint pooler.DialFunc
	// ReadyPath is the path of the platform's readiness probe.
	ReadyPath string
}

// Router is one router process.
type Router struct {
	Options
	incarnation uint64
	startedAt   time.Time
	fleet       *fleetView
	rights      *rights
	pool        *pooler.Pool
	lag         shaper.Lag
	admission   *shaper.Admission
	handler     http.Handler
	// relays is nil if relaying is switched off.
	relays *relays
	// drainingSince is the time from startedAt until the process was told to stop, or 0.
	drainingSince     atomic.Int64
	acceptor          *acceptor.Acceptor
	callers           *callerServer
	connectionsOpened atomic.Int64
	// stopping is closed when a stopping router accepts no more requests.
	stopping chan struct{}
}

// New returns a router that Run starts.
func New(o Options) *Router {
	c := &Router{Options: o, startedAt: time.Now(), incarnation: newIncarnation(), stopping: make(chan struct{})}
	table := predictor.NewTable(o.Node.Zone())
	if o.Node.Features().LoadDigests {
		table.EnableLoadReports()
	}
	if o.Node.Features().Permits {
		table.EnablePermits()
	}
	c.pool = pooler.New(o.ClassifyResponse, func() { c.connectionsOpened.Add(1) })
	c.admission = shaper.NewAdmission(o.Node.LinkRate(), &c.lag)
	if o.DialEndpoint != nil {
		c.pool.UseDialer(o.DialEndpoint)
	}
	c.fleet = newFleetView(o, c.incarnation, table, c.pool)
	c.pool.UseLink(measuredLink{c.admission, &c.fleet.roundTrips})
	c.fleet.shedding = newShedding(c.admission, o.Node, o.Log)
	if o.ProbeInstance != nil {
		c.fleet.quarantine.probe = o.ProbeInstance
	}
	if o.DialEndpoint != nil {
		c.fleet.quarantine.dial = o.DialEndpoint
	}
	if o.Node.Features().EndpointRelays {
		c.relays = newRelays(c.fleet, c.admission, o)
		c.pool.UseRelays(c.relays.dialer)
		c.fleet.quarantine.confirmEnded = c.relays.confirmEnded
		c.fleet.quarantine.dialRelay = c.relays.dialEndpoint
	}
	if o.Node.Features().Permits {
		c.fleet.permits = newPermits(c.fleet, o.Log)
	}
	if o.Node.Features().StreamVersions {
		c.fleet.origins = newStreamOrigins(c.fleet, o.Log)
		registerOriginGauges(c.fleet.origins)
	}
	memory := enforcer.NewMemory(c.resources().RequestMemory())
	c.acceptor = acceptor.New(memory, o.Log)
	c.acceptor.UseDelay(c.delay)
	c.rights = newRights(c.fleet, o.Node.Internal(), o.Log)
	c.fleet.onDocument = c.rights.updateTotals
	c.callers = newCallerServer(http.HandlerFunc(c.handleCaller), o.Log)
	c.callers.delay, c.fleet.quarantine.delay = c.delay, c.delay
	c.registerGauges()
	registerLeavesGauge(c.fleet)
	ratio, slack, window := o.Node.RetryLimit()
	var limits *forwarder.CallerLimits
	if o.Node.Features().CallerLimits {
		limits = &forwarder.CallerLimits{Memory: memory}
		registerMemoryGauge(memory)
	}
	var origins forwarder.StreamOrigins
	if c.fleet.origins != nil {
		origins = c.fleet.origins
	}
	c.handler = forwarder.New(forwarder.Dependencies{
		Origins: origins,
		Wire:    o.Wire, Fleet: c.fleet, Table: table, Pool: c.pool, Rights: c.rights, Log: o.Log,
		Quarantine: c.fleet.quarantine, Admission: c.admission, CallerLimits: limits,
		EnginePriorities: o.Node.Features().EnginePriorities, ServiceAdmission: o.Node.Features().ServiceAdmission, Stopping: c.stopping, Stop: c.stop,
		Limiter: limiter.New(limiter.Budget{Ratio: ratio, Slack: slack, Window: window}, time.Now()),
	})
	return c
}

// resources returns what the process may use for its clients.
func (c *Router) resources() acceptor.Resources {
	return acceptor.Resources{MemoryBytes: c.Node.MemoryBytes(), Descriptors: c.Node.Descriptors(), Shares: acceptor.RouterShares}
}

// delay returns by how much this router's own link and processor delay what it receives and sends.
func (c *Router) delay() time.Duration {
	now := time.Now()
	return c.admission.Delay(now) + c.fleet.roundTrips.Delay(now)
}

// maxHeadBytes returns the limit on heads that the configuration states.
func (c *Router) maxHeadBytes() int64 {
	if x := c.fleet.Index(); x != nil && x.Document().Limits.HeaderBytes > 0 {
		return x.Document().Limits.HeaderBytes
	}
	return defaultHeaderBytes
}

// newIncarnation returns a random number that is not 0.
func newIncarnation() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = crand.Read(b[:])
	return max(binary.BigEndian.Uint64(b[:]), 1)
}

// incarnationLabel identifies an incarnation in logs. The number itself proves membership, and is
// not to be found there.
func incarnationLabel(incarnation uint64) string {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(nil, incarnation))
	return hex.EncodeToString(sum[:incarnationLabelBytes])
}

// AddKeepers adds keeper addresses from changed settings.
func (c *Router) AddKeepers(seeds []string) {
	for _, s := range seeds {
		c.fleet.addKeeper(s, "")
	}
}

// Run serves callers until ctx is done, and then drains the requests in progress.
func (c *Router) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	resources := c.resources()
	front, err := c.acceptor.Listen("callers", c.Node.Serve(), resources.ForClients(c.maxHeadBytes))
	if err != nil {
		return err
	}
	front.Track(&c.callers.server)
	ready, err := c.acceptor.Listen("readiness", c.Node.Ready(), resources.ForProbes())
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET "+c.ReadyPath, c.handleReady)
	question := &http.Server{Handler: m, ReadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	ready.Track(question)
	internal, err := c.acceptor.Listen("processes", c.Node.Internal(), resources.ForPeers())
	if err != nil {
		return err
	}
	n, closeNews, err := newDispatchNotifier(c.fleet, c.admission, c.Log)
	if err != nil {
		return err
	}
	defer closeNews()
	c.fleet.notifier.Store(n)
	go n.receive(work)
	go n.sendDigests(work)
	rpc := messenger.NewFleetServer(reporter.Sampled(c.Log, maxMessageLogLines))
	messenger.RegisterFleetRouterServer(rpc, &peerServer{rights: c.rights, table: c.fleet.table, relays: c.relays})
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(internal) }()
	go func() { failed <- c.callers.serve(c.admission.Listener(c.fleet.shedding.listener(front))) }()
	go func() { failed <- question.Serve(ready) }()
	go c.fleet.run(work)
	go c.rights.run(work)
	if c.fleet.origins != nil {
		go c.fleet.origins.run(work)
	}
	if c.fleet.permits != nil {
		go c.fleet.permits.run(work)
	}
	go c.sweepPool(work)
	if c.relays != nil {
		go c.pool.MaintainPaths(work)
		go c.relays.report(work)
	}
	go c.fleet.shedding.run(work, c.callers.keepConnections)
	go c.lag.Run(work, func() bool { return c.callers.Active() >= minRequestsForLag })
	c.Log.Info("router started", zap.String("zone", c.Node.Zone()), zap.Strings("seeds", c.Node.Seeds()), zap.String("incarnation", incarnationLabel(c.incarnation)))
	select {
	case err := <-failed:
		c.Log.Error("server failed, router exits", zap.Error(err))
		return err
	case <-ctx.Done():
	}
	c.drain()
	c.callers.shutdown(time.Now().Add(c.Node.Grace() - exitMargin - c.drainDuration()))
	c.handOver(work)
	_ = question.Close()
	// The server would wait for connections that are being opened.
	_ = internal.Shutdown()
	rpc.Stop()
	c.Log.Info("router stopped")
	return nil
}

// drain waits until no requests are active, for at most the grace period less exitMargin.
func (c *Router) drain() {
	c.Log.Info("router stops", zap.Int64("active", c.callers.Active()))
	begun := time.Now()
	c.drainingSince.Store(int64(time.Since(c.startedAt)))
	if c.relays != nil {
		c.relays.server.Drain()
	}
	stopWaiting := sync.OnceFunc(func() { close(c.stopping) })
	defer stopWaiting()
	for time.Since(begun) < c.Node.Grace()-exitMargin {
		if time.Since(begun) > c.acceptDuration() {
			stopWaiting()
		}
		if time.Since(begun) > minDrainDuration && c.callers.Active() == 0 && c.relayedConnections() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
	c.Log.Warn("router stops with callers left", zap.Int64("active", c.callers.Active()))
}

// handOver gives the rights and the origins of streams that this router keeps to other processes, in the
// time that is left of the grace period.
func (c *Router) handOver(ctx context.Context) {
	left := c.Node.Grace() - lastCallMargin - c.drainDuration()
	ctx, cancel := context.WithTimeout(ctx, max(left, minLastCall))
	defer cancel()
	var origins sync.WaitGroup
	if c.fleet.origins != nil {
		origins.Go(c.fleet.origins.handOver)
	}
	c.rights.close(ctx)
	origins.Wait()
}

// relayedConnections returns the number of connections that this router relays for others.
func (c *Router) relayedConnections() int {
	if c.relays == nil {
		return 0
	}
	return c.relays.server.Active()
}

// acceptDuration returns how long a stopping router accepts requests, and lets them wait.
func (c *Router) acceptDuration() time.Duration {
	return time.Duration(drainAcceptFraction * float64(c.Node.Grace()))
}

// drainDuration returns how long ago the process was told to stop, or 0.
func (c *Router) drainDuration() time.Duration {
	at := c.drainingSince.Load()
	if at == 0 {
		return 0
	}
	return time.Since(c.startedAt) - time.Duration(at)
}

// stop returns how far the stop of the process has come.
func (c *Router) stop() forwarder.Stop {
	at := c.drainingSince.Load()
	if at == 0 {
		return forwarder.Stop{}
	}
	return forwarder.Stop{
		RequestsEnd: c.startedAt.Add(time.Duration(at) + c.Node.Grace() - exitMargin),
		Late:        c.drainDuration() > min(c.acceptDuration(), maxTrustingDrain),
	}
}

// handleCaller forwards a request of a caller, unless the router is about to stop.
func (c *Router) handleCaller(w http.ResponseWriter, r *http.Request) {
	if d := c.drainDuration(); d > 0 {
		// The caller has to open a new connection, which the platform routes to another router.
		w.Header().Set("Connection", "close")
		if d > c.acceptDuration() {
			c.refuseElsewhere(w)
			return
		}
	}
	if r.Context().Err() != nil && !errors.Is(context.Cause(r.Context()), forwarder.ErrRouterStops) {
		// A read that failed under an earlier request has ended the context of the connection.
		w.Header().Set("Connection", "close")
		c.refuseElsewhere(w)
		return
	}
	c.handler.ServeHTTP(w, r)
}

// refuseElsewhere answers that the request has not run and that another router can serve it at once.
func (c *Router) refuseElsewhere(w http.ResponseWriter) {
	c.Wire.RetryAfter(w.Header(), 0)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// handleReady answers the readiness probe: the router is not ready without a current document,
// while it sheds load, and while it drains.
func (c *Router) handleReady(w http.ResponseWriter, _ *http.Request) {
	if c.fleet.Index() == nil || c.fleet.outdated() || c.fleet.shedding.active() || c.drainDuration() > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sweepPool regularly closes idle connections to endpoints until ctx is done.
func (c *Router) sweepPool(ctx context.Context) {
	t := time.NewTicker(poolSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.pool.CloseExpired(time.Now())
		}
	}
}
