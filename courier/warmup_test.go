package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// Guards against requests to a cold endpoint from a router that owns no share of it. A
// router that has just started owns none, whatever keepers report.
func TestStartingRouterAvoidsColdEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	cold := func(ms int64, sequence uint64) {
		k.sightings.Store(&messenger.Sightings{Sightings: []*messenger.Sighting{
			{Id: "cold", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Sequence: sequence, ColdMs: ms},
			{Id: "warm", Service: "s", Address: "10.0.0.2:1", Zone: "y", Slots: 8, Sequence: sequence},
		}})
	}
	cold(60_000, 1)
	f := startFleetWith(t, func(o *Options) {
		o.Decode = func([]byte) (*publisher.Document, error) {
			return &publisher.Document{Number: 1, Services: []publisher.Service{{Name: "s", ColdStart: publisher.ColdStart{Duration: time.Second, MaxRequestsPerSecond: 10}}}}, nil
		}
	}, serveStub(t, k))
	chosen := func() string {
		w := f.table.Choose(time.Now(), predictor.Request{Service: "s"})
		if w == nil {
			return ""
		}
		defer w.End()
		return w.Endpoint().Name()
	}
	g.Eventually(func() int { return len(f.table.Endpoints("s")) }, 4*time.Second, 10*time.Millisecond).Should(gomega.Equal(2))
	g.Eventually(f.Index, 4*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
	g.Consistently(chosen, 500*time.Millisecond, 10*time.Millisecond).Should(gomega.Equal("warm"))
	cold(0, 2)
	g.Eventually(chosen, time.Second, 10*time.Millisecond).Should(gomega.Equal("cold"), "warm again, and in the router's zone")
	k.evacuations.Store(&messenger.Evacuations{Revision: 2, Returned: []*messenger.ZoneReturn{{Zone: "z"}}})
	g.Eventually(chosen, time.Second, 10*time.Millisecond).Should(gomega.Equal("warm"), "may be cold after the return of its zone")
	g.Eventually(chosen, 2*time.Second, 10*time.Millisecond).Should(gomega.Equal("cold"))
}
