package steward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// Timing of routers, as in courier.
const (
	simSyncInterval    = 200 * time.Millisecond
	simUnpacedRouters  = 12
	simMaxPaceFactor   = 3
	simNextKeeperDelay = 350 * time.Millisecond
	simDemoteDuration  = 3 * time.Second
)

// leaveSimulation is a fleet of registries of keepers, and of routers that sync with them, in virtual time.
type leaveSimulation struct {
	rand    *rand.Rand
	now     time.Time
	events  eventQueue
	keepers []*registry
	routers []*simRouter
	// silent is the keeper that answers nothing from silentFrom on, or -1.
	silent     int
	silentFrom time.Time
	history    *enroller.LeaveHistory
	// acknowledged holds when leaves were acknowledged, by the log index.
	acknowledged map[uint64]time.Time
	// learned holds when a router learned of a leave.
	learned []learnedLeave
	// bytes counts the bytes of leaves sent to routers.
	bytes int
}

type learnedLeave struct {
	index uint64
	at    time.Time
}

// simRouter is a router that asks the keepers of its zone in an order of its own.
type simRouter struct {
	address string
	order   []int
	// trip is the time that a message to or from it takes.
	trip   time.Duration
	known  messenger.KnownLeaves
	slowAt map[int]time.Time
}

type simEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newLeaveSimulation returns a fleet. One router in twenty has a link that callers fill: a round trip
// takes half a second.
func newLeaveSimulation(seed uint64, routers, zones, keepers int) *leaveSimulation {
	s := &leaveSimulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), silent: -1, history: enroller.NewLeaveHistory(), acknowledged: map[uint64]time.Time{},
	}
	for range keepers {
		s.keepers = append(s.keepers, newRegistry(time.Minute))
	}
	for n := range routers {
		r := &simRouter{address: fmt.Sprintf("10.0.%d.%d:7340", n/250, n%250), trip: s.between(time.Millisecond, 5*time.Millisecond), slowAt: map[int]time.Time{}}
		if n%20 == 0 {
			r.trip = 250 * time.Millisecond
		}
		for k := range keepers {
			if k%zones == n%zones {
				r.order = append(r.order, k)
			}
		}
		s.rand.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
		for k := range keepers {
			if k%zones != n%zones {
				r.order = append(r.order, k)
			}
		}
		s.routers = append(s.routers, r)
		s.after(s.between(0, time.Second), func() { s.syncRound(r) })
	}
	return s
}

func (s *leaveSimulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)))
}

func (s *leaveSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), run: run})
}

