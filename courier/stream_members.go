package courier

import (
	"time"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/resumer"
)

const (
	// memberTTL is how long a router is known that keepers no longer list, and maxMembers the number
	// of routers from which such ones are forgotten earlier.
	memberTTL  = 10 * time.Minute
	maxMembers = 4096
	// earlyTTL is how long a datagram waits for its sender to become known, and maxEarly how many do.
	earlyTTL = 3 * time.Second
	maxEarly = 256
)

// streamMembers holds the routers whose messages on streams are accepted. The zero value knows none. It
// is not safe for concurrent use.
type streamMembers struct {
	byAddress map[string]knownMember
	// early holds the datagrams of routers that are not known yet, oldest first.
	early []earlyDatagram
}

type knownMember struct {
	incarnation uint64
	listedAt    time.Time
}

type earlyDatagram struct {
	message    *messenger.ProvenStreamMessage
	receivedAt time.Time
}

// update takes in the routers that are listed now.
func (m *streamMembers) update(now time.Time, listed []resumer.Member) {
	if m.byAddress == nil {
		m.byAddress = map[string]knownMember{}
	}
	for _, l := range listed {
		m.byAddress[l.Address] = knownMember{l.Incarnation, now}
	}
	for a, k := range m.byAddress {
		if age := now.Sub(k.listedAt); age > memberTTL || age > 0 && len(m.byAddress) > maxMembers {
			delete(m.byAddress, a)
		}
	}
}

func (m *streamMembers) incarnationOf(address string) (uint64, bool) {
	k, ok := m.byAddress[address]
	return k.incarnation, ok
}

// addEarly keeps a datagram until its sender is known, and returns the senders of those that are
// dropped instead.
func (m *streamMembers) addEarly(now time.Time, d earlyDatagram) (refused []string) {
	m.early = append(m.early, d)
	for len(m.early) > 0 && (len(m.early) > maxEarly || now.Sub(m.early[0].receivedAt) > earlyTTL) {
		refused = append(refused, m.early[0].message.From)
		m.early = m.early[1:]
	}
	return refused
}

// takeEarly returns the datagrams that wait, and forgets them.
func (m *streamMembers) takeEarly() []earlyDatagram {
	out := m.early
	m.early = nil
	return out
}
