package steward

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
)

// newSyncingKeeper returns a keeper that answers syncs and has applied nothing.
func newSyncingKeeper() *Keeper {
	s := &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second)}
	s.committedState.Store(&committedState{document: governor.New().Document()})
	return s
}

// applyLeave makes a keeper apply the leave of an endpoint, as the next log entry.
func applyLeave(s *Keeper, i enroller.Incarnation) {
	h, index := enroller.NewLeaveHistory(), s.registry.leavesIndex
	for _, l := range allLeaves(s.registry.leaves) {
		h.Record(l)
	}
	h.Record(enroller.Leave{Incarnation: i, Index: index + 1})
	s.registry.applyLeaves(time.Now(), h.Leaves(), index+1)
}

func allLeaves(l enroller.Leaves) []enroller.Leave {
	list, _ := l.Since(0)
	return list
}

func (s *Keeper) syncFrom(at time.Time, address string) {
	s.registry.answerSync(at, "d", &messenger.SyncRequest{Router: &messenger.FleetMember{Address: address, Zone: "z"}}, &messenger.SyncReply{})
}

// Guards against a request that reaches an endpoint too long after its leave was acknowledged: a
// router on a busy link syncs half a second later than the others.
func TestLeaveIsAcknowledgedOnceRoutersHaveSynced(t *testing.T) {
	g := gomega.NewWithT(t)
	i := enroller.Incarnation{ID: "a", BornMS: 5}
	s := newSyncingKeeper()
	s.syncFrom(time.Now(), "fast")
	s.syncFrom(time.Now(), "slow")
	s.syncFrom(time.Now().Add(-recentSyncWindow), "silent")
	applyLeave(s, i)
	arrived, done := time.Now(), make(chan struct{})
	go func() {
		g.Expect(s.awaitLeaveNotified(t.Context(), i, arrived)).To(gomega.Succeed())
		close(done)
	}()
	time.Sleep(2 * leavePollInterval)
	s.syncFrom(time.Now(), "fast")
	g.Consistently(done, 4*leavePollInterval).ShouldNot(gomega.BeClosed(), "one router has not synced")
	s.syncFrom(time.Now(), "slow")
	g.Eventually(done).Should(gomega.BeClosed())
	g.Expect(time.Since(arrived)).To(gomega.BeNumerically("<", leaveNotifyTimeout))
}

// Guards against a leave that is not acknowledged because a router has just lost contact.
func TestLeaveIsAcknowledgedWithoutASilentRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	i := enroller.Incarnation{ID: "a", BornMS: 5}
	s := newSyncingKeeper()
	s.syncFrom(time.Now(), "gone")
	applyLeave(s, i)
	arrived := time.Now()
	g.Expect(s.awaitLeaveNotified(t.Context(), i, arrived)).To(gomega.Succeed())
	g.Expect(time.Since(arrived)).To(gomega.BeNumerically("~", leaveNotifyTimeout, 300*time.Millisecond))
	g.Expect(leaveNotifyTimeout).To(gomega.BeNumerically("<", time.Second), "endpoints ask another keeper after a second")
}

// leavesOf returns the endpoints in a reply to a router that knows the leaves up to an index.
func leavesOf(s *Keeper, now time.Time, known uint64, skipEndpoints bool) (*messenger.LeaveUpdate, *messenger.SyncReply) {
	out := &messenger.SyncReply{}
	s.registry.answerSync(now, "d", &messenger.SyncRequest{
		Router: &messenger.FleetMember{Address: "r", Zone: "z"}, SkipEndpoints: skipEndpoints, KnownLeaves: &messenger.KnownLeaves{Deployment: "d", Index: known},
	}, out)
	return out.Leaves, out
}

