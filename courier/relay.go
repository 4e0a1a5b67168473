package courier

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pathfinder"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/relayer"
	"rattanhoist.example/rattanhoist/shaper"
)

const (
	// maxRelayUtilization is the utilization of its network link up to which a router relays
	// connections for others.
	maxRelayUtilization = 0.75
	// referenceEndpoints is how many other endpoints a relay connects to before it blames one that
	// did not accept its connection, and referenceTimeout bounds these attempts.
	referenceEndpoints = 2
	referenceTimeout   = 300 * time.Millisecond
	// relayExpiryInterval is how often links to relays that are no longer used are closed.
	relayExpiryInterval = 5 * time.Second
	// pathReportInterval is how often changes of the paths are reported.
	pathReportInterval = 200 * time.Millisecond
)

// listedPeers is an immutable list of the other routers.
type listedPeers struct {
	peers        []pathfinder.Peer
	incarnations map[string]uint64
}

func newListedPeers(self *messenger.FleetMember, routers []*messenger.FleetMember) *listedPeers {
	p := &listedPeers{incarnations: map[string]uint64{}}
	for _, m := range routers {
		if m.Address != self.Address {
			p.peers = append(p.peers, pathfinder.Peer{Address: m.Address, Zone: m.Zone})
			p.incarnations[m.Address] = m.Incarnation
		}
	}
	return p
}

// Peers returns the other routers that keepers listed last. Callers must not change the list.
func (f *fleetView) Peers() []pathfinder.Peer {
	if p := f.listedPeers.Load(); p != nil {
		return p.peers
	}
	return nil
}

// Self returns this router.
func (f *fleetView) Self() *messenger.FleetMember { return f.self }

// incarnationOf returns the incarnation of another router.
func (f *fleetView) incarnationOf(address string) (uint64, bool) {
	p := f.listedPeers.Load()
	if p == nil {
		return 0, false
	}
	incarnation, ok := p.incarnations[address]
	return incarnation, ok
}

// relays connects this router to endpoints through others, and others through this one.
type relays struct {
	table     *predictor.Table
	pool      *pooler.Pool
	admission *shaper.Admission
	log       *zap.Logger
	dialer    *relayer.Dialer
	server    *relayer.Server
}

func newRelays(f *fleetView, a *shaper.Admission, o Options) *relays {
	r := &relays{table: f.table, pool: f.pool, admission: a, log: o.Log}
	r.dialer = relayer.NewDialer(f, messenger.DialFunc(pooler.DialDirect))
	r.server = relayer.NewServer(r, messenger.NewMemberGuard(f.incarnationOf, time.Now), func() { f.listRoutersSoon(time.Now()) }, r.dialer.Proven, o.Log)
	return r
}

// Connect opens a direct connection to an endpoint in service.
func (r *relays) Connect(ctx context.Context, name string) (net.Conn, error) {
	e := r.table.Endpoint(name)
	if e == nil || !r.table.InService(e) {
		return nil, relayer.ErrUnknownEndpoint
	}
	c, err := r.pool.DialFor(ctx, relayTarget(e))
	if errors.Is(err, pooler.ErrUnreachable) {
		return nil, relayer.ErrNoPath
	}
	return c, err
}

// relayTarget returns the endpoint as a target of the pool.
func relayTarget(e *predictor.Endpoint) pooler.Target {
	b := e.Beat()
	return pooler.Target{ID: e.Name(), Address: b.Address, Service: b.Service, Zone: b.Zone}
}

// ReachesOthers reports whether an endpoint other than the named one accepts a connection. It is
// true if there is no other one to tell by.
func (r *relays) ReachesOthers(ctx context.Context, name string) bool {
	others := r.references(name)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, referenceTimeout)
	defer cancel()
	connected := make(chan bool, len(others))
	for _, e := range others {
		go func() {
			c, err := r.pool.DialFor(ctx, relayTarget(e))
			if err == nil {
				_ = c.Close()
			}
			connected <- err == nil
		}()
	}
	for range others {
		if <-connected {
			return true
		}
	}
	return false
}

// references returns a few random endpoints other than the named one.
func (r *relays) references(name string) []*predictor.Endpoint {
	names := r.table.Names()
	var out []*predictor.Endpoint
	for _, i := range rand.Perm(len(names)) {
		if len(out) == referenceEndpoints {
			break
		}
		if e := r.table.Endpoint(names[i]); e != nil && names[i] != name {
			out = append(out, e)
		}
	}
	return out
}

// Busy reports whether relaying would delay the callers of this router.
func (r *relays) Busy() bool {
	now := time.Now()
	return r.admission.Overloaded(now) || r.admission.Utilization(now) > maxRelayUtilization
}

// Record records bytes that pass in one direction: they are received and sent.
func (r *relays) Record(n int) {
	now := time.Now()
	r.admission.Received(now, n)
	r.admission.Sent(now, n)
}

// confirmEnded reports whether an endpoint that refuses connections of this router has ended. If
// another router connects to it, only the path is gone.
func (r *relays) confirmEnded(b enroller.Heartbeat) bool {
	c, err := r.dialer.Dial(context.Background(), relayer.Target{Endpoint: b.Incarnation.String(), Zone: b.Zone})
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, relayer.ErrEndpointDown) || r.pool.LostPaths() == 0 && !r.pool.Isolated()
}

// dialEndpoint opens a connection to an endpoint through another router.
func (r *relays) dialEndpoint(ctx context.Context, b enroller.Heartbeat) (io.ReadWriteCloser, error) {
	return r.dialer.Dial(ctx, relayer.Target{Endpoint: b.Incarnation.String(), Zone: b.Zone})
}

// report logs when the paths to endpoints are lost and when they are back, until ctx is done.
func (r *relays) report(ctx context.Context) {
	t := time.NewTicker(pathReportInterval)
	defer t.Stop()
	expiry := time.NewTicker(relayExpiryInterval)
	defer expiry.Stop()
	var lostAt time.Time
	most := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			r.dialer.Expire()
			continue
		case <-t.C:
		}
		lost := r.pool.LostPaths()
		switch {
		case lost > 0 && lostAt.IsZero():
			lostAt, most = time.Now(), lost
			r.log.Warn("paths to endpoints lost", zap.Int("endpoints", lost), zap.Bool("isolated", r.pool.Isolated()))
		case lost == 0 && !lostAt.IsZero():
			r.log.Info("paths to endpoints restored", zap.Int("endpoints", most), zap.Duration("lost_for", time.Since(lostAt)))
			lostAt = time.Time{}
		}
		most = max(most, lost)
	}
}
