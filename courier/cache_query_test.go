package courier

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// 295 routers start together with 256 engines in five zones, 51 in each. Guards against
// routers that query more engines than maxCacheQueries over several rounds, or engines of
// another zone while their own has enough.
func TestStartingRouterBoundsCacheQueries(t *testing.T) {
	for _, c := range []struct {
		name               string
		here, elsewhere    int
		asked, askedOfHere int
	}{
		{"many", 51, 205, maxCacheQueries, maxCacheQueries},
		{"few in the zone", 10, 205, maxCacheQueries, 10},
		{"few", 4, 8, 12, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := &fleetView{
				endpoints: map[enroller.Incarnation]*predictor.Endpoint{}, cacheQueried: map[enroller.Incarnation]bool{},
				self: &messenger.FleetMember{Zone: "z"}, evacuations: newEvacuations(zap.NewNop()),
			}
			add := func(zone string, n int) {
				for i := range n {
					b := enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: zone + strconv.Itoa(i)}, Service: "llm", Zone: zone}
					f.endpoints[b.Incarnation] = predictor.NewEndpoint(b)
				}
			}
			add("z", c.here)
			add("other", c.elsewhere)
			x := publisher.NewIndex(&publisher.Document{Services: []publisher.Service{{Name: "llm", Engine: &publisher.Engine{}}}}, localizer.New(nil))
			asked, here := 0, 0
			for range 3 {
				for _, e := range f.enginesToQuery(x) {
					f.cacheQueried[e.Beat().Incarnation] = true
					asked++
					if e.Beat().Zone == "z" {
						here++
					}
				}
			}
			g.Expect(asked).To(gomega.Equal(c.asked))
			g.Expect(here).To(gomega.Equal(c.askedOfHere))
		})
	}
}
