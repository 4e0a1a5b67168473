// Package pathfinder decides how a router connects to an endpoint: directly, or through another
// router while its own path is gone. It has no clock and no network; callers pass the time since a
// fixed instant.
package pathfinder

import (
	"sync"
	"sync/atomic"
	"time"
)

// Route is how to connect to an endpoint.
type Route int

const (
	// Direct connects directly, and through a relay once that fails or takes longer than
	// RelayDelay.
	Direct Route = iota
	// DirectOnly connects directly. Relays were asked a moment ago and could not connect either.
	DirectOnly
	// Race connects directly and through a relay at the same time.
	Race
	// Relayed connects through a relay.
	Relayed
	// Unreachable does not connect: the path is gone and no relay could help a moment ago.
	Unreachable
)

const (
	// RelayDelay is how long a direct connection attempt may take before a relay is asked as
	// well. It is a multiple of a round trip between availability zones.
	RelayDelay = 150 * time.Millisecond
	// relayPause is how long no relay is asked for an endpoint that none could connect to.
	relayPause = 500 * time.Millisecond
	// retryInterval is the time between two attempts of an isolated router to connect to an endpoint
	// for others.
	retryInterval = time.Second
	// suspectDuration is how long an endpoint stays suspect without a connection attempt.
	suspectDuration = 2 * time.Second
	// probeInterval is the time between two probes of a lost path, and between two probes that
	// confirm that it is back.
	probeInterval = 250 * time.Millisecond
	// goneDelay is how long a path must be lost before connections over it are given up. An endpoint
	// that was silent for a moment accepts probes again by then.
	goneDelay = time.Second
	// A path that is back must hold for minHold before it is used, and twice as long each time
	// it is lost within flapWindow, up to maxHold.
	minHold    = 500 * time.Millisecond
	maxHold    = 8 * time.Second
	flapWindow = 30 * time.Second
	// minFailures is the number of failed attempts in a row after which a path is lost.
	minFailures = 2
	// isolationWindow is how long a failed connection attempt counts, and minIsolatedFailures
	// the number of endpoints that must have failed, with none connected since, for a router to
	// be isolated.
	isolationWindow     = 2 * time.Second
	minIsolatedFailures = 3
)

// path is the state of the direct path to one endpoint that is not known to work.
type path struct {
	// lost is set while relays are used in place of the direct path.
	lost bool
	// lostAt is when it was lost.
	lostAt time.Duration
	// failures counts the direct connection attempts that failed since one succeeded, and
	// failedAt is when the last one did.
	failures int
	failedAt time.Duration
	// suspectUntil is until when the endpoint is suspect.
	suspectUntil time.Duration
	// noRelayUntil is until when no relay is asked. noRelay is set on a lost path if no relay had
	// a path either, until one connects to any endpoint.
	noRelayUntil time.Duration
	noRelay      bool
	probeAt      time.Duration
	// goodSince is when the current run of successful probes began; 0 for none.
	goodSince time.Duration
}

// restoration records when a lost path came back and for how long it had to hold.
type restoration struct {
	at, hold time.Duration
}

// Paths holds the state of a router's paths to endpoints. It is safe for concurrent use.
type Paths struct {
	// troubled is the number of entries in paths; while it is 0 all routes are direct.
	troubled atomic.Int64
	// connectedAt is when a direct connection was last opened.
	connectedAt atomic.Int64

	mu    sync.Mutex
	paths map[string]*path
	// restored holds the paths that came back within flapWindow.
	restored map[string]restoration
	// lostPaths counts the entries that are lost, and noRelays those without a relay.
	lostPaths, noRelays int
}

// New returns the paths of a router that has lost none.
func New() *Paths {
	return &Paths{paths: map[string]*path{}, restored: map[string]restoration{}}
}