// recordLeaves makes a keeper apply the leaves of endpoints e(from) to e(to-1), one in each log entry.
func recordLeaves(s *Keeper, h *enroller.LeaveHistory, from, to int) {
	for n := from; n < to; n++ {
		h.Record(enroller.Leave{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", n), BornMS: 1}, Index: uint64(n + 1)})
	}
	s.registry.applyLeaves(time.Now(), h.Leaves(), uint64(to))
}

// Guards against leaves that a router never learns of, because more endpoints left since its last sync
// than a reply holds.
func TestReplyHoldsAllLeavesThatARouterDoesNotKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	s, h := newSyncingKeeper(), enroller.NewLeaveHistory()
	recordLeaves(s, h, 0, 3_000)
	for _, skip := range []bool{false, true} {
		u, _ := leavesOf(s, time.Now(), 1_000, skip)
		g.Expect(u.Truncated).To(gomega.BeFalse())
		g.Expect(u.Index).To(gomega.Equal(uint64(3_000)))
		g.Expect(u.Leaves).To(gomega.HaveLen(2_000))
		g.Expect(u.Leaves[0].Endpoint).To(gomega.Equal("e1000"))
	}
	u, _ := leavesOf(s, time.Now(), 3_000, true)
	g.Expect(u.Leaves).To(gomega.BeEmpty())
	u, _ = leavesOf(s, time.Now(), 0, true)
	g.Expect(u.Leaves).To(gomega.HaveLen(3_000), "the router has known the deployment since before the first leave")
	u, _ = leavesOf(s, time.Now(), 3_100, true)
	g.Expect(u.Index).To(gomega.Equal(uint64(3_000)), "the keeper lags behind the router's last one")
}

// Guards against leaves that are lost without a trace: a router was away for longer than the keepers
// hold leaves, or knows those of another deployment.
func TestRouterThatMissedDroppedLeavesIsSentAllEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	s, h := newSyncingKeeper(), enroller.NewLeaveHistory()
	s.registry.observeHeartbeat(time.Now(), heartbeatFor("alive", 1, "s"))
	recordLeaves(s, h, 0, 20_000)
	u, out := leavesOf(s, time.Now(), 100, true)
	g.Expect(u.Truncated).To(gomega.BeTrue())
	g.Expect(out.Partial).To(gomega.BeFalse())
	g.Expect(out.Endpoints).To(gomega.HaveLen(1))
	s.registry.answerSync(time.Now(), "other", &messenger.SyncRequest{
		Router: &messenger.FleetMember{Address: "r", Zone: "z"}, SkipEndpoints: true, KnownLeaves: &messenger.KnownLeaves{Deployment: "d", Index: 19_990},
	}, out)
	g.Expect(out.Leaves.Truncated).To(gomega.BeTrue())
}

// Guards against an endpoint that a starting router is told of although it has just left: the list of
// endpoints is reused for a moment, and the router's index says that it knows the leave.
func TestListForAStartingRouterHoldsNoEndpointThatHasJustLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	s, h, now := newSyncingKeeper(), enroller.NewLeaveHistory(), time.Now()
	for n := range 3_000 {
		b := heartbeatFor(fmt.Sprint("e", n), 1, "s")
		b.Address = fmt.Sprintf("10.0.%d.%d:1", n/250, n%250)
		s.registry.observeHeartbeat(now, b)
	}
	list := func() (uint64, int) {
		out := &messenger.SyncReply{}
		s.registry.answerSync(now, "d", &messenger.SyncRequest{Router: &messenger.FleetMember{Address: "r", Zone: "z"}, KnownLeaves: &messenger.KnownLeaves{}}, out)
		return out.Leaves.Index, len(out.Endpoints)
	}
	index, endpoints := list()
	g.Expect([]any{index, endpoints}).To(gomega.Equal([]any{uint64(0), 3_000}))
	recordLeaves(s, h, 0, 100)
	index, endpoints = list()
	g.Expect([]any{index, endpoints}).To(gomega.Equal([]any{uint64(100), 2_900}))
}

// Guards against an endpoint that leaves twice in the log, once with its start time and once without:
// the second one stands for whichever incarnation a process knows by then.
func TestLeaveWithoutAStartTimeIsThatOfTheLastIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSyncingKeeper()
	s.registry.observeHeartbeat(time.Now(), heartbeatFor("a", 5, "s"))
	g.Expect(s.registry.resolveIncarnation(enroller.Incarnation{ID: "a"}).BornMS).To(gomega.Equal(int64(5)))
	applyLeave(s, enroller.Incarnation{ID: "a", BornMS: 5})
	again := s.registry.resolveIncarnation(enroller.Incarnation{ID: "a"})
	g.Expect(again.BornMS).To(gomega.Equal(int64(5)))
	g.Expect(s.registry.hasLeft(again)).To(gomega.BeTrue())
	s.registry.observeHeartbeat(time.Now(), heartbeatFor("a", 9, "s"))
	g.Expect(s.registry.resolveIncarnation(enroller.Incarnation{ID: "a"}).BornMS).To(gomega.Equal(int64(9)))
	g.Expect(s.registry.resolveIncarnation(enroller.Incarnation{ID: "unknown"}).BornMS).To(gomega.BeZero())
}

// Guards against an acknowledgement by a keeper that has not applied the leave, because it lags behind the
// log: the routers that sync with it learn of the leave much later.
func TestLeaveIsNotAcknowledgedByAKeeperThatLags(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSyncingKeeper()
	s.syncFrom(time.Now(), "r")
	err := s.awaitLeaveNotified(t.Context(), enroller.Incarnation{ID: "a", BornMS: 5}, time.Now())
	g.Expect(errors.Is(err, ErrNoMajority)).To(gomega.BeTrue())
}

// syncKnowing makes a router sync that states the leaves up to an index as known.
func (s *Keeper) syncKnowing(address string, index uint64) {
	s.registry.answerSync(time.Now(), "d", &messenger.SyncRequest{
		Router: &messenger.FleetMember{Address: address, Zone: "z"}, KnownLeaves: &messenger.KnownLeaves{Deployment: "d", Index: index},
	}, &messenger.SyncReply{})
}

