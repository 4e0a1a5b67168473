package courier

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// notUTF8 is an id that a call may name in its path and that no protocol buffer may hold.
const notUTF8 = "i-9d\xff\xfe"

func heartbeatNotUTF8() enroller.Heartbeat {
	return enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: notUTF8, BornMS: 5}, Service: "s", Address: "10.9.9.9:80", Zone: "z", Slots: 4, Sequence: 1, Version: "1"}
}

// syncWithEachKeeper makes all routers sync with each keeper while the others are silent.
func (f *leaveFleet) syncWithEachKeeper(keepers ...int) {
	for _, only := range keepers {
		for _, n := range keepers {
			f.network.silence(f.internal(n), n != only)
		}
		for n, v := range f.views {
			f.g.Eventually(func() string { return v.currentKeeper.Load().Address() }, 10*time.Second, 20*time.Millisecond).Should(gomega.Equal(f.internal(only)), "router %d", n)
		}
	}
	for _, n := range keepers {
		f.network.silence(f.internal(n), false)
	}
}

// Guards against endpoints that get requests long after their leaves were acknowledged, because keepers hold an
// endpoint whose id is not valid UTF-8: each reply with endpoints, or with those that are gone, fails as a whole.
func TestLeavesReachRoutersBesideAnIDThatIsNotUTF8(t *testing.T) {
	for i, c := range []struct {
		name    string
		foreign func(f *leaveFleet, keeper int)
	}{
		{"heartbeat", func(f *leaveFleet, keeper int) {
			_, _ = f.keepers[keeper].control.Heartbeat(f.t.Context(), heartbeatNotUTF8())
		}},
		{"heartbeat and leave", func(f *leaveFleet, keeper int) {
			_, _ = f.keepers[keeper].control.Heartbeat(f.t.Context(), heartbeatNotUTF8())
			_ = f.keepers[keeper].control.Leave(f.t.Context(), heartbeatNotUTF8().Incarnation)
		}},
		{"leave", func(f *leaveFleet, keeper int) {
			_ = f.keepers[keeper].control.Leave(f.t.Context(), heartbeatNotUTF8().Incarnation)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startLeaveFleet(t, 195+i)
			for n := 11; n <= 13; n++ {
				f.startRouter(n, 1, 2, 3)
			}
			f.register(0, 40, 1)
			f.awaitKnown(40)
			for n := 1; n <= 3; n++ {
				c.foreign(f, n)
			}
			stop := f.background(func(context.Context) { f.leave(0, 20, 1, 1, 2, 3) })
			delay := f.maxDelay(20)
			stop()
			t.Logf("latest leave known %v after its acknowledgement", delay)
			f.g.Expect(delay).To(gomega.BeNumerically("<", maxLeaveDelay))
		})
	}
}

// Guards against the same after the endpoint has expired: a keeper whose changes name what is gone answers a
// router that had synced with it never again. Routers then rely on a single keeper, and that one stops.
func TestLeavesReachRoutersAfterTheLastKeeperThatAnsweredStops(t *testing.T) {
	f := startLeaveFleet(t, 198)
	for n := 11; n <= 13; n++ {
		f.startRouter(n, 1, 2, 3)
	}
	f.register(0, 40, 1)
	f.awaitKnown(40)
	f.syncWithEachKeeper(1, 2, 3)
	for n := 2; n <= 3; n++ {
		_, _ = f.keepers[n].control.Heartbeat(t.Context(), heartbeatNotUTF8())
	}
	time.Sleep(time.Second)
	f.keepers[1].stop()
	stop := f.background(func(context.Context) { f.leave(0, 20, 1, 2, 3) })
	delay := f.maxDelay(20)
	stop()
	t.Logf("latest leave known %v after its acknowledgement", delay)
	f.g.Expect(delay).To(gomega.BeNumerically("<", maxLeaveDelay))
}

// Guards against heartbeats of sound endpoints that other keepers never receive, because they are shared in one
// message with an id that is not valid UTF-8.
func TestKeepersShareHeartbeatsBesideAnIDThatIsNotUTF8(t *testing.T) {
	f := startLeaveFleet(t, 199)
	v := f.startRouter(11, 2)
	for i := range 20 {
		b := heartbeatNotUTF8()
		b.Sequence = uint64(i + 1)
		_, _ = f.keepers[1].control.Heartbeat(t.Context(), b)
		sound := enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", i), BornMS: 1}, Service: "s", Address: fmt.Sprintf("10.0.%d.1:80", i), Zone: "z", Slots: 4, Sequence: 1, Version: "1",
		}
		if _, err := f.keepers[1].control.Heartbeat(t.Context(), sound); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.g.Eventually(func() []string { return v.table.Names() }, 2*time.Second, 20*time.Millisecond).Should(gomega.HaveLen(20))
}

// unencodableKeeper is a keeper of an earlier version that holds an endpoint whose id is not valid UTF-8, so
// that replies with endpoints fail.
type unencodableKeeper struct {
	keeperStub
	left atomic.Bool
}

func (k *unencodableKeeper) Sync(ctx context.Context, q *messenger.SyncRequest) (*messenger.SyncReply, error) {
	out, err := k.keeperStub.Sync(ctx, q)
	out.Leaves = &messenger.LeaveUpdate{Deployment: "d", Index: 100}
	if k.left.Load() {
		out.Leaves.Index = 101
		if q.KnownLeaves.GetDeployment() != "" {
			out.Leaves.Leaves = []*messenger.LeaveChange{{Endpoint: "a"}}
		}
		if !q.SkipEndpoints {
			out.Endpoints = []*messenger.Sighting{{Id: notUTF8}}
		}
	}
	return out, err
}

// Guards against the same in the middle of an upgrade: all keepers are of an earlier version, and their replies
// with endpoints fail. Leaves, configurations and evacuations come in a reply without endpoints.
func TestLeavesComeFromAKeeperWhoseEndpointsCannotBeEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &unencodableKeeper{}
	k.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{
		{Id: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: 1}, {Id: "b", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 8, Sequence: 1},
	}})
	f := startFleet(t, serveKeeper(t, k, &k.keeperStub))
	g.Eventually(func() []string { return inService(f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("a", "b"))
	k.left.Store(true)
	g.Eventually(func() []string { return inService(f) }, 2*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("b"))
	g.Consistently(func() time.Duration { return f.LeavesAge() }, 4*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically("<", staleLeavesAge))
	g.Expect(inService(f)).To(gomega.ConsistOf("b"), "no endpoint expires that no keeper could report")
	k.left.Store(false)
	before := k.endpointSyncs.Load()
	g.Eventually(k.endpointSyncs.Load, 5*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", before+2), "endpoints are asked for again")
}
