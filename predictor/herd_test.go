package predictor

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// maxNotifiedInFleet is the number of routers that are notified of a dispatch in large fleets: those of
// the endpoint's zone come first.
const maxNotifiedInFleet = 28

// notifyAsLargeFleet makes the simulation notify no more routers than a large fleet does.
func (s *simulation) notifyAsLargeFleet() {
	s.notified = func(zone string) []int {
		var near, far []int
		for i, z := range s.zones {
			if z == zone {
				near = append(near, i)
			} else {
				far = append(far, i)
			}
		}
		all := append(near, far...)
		return all[:min(len(all), maxNotifiedInFleet)]
	}
}

// Guards against routers that all choose the same endpoints of other zones by the same report: they are
// not notified of what others send there, and a report is up to a second old. At half of the load that
// the fleet can take, hardly any request may have to wait for a slot, and few may cross between equally
// loaded zones.
func TestReportsOfOtherZonesCauseNoHerd(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSimulation(17, 35, 12, "a", "b", "c", "d")
	s.notifyAsLargeFleet()
	s.rate = func(int, time.Time) float64 { return 0.5 * 4 * 35 * 12 / 68 }
	u := s.watchZones()
	watch, longest := s.watch, 0
	var waiting []int
	s.watch = func(at time.Time) {
		watch(at)
		n := 0
		for _, e := range s.engines {
			n += len(e.waiting)
			longest = max(longest, len(e.waiting))
		}
		waiting = append(waiting, n)
	}
	s.start(8 * time.Second)
	slices.Sort(waiting)
	crossed := u.crossing(3, 8)
	t.Logf("crossed %.2f, waiting at the median %d, at most %d at one endpoint", crossed, waiting[len(waiting)/2], longest)
	g.Expect(crossed).To(gomega.BeNumerically("<=", 0.15))
	g.Expect(longest).To(gomega.BeNumerically("<=", 12), "as many as it has slots")
}
