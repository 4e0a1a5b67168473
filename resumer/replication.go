package resumer

import "time"

const (
	// maxOwnEntries and maxHeldEntries bound the origins of streams that began at this router, and of
	// those that other routers sent. maxStoreBytes bounds the memory of each of the two.
	maxOwnEntries  = 16 << 10
	maxHeldEntries = 32 << 10
	maxStoreBytes  = 8 << 20
	// repeatDelay is the time after which an origin is sent a second time. Datagrams may be lost.
	repeatDelay = 500 * time.Millisecond
	// maxSendsPerTick bounds the origins that one tick sends again, so that a change of the routers
	// takes little time at once.
	maxSendsPerTick = 256
	// sendsPerReplica is how often an origin is sent to a router. By content it is sent once: most
	// callers name the attempt.
	sendsPerReplica        = 2
	contentSendsPerReplica = 1
)

// Send is an order to send origins to a router.
type Send struct {
	To      Member
	Entries []Entry
}

// Replication holds the origins that this router knows, and decides where they are sent. It reads no
// clock and is not safe for concurrent use.
type Replication struct {
	placement *Placement
	own, held *Store
	// sent holds what was sent of the own origins.
	sent map[Key]*sendState
	// queue holds the keys of origins to send again, in the order of time.
	queue []queuedKey
}

// sendState is to which replicas an origin was sent, and how often each of them has to get it.
type sendState struct {
	replicas [2]replicaState
	wanted   int
}

type replicaState struct {
	address     string
	incarnation uint64
	sends       int
}

type queuedKey struct {
	key Key
	at  time.Time
}

// NewReplication returns a replication that knows nothing.
func NewReplication() *Replication {
	return &Replication{own: NewStore(maxOwnEntries, maxStoreBytes), held: NewStore(maxHeldEntries, maxStoreBytes), sent: map[Key]*sendState{}}
}

// SetPlacement replaces the routers. The origins whose replicas have changed, or have lost what they
// kept, are sent again.
func (r *Replication) SetPlacement(now time.Time, p *Placement) {
	r.placement = p
	r.queue = r.queue[:0]
	for _, k := range r.own.Keys(now) {
		r.queue = append(r.queue, queuedKey{k, now})
	}
}

// Begin adds the origin of a stream that begins, or goes on, at this router, under the keys of attempts
// and of its content. It returns what to send before its first event is passed on.
func (r *Replication) Begin(now time.Time, o Origin, retention time.Duration, content Key, attempts ...Key) []Send {
	b := batch{}
	r.begin(now, Entry{content, o, retention}, contentSendsPerReplica, &b)
	for _, k := range attempts {
		r.begin(now, Entry{k, o, retention}, sendsPerReplica, &b)
	}
	return b.sends
}

func (r *Replication) begin(now time.Time, e Entry, sends int, b *batch) {
	r.own.Put(now, e)
	r.sent[e.Key] = &sendState{wanted: sends}
	r.send(now, e.Key, b)
}

// Tick returns what to send again.
func (r *Replication) Tick(now time.Time) []Send {
	b := batch{}
	n := 0
	for ; n < len(r.queue) && n < maxSendsPerTick && !r.queue[n].at.After(now); n++ {
		r.send(now, r.queue[n].key, &b)
	}
	r.queue = r.queue[n:]
	r.forgetExpired(now)
	return b.sends
}

// forgetExpired removes the state of origins that have expired.
func (r *Replication) forgetExpired(now time.Time) {
	if len(r.sent) <= 2*r.own.Len() {
		return
	}
	for k := range r.sent {
		if _, ok := r.own.Get(now, k); !ok {
			delete(r.sent, k)
		}
	}
}

// Close returns everything that this router knows for the routers that keep it from now on.
func (r *Replication) Close(now time.Time) []Send {
	b := batch{}
	for _, s := range []*Store{r.own, r.held} {
		for _, k := range s.Keys(now) {
			e, ok := s.Entry(now, k)
			if !ok || r.placement == nil {
				continue
			}
			for _, m := range r.placement.Replicas(k) {
				b.add(m, e)
			}
		}
	}
	return b.sends
}

// send adds an origin to a batch for its replicas, unless they have got it often enough. It queues the
// origin if it has to be sent again.
func (r *Replication) send(now time.Time, k Key, b *batch) {
	e, ok := r.own.Entry(now, k)
	state := r.sent[k]
	if !ok || state == nil || r.placement == nil {
		return
	}
	next := sendState{wanted: state.wanted}
	again := false
	for i, m := range r.placement.Replicas(k) {
		s := state.of(m)
		if s.sends < state.wanted {
			s.sends++
			b.add(m, e)
		}
		next.replicas[i] = s
		again = again || s.sends < state.wanted
	}
	*state = next
	if again {
		r.queue = append(r.queue, queuedKey{k, now.Add(repeatDelay)})
	}
}

// of returns what was sent to a replica.
func (s *sendState) of(m Member) replicaState {
	for _, r := range s.replicas {
		if r.address == m.Address && r.incarnation == m.Incarnation {
			return r
		}
	}
	return replicaState{address: m.Address, incarnation: m.Incarnation}
}

// Hold adds an origin that another router sent.
func (r *Replication) Hold(now time.Time, e Entry) { r.held.Put(now, e) }

// Find returns the origin of a stream, if this router knows it.
func (r *Replication) Find(now time.Time, k Key) (Origin, bool) {
	o, own := r.own.Get(now, k)
	h, held := r.held.Get(now, k)
	switch {
	case own && held && o != h:
		return Origin{Service: o.Service}, true
	case own:
		return o, true
	}
	return h, held
}

// Counts returns the number of origins, and how many were dropped before they expired.
func (r *Replication) Counts() (known, dropped int) {
	return r.own.Len() + r.held.Len(), r.own.Dropped() + r.held.Dropped()
}

// DroppedAt returns when an origin was last dropped before it expired, or the zero time.
func (r *Replication) DroppedAt() time.Time {
	if at := r.held.DroppedAt(); at.After(r.own.DroppedAt()) {
		return at
	}
	return r.own.DroppedAt()
}

// batch collects origins by receiver.
type batch struct{ sends []Send }

func (b *batch) add(m Member, e Entry) {
	for i := range b.sends {
		if b.sends[i].To == m {
			b.sends[i].Entries = append(b.sends[i].Entries, e)
			return
		}
	}
	b.sends = append(b.sends, Send{To: m, Entries: []Entry{e}})
}
