package courier

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
)

// versionSightings returns an endpoint of each version.
func versionSightings(versions ...string) *messenger.Sightings {
	out := &messenger.Sightings{}
	for _, v := range versions {
		out.Sightings = append(out.Sightings, &messenger.Sighting{Id: "i-" + v, Service: "s", Address: "10.0.0.1:" + v, Zone: "z", Slots: 8, Sequence: 1, Version: v})
	}
	return out
}

// startVersionedFleet runs a fleetView that knows version 1 as the only one of service s.
func startVersionedFleet(t *testing.T) (*fleetView, *keeperStub) {
	k := &keeperStub{}
	k.sightings.Store(versionSightings("1"))
	k.versions.Store(&messenger.VersionHistory{CompleteMs: time.Hour.Milliseconds()})
	f := startFleet(t, serveStub(t, k))
	gomega.NewWithT(t).Eventually(func() string { return sole(t, f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.Equal("1"))
	return f, k
}

// sole returns the only version of service s in the last minute, or "".
func sole(t *testing.T, f *fleetView) string {
	v, ok := f.soleVersion(t.Context(), "s", time.Minute)
	if !ok {
		return ""
	}
	return string(v)
}

// Guards against a stream that goes on at another version because its router was out of step: it stood still,
// and takes a reply from before that for the present state. Meanwhile a version was released, at which
// another router began the stream.
func TestSoleVersionIsNotThatOfAnEarlierReply(t *testing.T) {
	g := gomega.NewWithT(t)
	f, k := startVersionedFleet(t)
	k.sync.Store(int64(700 * time.Millisecond))
	time.Sleep(time.Second)
	before := k.syncs.Load()
	g.Eventually(k.syncs.Load, 3*time.Second, time.Millisecond).Should(gomega.BeNumerically(">", before))
	// The reply is composed and takes 700 ms.
	time.Sleep(50 * time.Millisecond)
	k.sightings.Store(versionSightings("1", "2"))
	for begun := time.Now(); time.Since(begun) < 600*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		g.Expect(sole(t, f)).NotTo(gomega.Equal("1"))
	}
}

// Guards against the same at a router that is cut off while a version is released, and against one that waits for
// keepers of which it knows that they do not answer.
func TestRouterThatIsCutOffKnowsNoSoleVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	f, k := startVersionedFleet(t)
	known := func() bool { return sole(t, f) == "1" }
	k.sync.Store(int64(time.Hour))
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	g.Expect(known()).To(gomega.BeFalse())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", maxVersionsWait+100*time.Millisecond))
	g.Eventually(f.disconnected, 3*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
	begun = time.Now()
	g.Expect(known()).To(gomega.BeFalse())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 50*time.Millisecond))
}

// Guards against a stream that waits for the next regular sync, or is refused in a large fleet whose routers sync
// more rarely than that.
func TestSoleVersionIsAskedForEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	f, _ := startVersionedFleet(t)
	begun := time.Now()
	for range 10 {
		g.Expect(sole(t, f)).To(gomega.Equal("1"))
	}
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 8*syncInterval))
}

// Guards against a router that counts origins as kept although it was cut off from keepers and routers.
func TestContactThatWasLostEndsWhatARouterHasKept(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleetView(Options{Node: loadTestNode(t, ""), Log: zap.NewNop()}, 1, predictor.NewTable("z"), pooler.New(func(http.Header, string) pooler.AnswerMatch { return pooler.MatchOwn }, func() {}))
	f.origins = newStreamOrigins(f, zap.NewNop())
	reply := func() {
		f.applyReply(t.Context(), syncResult{link: messenger.NewLink("127.0.0.1:9"), reply: &messenger.SyncReply{}, sentAt: time.Now(), request: &messenger.SyncRequest{}})
	}
	kept := func() time.Duration {
		f.origins.mu.Lock()
		defer f.origins.mu.Unlock()
		return f.origins.keptLocked(time.Now())
	}
	f.origins.recordRoutersKept(time.Now(), time.Hour)
	reply()
	reply()
	g.Expect(kept()).To(gomega.BeNumerically(">=", time.Hour))
	f.contactAt = time.Now().Add(-2 * time.Second)
	reply()
	g.Expect(kept()).To(gomega.BeNumerically("<", time.Minute))
}

// Guards against a stream that is refused late although its router knows two versions of the service.
func TestSeveralVersionsAreKnownAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f, k := startVersionedFleet(t)
	k.sightings.Store(versionSightings("1", "2"))
	g.Eventually(func() string { return sole(t, f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.BeEmpty())
	k.sync.Store(int64(time.Hour))
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	g.Expect(sole(t, f)).To(gomega.BeEmpty())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 50*time.Millisecond))
}
