// Package courier is a router of a fleet whose members find each other through
// seeds: it asks keepers what is in force and serves callers.
package courier

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/limiter"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// headerTimeout and idleTimeout are for connections of callers: a little
	// more than what operators state for them (3 and 15 s), so that no caller
	// who keeps to that is cut. An idle connection takes 30 kB, and a router of
	// 112 MB ran out of it with 2,800 of them kept for 30 s.
	headerTimeout = 6 * time.Second
	idleTimeout   = 16 * time.Second
	// headerMost is in bytes.
	headerMost = 64 << 10
	// minBusy is the number of requests in progress from which the lag of the process is
	// measured.
	minBusy = 4
	// sweepEvery is how often idle connections to endpoints are looked at.
	sweepEvery = time.Second
	// tellLeast is how long a router that stops goes on taking connections:
	// the platform notices after two questions a second apart.
	tellLeast = 2500 * time.Millisecond
	// takeUntil is how long a router that stops still takes requests on open
	// connections, as a part of the time until it is killed: 2.9 of 8 s. What
	// is taken later may not end before the kill; refused as not run, the
	// caller goes to another router at once.
	takeUntil = 0.36
	// endMargin before the kill, the process ends by itself.
	endMargin = 300 * time.Millisecond
	endPoll   = 20 * time.Millisecond
)

// Options are what a courier needs beside its settings.
type Options struct {
	Node   *loader.Node
	Log    *zap.Logger
	Decode func([]byte) (*publisher.Document, error)
	Wire   forwarder.Wire
	// Belongs tells whose answer a header is.
	Belongs func(http.Header, string) pooler.Belonging
	// Kept asks the endpoint at an address which parts of prompts it keeps. It also returns
	// the state that the endpoint reports, which is nil only if there was no response.
	Kept func(context.Context, string) ([]predictor.Part, *predictor.State, error)
	// ReadyPath is where the platform asks whether callers may come.
	ReadyPath string
}

// Courier is one router process.
type Courier struct {
	Options
	incarnation uint64
	start       time.Time
	fleet       *fleet
	rights      *rights
	pool        *pooler.Pool
	lag         shaper.Lag
	admission   *shaper.Admission
	handler     *forwarder.Forwarder
	// Stopping is when the process was told to stop, as time since start; 0
	// before.
	stopping atomic.Int64
	active   atomic.Int64
	opened   atomic.Int64
}

// New returns a courier.
func New(o Options) *Courier {
	c := &Courier{Options: o, start: time.Now(), incarnation: newIncarnation()}
	table := predictor.NewTable(o.Node.Zone())
	c.pool = pooler.New(o.Belongs, func() { c.opened.Add(1) })
	c.admission = shaper.NewAdmission(o.Node.LinkRate(), &c.lag)
	c.pool.UseLink(c.admission)
	c.fleet = newFleet(o, c.incarnation, table, c.pool)
	c.fleet.shedding = newShedding(c.admission, o.Log)
	c.rights = newRights(c.fleet, o.Node.Internal(), o.Log)
	c.fleet.published = c.rights.prepare
	c.gauges()
	ratio, slack, window := o.Node.Retries()
	c.handler = forwarder.New(forwarder.Parts{
		Wire: o.Wire, Fleet: c.fleet, Table: table, Pool: c.pool, Rights: c.rights, Log: o.Log,
		Quarantine: c.fleet.quarantine, Admission: c.admission,
		Limiter: limiter.New(limiter.Budget{Ratio: ratio, Slack: slack, Window: window}, time.Now()),
	})
	return c
}

func newIncarnation() uint64 {
	var b [8]byte
	// It ends the process rather than fail.
	_, _ = crand.Read(b[:])
	return max(binary.BigEndian.Uint64(b[:]), 1)
}

// Learn makes keepers known that changed settings name.
func (c *Courier) Learn(seeds []string) {
	for _, s := range seeds {
		c.fleet.learn(s, "")
	}
}

// Run serves until ctx ends and all that was taken is answered.
func (c *Courier) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	front, err := net.Listen("tcp", c.Node.Serve())
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", c.Node.Ready())
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
	}
	m := http.NewServeMux()
	m.HandleFunc("GET "+c.ReadyPath, c.answerReady)
	question := &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	internal, err := net.Listen("tcp", c.Node.Internal())
	if err != nil {
		return err
	}
	n, closeNews, err := newNews(c.fleet, c.admission, c.Log)
	if err != nil {
		return err
	}
	defer closeNews()
	c.fleet.news.Store(n)
	go n.run(work)
	rpc := messenger.NewFleetServer()
	messenger.RegisterFleetRouterServer(rpc, &peerServer{rights: c.rights, table: c.fleet.table})
	failed := make(chan error, 3)
	go func() { failed <- rpc.Serve(internal) }()
	go func() { failed <- callers.Serve(c.admission.Listener(front)) }()
	go func() { failed <- question.Serve(ready) }()
	go c.fleet.run(work)
	go c.rights.run(work)
	go c.sweep(work)
	go c.fleet.shedding.run(work, callers.SetKeepAlivesEnabled)
	go c.lag.Run(work, func() bool { return c.active.Load() >= minBusy })
	c.Log.Info("router started", zap.String("zone", c.Node.Zone()), zap.Strings("seeds", c.Node.Seeds()), zap.Uint64("incarnation", c.incarnation))
	select {
	case err := <-failed:
		c.Log.Error("router ends", zap.Error(err))
		return err
	case <-ctx.Done():
	}
	c.drain()
	_ = callers.Close()
	c.rights.close(work)
	_ = question.Close()
	rpc.Stop()
	c.Log.Info("router stopped")
	return nil
}

// drain waits until no caller is left, inside the time until the kill.
func (c *Courier) drain() {
	c.Log.Info("router stops", zap.Int64("active", c.active.Load()))
	begun := time.Now()
	c.stopping.Store(int64(time.Since(c.start)))
	for time.Since(begun) < c.Node.Grace()-endMargin {
		if time.Since(begun) > tellLeast && c.active.Load() == 0 {
			return
		}
		time.Sleep(endPoll)
	}
	c.Log.Warn("router stops with callers left", zap.Int64("active", c.active.Load()))
}

// stoppingFor returns how long ago the process was told to stop, or 0.
func (c *Courier) stoppingFor() time.Duration {
	at := c.stopping.Load()
	if at == 0 {
		return 0
	}
	return time.Since(c.start) - time.Duration(at)
}

func (c *Courier) serve(w http.ResponseWriter, r *http.Request) {
	c.active.Add(1)
	defer c.active.Add(-1)
	if d := c.stoppingFor(); d > 0 {
		// The caller's next request then goes to a router that stays.
		w.Header().Set("Connection", "close")
		if d > time.Duration(takeUntil*float64(c.Node.Grace())) {
			c.Wire.RetryAfter(w.Header(), 0)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	c.handler.ServeHTTP(w, r)
}

func (c *Courier) answerReady(w http.ResponseWriter, _ *http.Request) {
	if c.fleet.Index() == nil || c.fleet.outdated() || c.fleet.shedding.active() || c.stoppingFor() > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (c *Courier) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.pool.Sweep(time.Now())
		}
	}
}
