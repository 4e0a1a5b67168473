package tracker

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// The expected size of a large zone.
const (
	zoneRouters   = 18
	zoneEndpoints = 216
	// zoneStep is the step of the virtual time, and zoneTrip the one-way delay of a
	// message.
	zoneStep = 5 * time.Millisecond
	zoneTrip = 5 * time.Millisecond
	// zoneWarm is the time before measurements begin, and zoneLook their duration.
	zoneWarm = 8 * time.Second
	zoneLook = 10 * time.Second
	renewal  = 500 * time.Millisecond
	// hearWithin is the time within which all routers must know a new endpoint.
	hearWithin = 2 * time.Second
	// zoneBytesPerS limits the messages of a router's pulls in both directions, in
	// bytes per second without the overhead of each call.
	zoneBytesPerS = 9000
)

// zoneRouter is a router of the zone with its pulls.
type zoneRouter struct {
	tracker *Tracker
	rota    *PullSchedule
	peers   []*Peer
	// Next is when the next pull is due.
	next time.Duration
	// A router that is down neither sends nor answers pulls. One that is cut off
	// still receives announcements.
	down, cut bool
}

// zoneEnd is an endpoint that announces itself to two routers.
type zoneEnd struct {
	said Announcement
	tell [2]int
	next time.Duration
	// Quiet is set once the endpoint has ended without leaving.
	quiet bool
	token [2]string
}

// zoneSim simulates a zone in virtual time.
type zoneSim struct {
	at      time.Duration
	routers []*zoneRouter
	ends    []*zoneEnd
	random  *rand.Rand
	later   map[time.Duration][]func()
	// Pulls and bytes count the pulls after zoneWarm.
	pulls, bytes int
}

func newZoneSim(seed uint64) *zoneSim {
	s := &zoneSim{random: rand.New(rand.NewPCG(seed, 1)), later: map[time.Duration][]func(){}}
	for i := range zoneRouters {
		r := &zoneRouter{
			tracker: newTracker(zones[0], rattanhoist.Incarnation(i+1)), next: s.any(PullInterval),
			rota: NewPullSchedule(zoneRouters, i),
		}
		for j := range zoneRouters {
			r.peers = append(r.peers, NewRotatedPeer(fmt.Sprint("r", j)))
		}
		s.routers = append(s.routers, r)
	}
	for range zoneEndpoints {
		s.addEnd()
	}
	return s
}

// any returns a random moment within a duration, in multiples of zoneStep.
func (s *zoneSim) any(within time.Duration) time.Duration {
	return s.at + time.Duration(s.random.Int64N(int64(within/zoneStep)))*zoneStep
}

func (s *zoneSim) addEnd() *zoneEnd {
	a := valid()
	n := len(s.ends)
	a.Name, a.Address = fmt.Sprint("e", n), fmt.Sprintf("10.0.%d.%d:9000", n>>8, n&255)
	two := s.random.Perm(zoneRouters)
	// The sequence is as large as after days, so that its size is realistic.
	a.Sequence = 1 << 20
	e := &zoneEnd{said: a, tell: [2]int{two[0], two[1]}, next: s.any(renewal)}
	s.ends = append(s.ends, e)
	return e
}

func (s *zoneSim) moment() rattanhoist.Moment { return start.Add(s.at) }

func (s *zoneSim) after(d time.Duration, f func()) {
	s.later[s.at+d] = append(s.later[s.at+d], f)
}

func (s *zoneSim) announce(e *zoneEnd) {
	e.next += renewal
	for i, n := range e.tell {
		r := s.routers[n]
		if r.down {
			continue
		}
		s.say(e, i, r)
		if e.token[i] == "" {
			e.token[i] = r.tracker.Token(s.moment())
			s.say(e, i, r)
		}
		e.token[i] = r.tracker.Token(s.moment())
	}
}

func (s *zoneSim) say(e *zoneEnd, i int, r *zoneRouter) {
	e.said.Sequence++
	e.said.Load = s.random.Int64N(16)
	a := e.said
	a.Token = e.token[i]
	if _, err := r.tracker.Announce(a, s.moment()); err != nil {
		panic(err)
	}
}

func (s *zoneSim) pull(n int) {
	r := s.routers[n]
	r.next += PullInterval / DefaultSiblingsPerRound
	m := r.rota.Next(func(i int) bool { return !s.routers[i].down && !s.routers[i].cut })
	p, other, at := r.peers[m], s.routers[m], s.moment()
	q := r.tracker.Request(p, fmt.Sprint("r", n), zones[0], nil, s.moment())
	s.after(zoneTrip, func() {
		asked, err := proto.Marshal(q)
		if err != nil {
			panic(err)
		}
		reply := other.tracker.Reply(q, s.moment())
		b, err := proto.Marshal(reply)
		if err != nil {
			panic(err)
		}
		if s.at > zoneWarm {
			s.pulls, s.bytes = s.pulls+1, s.bytes+len(b)+len(asked)
		}
		s.after(zoneTrip, func() {
			read := &messenger.GossipReply{}
			if err := proto.Unmarshal(b, read); err != nil {
				panic(err)
			}
			r.tracker.Merge(p, read, at, s.moment())
		})
	})
}

