package predictor

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// veryLongPromptTokens is the prompt length, in tokens, from which a prompt stretches the
	// steps of any engine so far that the pause between two events of the streams beside it
	// exceeds the objective: six steps with a chunk of 2,048 tokens each, and steps take
	// longer the longer the context is.
	veryLongPromptTokens = 24_000
	// dedicatedBonus attracts the very long prompts of a zone to its dedicated endpoints,
	// and dedicatedPenalty keeps other prompts away from them while there is a choice. Both
	// are in units of predicted wait.
	dedicatedBonus   = 200 * time.Millisecond
	dedicatedPenalty = 250 * time.Millisecond
	// minZoneForDedicated is the number of endpoints that a zone needs for one of them to
	// be dedicated to very long prompts; endpointsPerDedicated is the number of endpoints
	// for each dedicated one in larger zones.
	minZoneForDedicated   = 3
	endpointsPerDedicated = 64
	// homeBonus is how much longer than at the best endpoint a prompt may wait at the home
	// endpoint of its parts, in addition to the prefill time saved there. The home is the
	// same for all routers, so their requests share its cache.
	homeBonus = 20 * time.Millisecond
)

// selectDedicated selects the endpoints dedicated to very long prompts in each zone that
// has enough endpoints: those with the highest hashes. Routers that know the same endpoints
// select the same ones.
func selectDedicated(list []*Endpoint) map[*Endpoint]bool {
	zones := map[string][]*Endpoint{}
	for _, e := range list {
		zones[e.beat.Zone] = append(zones[e.beat.Zone], e)
	}
	out := map[*Endpoint]bool{}
	for _, l := range zones {
		if len(l) < minZoneForDedicated {
			continue
		}
		for _, e := range highestHashes(l, "giants", max(len(l)/endpointsPerDedicated, 1)) {
			out[e] = true
		}
	}
	return out
}

// highestHashes returns the n endpoints with the highest hashes of key and endpoint id.
func highestHashes(list []*Endpoint, key string, n int) []*Endpoint {
	hashes := make(map[*Endpoint]uint64, len(list))
	for _, e := range list {
		hashes[e] = hashPair(key, e.beat.ID)
	}
	sorted := slices.SortedFunc(maps.Keys(hashes), func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a.beat.ID, b.beat.ID))
	})
	return sorted[:min(n, len(sorted))]
}

// home returns the endpoint at which all routers first look for the last shared part of a
// prompt, or nil if there is none. It is found by hashing, so it takes no communication
// between routers, and a change of endpoints moves few parts.
func (g *group) home(now time.Time, a Request) *Endpoint {
	if a.Prompt == nil || len(a.Prompt.Shared()) == 0 {
		return nil
	}
	shared := a.Prompt.Shared()
	last := shared[len(shared)-1].ID
	fits := func(e *Endpoint) bool {
		return !g.dedicated[e] && !e.excluded.Load() && !e.gate.Blocked(a.Elapsed) && !e.warmup.Restricted(now)
	}
	if g.homeRing != nil {
		return g.homeRing.lookup(last, fits)
	}
	return highestHash(g.endpoints, last, fits)
}

// dedicatedCost is the cost, in addition to the predicted wait, of sending a request to an
// endpoint dedicated to very long prompts.
func dedicatedCost(p *Prompt, sameZone bool) time.Duration {
	switch {
	case p == nil:
		return 0
	case p.InputTokens < veryLongPromptTokens:
		return dedicatedPenalty
	case sameZone:
		return -dedicatedBonus
	}
	return 0
}

// highestHash returns the endpoint with the highest hash of key and endpoint id among those
// that fit, or nil.
func highestHash(all []*Endpoint, key string, fits func(*Endpoint) bool) *Endpoint {
	var best *Endpoint
	var most uint64
	for _, e := range all {
		if !fits(e) {
			continue
		}
		if x := hashPair(key, e.beat.ID); best == nil || x > most {
			best, most = e, x
		}
	}
	return best
}

// hashPair hashes two strings. The final mixing lets every input bit affect every bit of
// the hash.
func hashPair(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}