// Route returns how to connect to an endpoint.
func (p *Paths) Route(now time.Duration, id string) Route {
	if p.troubled.Load() == 0 {
		return Direct
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	switch {
	case x == nil:
		return Direct
	case x.lost && (x.noRelay || now < x.noRelayUntil):
		return Unreachable
	case x.lost:
		return Relayed
	case now < x.noRelayUntil:
		return DirectOnly
	case now < x.suspectUntil:
		return Race
	}
	return Direct
}

// Lost reports whether the direct path to an endpoint is gone.
func (p *Paths) Lost(id string) bool {
	if p.troubled.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	return x != nil && x.lost
}

// Gone reports whether the direct path to an endpoint has been lost for a while, without a sign of
// life, so that connections over it are not going to recover soon.
func (p *Paths) Gone(now time.Duration, id string) bool {
	if p.troubled.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	return x != nil && x.lost && x.goodSince == 0 && now-x.lostAt > goneDelay
}

// LostCount returns the number of endpoints whose direct path is gone.
func (p *Paths) LostCount() int {
	if p.troubled.Load() == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostPaths
}

// Connected records a direct connection that a request opened. It reports whether a lost path has
// come back with it.
func (p *Paths) Connected(now time.Duration, id string) (restored bool) {
	p.connectedAt.Store(int64(now))
	if p.troubled.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	if x == nil {
		return false
	}
	if x.lost {
		return p.confirm(now, id, x)
	}
	p.remove(id)
	return false
}

// confirm records that a lost path works, and restores it once it has held for long enough.
func (p *Paths) confirm(now time.Duration, id string, x *path) (restored bool) {
	if x.goodSince == 0 {
		x.goodSince = now
	}
	hold := p.hold(now, id)
	// Without a relay, a path that may be lost again is better than none.
	if now-x.goodSince < hold && !x.noRelay {
		return false
	}
	p.remove(id)
	p.restored[id] = restoration{at: now, hold: hold}
	return true
}

// hold returns for how long a path must work before it is used again.
func (p *Paths) hold(now time.Duration, id string) time.Duration {
	r, ok := p.restored[id]
	if !ok || now-r.at > flapWindow {
		return minHold
	}
	return min(2*r.hold, maxHold)
}

// Failed records a direct connection attempt that failed.
func (p *Paths) Failed(now time.Duration, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.entry(id)
	x.failures++
	x.failedAt, x.goodSince = now, 0
}

// Relayed records a connection through a relay to an endpoint, which shows that the endpoint
// accepts connections. It reports whether the direct path is lost with it. A single failed attempt
// may be due to a lost packet, unless attempts to other endpoints fail as well.
func (p *Paths) Relayed(now time.Duration, id string) (lost bool) {
	if p.troubled.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relaysFound()
	x := p.paths[id]
	if x == nil || x.failures == 0 {
		return false
	}
	x.noRelayUntil = 0
	if x.failures < minFailures && !p.isolated(now) {
		x.suspectUntil = now + suspectDuration
		return false
	}
	return p.lose(now, x)
}

// relaysFound lets requests use relays again.
func (p *Paths) relaysFound() {
	if p.noRelays == 0 {
		return
	}
	for _, x := range p.paths {
		x.noRelay = false
	}
	p.noRelays = 0
}

// RelayFailed records that no relay could connect to an endpoint whose direct connection attempt
// failed. If endpointDown is set, a relay with paths of its own found that the endpoint does not
// accept connections. It reports whether the direct path counts as lost.
func (p *Paths) RelayFailed(now time.Duration, id string, endpointDown bool) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.entry(id)
	x.noRelayUntil = now + relayPause
	if endpointDown || !x.lost && !p.isolated(now) {
		return false
	}
	if !x.noRelay {
		x.noRelay = true
		p.noRelays++
	}
	return p.lose(now, x)
}

// lose marks a path as lost. It reports whether it was not before.
func (p *Paths) lose(now time.Duration, x *path) bool {
	if x.lost {
		return false
	}
	x.lost, x.lostAt, x.goodSince, x.probeAt = true, now, 0, now+probeInterval
	p.lostPaths++
	return true
}

// Suspect marks an endpoint from which nothing was heard although others lost their paths at the
// same time.
func (p *Paths) Suspect(now time.Duration, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.entry(id)
	x.suspectUntil = now + suspectDuration
}

// Isolated reports whether this router appears to have no path to any endpoint: connection
// attempts to several of them failed lately and none succeeded since.
func (p *Paths) Isolated(now time.Duration) bool {
	if p.troubled.Load() < minIsolatedFailures {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolated(now)
}

func (p *Paths) isolated(now time.Duration) bool {
	connectedAt := time.Duration(p.connectedAt.Load())
	failed := 0
	for _, x := range p.paths {
		if x.failures > 0 && x.failedAt > connectedAt && (x.lost || now-x.failedAt < isolationWindow) {
			failed++
		}
	}
	return failed >= minIsolatedFailures
}

// FailedLately reports whether this router is isolated and its last attempt to connect to an
// endpoint failed a moment ago, so that another one is of no use.
func (p *Paths) FailedLately(now time.Duration, id string) bool {
	if p.troubled.Load() < minIsolatedFailures {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	return x != nil && x.failures > 0 && now-x.failedAt < retryInterval && p.isolated(now)
}

// WithoutRelay reports whether the path to an endpoint is lost and no relay has one.
func (p *Paths) WithoutRelay(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.paths[id]
	return x != nil && x.noRelay
}

// ProbesDue returns at most n endpoints whose lost paths are to be probed now.
func (p *Paths) ProbesDue(now time.Duration, n int) []string {
	if p.troubled.Load() == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	for id, x := range p.paths {
		if len(due) == n {
			break
		}
		if x.lost && now >= x.probeAt {
			x.probeAt = now + probeInterval
			due = append(due, id)
		}
	}
	return due
}

// Expire removes what no longer matters: endpoints that are no longer suspect, and paths that came
// back long ago.
func (p *Paths) Expire(now time.Duration) {
	if p.troubled.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, x := range p.paths {
		if !x.lost && now >= x.suspectUntil && now >= x.noRelayUntil && now-x.failedAt > isolationWindow {
			p.remove(id)
		}
	}
	for id, r := range p.restored {
		if now-r.at > flapWindow {
			delete(p.restored, id)
		}
	}
}

// Forget removes an endpoint that has left service.
func (p *Paths) Forget(id string) {
	if p.troubled.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(id)
	delete(p.restored, id)
}

func (p *Paths) entry(id string) *path {
	x := p.paths[id]
	if x == nil {
		x = &path{}
		p.paths[id] = x
		p.troubled.Store(int64(len(p.paths)))
	}
	return x
}

func (p *Paths) remove(id string) {
	if x := p.paths[id]; x != nil && x.lost {
		p.lostPaths--
	}
	if x := p.paths[id]; x != nil && x.noRelay {
		p.noRelays--
	}
	delete(p.paths, id)
	p.troubled.Store(int64(len(p.paths)))
}
