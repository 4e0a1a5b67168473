package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against new requests to an evacuated zone, and against a lagging keeper that
// cancels the evacuation.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{
		{Id: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: 1},
		{Id: "b", Service: "s", Address: "10.0.0.2:1", Zone: "y", Slots: 8, Sequence: 1},
	}})
	f := startFleet(t, serveStub(t, k))
	names := func() []string { return inService(f) }
	g.Eventually(names, time.Second, 10*time.Millisecond).Should(gomega.HaveLen(2))
	before := f.table.Endpoints("s")
	k.evacuations.Store(&messenger.Evacuations{Revision: 3, Zones: []string{"z"}})
	g.Eventually(names, time.Second, 10*time.Millisecond).Should(gomega.Equal([]string{"b"}))
	k.evacuations.Store(&messenger.Evacuations{Revision: 2})
	g.Consistently(names, 500*time.Millisecond, 10*time.Millisecond).Should(gomega.Equal([]string{"b"}))
	k.evacuations.Store(&messenger.Evacuations{Revision: 4})
	g.Eventually(names, time.Second, 10*time.Millisecond).Should(gomega.HaveLen(2))
	g.Expect(f.table.Endpoints("s")).To(gomega.ConsistOf(before[0], before[1]), "the same endpoints, with their learned state")
}
