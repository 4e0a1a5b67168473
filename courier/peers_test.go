package courier

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// 78 routers are in three zones. Guards against searches for rights and dispatch notices
// that go to the 52 routers elsewhere before the 25 other routers of a zone.
func TestRoutersOfTheZoneComeFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	members := []*messenger.FleetMember{f.self}
	zones := map[string]string{}
	for i := 1; i < 78; i++ {
		m := &messenger.FleetMember{Address: "10.0.0." + strconv.Itoa(i) + ":7000", Zone: []string{"z", "b", "c"}[i%3]}
		zones[m.Address] = m.Zone
		members = append(members, m)
	}
	f.updatePeers(members)
	first := map[string]bool{}
	for n := range 30 {
		list := f.rotatedPeers(n)
		g.Expect(list).To(gomega.HaveLen(77))
		for i, l := range list {
			g.Expect(zones[l.Address()] == "z").To(gomega.Equal(i < 25), "turn %d, place %d", n, i)
		}
		first[list[0].Address()] = true
	}
	g.Expect(first).To(gomega.HaveLen(25), "each rotation starts with another router")
	for zone, inside := range map[string]int{"z": 25, "b": 26, "c": 26} {
		targets := f.notifyTargets(zone)
		g.Expect(len(targets)).To(gomega.BeNumerically("<=", maxNotifiedPeers))
		for i, a := range targets {
			g.Expect(zones[a.String()] == zone).To(gomega.Equal(i < inside), "dispatch to %s, place %d", zone, i)
		}
	}
	g.Expect(f.PartialDispatches()).To(gomega.BeTrue())
}
