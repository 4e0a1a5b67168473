package courier

import (
	"fmt"
	"testing"

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
