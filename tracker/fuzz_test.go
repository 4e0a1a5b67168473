package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

const maxAge = 3 * time.Second

var zones = []string{"osu-hall", "tema-hall"}

// clockedRouter is a tracker with clocks of its own.
type clockedRouter struct {
	name    string
	zone    string
	tracker *Tracker
	peers   map[string]*Peer
	// Asleep is for how long the monotonic clock stood still during suspensions.
	asleep time.Duration
	// Step is the total adjustment of the wall clock.
	step time.Duration
	// Told holds the incarnations that this router knows to be leaving.
	told map[string]bool
	// Seen holds all endpoints of all tables so far, because a request may still
	// use an old table.
	seen map[*rattanhoist.Endpoint]bool
}

func (r *clockedRouter) now(at time.Duration) rattanhoist.Moment {
	return rattanhoist.NewMoment(at-r.asleep+time.Hour, at+r.step+1000*time.Hour)
}

// speaker is the actual state of an endpoint.
type speaker struct {
	name, zone  string
	incarnation uint64
	sequence    uint64
	left        bool
	tokens      map[string]string
}

func incarnationName(name string, i uint64) string { return fmt.Sprint(name, "#", i) }

// world is the oracle: it knows when each incarnation last announced that it
// accepts requests.
type world struct {
	at      time.Duration
	routers []*clockedRouter
	ends    []*speaker
	spoke   map[string]time.Duration
	// Pool holds the messages in flight, which are delivered in any order, any
	// number of times or never.
	pool []func()
	// InTurn is set if pulls rotate over the siblings.
	inTurn bool
	// Usable counts the pairs of a router and an endpoint that it may use.
	usable int
}

func newWorld() *world {
	w := &world{spoke: map[string]time.Duration{}}
	for i, z := range []string{zones[0], zones[0], zones[1]} {
		w.routers = append(w.routers, &clockedRouter{
			name: fmt.Sprint("router-", i), zone: z, peers: map[string]*Peer{}, told: map[string]bool{},
			seen:    map[*rattanhoist.Endpoint]bool{},
			tracker: New(Options{MaxAge: maxAge, Incarnation: rattanhoist.Incarnation(100 + i), Zone: z, Zones: zones}),
		})
	}
	for i := range 2 {
		w.ends = append(w.ends, &speaker{name: fmt.Sprint("e", i), zone: zones[i%2], incarnation: 1, tokens: map[string]string{}})
	}
	return w
}

func (w *world) announcement(e *speaker, to *clockedRouter) Announcement {
	e.sequence++
	if !e.left {
		w.spoke[incarnationName(e.name, e.incarnation)] = w.at
	}
	return Announcement{
		Name: e.name, Service: "llm", Zone: e.zone, Address: "127.0.0.1:" + e.name[1:] + "1",
		Incarnation: e.incarnation, Sequence: e.sequence, Capacity: 4, Load: int64(e.sequence % 7),
		Leaving: e.left, Token: e.tokens[to.name],
	}
}

func (w *world) announce(e *speaker, to *clockedRouter) {
	a := w.announcement(e, to)
	w.pool = append(w.pool, func() {
		now := to.now(w.at)
		if _, err := to.tracker.Announce(a, now); err == nil && a.Leaving {
			to.told[incarnationName(a.Name, a.Incarnation)] = true
		}
		token := to.tracker.Token(now)
		w.pool = append(w.pool, func() { e.tokens[to.name] = token })
	})
}

func (w *world) pull(from, to *clockedRouter) {
	if from.peers[to.name] == nil {
		from.peers[to.name] = NewPeer(to.name, to.zone == from.zone)
		if w.inTurn && to.zone == from.zone {
			from.peers[to.name] = NewRotatedPeer(to.name)
		}
	}
	p := from.peers[to.name]
	asked := from.now(w.at)
	var silent []string
	for _, r := range w.routers {
		if len(w.pool)%2 == 0 {
			silent = append(silent, r.name)
		}
	}
	q := from.tracker.Request(p, from.name, from.zone, silent, asked)
	w.pool = append(w.pool, func() {
		reply := to.tracker.Reply(q, to.now(w.at))
		w.pool = append(w.pool, func() { from.tracker.Merge(p, reply, asked, from.now(w.at)) })
	})
}

// now delivers a message and its reply without delay.
func (w *world) now(send func()) {
	before := len(w.pool)
	send()
	w.pool[before]()
	w.pool[before+1]()
	w.pool = w.pool[:before]
}

