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
	// maxOutbox bounds the messages queued for one keeper; further messages are dropped,
	// which the log treats like network loss.
	maxOutbox = 128
	// maxBatchBytes is the batch size from which no more messages are added to a call.
	maxBatchBytes = 256 << 10
	// minTransferRate is the lowest expected transfer rate of a large message, in bytes
	// per second.
	minTransferRate = 2 << 20
)

// peerLinks holds the connections to the other keepers, by internal address.
type peerLinks struct {
	self           string
	onNamesChanged func([]string) error
	// newLink returns a link to the keeper with an internal address.
	newLink func(address string) *messenger.Link
	mu      sync.Mutex
	links   map[string]*peerLink
	// zones holds the availability zones of the keepers that announced theirs.
	zones map[string]string
	// namesChanged is set while the loop does not know all names yet.
	namesChanged bool
	ctx          context.Context
}

// peerLink is the connection to one keeper, with the log messages queued for it.
type peerLink struct {
	link   *messenger.Link
	outbox chan *messenger.LogMessage
}

func newPeerLinks(self string, seeds []string, newLink func(address string) *messenger.Link, onNamesChanged func([]string) error) *peerLinks {
	m := &peerLinks{
		self: self, onNamesChanged: onNamesChanged, newLink: newLink, links: map[string]*peerLink{}, zones: map[string]string{},
	}
	for _, s := range seeds {
		m.add(s)
	}
	return m
}

// names returns the names of the other keepers, sorted.
func (m *peerLinks) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for n := range m.links {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// add adds a keeper if it is unknown.
func (m *peerLinks) add(name string) {
	if name == "" || name == m.self {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[name] != nil {
		return
	}
	x := &peerLink{link: m.newLink(name), outbox: make(chan *messenger.LogMessage, maxOutbox)}
	m.links[name] = x
	m.namesChanged = true
	if m.ctx != nil {
		go x.run(m.ctx)
	}
}

// setZone records the availability zone that a keeper announced, and adds the keeper if it
// is unknown.
func (m *peerLinks) setZone(name, zone string) {
	if name == "" || name == m.self {
		return
	}
	m.add(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zones[name] = zone
}

// zone returns the availability zone that a keeper announced, or "".
func (m *peerLinks) zone(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.zones[name]
}

// fleetMembers returns the other keepers with their zones, sorted by name.
func (m *peerLinks) fleetMembers() []*messenger.FleetMember {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*messenger.FleetMember, 0, len(m.links))
	for _, n := range slices.Sorted(maps.Keys(m.links)) {
		out = append(out, &messenger.FleetMember{Address: n, Zone: m.zones[n]})
	}
	return out
}

// reportNames passes the names to onNamesChanged if they changed since the last call, or if that call failed.
func (m *peerLinks) reportNames() {
	m.mu.Lock()
	changed := m.namesChanged
	m.namesChanged = false
	m.mu.Unlock()
	if !changed || m.onNamesChanged(m.names()) == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.namesChanged = true
}

// run starts sending to all keepers, and to those added later.
func (m *peerLinks) run(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx = ctx
	for _, x := range m.links {
		go x.run(ctx)
	}
}

// get returns the link to a keeper, or nil.
func (m *peerLinks) get(name string) *peerLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// send queues a log message; it may be lost.
func (m *peerLinks) send(x *messenger.LogMessage) {
	to := m.get(x.To.GetName())
	if to == nil {
		return
	}
	select {
	case to.outbox <- x:
	default:
	}
}

// run sends queued log messages in order, and all that wait in one call: the round-trip
// time then limits their delay but not their throughput.
func (x *peerLink) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-x.outbox:
			x.sendBatch(ctx, x.collectBatch(m))
		}
	}
}

// collectBatch returns a message and those queued behind it, up to maxBatchBytes.
func (x *peerLink) collectBatch(first *messenger.LogMessage) *messenger.LogMessages {
	out := &messenger.LogMessages{Messages: []*messenger.LogMessage{first}}
	for size := proto.Size(first); size < maxBatchBytes; {
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

// sendBatch sends messages. Failed ones are lost; the log sends them again by itself. A
// keeper of an older version receives them one by one.
func (x *peerLink) sendBatch(ctx context.Context, list *messenger.LogMessages) {
	timeout := callTimeout + time.Duration(proto.Size(list))*time.Second/minTransferRate
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

// broadcast sends observations to all other keepers in parallel, and calls onFailure for each keeper that it
// does not reach. It does not retry: the next heartbeats bring them again.
func (m *peerLinks) broadcast(ctx context.Context, s *messenger.Sightings, onFailure func(keeper string, err error)) {
	for _, n := range m.names() {
		x := m.get(n)
		go func() {
			err := x.link.Call(ctx, callTimeout, func(ctx context.Context, c messenger.FleetKeeperClient) error {
				_, err := c.Share(ctx, s)
				return err
			})
			if err != nil && ctx.Err() == nil {
				onFailure(n, err)
			}
		}()
	}
}
