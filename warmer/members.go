package warmer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxListAge is how long a router acts on a list of members.
	maxListAge = 4 * time.Second
	// settleTime is how long a router must have had lists without a gap before it owns
	// anything: by then all others have a list that names it.
	settleTime = maxListAge + 2*time.Second
	// memberTTL is how long a member counts after the last list that named it. A router
	// that is cut off acts on its last list for less.
	memberTTL = maxListAge + time.Second
)

// Member is a router of the fleet.
type Member struct{ Address, Zone string }

// Members is what one router knows of the others, for the question which of them own a
// cold endpoint. A member that stays in doubt counts: it can only take shares away. Not
// safe for concurrent use.
type Members struct {
	self Member
	seen map[Member]time.Time
	// ListedAt is when the last list came, and since when lists came without a gap.
	listedAt, since time.Time
}

// NewMembers returns the members as a router that has just started knows them.
func NewMembers(self Member) *Members { return &Members{self: self, seen: map[Member]time.Time{}} }

// Observe takes in a list of a keeper whose copy a majority confirmed lately.
func (m *Members) Observe(now time.Time, list []Member) {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) > maxListAge {
		m.since = now
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

// Until returns until when the router may act as an owner, or the zero time.
func (m *Members) Until(now time.Time) time.Time {
	if m.listedAt.IsZero() || now.Sub(m.listedAt) > maxListAge || now.Sub(m.since) < settleTime {
		return time.Time{}
	}
	return m.listedAt.Add(maxListAge)
}

// Owns reports whether this router is one of an endpoint's owners: the members with the
// highest hashes, those of the endpoint's zone first.
func (m *Members) Owns(endpoint, zone string, owners int) bool {
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

// OtherOwners returns the addresses of an endpoint's owners, the highest rank first, to a
// router that is none itself.
func (m *Members) OtherOwners(endpoint, zone string, owners int) []string {
	var ranks []position
	for x := range m.seen {
		if x.Address != m.self.Address {
			ranks = append(ranks, rank(x, endpoint, zone))
		}
	}
	slices.SortFunc(ranks, func(a, b position) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	out := make([]string, 0, owners)
	for _, r := range ranks[:min(owners, len(ranks))] {
		out = append(out, r.address)
	}
	return out
}

type position struct {
	elsewhere bool
	hash      uint64
	address   string
}

func rank(m Member, endpoint, zone string) position {
	return position{elsewhere: m.Zone != zone, hash: xxhash.Sum64String(m.Address + "\x00" + endpoint), address: m.Address}
}

func (p position) before(o position) bool {
	switch {
	case p.elsewhere != o.elsewhere:
		return o.elsewhere
	case p.hash != o.hash:
		return p.hash > o.hash
	}
	return p.address < o.address
}
