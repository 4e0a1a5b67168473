package warmer

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxListAge is how long a router relies on a list of members.
	maxListAge = 4 * time.Second
	// settleTime is how long a router must have received lists without a gap before it owns
	// anything. By then all other routers have a list that contains it.
	settleTime = maxListAge + 2*time.Second
	// memberTTL is how long a member counts after the last list that contained it. It exceeds the
	// time for which a router that is cut off relies on its last list.
	memberTTL = maxListAge + time.Second
)

// Member is a router of the fleet.
type Member struct{ Address, Zone string }

// Members holds the routers that this router knows, to determine the owners of an endpoint. A
// member that may be gone still counts, because it can only reduce the shares of others. It is not
// safe for concurrent use.
type Members struct {
	self Member
	seen map[Member]time.Time
	// ListedAt is when the last list arrived. GaplessSince is when lists began to arrive without a
	// gap.
	listedAt, gaplessSince time.Time
}

// NewMembers returns the members that a router knows when it has just started.
func NewMembers(self Member) *Members { return &Members{self: self, seen: map[Member]time.Time{}} }

// Observe records a list from a keeper whose copy a majority has recently confirmed.
func (m *Members) Observe(now time.Time, list []Member) {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) > maxListAge {
		m.gaplessSince = now
	}
	m.listedAt = now
	for _, x := range list {
		m.seen[x] = now
	}
	for x, at := range m.seen {
		if now.Sub(at) > memberTTL {
			delete(m.seen, x)
		}
	}
}

// OwnerUntil returns until when the router may act as an owner, or the zero time if it may not.
func (m *Members) OwnerUntil(now time.Time) time.Time {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) > maxListAge || now.Sub(m.gaplessSince) < settleTime {
		return time.Time{}
	}
	return m.listedAt.Add(maxListAge)
}

// IsOwner reports whether this router is one of an endpoint's owners. The owners are the members
// with the highest hashes, and members in the endpoint's zone come first.
func (m *Members) IsOwner(endpoint, zone string, owners int) bool {
	own := rank(m.self, endpoint, zone)
	ahead := 0
	for x := range m.seen {
		if x.Address == m.self.Address {
			continue
		}
		if r := rank(x, endpoint, zone); r.before(own) {
			ahead++
		}
	}
	return ahead < owners
}

// OtherOwners returns the addresses of an endpoint's owners by rank, for a router that is not an
// owner itself.
func (m *Members) OtherOwners(endpoint, zone string, owners int) []string {
	var others []Member
	for x := range m.seen {
		if x.Address != m.self.Address {
			others = append(others, x)
		}
	}
	return Ranked(others, endpoint, zone, owners)
}

// List returns all members that count, this router included, by address.
func (m *Members) List() []Member {
	out := []Member{m.self}
	for x := range m.seen {
		if x.Address != m.self.Address {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

// Ranked returns the addresses of the n members of a list that come first for an endpoint, by rank.
func Ranked(list []Member, endpoint, zone string, n int) []string {
	ranks := make([]position, 0, len(list))
	for _, x := range list {
		ranks = append(ranks, rank(x, endpoint, zone))
	}
	slices.SortFunc(ranks, func(a, b position) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	out := make([]string, 0, n)
	for _, r := range ranks[:min(n, len(ranks))] {
		out = append(out, r.address)
	}
	return out
}

// position is the rank of a member among the possible owners of an endpoint.
type position struct {
	otherZone bool
	hash      uint64
	address   string
}

func rank(m Member, endpoint, zone string) position {
	return position{otherZone: m.Zone != zone, hash: xxhash.Sum64String(m.Address + "\x00" + endpoint), address: m.Address}
}

func (p position) before(o position) bool {
	switch {
	case p.otherZone != o.otherZone:
		return o.otherZone
	case p.hash != o.hash:
		return p.hash > o.hash
	}
	return p.address < o.address
}
