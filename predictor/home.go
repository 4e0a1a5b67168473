package predictor

import (
	"hash/fnv"
	"time"
)

const (
	// giant is a prompt, in tokens, that stretches the steps of any engine so
	// far that callers of the streams beside it miss an event's pause: six
	// steps with a chunk of 2,048 tokens each, and the longer the context the
	// longer a step.
	giant = 24_000
	// giantHome draws giants of a zone to one endpoint, and giantShy keeps the
	// others away from it while they have a choice: both as time. On calm days
	// streams with too long a pause went from 105 to 54 of 1,350; with a
	// giantShy of 60 ms nothing moved.
	giantHome = 200 * time.Millisecond
	giantShy  = 250 * time.Millisecond
	// apartZone is how many endpoints of a zone it takes to set one apart.
	apartZone = 3
	// homeLoad is how much longer than the best a prompt waits for the
	// endpoint where its parts are kept for all routers alike, beside the time
	// that reading them would take.
	homeLoad = 20 * time.Millisecond
)

// apart picks an endpoint for giants in each zone that has enough of them. All
// routers pick the same.
func apart(zones map[string][]*Endpoint) map[*Endpoint]bool {
	out := map[*Endpoint]bool{}
	for _, l := range zones {
		if len(l) >= apartZone {
			out[highest(l, "giants", func(*Endpoint) bool { return true })] = true
		}
	}
	return out
}

// homes are the endpoints where routers look for the last shared part of a prompt
// first. They need no word between routers, and a change of endpoints moves few parts.
type homes struct {
	// Here is the one that all routers of this zone agree on, and fleet the one that
	// those of all zones do, from which the other zones fetch the part; each may be nil.
	here, fleet *Endpoint
}

// homes returns the homes of a prompt. With one home for all zones, which 78 routers
// took to keep its parts, a quarter of the prompts crossed zones.
func (g *group) homes(a Ask, zone string) homes {
	if a.Prompt == nil || len(a.Prompt.Shared()) == 0 {
		return homes{}
	}
	shared := a.Prompt.Shared()
	key := shared[len(shared)-1].ID
	fits := func(e *Endpoint) bool { return !g.apart[e] && !e.lost.Load() && !e.gate.Blocked(a.Since) }
	h := homes{here: highest(g.zones[zone], key, fits), fleet: highest(g.endpoints, key, fits)}
	if h.here == nil {
		h.here = h.fleet
	}
	return h
}

// assumed reports whether an endpoint is taken to keep the shared parts of a prompt
// unheard: a home, where not all of the routers that send there tell this one. What
// they send there together does not get old.
func (h homes) assumed(e *Endpoint, a Ask, zone string) bool {
	if e.beat.Zone == zone {
		return a.PartialHere && e == h.here
	}
	return a.Partial && e == h.fleet
}

// apartCost is what it costs, beside the wait, to send a prompt to an endpoint
// that is set apart for giants.
func apartCost(p *Prompt, sameZone bool) time.Duration {
	switch {
	case p == nil:
		return 0
	case p.In < giant:
		return giantShy
	case sameZone:
		return -giantHome
	}
	return 0
}

// highest returns the endpoint with the highest hash of key and endpoint among
// those that fit, or nil.
func highest(all []*Endpoint, key string, fits func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	var most uint64
	for _, e := range all {
		if !fits(e) {
			continue
		}
		if x := weight(key, e.beat.ID); best == nil || x > most {
			best, most = e, x
		}
	}
	return best
}

// weight is a hash in which every bit of both strings counts for every bit.
func weight(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}
