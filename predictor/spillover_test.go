package predictor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against a cost of another zone that changes without a report about it, or doesn't return to
// its full value.
func TestCostOfAnotherZoneFollowsTheDifferenceInFullness(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a", "b"), time.Unix(1_000, 0)
	prompt, plain := sharing("p"), Request{Service: "llm"}
	expect := func(a Request, cost time.Duration) {
		g.Expect(x.crossings(now, a).cost("b")).To(gomega.BeNumerically("~", cost, 2*time.Millisecond))
	}
	report := func(here, there int) {
		for range 40 {
			now = now.Add(250 * time.Millisecond)
			for _, e := range x.Endpoints("llm") {
				if e.beat.Zone == "a" {
					e.ObserveLoad(now, Load{Running: here, Slots: 48})
				}
			}
			x.observeRooms(now)
			if there >= 0 {
				x.ApplyDigest(now, &messenger.LoadDigest{Zones: []*messenger.ZoneRoom{{Zone: "b", Service: hashName("llm"), FreeSlots: uint32(1_000 - there), Slots: 1_000}}})
			}
		}
	}
	expect(prompt, crossZonePenalty)
	report(40, -1)
	expect(prompt, crossZonePenalty)
	expect(plain, crossZonePlainPenalty)
	report(24, 465)
	expect(prompt, crossZonePenalty/2)
	expect(plain, crossZonePlainPenalty/2)
	report(40, 100)
	expect(prompt, minCrossZoneCost)
	expect(plain, minCrossZoneCost)
	report(24, 500)
	expect(prompt, crossZonePenalty)
	report(24, 900)
	expect(prompt, crossZonePenalty)
	report(40, 100)
	now = now.Add(observationTTL)
	expect(prompt, crossZonePenalty)
}

// zoneUse measures the utilization of zones and the requests that cross between them, by second.
type zoneUse struct {
	utilization [][]float64
	sent        []int
	crossed     []int
}

// watchZones records the use of the zones of a simulation.
func (s *simulation) watchZones() *zoneUse {
	u, start := &zoneUse{}, time.Unix(1_000, 0)
	slots, zoneOf := make([]float64, len(s.zoneNames)), map[string]int{}
	for name, e := range s.engines {
		for i, z := range s.zoneNames {
			if s.tables[0].Endpoint(name).beat.Zone == z {
				zoneOf[name] = i
				slots[i] += float64(e.slots)
			}
		}
	}
	s.watch = func(at time.Time) {
		if n := int(at.Sub(start) / time.Second); n == len(u.utilization) {
			u.utilization = append(u.utilization, make([]float64, len(slots)))
			u.sent, u.crossed = append(u.sent, 0), append(u.crossed, 0)
		}
		last := u.utilization[len(u.utilization)-1]
		for name, e := range s.engines {
			last[zoneOf[name]] += float64(e.running) / slots[zoneOf[name]] / 1_000
		}
	}
	s.observe = func(i int, _ time.Time, c *fakeCall) {
		last := len(u.sent) - 1
		if last < 0 {
			return
		}
		u.sent[last]++
		if s.zones[i] != c.assignment.endpoint.beat.Zone {
			u.crossed[last]++
		}
	}
	return u
}

// gap returns the difference in utilization between the fullest and the emptiest zone in a second and
// the one before. In a single second, the number of arrivals in zones of some 400 slots differs by
// nearly as much as is tested.
func (u *zoneUse) gap(second int) float64 {
	var mean []float64
	for zone, x := range u.utilization[second] {
		mean = append(mean, (x+u.utilization[second-1][zone])/2)
	}
	return slices.Max(mean) - slices.Min(mean)
}

// crossing returns the fraction of requests that crossed in the seconds from one to before another.
func (u *zoneUse) crossing(from, to int) float64 {
	sent, crossed := 0, 0
	for n := from; n < to; n++ {
		sent, crossed = sent+u.sent[n], crossed+u.crossed[n]
	}
	return float64(crossed) / float64(sent)
}

// testSpillover checks the utilizations of three zones whose callers crest one after the other.
func testSpillover(t *testing.T, routers, engines, slots int) {
	g := gomega.NewWithT(t)
	s, start := newSimulation(routers, engines, slots, "a", "b", "c"), time.Unix(1_000, 0)
	if 3*routers > maxNotifiedInFleet {
		s.notifyAsLargeFleet()
	}
	const turn, settled = 7, 4
	perRouter := float64(engines*slots) / float64(routers)
	s.rate = func(i int, at time.Time) float64 {
		turns := int(at.Sub(start)/time.Second) / turn
		switch {
		case turns >= 3:
			return 0.5 * perRouter
		case s.zones[i] == s.zoneNames[turns]:
			return 1.1 * perRouter
		}
		return 0.2 * perRouter
	}
	u := s.watchZones()
	s.start(4 * turn * time.Second)
	worst := 0.0
	for n := range u.utilization {
		t.Logf("second %d: %.2f, crossed %.2f", n, u.utilization[n], u.crossing(n, n+1))
		if n%turn >= settled {
			worst = max(worst, u.gap(n))
		}
	}
	t.Logf("greatest difference %.2f, crossed %.2f, of equal load %.2f", worst, u.crossing(0, 3*turn), u.crossing(3*turn+settled, 4*turn))
	g.Expect(worst).To(gomega.BeNumerically("<=", 0.15))
	g.Expect(u.crossing(3*turn+settled, 4*turn)).To(gomega.BeNumerically("<=", 0.15))
}

// Guards against zones that stay idle while the callers of another zone fill its endpoints, against
// work that stays away after the crest, and against work that moves back and forth between zones.
func TestWorkSpillsOverWhileCallersCrestInOneZone(t *testing.T) {
	for _, c := range []struct{ engines, slots int }{{35, 12}, {10, 48}} {
		t.Run(fmt.Sprint(c.engines, " endpoints of ", c.slots, " slots"), func(t *testing.T) {
			testSpillover(t, 9, c.engines, c.slots)
		})
	}
}

// Guards against the same in a fleet in which only some routers are notified of a dispatch.
func TestWorkSpillsOverInALargeFleet(t *testing.T) { testSpillover(t, 22, 35, 12) }
