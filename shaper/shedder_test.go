package shaper_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/shaper"
)

func runShedder(s *shaper.Shedder, from, to time.Duration, utilization float64, zone shaper.ZoneLoad) {
	for at := from; at < to; at += 200 * time.Millisecond {
		s.Update(start.Add(at), utilization, zone)
	}
}

// One of a zone's 14 routers receives a third of its callers. Guards against a router that stays
// overloaded while others are idle, and against connections that are closed before the platform
// sends new ones elsewhere.
func TestHotRouterShedsItsCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	s, zone := &shaper.Shedder{}, shaper.ZoneLoad{Mean: 0.3, Routers: 14}
	runShedder(s, 0, time.Second, 0.95, zone)
	g.Expect(s.Shedding()).To(gomega.BeTrue())
	g.Expect(s.Closing(start.Add(time.Second))).To(gomega.BeFalse())
	g.Expect(s.Closing(start.Add(4 * time.Second))).To(gomega.BeTrue())
	runShedder(s, time.Second, 6*time.Second, 0.1, zone)
	g.Expect(s.Shedding()).To(gomega.BeFalse())
	runShedder(s, 6*time.Second, 30*time.Second, 0.1, zone)
	g.Expect(s.Shedding()).To(gomega.BeFalse())
}

// Callers overload a router each time it is ready. Guards against a router that accepts them again
// every few seconds, and against one that never does.
func TestRepeatedOverloadShedsForLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	s, zone := &shaper.Shedder{}, shaper.ZoneLoad{Mean: 0.3, Routers: 14}
	var durations []time.Duration
	since := time.Duration(-1)
	for at := time.Duration(0); at < 3*time.Minute; at += 200 * time.Millisecond {
		before := s.Shedding()
		s.Update(start.Add(at), 0.95, zone)
		switch {
		case s.Shedding() && !before:
			since = at
		case !s.Shedding() && before:
			durations = append(durations, at-since)
		}
	}
	g.Expect(durations).To(gomega.Equal([]time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second, 40 * time.Second}))
}

// Guards against routers that all stop being ready when the whole zone is busy, when many others
// are shedding, or when no keeper reports the load of the others.
func TestBusyZoneShedsNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	for name, zone := range map[string]shaper.ZoneLoad{
		"zone busy": {Mean: 0.8, Routers: 14}, "others shed": {Mean: 0.3, Routers: 14, Shedding: 2}, "zone unknown": {},
	} {
		s := &shaper.Shedder{}
		runShedder(s, 0, 10*time.Second, 0.95, zone)
		g.Expect(s.Shedding()).To(gomega.BeFalse(), name)
	}
}

func TestMeterCountsTheBusierDirection(t *testing.T) {
	g := gomega.NewWithT(t)
	m := shaper.NewMeter(rate, time.Second)
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		m.Received(start.Add(at), 7_000)
		m.Sent(start.Add(at), 1_000)
	}
	g.Expect(m.Utilization(start.Add(5 * time.Second))).To(gomega.BeNumerically("~", 0.74, 0.03))
	g.Expect(m.Utilization(start.Add(15 * time.Second))).To(gomega.BeNumerically("<", 0.01))
	var none *shaper.Meter
	none.Received(start, 1)
	g.Expect(none.Utilization(start)).To(gomega.BeZero())
}