// run plays the events of a span of time.
func (s *leaveSimulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// interval returns the time between two syncs of a router.
func (s *leaveSimulation) interval() time.Duration {
	factor := float64(len(s.routers)) / simUnpacedRouters
	return time.Duration(float64(simSyncInterval) * min(max(factor, 1), simMaxPaceFactor))
}

// syncRound asks one keeper after the other until one answers.
func (s *leaveSimulation) syncRound(r *simRouter) {
	begun, answered := s.now, false
	order := slices.Clone(r.order)
	slices.SortStableFunc(order, func(a, b int) int { return s.demoted(r, a) - s.demoted(r, b) })
	var ask func(n int)
	ask = func(n int) {
		if answered || n == len(order) {
			return
		}
		s.ask(r, order[n], func() {
			if answered {
				return
			}
			answered = true
			s.after(max(s.interval()-s.now.Sub(begun), simSyncInterval/4), func() { s.syncRound(r) })
		})
		s.after(simNextKeeperDelay, func() {
			if !answered {
				r.slowAt[order[n]] = s.now
				ask(n + 1)
			}
		})
	}
	ask(0)
}

func (s *leaveSimulation) demoted(r *simRouter, keeper int) int {
	if at, slow := r.slowAt[keeper]; slow && s.now.Sub(at) < simDemoteDuration {
		return 1
	}
	return 0
}

// ask sends a sync request, and calls answered when the reply arrives.
func (s *leaveSimulation) ask(r *simRouter, keeper int, answered func()) {
	q := &messenger.SyncRequest{
		Router: &messenger.FleetMember{Address: r.address, Zone: "z"}, SkipEndpoints: true, KnownLeaves: &messenger.KnownLeaves{Deployment: r.known.Deployment, Index: r.known.Index},
	}
	s.after(r.trip, func() {
		if keeper == s.silent && !s.now.Before(s.silentFrom) {
			return
		}
		out := &messenger.SyncReply{}
		s.keepers[keeper].answerSync(s.now, "d", q, out)
		s.bytes += proto.Size(out.Leaves)
		s.after(r.trip, func() {
			delete(r.slowAt, keeper)
			for _, l := range out.Leaves.Leaves {
				index := s.indexOf(l)
				if index > r.known.Index {
					s.learned = append(s.learned, learnedLeave{index: index, at: s.now})
				}
			}
			if r.known.Deployment == "" || q.KnownLeaves.Deployment != "" {
				r.known.Deployment, r.known.Index = "d", max(r.known.Index, out.Leaves.Index)
			}
			answered()
		})
	})
}

func (s *leaveSimulation) indexOf(l *messenger.LeaveChange) uint64 {
	n, err := strconv.ParseUint(l.Endpoint[1:], 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// commit commits the leave of endpoint n at the current time. Other keepers apply it up to a heartbeat of
// the log later. The keeper that received it acknowledges it.
func (s *leaveSimulation) commit(n uint64, receiver int) {
	leave := enroller.Leave{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", n), BornMS: 1}, Index: n}
	s.history.Record(leave)
	arrived := s.now
	for k, r := range s.keepers {
		delay := s.between(time.Millisecond, logHeartbeatInterval)
		if k == receiver {
			delay = time.Millisecond
		}
		leaves := s.history.Leaves()
		s.after(delay, func() {
			if n > r.leavesIndex {
				r.applyLeaves(s.now, leaves, n)
			}
		})
	}
	var acknowledge func()
	acknowledge = func() {
		_, notified := s.keepers[receiver].leaveNotified(s.now, leave.Incarnation)
		if notified || s.now.Sub(arrived) >= leaveNotifyTimeout {
			s.acknowledged[n] = s.now
			return
		}
		s.after(leavePollInterval, acknowledge)
	}
	s.after(leavePollInterval, acknowledge)
}

// delays returns the times from acknowledgements until routers learned of the leaves, sorted.
func (s *leaveSimulation) delays() []time.Duration {
	out := make([]time.Duration, 0, len(s.learned))
	for _, l := range s.learned {
		out = append(out, max(l.at.Sub(s.acknowledged[l.index]), 0))
	}
	slices.Sort(out)
	return out
}

// Hundreds to ten thousand endpoints leave, at once or within seconds, in fleets of 6 to 985 routers. Guards
// against a router that learns of a leave too late after its acknowledgement, also if one keeper
// falls silent at that time. bound is the time after which an endpoint gets no more requests.
func TestAllRoutersLearnOfLeavesInTime(t *testing.T) {
	for _, fleet := range []struct {
		routers, zones, keepers, leaves int
		bound                           time.Duration
	}{
		{6, 3, 3, 500, 2 * time.Second},
		{78, 3, 6, 1_000, 2 * time.Second},
		{340, 5, 15, 2_000, 2 * time.Second},
		{985, 5, 25, 1_000, 4 * time.Second},
	} {
		for _, silent := range []bool{false, true} {
			for _, span := range []time.Duration{time.Millisecond, 10 * time.Second} {
				name := fmt.Sprintf("%d routers, %d leaves in %v, silent keeper %v", fleet.routers, fleet.leaves, span, silent)
				t.Run(name, func(t *testing.T) {
					g := gomega.NewWithT(t)
					s := newLeaveSimulation(7, fleet.routers, fleet.zones, fleet.keepers)
					s.after(0, func() { s.commit(1, 0) })
					s.run(5 * time.Second)
					s.learned, s.bytes = nil, 0
					if silent {
						s.silent, s.silentFrom = fleet.keepers-1, s.now
					}
					for n := range fleet.leaves {
						s.after(time.Duration(n)*span/time.Duration(fleet.leaves), func() { s.commit(uint64(n+2), n%(fleet.keepers-1)) })
					}
					s.run(span + 10*time.Second)
					d := s.delays()
					g.Expect(d).To(gomega.HaveLen(fleet.routers*fleet.leaves), "each router learns of each leave once")
					t.Logf("after the acknowledgement: median %v, 99 of 100 %v, latest %v; %d bytes a leave and router", d[len(d)/2], d[len(d)*99/100], d[len(d)-1], s.bytes/len(d))
					g.Expect(d[len(d)-1]).To(gomega.BeNumerically("<", fleet.bound/2), "half of the time leaves room for a router that waits for its processor")
				})
			}
		}
	}
}
