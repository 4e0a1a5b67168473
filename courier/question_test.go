package courier

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Pattern: 200 routers of a zone with five keepers, of 25 in all. Guards against keepers of
// a zone of which one is asked by all routers, and against routers that ask other zones.
func TestRoutersSpreadOverTheKeepersOfTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := map[string]int{}
	for i := range 200 {
		f := &fleet{
			self:    &messenger.FleetMember{Address: fmt.Sprintf("10.1.0.%d:7340", i), Zone: "z1"},
			keepers: map[string]*messenger.Link{}, zones: map[string]string{},
		}
		for zone := range 5 {
			for n := range 5 {
				f.learn(fmt.Sprintf("10.%d.1.%d:7340", zone, n), fmt.Sprint("z", zone))
			}
		}
		first := f.order()[0].Address()
		g.Expect(f.zones[first]).To(gomega.Equal("z1"))
		asked[first]++
	}
	for k, n := range asked {
		g.Expect(n).To(gomega.BeNumerically("<", 60), k)
	}
}

// Pattern: 25 keepers that know 600 endpoints, all of them silent for some seconds. Guards
// against a router that asks each of them for all endpoints at once, over a link that takes
// seconds to carry the answers.
func TestOneKeeperAtATimeTellsOfManyEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	known := &messenger.Sightings{}
	for i := range maxSharedEndpoints + 100 {
		known.Sightings = append(known.Sightings, &messenger.Sighting{
			Id: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "z", Slots: 1, Sequence: 1,
		})
	}
	var stubs []*keeperStub
	var addresses []string
	for range 25 {
		k := &keeperStub{}
		k.sightings.Store(known)
		stubs = append(stubs, k)
		addresses = append(addresses, serveStub(t, k))
	}
	f := startFleet(t, addresses...)
	g.Eventually(func() []string { return inService(f) }, 3*time.Second, 10*time.Millisecond).Should(gomega.HaveLen(len(known.Sightings)))
	before := int64(0)
	for _, k := range stubs {
		before += k.askedEndpoints.Load()
		k.sync.Store(int64(time.Minute))
	}
	time.Sleep(3 * time.Second)
	asked, after := 0, int64(0)
	for _, k := range stubs {
		if k.asked.Load() > 0 {
			asked++
		}
		after += k.askedEndpoints.Load()
	}
	g.Expect(asked).To(gomega.Equal(len(stubs)), "all are asked whether they answer")
	g.Expect(after-before).To(gomega.BeNumerically("<=", 4), "questions for all endpoints in 3 s")
}