func (w *world) push(from, to *clockedRouter, name string) {
	s := from.tracker.Left(name)
	if s == nil {
		return
	}
	w.pool = append(w.pool, func() {
		to.tracker.MergeLeaves(&messenger.GossipRequest{Node: from.name, Zone: from.zone, Left: []*messenger.EndpointState{s}}, to.now(w.at))
		to.told[incarnationName(s.Name, s.Incarnation)] = true
	})
}

// check compares each router, with its current and all older tables, with the
// actual state.
func (w *world) check(t *rapid.T) {
	for _, r := range w.routers {
		now := r.now(w.at)
		for _, s := range r.tracker.Table().Services() {
			for _, e := range r.tracker.Table().Service(s) {
				r.seen[e] = true
			}
		}
		for e := range r.seen {
			if !r.tracker.UsableAt(e, now) {
				continue
			}
			w.usable++
			id := incarnationName(e.Name(), uint64(e.Incarnation()))
			if silent := w.at - w.spoke[id]; silent >= maxAge {
				t.Fatalf("%s may use %s, which spoke %s ago", r.name, id, silent)
			}
			if r.told[id] {
				t.Fatalf("%s may use %s, though it heard that it left", r.name, id)
			}
		}
	}
}

func (w *world) router(t *rapid.T) *clockedRouter {
	return rapid.SampledFrom(w.routers).Draw(t, "router")
}

func (w *world) speaker(t *rapid.T) *speaker { return rapid.SampledFrom(w.ends).Draw(t, "endpoint") }

func (w *world) message(t *rapid.T) int {
	if len(w.pool) == 0 {
		t.Skip("no message")
	}
	return rapid.IntRange(0, len(w.pool)-1).Draw(t, "message")
}

// Guards against a router that uses a leaving, silent or restarted endpoint more
// than 3 s after its last announcement. Messages are delayed, duplicated, reordered
// and lost, wall clocks are adjusted, VMs are suspended, and old tables are still
// in use.
func TestNoWorkAfterMaxAge(t *testing.T) {
	usable := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.inTurn = rapid.Bool().Draw(t, "in turn")
		defer func() { usable += w.usable }()
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.check(t) },
			"time passes": func(t *rapid.T) {
				w.at += time.Duration(rapid.IntRange(100, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"announce": func(t *rapid.T) { w.announce(w.speaker(t), w.router(t)) },
			"exchange": func(t *rapid.T) {
				e, r := w.speaker(t), w.router(t)
				for range 2 {
					w.now(func() { w.announce(e, r) })
				}
			},
			"pull": func(t *rapid.T) { w.pull(w.router(t), w.router(t)) },
			"round": func(t *rapid.T) {
				from, to := w.router(t), w.router(t)
				w.now(func() { w.pull(from, to) })
			},
			"push":   func(t *rapid.T) { w.push(w.router(t), w.router(t), w.speaker(t).name) },
			"leave":  func(t *rapid.T) { w.speaker(t).left = true },
			"expire": func(t *rapid.T) { r := w.router(t); r.tracker.Expire(r.now(w.at)) },
			"restart": func(t *rapid.T) {
				e := w.speaker(t)
				e.incarnation, e.sequence, e.left = e.incarnation+1, 0, false
			},
			"deliver": func(t *rapid.T) {
				i := w.message(t)
				m := w.pool[i]
				w.pool = append(w.pool[:i:i], w.pool[i+1:]...)
				m()
			},
			"deliver and keep": func(t *rapid.T) { w.pool[w.message(t)]() },
			"lose": func(t *rapid.T) {
				i := w.message(t)
				w.pool = append(w.pool[:i:i], w.pool[i+1:]...)
			},
			"set wall clock": func(t *rapid.T) {
				// The other routers are suspended instead: a VM whose wall
				// clock is set back by just the time of a suspension can't
				// know of either.
				w.routers[rapid.IntRange(0, 1).Draw(t, "router")].step += time.Duration(rapid.SampledFrom([]int{-3600, -2, 2, 3600}).Draw(t, "s")) * time.Second
			},
			"suspend": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second
				w.routers[2].asleep += d
				w.at += d
			},
		})
	})
	// Otherwise routers that use no endpoint would pass.
	gomega.NewWithT(t).Expect(usable).To(gomega.BeNumerically(">", 1000))
}
