package steward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

const (
	// outboxMost bounds the messages that wait for one keeper; more are
	// dropped, as on a network that loses them.
	outboxMost = 128
	// maxCarryBytes is the size of messages from which no more are added to a call.
	maxCarryBytes = 256 << 10
	// carryRate is how fast a large message is expected to go at least, in
	// bytes a second.
	carryRate = 2 << 20
)

// members are the links to the other keepers, by internal address.
type members struct {
	self    string
	changed func([]string)
	mu      sync.Mutex
	links   map[string]*member
	// Zones holds the availability zones of keepers, as far as they told.
	zones map[string]string
	// Dirty says that the loop has not heard of all names yet.
	dirty bool
	ctx   context.Context
}

type member struct {
	link   *messenger.Link
	outbox chan *messenger.LogMessage
}

func newMembers(self string, seeds []string, changed func([]string)) *members {
	m := &members{self: self, changed: changed, links: map[string]*member{}, zones: map[string]string{}}
	for _, s := range seeds {
		m.learn(s)
	}
	return m
}

// names returns the other keepers, sorted.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for n := range m.links {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// learn makes a keeper known.
func (m *members) learn(name string) {
	if name == "" || name == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[name] != nil {
		return
	}
	x := &member{link: messenger.NewLink(name), outbox: make(chan *messenger.LogMessage, outboxMost)}
	m.links[name] = x
	m.dirty = true
	if m.ctx != nil {
		go x.run(m.ctx)
	}
}

// located makes a keeper known that told its availability zone.
func (m *members) located(name, zone string) {
	if name == "" || name == m.self {
		return
	}
	m.learn(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zones[name] = zone
}

// list returns the other keepers, sorted by name.
func (m *members) list() []*messenger.FleetMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*messenger.FleetMember, 0, len(m.links))
	for _, n := range slices.Sorted(maps.Keys(m.links)) {
		out = append(out, &messenger.FleetMember{Address: n, Zone: m.zones[n]})
	}
	return out
}

// refresh tells the loop of names that it has not heard of.
func (m *members) refresh() {
	m.mu.Lock()
	dirty := m.dirty
	m.dirty = false
	m.mu.Unlock()
	if dirty {
		m.changed(m.names())
	}
}

func (m *members) run(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx = ctx
	for _, x := range m.links {
		go x.run(ctx)
	}
}

func (m *members) member(name string) *member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// send queues a log message; it may be lost.
func (m *members) send(x *messenger.LogMessage) {
	to := m.member(x.To.GetName())
	if to == nil {
		return
	}
	select {
	case to.outbox <- x:
	default:
	}
}

// run carries log messages in order, all that wait in one call: the round trip then
// bounds their delay, not their number.
func (x *member) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.outbox:
			x.carry(ctx, x.waiting(m))
		}
	}
}

// waiting returns a message with those that wait behind it, up to maxCarryBytes.
func (x *member) waiting(first *messenger.LogMessage) *messenger.LogMessages {
	out := &messenger.LogMessages{Messages: []*messenger.LogMessage{first}}
	for size := proto.Size(first); size < maxCarryBytes; {
		select {
		case m := <-x.outbox:
			out.Messages = append(out.Messages, m)
			size += proto.Size(m)
		default:
			return out
		}
	}
	return out
}

// carry sends messages; those that fail are lost, and the log sends them again by itself.
func (x *member) carry(ctx context.Context, list *messenger.LogMessages) {
	timeout := callTimeout + time.Duration(proto.Size(list))*time.Second/carryRate
	_ = x.link.Call(ctx, timeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
		_, err := c.CarryAll(ctx, list)
		if status.Code(err) != codes.Unimplemented {
			return err
		}
		for _, m := range list.Messages {
			if _, err := c.Carry(ctx, m); err != nil {
				return err
			}
		}
		return nil
	})
}

// share sends sightings to all others at once; they come again with the next
// heartbeats.
func (m *members) share(ctx context.Context, s *messenger.Sightings) {
	for _, n := range m.names() {
		x := m.member(n)
		go func() {
			_ = x.link.Call(ctx, callTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
				_, err := c.Share(ctx, s)
				return err
			})
		}()
	}
}
