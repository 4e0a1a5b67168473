package resumer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// searchedZones is the number of zones, beside the own one, in which a stream is searched for:
	// those in which the router that began it may have placed its origin, whichever its zone is.
	searchedZones = 3
	// searchedPerZone is the number of routers that are asked in each zone. The first one may have
	// changed since the stream began.
	searchedPerZone = 2
)

// Member is a router that keeps origins.
type Member struct {
	// Address is its internal address.
	Address, Zone string
	// Incarnation changes with each start of its process.
	Incarnation uint64
}

// Placement determines which other routers keep the origin of a stream, by rendezvous hashing. It is
// immutable.
type Placement struct {
	zone    string
	members map[string][]Member
	// zones holds the names of the other zones.
	zones []string
}

// NewPlacement returns the placement over the other routers as a router of a zone sees it.
func NewPlacement(zone string, others []Member) *Placement {
	p := &Placement{zone: zone, members: map[string][]Member{}}
	for _, m := range others {
		p.members[m.Zone] = append(p.members[m.Zone], m)
	}
	for z := range p.members {
		if z != zone {
			p.zones = append(p.zones, z)
		}
	}
	slices.Sort(p.zones)
	return p
}

// Replicas returns the routers to which the router that began a stream sends its origin: one of its
// zone and one of another zone. If it is alone in its zone, both are in other zones.
func (p *Placement) Replicas(k Key) []Member {
	out := ranked(p.members[p.zone], k, 1)
	for _, z := range p.rankedZones(k) {
		if len(out) == 2 {
			break
		}
		out = append(out, ranked(p.members[z], k, 1)...)
	}
	if missing := 2 - len(out); missing > 0 && len(out) > 0 {
		out = ranked(p.members[out[0].Zone], k, 1+missing)
	}
	return out
}

// Candidates returns the routers that may keep the origin of a stream, wherever it began.
func (p *Placement) Candidates(k Key) []Member {
	out := ranked(p.members[p.zone], k, searchedPerZone)
	zones := p.rankedZones(k)
	for _, z := range zones[:min(len(zones), searchedZones)] {
		out = append(out, ranked(p.members[z], k, searchedPerZone)...)
	}
	return out
}

// rankedZones returns the other zones in the order of a key, which all routers share.
func (p *Placement) rankedZones(k Key) []string {
	hashes := make(map[string]uint64, len(p.zones))
	for _, z := range p.zones {
		hashes[z] = rank(k, z)
	}
	return slices.SortedFunc(slices.Values(p.zones), func(a, b string) int { return cmp.Compare(hashes[b], hashes[a]) })
}

// ranked returns the n members with the highest ranks for a key.
func ranked(list []Member, k Key, n int) []Member {
	type rankedMember struct {
		Member
		rank uint64
	}
	best := make([]rankedMember, 0, n+1)
	for _, m := range list {
		r := rankedMember{m, rank(k, m.Address)}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b rankedMember) int { return cmp.Compare(b.rank, a.rank) })
		if i < n {
			best = slices.Insert(best, i, r)[:min(len(best)+1, n)]
		}
	}
	out := make([]Member, len(best), n+searchedZones*searchedPerZone)
	for i, m := range best {
		out[i] = m.Member
	}
	return out
}

func rank(k Key, name string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(k[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}
