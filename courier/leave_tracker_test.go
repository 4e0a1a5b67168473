package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

func leaveUpdate(index uint64) *messenger.LeaveUpdate {
	return &messenger.LeaveUpdate{Deployment: "d", Index: index, Leaves: []*messenger.LeaveChange{{Endpoint: "a"}}}
}

// Guards against leaves that a router skips: its requests to two keepers overlap, and a reply counts only
// from the index that the router stated with the request.
func TestOverlappingRepliesSkipNoLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	x := &leaveTracker{}
	nothing := x.known()
	_, complete := x.apply(nothing, &messenger.LeaveUpdate{Deployment: "d", Index: 100})
	g.Expect([]any{complete, x.index, x.floor}).To(gomega.Equal([]any{true, uint64(100), uint64(100)}))
	_, complete = x.apply(nothing, &messenger.LeaveUpdate{Deployment: "d", Index: 105})
	g.Expect([]any{complete, x.index}).To(gomega.Equal([]any{false, uint64(100)}), "sent before the first reply arrived")
	stated := x.known()
	left, complete := x.apply(stated, leaveUpdate(110))
	g.Expect(left).To(gomega.HaveLen(1))
	g.Expect([]any{complete, x.index}).To(gomega.Equal([]any{true, uint64(110)}))
	x.apply(stated, leaveUpdate(106))
	g.Expect(x.index).To(gomega.Equal(uint64(110)))
	_, complete = x.apply(x.known(), &messenger.LeaveUpdate{Deployment: "other", Index: 500})
	g.Expect([]any{complete, x.index}).To(gomega.Equal([]any{false, uint64(110)}))
	x.apply(x.known(), &messenger.LeaveUpdate{Deployment: "other", Index: 7, Truncated: true})
	g.Expect([]any{x.deployment, x.index, x.floor}).To(gomega.Equal([]any{"other", uint64(7), uint64(7)}))
}

// Guards against a router that never learns of a leave because it started before the first log entry.
func TestRouterThatStartsWithAnEmptyLogLearnsOfLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	x := &leaveTracker{}
	x.apply(x.known(), &messenger.LeaveUpdate{Deployment: "d"})
	g.Expect(x.known().Deployment).To(gomega.Equal("d"))
	left, complete := x.apply(x.known(), leaveUpdate(5))
	g.Expect(left).To(gomega.HaveLen(1))
	g.Expect([]any{complete, x.index}).To(gomega.Equal([]any{true, uint64(5)}))
}

// Guards against an endpoint that a keeper still lists although it left before this router started. The
// keeper has missed a part of the log.
func TestKeeperThatLagsPutsNoEndpointInService(t *testing.T) {
	g := gomega.NewWithT(t)
	sighting := func(id string) *messenger.Sighting {
		return &messenger.Sighting{Id: id, Service: "s", Address: "10.0.0.1:" + id, Zone: "z", Slots: 8, Sequence: 1}
	}
	current, lagging := &keeperStub{}, &keeperStub{}
	current.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{sighting("1")}})
	current.leaves.Store(&messenger.LeaveUpdate{Deployment: "d", Index: 100})
	lagging.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{sighting("1"), sighting("2")}})
	lagging.leaves.Store(&messenger.LeaveUpdate{Deployment: "d", Index: 50})
	f := startFleet(t, serveStub(t, current))
	g.Eventually(func() []string { return inService(f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("1"))
	current.age.Store((10 * maxConfirmedAge).Milliseconds())
	f.addKeeper(serveStub(t, lagging), "")
	g.Eventually(lagging.syncs.Load, 3*time.Second, 10*time.Millisecond).Should(gomega.BeNumerically(">", 2))
	g.Consistently(func() []string { return inService(f) }, time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("1"))
}

// Guards against endpoints that stay in service for good: they left while the router was away, and
// keepers no longer hold their leaves.
func TestEndpointsThatAreNotListedAfterATruncationAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	sightings := []*messenger.Sighting{
		{Id: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: 1}, {Id: "b", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 8, Sequence: 1},
	}
	k.sightings.Store(&messenger.Sightings{Sightings: sightings})
	k.leaves.Store(&messenger.LeaveUpdate{Deployment: "d", Index: 100})
	f := startFleet(t, serveStub(t, k))
	g.Eventually(func() []string { return inService(f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("a", "b"))
	k.sightings.Store(&messenger.Sightings{Sightings: sightings[1:]})
	k.leaves.Store(&messenger.LeaveUpdate{Deployment: "d", Index: 50_000, Truncated: true})
	g.Eventually(func() []string { return inService(f) }, time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("b"))
}
