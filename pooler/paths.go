package pooler

import (
	"context"
	"errors"
	"net"
	"time"

	"rattanhoist.example/rattanhoist/detector"
	"rattanhoist.example/rattanhoist/pathfinder"
	"rattanhoist.example/rattanhoist/relayer"
)

const (
	// pathCheckInterval is how often the paths are checked for what is due.
	pathCheckInterval = 100 * time.Millisecond
	// maxPathProbes is the maximum number of lost paths that are probed in one interval.
	maxPathProbes = 16
	// hungTimeout is how long nothing may arrive on a connection whose path is lost before a
	// request that may run again is ended there, unless this router's own link delays what arrives.
	hungTimeout = time.Second
)

// RelayDialer opens connections to endpoints through other routers.
type RelayDialer interface {
	// Dial returns relayer.ErrEndpointDown or relayer.ErrNoRelay if there is no connection.
	Dial(ctx context.Context, t relayer.Target) (*relayer.Conn, error)
}

// UseRelays makes the pool open connections through other routers while direct ones fail. It must be
// called before the first exchange. MaintainPaths must run as well.
func (p *Pool) UseRelays(r RelayDialer) { p.relays = r }

// now returns the time on the clock of the paths.
func (p *Pool) now() time.Duration { return time.Since(p.created) }

// PathLost reports whether the direct path to an endpoint is lost.
func (p *Pool) PathLost(id string) bool { return p.paths.Lost(id) }

// LostPaths returns the number of endpoints to which the direct path is lost.
func (p *Pool) LostPaths() int { return p.paths.LostCount() }

// Isolated reports whether this router appears to have no path of its own to any endpoint.
func (p *Pool) Isolated() bool { return p.paths.Isolated(p.now()) }

// began records that a request is sent on a connection.
func (p *Pool) began(c *conn, repeatable bool) {
	now := p.now()
	c.heardAt.Store(int64(now))
	c.repeatable.Store(repeatable)
	if c.silence != nil {
		c.silence.Began(now)
	}
}

// ended records the end of an exchange.
func (p *Pool) ended(c *conn) {
	c.repeatable.Store(false)
	if c.silence != nil {
		c.silence.Ended()
	}
}

// open opens a connection that popIdle has counted, directly or through a relay.
func (p *Pool) open(ctx context.Context, t Target) (*conn, error) {
	c, err := p.openCounted(ctx, t)
	if err != nil {
		p.uncount(t.ID)
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.peers[t.ID]; x != nil {
		x.busy[c] = true
	}
	return c, nil
}

// openCounted opens a connection by the route to the endpoint.
func (p *Pool) openCounted(ctx context.Context, t Target) (*conn, error) {
	if p.relays == nil {
		return p.dialDirect(ctx, t)
	}
	switch p.paths.Route(p.now(), t.ID) {
	case pathfinder.Unreachable:
		return nil, ErrUnreachable
	case pathfinder.DirectOnly:
		return p.dialDirect(ctx, t)
	case pathfinder.Relayed:
		c, err := p.dialRelay(ctx, t)
		if err != nil && ctx.Err() == nil {
			p.paths.RelayFailed(p.now(), t.ID, errors.Is(err, relayer.ErrEndpointDown))
			if !errors.Is(err, relayer.ErrEndpointDown) {
				err = ErrUnreachable
			}
		}
		return c, err
	case pathfinder.Race:
		return p.race(ctx, t, 0)
	}
	return p.race(ctx, t, p.relayDelay())
}

// relayDelay returns how long a direct connection attempt may take before a relay is asked.
func (p *Pool) relayDelay() time.Duration {
	return pathfinder.RelayDelay + p.dialTimeout() - minDialTimeout
}

// dialDirect opens a direct connection.
func (p *Pool) dialDirect(ctx context.Context, t Target) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.dialTimeout())
	defer cancel()
	c, err := p.dialAddress(dialCtx, t.Address)
	countDial(err)
	if err != nil {
		if ctx.Err() == nil && p.relays != nil {
			p.directFailed(t)
		}
		return nil, err
	}
	p.opened()
	if p.relays != nil && p.paths.Connected(p.now(), t.ID) {
		p.restored(t.ID)
	}
	return p.newConn(t, directTransport{detector.New(c)}, "", ""), nil
}

