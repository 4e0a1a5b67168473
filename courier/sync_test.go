package courier

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// 200 routers are in a zone with five of 25 keepers. Guards against a keeper that all
// routers of its zone ask, and against routers that ask keepers of other zones.
func TestRoutersSpreadOverTheKeepersOfTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := map[string]int{}
	for i := range 200 {
		f := &fleetView{
			self:    &messenger.FleetMember{Address: fmt.Sprintf("10.1.0.%d:7340", i), Zone: "z1"},
			keepers: map[string]*messenger.Link{}, keeperZones: map[string]string{},
		}
		for zone := range 5 {
			for n := range 5 {
				f.addKeeper(fmt.Sprintf("10.%d.1.%d:7340", zone, n), fmt.Sprint("z", zone))
			}
		}
		first := f.keeperOrder()[0].Address()
		g.Expect(f.keeperZones[first]).To(gomega.Equal("z1"))
		asked[first]++
	}
	for k, n := range asked {
		g.Expect(n).To(gomega.BeNumerically("<", 60), k)
	}
}

// 25 keepers know 600 endpoints and all fall silent for some seconds. Guards against a
// router that asks each of them for all endpoints at once, over a link that needs seconds
// to carry the replies.
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
		before += k.endpointSyncs.Load()
		k.sync.Store(int64(time.Minute))
	}
	time.Sleep(3 * time.Second)
	asked, after := 0, int64(0)
	for _, k := range stubs {
		if k.syncs.Load() > 0 {
			asked++
		}
		after += k.endpointSyncs.Load()
	}
	g.Expect(asked).To(gomega.Equal(len(stubs)), "all keepers are asked")
	g.Expect(after-before).To(gomega.BeNumerically("<=", 4), "sync requests for all endpoints in 3 s")
}
