package pathfinder

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// MaxRelaysAsked is how many relays are asked for one connection.
	MaxRelaysAsked = 3
	// relayCooldown is how long a relay is not asked after it could not help.
	relayCooldown = 2 * time.Second
	// recognitionDelay is the same where the relay did not know this router. Keepers list routers
	// that have started within a second.
	recognitionDelay = 200 * time.Millisecond
	// relayMemory is how long a relay that connected is asked before others.
	relayMemory = 10 * time.Second
	// Searches for a relay that end without a connection are limited to searchRate a second,
	// with bursts of searchBurst. Most routers may be cut off at the same time.
	searchRate  = 10
	searchBurst = 30
)

// Peer is another router.
type Peer struct {
	Address, Zone string
}

// relay is what is known of another router as a relay.
type relay struct {
	// connectedAt and failedAt are when it last connected and last failed to; 0 for never.
	connectedAt, failedAt time.Duration
	// skipUntil is until when it is not asked because it failed.
	skipUntil time.Duration
	// open is the number of connections through it.
	open int
}

// Relays chooses the routers to ask for connections. It is safe for concurrent use.
type Relays struct {
	mu     sync.Mutex
	relays map[string]*relay
	// referred holds routers that other routers named as relays, until they are asked.
	referred map[string]bool
	// searches is what is left of the searches that may fail, as of refilledAt.
	searches   float64
	refilledAt time.Duration
}

// NewRelays returns relays of which nothing is known.
func NewRelays() *Relays {
	return &Relays{relays: map[string]*relay{}, referred: map[string]bool{}, searches: searchBurst}
}

// Choose returns the routers among peers to ask for a connection to an endpoint of a zone, in
// order. Those that connected lately come first, then those that others named, those of this
// router's zone, those of the endpoint's zone and all others. The result is empty while too many
// searches have failed.
func (r *Relays) Choose(now time.Duration, peers []Peer, ownZone, endpointZone string) []Peer {
	if len(peers) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var ranked [ranks][]Peer
	start := rand.IntN(len(peers))
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if k, ok := r.rank(now, p, ownZone, endpointZone); ok && len(ranked[k]) < MaxRelaysAsked {
			ranked[k] = append(ranked[k], p)
		}
	}
	proven := ranked[rankProven]
	if len(proven) == 0 && !r.maySearch(now) {
		return nil
	}
	// Of two random ones, the one with fewer connections of this router comes first.
	if len(proven) > 1 && r.relays[proven[1].Address].open < r.relays[proven[0].Address].open {
		proven[0], proven[1] = proven[1], proven[0]
	}
	var out []Peer
	for _, list := range ranked {
		out = append(out, list[:min(len(list), MaxRelaysAsked-len(out))]...)
	}
	for _, p := range out {
		delete(r.referred, p.Address)
	}
	return out
}

// Ranks of relays, best first.
const (
	rankProven = iota
	rankReferred
	rankOwnZone
	rankEndpointZone
	rankOther
	ranks
)

// rank returns the rank of a router, or false if it could not help a moment ago.
func (r *Relays) rank(now time.Duration, p Peer, ownZone, endpointZone string) (int, bool) {
	if x := r.relays[p.Address]; x != nil {
		if x.proven(now) {
			return rankProven, true
		}
		if x.failedAt > x.connectedAt && now < x.skipUntil && !r.referred[p.Address] {
			return 0, false
		}
	}
	switch {
	case r.referred[p.Address]:
		return rankReferred, true
	case p.Zone == ownZone:
		return rankOwnZone, true
	case p.Zone == endpointZone:
		return rankEndpointZone, true
	}
	return rankOther, true
}

// proven reports whether the relay connected lately, and did not fail since.
func (x *relay) proven(now time.Duration) bool {
	return x.connectedAt > 0 && now-x.connectedAt < relayMemory && x.connectedAt >= x.failedAt
}

// maySearch reports whether another search may fail.
func (r *Relays) maySearch(now time.Duration) bool {
	r.searches = min(r.searches+searchRate*(now-r.refilledAt).Seconds(), searchBurst)
	r.refilledAt = now
	return r.searches >= 1
}

// SearchFailed records that no relay connected.
func (r *Relays) SearchFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.searches = max(r.searches-1, 0)
}

// Connected records that a relay connected.
func (r *Relays) Connected(now time.Duration, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.entry(address)
	x.connectedAt = now
	x.open++
}

// Closed records that a connection through a relay was closed.
func (r *Relays) Closed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry(address).open--
}

// Failed records that a relay could not be reached, has no path of its own or is busy.
func (r *Relays) Failed(now time.Duration, address string) { r.fail(now, address, relayCooldown) }

// Unrecognized records that a relay does not know this router yet, which has just started.
func (r *Relays) Unrecognized(now time.Duration, address string) {
	r.fail(now, address, recognitionDelay)
}

func (r *Relays) fail(now time.Duration, address string, cooldown time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.entry(address)
	x.failedAt, x.skipUntil = now, now+cooldown
}

// Refer records that another router named a relay.
func (r *Relays) Refer(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.referred[address] = true
}

// Proven returns a relay that connected lately, or "".
func (r *Relays) Proven(now time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, x := range r.relays {
		if x.proven(now) {
			return address
		}
	}
	return ""
}

// Expire removes relays that have not been asked for long.
func (r *Relays) Expire(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, x := range r.relays {
		if x.open == 0 && now-max(x.connectedAt, x.failedAt) > relayMemory {
			delete(r.relays, address)
		}
	}
	clear(r.referred)
}

// Known reports whether anything is known of a relay.
func (r *Relays) Known(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relays[address] != nil
}

func (r *Relays) entry(address string) *relay {
	x := r.relays[address]
	if x == nil {
		x = &relay{}
		r.relays[address] = x
	}
	return x
}