// run advances the time and calls look at every step.
func (s *zoneSim) run(d time.Duration, look func()) {
	for end := s.at + d; s.at < end; s.at += zoneStep {
		for _, f := range s.later[s.at] {
			f()
		}
		delete(s.later, s.at)
		for _, e := range s.ends {
			if !e.quiet && e.next <= s.at {
				s.announce(e)
			}
		}
		for n, r := range s.routers {
			if !r.down && !r.cut && r.next <= s.at {
				s.pull(n)
			}
		}
		look()
	}
}

// uses returns how many endpoints a router may use, and how many of these have
// ended.
func (s *zoneSim) uses(r *zoneRouter, gone map[string]bool) (usable, wrong int) {
	for _, x := range r.tracker.Table().Service("llm") {
		if !r.tracker.UsableAt(x, s.moment()) {
			continue
		}
		usable++
		if gone[x.Name()] {
			wrong++
		}
	}
	return usable, wrong
}

// missing counts the pairs of a router and a running endpoint every 50 ms, and
// those that can't be used; oldest is the highest age.
func (s *zoneSim) missing(speaking map[string]bool) (missing, pairs int, oldest time.Duration) {
	s.run(zoneLook, func() {
		if s.at%(50*time.Millisecond) != 0 {
			return
		}
		for _, r := range s.routers {
			if r.down || r.cut {
				continue
			}
			pairs += len(speaking)
			missing += len(speaking)
			for _, x := range r.tracker.Table().Service("llm") {
				if !speaking[x.Name()] {
					continue
				}
				age, _ := s.moment().Since(x.AnnouncedAtMoment())
				oldest = max(oldest, age)
				if r.tracker.UsableAt(x, s.moment()) {
					missing--
				}
			}
		}
	})
	return missing, pairs, oldest
}

func idle() {}

// speaking returns the endpoints that announce themselves to a running router.
func (s *zoneSim) speaking() map[string]bool {
	out := map[string]bool{}
	for _, e := range s.ends {
		for _, n := range e.tell {
			if r := s.routers[n]; !e.quiet && !r.down && !r.cut {
				out[e.said.Name] = true
			}
		}
	}
	return out
}

// Guards against endpoints that are unusable for moments in a large zone, because a
// renewal that arrives over several routers is too old.
func TestEndpointsStayUsableInALargeZone(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(2) {
		s := newZoneSim(seed)
		s.run(zoneWarm, idle)
		missing, pairs, oldest := s.missing(s.speaking())
		perRouter := 2 * float64(s.bytes) / zoneRouters / zoneLook.Seconds()
		t.Logf("calm: %d of %d pairs not usable, oldest %s, %d B a pull, %.0f B/s", missing, pairs, oldest, s.bytes/s.pulls, perRouter)
		g.Expect(missing).To(gomega.BeZero())
		g.Expect(pairs).To(gomega.BeNumerically(">", 700_000))
		g.Expect(perRouter).To(gomega.BeNumerically("<", zoneBytesPerS))
		for _, n := range []int{0, 1, 2, 5, 9, 13} {
			s.routers[n].down = true
		}
		s.run(maxAge, idle)
		missing, pairs, oldest = s.missing(s.speaking())
		t.Logf("6 routers down: %d of %d pairs not usable, oldest %s", missing, pairs, oldest)
		g.Expect(missing).To(gomega.BeZero())
	}
}

func TestZoneHearsOfANewEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newZoneSim(1)
	s.run(zoneWarm, idle)
	for range 12 {
		e, joined := s.addEnd(), s.at
		e.next = s.at
		last := time.Duration(0)
		s.run(hearWithin, func() {
			if s.at%(25*time.Millisecond) != 0 {
				return
			}
			for _, r := range s.routers {
				if n, _ := s.uses(r, nil); n < len(s.ends) {
					last = s.at + 25*time.Millisecond - joined
				}
			}
		})
		t.Logf("heard everywhere after %s", last)
		g.Expect(last).To(gomega.BeNumerically("<", hearWithin))
	}
}

