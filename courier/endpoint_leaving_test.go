package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
)

// Guards against returning an endpoint that has reported that it is leaving to service
// when a keeper that is not aware of this yet still lists it.
func TestEndpointThatReportsLeavingStaysOut(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	storeSightings := func(sequence uint64) {
		k.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{
			{Id: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: sequence},
			{Id: "b", Service: "s", Address: "10.0.0.2:1", Zone: "y", Slots: 8, Sequence: sequence},
		}})
	}
	storeSightings(1)
	f := startFleet(t, serveStub(t, k))
	g.Eventually(func() []string { return inService(f) }, 4*time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("a", "b"))
	f.Observe(f.table.Endpoint("a"), predictor.State{Leaving: true}, time.Now())
	w := f.table.Choose(time.Now(), predictor.Request{Service: "s"})
	g.Expect(w.Endpoint().Name()).To(gomega.Equal("b"), "excluded immediately")
	g.Eventually(func() []string { return inService(f) }, time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("b"))
	storeSightings(2)
	g.Consistently(func() []string { return inService(f) }, time.Second, 10*time.Millisecond).Should(gomega.ConsistOf("b"))
}