// Guards against a leave that is acknowledged at once although a router does not know it: the replies to that
// router are lost, and composing them counted as telling it.
func TestRouterThatReceivesNoRepliesIsNotNotified(t *testing.T) {
	g := gomega.NewWithT(t)
	s, i := newSyncingKeeper(), enroller.Incarnation{ID: "a", BornMS: 5}
	now := time.Now()
	notified := func() bool {
		now = now.Add(leavePollInterval)
		_, notified := s.registry.leaveNotified(now, i)
		return notified
	}
	s.syncKnowing("sound", 0)
	s.syncKnowing("mute", 0)
	applyLeave(s, i)
	s.syncKnowing("sound", 0)
	s.syncKnowing("mute", 0)
	s.syncKnowing("sound", 1)
	s.syncKnowing("mute", 0)
	g.Expect(notified()).To(gomega.BeFalse(), "one router has not received two replies")
	s.syncKnowing("mute", 1)
	g.Expect(notified()).To(gomega.BeTrue())
}

// Guards against a leave that is acknowledged by a keeper of which no router receives a reply.
func TestLeaveIsNotAcknowledgedByAKeeperWhoseRepliesAreLost(t *testing.T) {
	g := gomega.NewWithT(t)
	s, i := newSyncingKeeper(), enroller.Incarnation{ID: "a", BornMS: 5}
	applyLeave(s, i)
	for range 3 {
		s.syncKnowing("r1", 0)
		s.syncKnowing("r2", 0)
	}
	g.Expect(s.awaitLeaveNotified(t.Context(), i, time.Now())).NotTo(gomega.Succeed())
	s.syncKnowing("r2", 1)
	g.Expect(s.awaitLeaveNotified(t.Context(), i, time.Now())).To(gomega.Succeed(), "one router is silent, the other knows the leave")
}

const (
	// maxReplyBytes is half of what a message between processes may have.
	maxReplyBytes = 16 << 20
	// maxSlowReplyBytes is what a link of 10 Mbit/s carries within the timeout of a sync, 2 s.
	maxSlowReplyBytes = 2_500_000
)

// Guards against replies that are too large to be sent, and against leaves that take too long over the link of a
// router: a program announces thousands of endpoints with long ids in zones with long names, and lets them
// leave. The endpoints that are in service before and come after are listed all the same.
func TestRepliesAreBoundedBesideLongIDs(t *testing.T) {
	g := gomega.NewWithT(t)
	s, h, now := newSyncingKeeper(), enroller.NewLeaveHistory(), time.Now()
	announce := func(id, zone string, n int) {
		b := heartbeatFor(id, 1, "s")
		b.Zone, b.Address = zone, fmt.Sprintf("10.%d.%d.%d:1", n>>16, n>>8&255, n&255)
		s.registry.observeHeartbeat(now, b)
	}
	for n := range 500 {
		announce(fmt.Sprint("before", n), "z", n)
	}
	leavesOf(s, now, 0, false)
	long := strings.Repeat("x", 4_000)
	for n := range 4_000 {
		announce(fmt.Sprint(long, n), fmt.Sprint(long[:1_000], n), 100_000+n)
		h.Record(enroller.Leave{Incarnation: enroller.Incarnation{ID: fmt.Sprint(long, "left", n), BornMS: 1}, Index: uint64(n + 1)})
	}
	s.registry.applyLeaves(now, h.Leaves(), 4_000)
	for n := range 500 {
		announce(fmt.Sprint("after", n), "z", 10_000+n)
	}
	now = now.Add(time.Second)
	u, out := leavesOf(s, now, 0, false)
	g.Expect(u.Index).To(gomega.Equal(uint64(4_000)))
	g.Expect(proto.Size(out)).To(gomega.BeNumerically("<", maxReplyBytes))
	sound := 0
	for _, x := range out.Endpoints {
		if len(x.Id) < 100 {
			sound++
		}
	}
	g.Expect(sound).To(gomega.Equal(1_000))
	_, out = leavesOf(s, now, 3_900, true)
	g.Expect(proto.Size(out)).To(gomega.BeNumerically("<", maxSlowReplyBytes))
	s.registry.expire(now.Add(time.Hour))
	gone := &messenger.SyncReply{}
	s.registry.answerSync(now, "d", &messenger.SyncRequest{
		Router: &messenger.FleetMember{Address: "r", Zone: "z"}, Epoch: s.registry.epoch, Revision: 500, KnownLeaves: &messenger.KnownLeaves{Deployment: "d", Index: 4_000},
	}, gone)
	g.Expect(proto.Size(gone)).To(gomega.BeNumerically("<", maxSlowReplyBytes))
}
