package predictor

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// giant is a prompt, in tokens, that stretches the steps of any engine so
	// far that callers of the streams beside it miss an event's pause: six
	// steps with a chunk of 2,048 tokens each, and the longer the context the
	// longer a step.
	giant = 24_000
	// giantHome draws giants of a zone to one endpoint, and giantShy keeps the others
	// away from it while they have a choice: both as time.
	giantHome = 200 * time.Millisecond
	giantShy  = 250 * time.Millisecond
	// apartZone is how many endpoints of a zone it takes to set one apart, and apartEvery
	// how many to set apart one more.
	apartZone  = 3
	apartEvery = 64
	// homeLoad is how much longer than the best a prompt waits for the
	// endpoint where its parts are kept for all routers alike, beside the time
	// that reading them would take.
	homeLoad = 20 * time.Millisecond
)

// apart picks endpoints for giants in each zone that has enough of them, those with the
// highest hashes. All routers that know the same endpoints pick the same.
func apart(list []*Endpoint) map[*Endpoint]bool {
	zones := map[string][]*Endpoint{}
	for _, e := range list {
		zones[e.beat.Zone] = append(zones[e.beat.Zone], e)
	}
	out := map[*Endpoint]bool{}
	for _, l := range zones {
		if len(l) < apartZone {
			continue
		}
		for _, e := range heaviest(l, "giants", max(len(l)/apartEvery, 1)) {
			out[e] = true
		}
	}
	return out
}

// heaviest returns the n endpoints with the highest hashes of key and endpoint.
func heaviest(list []*Endpoint, key string, n int) []*Endpoint {
	weights := make(map[*Endpoint]uint64, len(list))
	for _, e := range list {
		weights[e] = weight(key, e.beat.ID)
	}
	sorted := slices.SortedFunc(maps.Keys(weights), func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a.beat.ID, b.beat.ID))
	})
	return sorted[:min(n, len(sorted))]
}

// home returns the endpoint where all routers look for the last shared part of
// a prompt first. It needs no word between routers, and a change of endpoints
// moves few parts.
func (g *group) home(now time.Time, a Ask) *Endpoint {
	if a.Prompt == nil || len(a.Prompt.Shared()) == 0 {
		return nil
	}
	shared := a.Prompt.Shared()
	last := shared[len(shared)-1].ID
	fits := func(e *Endpoint) bool {
		return !g.apart[e] && !e.lost.Load() && !e.gate.Blocked(a.Since) && !e.warmup.Restricted(now)
	}
	if g.homes != nil {
		return g.homes.lookup(last, fits)
	}
	return highest(g.endpoints, last, fits)
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
