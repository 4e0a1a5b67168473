package steward

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/storer"
)

// Guards against requests that are refused for lack of endpoints after a restart of all
// keepers, or wait seconds at the first endpoint that was heard of again. The endpoints
// keep running, but their heartbeats arrive one by one over the next second.
func TestEndpointsAreKnownAfterARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	keeper := func() *Keeper {
		return &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second), endpointsFile: storer.NewAtomicFile(dir, endpointsFileName)}
	}
	before := keeper()
	for _, id := range []string{"a", "b"} {
		b := heartbeatFor(id, 5, "s")
		b.Address = "10.0.0.1:" + map[string]string{"a": "1", "b": "2"}[id]
		before.registry.observeHeartbeat(time.Now(), b)
	}
	known, _ := before.registry.snapshot(time.Now())
	g.Expect(before.writeEndpoints(known)).To(gomega.Succeed())

	after := keeper()
	after.restoreEndpoints()
	// The log contains the leave of one of them.
	applyLeave(after, enroller.Incarnation{ID: "a", BornMS: 5})
	known, _ = after.registry.snapshot(time.Now())
	g.Expect(known.Sightings).To(gomega.HaveLen(1))
	g.Expect(known.Sightings[0].Id).To(gomega.Equal("b"))
	after.registry.expire(time.Now().Add(7 * time.Second))
	known, _ = after.registry.snapshot(time.Now())
	g.Expect(known.Sightings).To(gomega.BeEmpty(), "a silent endpoint still expires")

	g.Expect(os.WriteFile(filepath.Join(dir, endpointsFileName), []byte("torn"), 0o600)).To(gomega.Succeed())
	torn := keeper()
	torn.restoreEndpoints()
	known, _ = torn.registry.snapshot(time.Now())
	g.Expect(known.Sightings).To(gomega.BeEmpty())
}

// Guards against an endpoint that stays out of service because a keeper has read its predecessor at the
// address from an old file.
func TestEndpointFromAFileGivesWayToALivingOne(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second), endpointsFile: storer.NewAtomicFile(t.TempDir(), endpointsFileName)}
	old, next := heartbeatFor("old", 0, "s"), heartbeatFor("new", 0, "s")
	old.Sequence, next.Sequence = 9, 4
	k.registry.observeHeartbeat(time.Now(), old)
	known, _ := k.registry.snapshot(time.Now())
	g.Expect(k.writeEndpoints(known)).To(gomega.Succeed())
	k.registry = newRegistry(time.Second)
	k.restoreEndpoints()
	k.registry.observeHeartbeat(time.Now(), next)
	known, _ = k.registry.snapshot(time.Now())
	g.Expect(known.Sightings).To(gomega.HaveLen(1))
	g.Expect(known.Sightings[0].Id).To(gomega.Equal("new"))
}

// Guards against keepers that forget, in a restart of all of them, which software versions services have
// had, and against one that vouches for versions of which other keepers have not told it yet.
func TestVersionsAreKnownAfterARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	keeper := func(firstStart bool) *Keeper {
		k := &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second), endpointsFile: storer.NewAtomicFile(dir, endpointsFileName)}
		k.registry.beginVersions(time.Now(), firstStart)
		k.restoreEndpoints()
		return k
	}
	first := keeper(true)
	for _, v := range []enroller.Version{"v1", "v2"} {
		b := heartbeatFor(string(v), 5, "s")
		b.Address, b.Version = "10.0.0.1:"+string(v[1:]), v
		first.registry.observeHeartbeat(time.Now(), b)
	}
	applyLeave(first, enroller.Incarnation{ID: "v1", BornMS: 5})
	known, _ := first.registry.snapshot(time.Now())
	g.Expect(first.writeEndpoints(known)).To(gomega.Succeed())

	after := keeper(false)
	now := time.Now()
	g.Expect(after.registry.versions(now).CompleteMs).To(gomega.BeZero(), "another keeper may know more")
	later := after.registry.versions(now.Add(versionsSettleTime))
	g.Expect(later.CompleteMs).To(gomega.BeNumerically(">", time.Hour.Milliseconds()))
	g.Expect(later.Gone).To(gomega.HaveLen(1))
	g.Expect(later.Gone[0].Version).To(gomega.Equal("v1"))

	g.Expect(os.Remove(filepath.Join(dir, endpointsFileName))).To(gomega.Succeed())
	wiped := keeper(false)
	g.Expect(wiped.registry.versions(now.Add(2 * versionsSettleTime)).CompleteMs).To(gomega.BeNumerically("<", 10_000))
	wiped.registry.merge(now, &messenger.Sightings{Versions: later})
	told := wiped.registry.versions(now.Add(2 * versionsSettleTime))
	g.Expect(told.CompleteMs).To(gomega.BeNumerically(">", time.Hour.Milliseconds()), "another keeper has told it")
	g.Expect(told.Gone).To(gomega.HaveLen(1))
}