// DialFor opens a direct connection to an endpoint on behalf of another router.
func (p *Pool) DialFor(ctx context.Context, t Target) (net.Conn, error) {
	if p.paths.Lost(t.ID) || p.paths.FailedLately(p.now(), t.ID) {
		return nil, ErrUnreachable
	}
	c, err := p.dialAddress(ctx, t.Address)
	countDial(err)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.directFailed(t)
		}
		return nil, err
	}
	if p.paths.Connected(p.now(), t.ID) {
		p.restored(t.ID)
	}
	return c, nil
}

// directFailed records a direct connection attempt that failed, unless this router itself delayed it.
func (p *Pool) directFailed(t Target) {
	if p.dialTimeout() == maxDialTimeout {
		return
	}
	p.paths.Failed(p.now(), t.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostTargets[t.ID] = t
}

// dialRelay opens a connection through a relay.
func (p *Pool) dialRelay(ctx context.Context, t Target) (*conn, error) {
	c, err := p.relays.Dial(ctx, relayer.Target{Endpoint: t.ID, Zone: t.Zone, Allows: t.RelayZones.Allows})
	if err != nil {
		return nil, err
	}
	if p.paths.Relayed(p.now(), t.ID) {
		p.lost(t)
	}
	return p.newConn(t, c, c.Relay(), c.Zone()), nil
}

// dialed is the result of one of two connection attempts.
type dialed struct {
	conn    *conn
	err     error
	relayed bool
}

// race opens a direct connection, and one through a relay once the direct attempt fails or takes
// longer than a delay. The first connection is returned. A direct one that comes later is kept, since
// it shows that the path works.
func (p *Pool) race(ctx context.Context, t Target, delay time.Duration) (*conn, error) {
	results := make(chan dialed, 2)
	// An attempt goes on if the caller leaves: its result is that of the path.
	attempt := context.WithoutCancel(ctx)
	dial := func(relayed bool, open func(context.Context, Target) (*conn, error)) {
		c, err := open(attempt, t)
		results <- dialed{conn: c, err: err, relayed: relayed}
	}
	go dial(false, p.dialDirect)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var directErr, relayErr error
	running, relayAsked := 1, false
	askRelay := func() {
		if !relayAsked {
			relayAsked = true
			running++
			go dial(true, p.dialRelay)
		}
	}
	for running > 0 {
		select {
		case <-ctx.Done():
			go p.settleRace(t, results, running, false)
			return nil, ctx.Err()
		case <-timer.C:
			askRelay()
		case r := <-results:
			running--
			switch {
			case r.err == nil:
				go p.settleRace(t, results, running, r.relayed)
				return r.conn, nil
			case r.relayed:
				relayErr = r.err
			default:
				directErr = r.err
				askRelay()
			}
		}
	}
	return nil, p.bothFailed(t, directErr, relayErr)
}

// settleRace records the results of connection attempts that are still running. The flag relayed is
// set if a relay has connected, which shows that the endpoint accepts connections.
func (p *Pool) settleRace(t Target, results <-chan dialed, running int, relayed bool) {
	for range running {
		r := <-results
		switch {
		case r.err == nil && r.relayed:
			p.closeUncounted(r.conn)
		case r.err == nil:
			p.adopt(r.conn)
		case !r.relayed && relayed && p.paths.Relayed(p.now(), t.ID):
			p.lost(t)
		}
	}
}

// bothFailed records that neither a direct connection nor one through a relay could be opened.
func (p *Pool) bothFailed(t Target, directErr, relayErr error) error {
	down := errors.Is(relayErr, relayer.ErrEndpointDown)
	lost := p.paths.RelayFailed(p.now(), t.ID, down)
	if lost {
		p.lost(t)
	}
	if !down && p.paths.Lost(t.ID) {
		return ErrUnreachable
	}
	return directErr
}

// closeUncounted closes a connection that is not counted.
func (p *Pool) closeUncounted(c *conn) { _ = c.Close() }

// adopt keeps an uncounted connection as an idle one, if there may be more.
func (p *Pool) adopt(c *conn) {
	c.reusableUntil = time.Now().Add(defaultReuseTimeout)
	p.mu.Lock()
	x := p.peer(c.target.ID)
	if x.open < c.target.MaxConnections {
		x.open++
		x.idle = append(x.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.closeUncounted(c)
}

// lost closes the idle direct connections to an endpoint whose path was lost. If the whole service
// has fallen silent, its other endpoints are suspect.
func (p *Pool) lost(t Target) {
	pathsLost.Inc()
	p.closeIdle(t.ID, (*conn).direct)
	p.suspectSilent(t.Service)
}

// suspectSilent marks the endpoints of a service as suspect if none of them was heard lately.
func (p *Pool) suspectSilent(service string) {
	now := p.now()
	if now-p.silence.Service(service).HeardAt() < pathfinder.SilenceTimeout {
		return
	}
	for _, id := range p.directPeers(service) {
		if !p.paths.Lost(id) {
			p.paths.Suspect(now, id)
			p.closeIdle(id, (*conn).direct)
		}
	}
}

func (c *conn) direct() bool { return c.relay == "" }

// directPeers returns the endpoints of a service to which there are direct connections.
func (p *Pool) directPeers(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, x := range p.peers {
		if x.isOf(service) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isOf reports whether there are direct connections to an endpoint of the service.
func (x *peer) isOf(service string) bool {
	for c := range x.busy {
		if c.direct() && c.target.Service == service {
			return true
		}
	}
	for _, c := range x.idle {
		if c.direct() && c.target.Service == service {
			return true
		}
	}
	return false
}

// restored closes the idle connections through relays to an endpoint whose path is back.
func (p *Pool) restored(id string) {
	pathsRestored.Inc()
	p.closeIdle(id, func(c *conn) bool { return !c.direct() })
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lostTargets, id)
}

// MaintainPaths probes lost paths and checks the paths to services that have fallen silent, until
// ctx is done.
func (p *Pool) MaintainPaths(ctx context.Context) {
	t := time.NewTicker(pathCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := p.now()
		for _, id := range p.paths.ProbesDue(now, maxPathProbes) {
			go p.probe(ctx, id)
		}
		for _, service := range p.silence.Due(now) {
			go p.checkSilent(ctx, service)
		}
		if p.paths.LostCount() > 0 {
			p.endHung(now)
		}
		p.paths.Expire(now)
	}
}

// probe connects directly to an endpoint whose path is lost, and through a relay if none had a path.
func (p *Pool) probe(ctx context.Context, id string) {
	p.mu.Lock()
	t, ok := p.lostTargets[id]
	p.mu.Unlock()
	if !ok {
		return
	}
	if p.paths.WithoutRelay(id) {
		if c, err := p.dialRelay(ctx, t); err == nil {
			p.adopt(c)
		}
	}
	if c, err := p.dialDirect(ctx, t); err == nil {
		if p.paths.Lost(id) {
			p.closeUncounted(c)
			return
		}
		p.adopt(c)
	}
}

// checkSilent connects directly to an endpoint of a service that has fallen silent. If that fails
// and a relay connects, the endpoints of the service are suspect.
func (p *Pool) checkSilent(ctx context.Context, service string) {
	t, ok := p.waitingTarget(service)
	if !ok || p.paths.Lost(t.ID) {
		return
	}
	silenceChecks.Inc()
	if c, err := p.dialDirect(ctx, t); err == nil {
		p.adopt(c)
		return
	}
	if ctx.Err() != nil {
		return
	}
	c, err := p.dialRelay(ctx, t)
	if err != nil {
		return
	}
	p.closeUncounted(c)
	p.suspectSilent(service)
}

// waitingTarget returns an endpoint of a service where a request waits on a direct connection.
func (p *Pool) waitingTarget(service string) (Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.peers {
		for c := range x.busy {
			if c.direct() && c.target.Service == service {
				return c.target, true
			}
		}
	}
	return Target{}, false
}

// endHung closes the direct connections on which a request that may run again waits while the path
// is lost.
func (p *Pool) endHung(now time.Duration) {
	timeout := hungTimeout
	if p.link != nil {
		timeout += 2 * p.link.Delay(time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, x := range p.peers {
		for c := range x.busy {
			if c.direct() && c.repeatable.Load() && now-time.Duration(c.heardAt.Load()) > timeout && p.paths.Gone(now, id) {
				// The exchange that uses the connection discards it.
				_ = c.Close()
			}
		}
	}
}
