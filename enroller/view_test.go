package enroller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

var viewZones = []string{"z0", "z1", "z2", "z3", "z4"}

// announce records heartbeats of n endpoints of two services in five zones.
func announce(x *enroller.Table, now time.Time, n int) {
	for i := range n {
		service := "model"
		if i/5%20 == 0 {
			service = "portal"
		}
		x.Observe(now, enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: fmt.Sprintf("i-%08d", i)}, Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone: viewZones[i%len(viewZones)], Slots: 12, Sequence: 1,
		}, 0)
	}
}

// 5,000, 10,000 and 20,000 endpoints in five zones. Guards against sending routers all
// endpoints: they must receive a sample of other zones that does not grow with the fleet.
func TestViewHoldsOwnZoneAndSampleOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	remote := map[int]int{}
	for _, n := range []int{5_000, 10_000, 20_000} {
		x := enroller.NewTable(time.Minute)
		announce(x, now, n)
		v := x.View("z1")
		v.Refresh(now)
		own := 0
		for _, s := range v.Sightings(now, 0) {
			if s.Zone == "z1" {
				own++
			} else {
				remote[n]++
			}
		}
		g.Expect(own).To(gomega.Equal(n / 5))
	}
	g.Expect(remote).To(gomega.Equal(map[int]int{5_000: 456, 10_000: 512, 20_000: 512}), "at most 64 of each service in four zones")
}

// Guards against a sample that changes completely when one of its endpoints ends.
func TestSampleIsStableWhenAnEndpointEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	x := enroller.NewTable(time.Minute)
	announce(x, now, 10_000)
	v := x.View("z1")
	before := v.Refresh(now)
	var ended *messenger.Sighting
	for _, s := range v.Sightings(now, 0) {
		if s.Zone == "z2" {
			ended = s
			break
		}
	}
	x.Leave(now, enroller.Incarnation{ID: ended.Id})
	now = now.Add(time.Second)
	after := v.Refresh(now)
	g.Expect(after).To(gomega.Equal(before + 2))
	changed, gone, known := v.Changes(now, before)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(gone).To(gomega.Equal([]enroller.Incarnation{{ID: ended.Id}}))
	g.Expect(changed).To(gomega.HaveLen(1))
	g.Expect(changed[0].Zone).To(gomega.Equal("z2"))
}

// Ten endpoints of a large fleet are replaced each second. Guards against a keeper that
// spends its processor time on refreshing the view, and against changes that appear late.
func TestLargeFleetChangesAppearWithinASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	x := enroller.NewTable(time.Minute)
	announce(x, now, 20_000)
	v := x.View("z1")
	revision, refreshes := v.Refresh(now), 0
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		x.Leave(now, enroller.Incarnation{ID: fmt.Sprintf("i-%08d", 1+5*i)})
		if next := v.Refresh(now); next != revision {
			revision = next
			refreshes++
		}
	}
	g.Expect(refreshes).To(gomega.BeNumerically("<=", 30), "in ten seconds")
	v.Refresh(now.Add(time.Second))
	for _, s := range v.Sightings(now.Add(time.Second), 0) {
		for i := range 100 {
			g.Expect(s.Id).NotTo(gomega.Equal(fmt.Sprintf("i-%08d", 1+5*i)))
		}
	}
}

// Guards against routers of other zones that can't resume streams of a version with few endpoints left,
// because the sample that they are sent has none of them.
func TestSampleHasEndpointsOfEachVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	x := enroller.NewTable(time.Minute)
	for i := range 5_000 {
		version := enroller.Version("v2")
		if i%2_500 < 5 {
			version = "v1"
		}
		x.Observe(now, enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: fmt.Sprintf("i-%08d", i)}, Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone: viewZones[i%len(viewZones)], Slots: 12, Sequence: 1, Version: version,
		}, 0)
	}
	v := x.View("z1")
	v.Refresh(now)
	old := map[string]int{}
	for _, s := range v.Sightings(now, 0) {
		if s.Version == "v1" {
			old[s.Zone]++
		}
	}
	g.Expect(old).To(gomega.Equal(map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2, "z4": 2}))
}