// Guards against requests to endpoints that have ended, from a router that knows
// them through others, from one that reaches no other router, or from one that was
// suspended.
func TestNoWorkInALargeZone(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newZoneSim(3)
	s.run(zoneWarm, idle)
	gone := map[string]bool{}
	for _, e := range s.ends[:100] {
		e.quiet = true
		gone[e.said.Name] = true
	}
	s.routers[0].cut, s.routers[1].down = true, true
	s.run(maxAge, idle)
	s.run(zoneLook, func() {
		if s.at%(50*time.Millisecond) != 0 {
			return
		}
		for _, r := range s.routers {
			_, wrong := s.uses(r, gone)
			g.Expect(wrong).To(gomega.BeZero())
		}
	})
	usable, _ := s.uses(s.routers[1], nil)
	g.Expect(usable).To(gomega.BeZero(), "a router that was stopped")
	usable, _ = s.uses(s.routers[0], nil)
	g.Expect(usable).To(gomega.BeNumerically(">", 0), "a router that hears endpoints alone")
	for n := 2; n < zoneRouters; n++ {
		usable, _ = s.uses(s.routers[n], nil)
		g.Expect(usable).To(gomega.Equal(len(s.speaking())))
	}
}

func TestRotaReachesAll(t *testing.T) {
	g := gomega.NewWithT(t)
	for routers := 2; routers < 40; routers++ {
		// What router 0 knows after asking backwards over one turn of each.
		heard, r := map[int]bool{0: true}, NewPullSchedule(routers, 0)
		for range 6 {
			d := r.Next(func(int) bool { return true })
			for _, n := range slices.Collect(maps.Keys(heard)) {
				heard[(n+d)%routers] = true
			}
		}
		g.Expect(heard).To(gomega.HaveLen(routers))
	}
	r := NewPullSchedule(5, 3)
	for range 10 {
		g.Expect(r.Next(func(int) bool { return false })).To(gomega.BeElementOf(4, 0, 2))
	}
	for range 10 {
		g.Expect(r.Next(func(p int) bool { return p == 1 })).To(gomega.Equal(1), "the only one that answers")
	}
}

// Packed renewals of unknown endpoints are requested, lists of different lengths
// are counted, ages are not underestimated, and routers of an earlier version get
// renewals in the earlier form.
func TestPackedRenewals(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newTracker(zones[0], 1), newTracker(zones[0], 2)
	p := NewRotatedPeer("a")
	say(g, a, valid(), start)
	p.incarnation, p.revision = 1, a.Revision()
	again := valid()
	again.Sequence = 2
	say(g, a, again, start)
	pull := func(now rattanhoist.Moment) *messenger.GossipReply {
		reply := a.Reply(b.Request(p, "b", zones[0], nil, now), now)
		b.Merge(p, reply, now, now)
		return reply
	}
	now := start.Add(time.Millisecond)
	g.Expect(pull(now).Packed.Ages).To(gomega.Equal([]uint32{1}), "1 ms is up to 16")
	g.Expect(usable(b, "llm", now)).To(gomega.BeEmpty())
	g.Expect(pull(now).Endpoints).To(gomega.HaveLen(1), "asked for by number")
	g.Expect(usable(b, "llm", now)).To(gomega.Equal([]string{"e1"}))
	again.Sequence = 3
	say(g, a, again, now)
	g.Expect(pull(now).Packed).To(gomega.BeNil(), "young enough")
	again.Sequence = 4
	say(g, a, again, now.Add(maxAge/2))
	g.Expect(pull(now.Add(maxAge / 2)).Packed.Sequences).To(gomega.Equal([]uint64{4}))
	leave := again
	leave.Sequence, leave.Leaving = 5, true
	say(g, a, leave, now.Add(maxAge/2))
	g.Expect(pull(now.Add(maxAge/2)).Packed.Sequences).To(gomega.Equal([]uint64{5}), "a leave, however young")
	g.Expect(usable(b, "llm", now.Add(maxAge/2))).To(gomega.BeEmpty())
	again.Incarnation, again.Sequence = 2, 1
	say(g, a, again, now.Add(maxAge/2))
	pull(now.Add(maxAge / 2))
	rejected := b.Stats().Rejected
	b.Merge(p, &messenger.GossipReply{Incarnation: 1, Packed: &messenger.PackedRenewals{Numbers: []uint64{1}}}, now, now)
	g.Expect(b.Stats().Rejected).To(gomega.Equal(rejected + 1))
	again.Sequence = 2
	say(g, a, again, now.Add(maxAge/2))
	old := &messenger.GossipRequest{Node: "c", Zone: zones[0], Incarnation: 1, Revision: a.Revision() - 1}
	reply := a.Reply(old, now.Add(maxAge/2))
	g.Expect(reply.Renewals).To(gomega.HaveLen(1))
	g.Expect(reply.Packed).To(gomega.BeNil())
	b.Merge(p, &messenger.GossipReply{Incarnation: 9, Packed: &messenger.PackedRenewals{
		Numbers: []uint64{2}, Sequences: []uint64{99}, Loads: []uint64{1}, Ages: []uint32{0},
	}}, now, now)
	g.Expect(usable(b, "llm", now.Add(maxAge/2))).To(gomega.Equal([]string{"e1"}), "a number of another start")
}
