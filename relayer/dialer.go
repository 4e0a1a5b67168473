// Package relayer opens connections to endpoints through other routers, and relays connections for
// them. A relay connects directly only, so a connection passes through one relay at the most. It
// carries bytes and decides nothing: the router that asks keeps charge of the request.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pathfinder"
)

// Errors of Dial. Compare with errors.Is.
var (
	// ErrEndpointDown means that a relay with paths of its own could not connect to the endpoint.
	ErrEndpointDown = merry.Sentinel("endpoint accepts no connections")
	// ErrNoRelay means that no relay could be asked, or that none of them has a path.
	ErrNoRelay = merry.Sentinel("no relay has a path to the endpoint")
)

// endpointSilentError is the ErrEndpointDown of an endpoint that did not respond to a relay in time.
type endpointSilentError struct{}

// Error returns the message.
func (endpointSilentError) Error() string { return "endpoint did not respond to a relay in time" }

// Timeout reports true, as for direct connection attempts that time out.
func (endpointSilentError) Timeout() bool { return true }

// Is makes the error an ErrEndpointDown.
func (endpointSilentError) Is(target error) bool { return target == ErrEndpointDown }

const (
	// openTimeout bounds one request to a relay: a connection to it and one from it.
	openTimeout = 700 * time.Millisecond
	// nextRelayDelay is how long a relay may take before the next one is asked as well.
	nextRelayDelay = 150 * time.Millisecond
)

// Fleet lists the other routers.
type Fleet interface {
	// Peers returns the other routers with their zones.
	Peers() []pathfinder.Peer
	// Self returns this router.
	Self() *messenger.FleetMember
}

// Target is an endpoint to connect to.
type Target struct {
	// Endpoint is the incarnation in text form, and Zone its zone.
	Endpoint, Zone string
	// Allows reports whether a relay in a zone may be used; nil allows all zones.
	Allows func(zone string) bool
}

// Dialer opens connections through relays. It is safe for concurrent use.
type Dialer struct {
	fleet   Fleet
	relays  *pathfinder.Relays
	started time.Time

	mu    sync.Mutex
	links map[string]*relayLink
	// dial opens the connections to relays.
	dial messenger.DialFunc
}

// NewDialer returns a dialer that connects to relays with dial.
func NewDialer(f Fleet, dial messenger.DialFunc) *Dialer {
	return &Dialer{fleet: f, relays: pathfinder.NewRelays(), started: time.Now(), links: map[string]*relayLink{}, dial: dial}
}

// relayLink is the link to a relay. The dialer's mutex guards asks, the number of requests to the relay under way.
type relayLink struct {
	*messenger.Link
	asks int
}

// result is the outcome of a request to one relay.
type result struct {
	conn *Conn
	err  error
}

// Dial opens a connection to an endpoint through a relay. The relays are asked one after the other,
// the next one as soon as one declines or takes longer than nextRelayDelay.
func (d *Dialer) Dial(ctx context.Context, t Target) (*Conn, error) {
	candidates := d.candidates(t)
	if len(candidates) == 0 {
		relaySearchesSkipped.Inc()
		return nil, ErrNoRelay
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	results := make(chan result, len(candidates))
	delay := time.NewTimer(0)
	defer delay.Stop()
	err := error(ErrNoRelay)
	asked, answered := 0, 0
	for answered < len(candidates) {
		select {
		case <-delay.C:
			if asked < len(candidates) {
				go d.ask(ctx, candidates[asked], t, results)
				asked++
				delay.Reset(nextRelayDelay)
			}
		case r := <-results:
			answered++
			if r.err == nil {
				go discard(results, asked-answered)
				relayedConnections.Inc()
				return r.conn, nil
			}
			if r.err == ErrEndpointDown {
				// The endpoint itself answered that nothing listens there.
				go discard(results, asked-answered)
				return nil, r.err
			}
			if errors.Is(r.err, ErrEndpointDown) || !errors.Is(err, ErrEndpointDown) {
				err = r.err
			}
			delay.Reset(0)
		}
	}
	d.relays.SearchFailed()
	relaySearchesFailed.Inc()
	if errors.Is(err, ErrEndpointDown) {
		return nil, err
	}
	return nil, merry.Errorf("%w: %s", ErrNoRelay, err.Error())
}

// discard closes the connections of the last n results.
func discard(results <-chan result, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// candidates returns the relays to ask, in order.
func (d *Dialer) candidates(t Target) []pathfinder.Peer {
	var allowed []pathfinder.Peer
	for _, p := range d.fleet.Peers() {
		if t.Allows == nil || t.Allows(p.Zone) {
			allowed = append(allowed, p)
		}
	}
	return d.relays.Choose(time.Since(d.started), allowed, d.fleet.Self().Zone, t.Zone)
}

// ask requests a connection from one relay.
func (d *Dialer) ask(ctx context.Context, relay pathfinder.Peer, t Target, results chan<- result) {
	begun, address := time.Now(), relay.Address
	link := d.acquire(address)
	defer d.release(link)
	s, reply, err := link.OpenRelay(ctx, openTimeout, d.fleet.Self(), t.Endpoint)
	now := time.Since(d.started)
	if err != nil {
		switch {
		case status.Code(err) == codes.Unauthenticated:
			d.relays.Unrecognized(now, address)
		case !errors.Is(ctx.Err(), context.Canceled) || time.Since(begun) >= nextRelayDelay:
			// Where another relay was faster, the request was canceled.
			d.relays.Failed(now, address)
		}
		results <- result{err: err}
		return
	}
	if reply.Result == messenger.RelayResult_RELAY_RESULT_CONNECTED {
		d.relays.Connected(now, address)
		results <- result{conn: newConn(relay, s, func() { d.relays.Closed(address) })}
		return
	}
	s.Close()
	results <- result{err: d.declined(now, address, reply)}
}

// declined records why a relay did not connect, and returns the error.
func (d *Dialer) declined(now time.Duration, address string, reply *messenger.RelayResponse) error {
	switch reply.Result {
	case messenger.RelayResult_RELAY_RESULT_ENDPOINT_REFUSED:
		return ErrEndpointDown
	case messenger.RelayResult_RELAY_RESULT_ENDPOINT_SILENT:
		return endpointSilentError{}
	case messenger.RelayResult_RELAY_RESULT_UNKNOWN_ENDPOINT:
		return ErrNoRelay
	}
	d.relays.Failed(now, address)
	for _, p := range d.fleet.Peers() {
		if p.Address == reply.Relay {
			d.relays.Refer(reply.Relay)
		}
	}
	return ErrNoRelay
}

// acquire returns the link to a relay for a request, which ends with a call of release.
func (d *Dialer) acquire(address string) *relayLink {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[address]
	if l == nil {
		l = &relayLink{Link: messenger.NewRelayLink(address, d.dial)}
		d.links[address] = l
	}
	l.asks++
	return l
}

func (d *Dialer) release(l *relayLink) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.asks--
}

// Proven returns a relay that connected lately, or "".
func (d *Dialer) Proven() string { return d.relays.Proven(time.Since(d.started)) }

// Expire closes the links to relays that have not been used for long.
func (d *Dialer) Expire() {
	now := time.Since(d.started)
	d.relays.Expire(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, l := range d.links {
		if l.asks == 0 && !d.relays.Known(address) {
			l.Close()
			delete(d.links, address)
		}
	}
}
