package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against evacuations of zones that do not exist, which nobody would ever withdraw.
func TestEvacuationOfAnUnknownZoneIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTestControl(t)
	c.keeper.node = &loader.Node{}
	g.Expect(c.Evacuate(t.Context(), "nowhere")).To(gomega.MatchError(governor.ErrUnknownZone))
	g.Expect(c.WithdrawEvacuation(t.Context(), "nowhere")).To(gomega.MatchError(governor.ErrUnknownZone))
	_, err := c.Heartbeat(t.Context(), heartbeatFor("a", 5, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.keeper.hasZone("z")).To(gomega.BeTrue(), "a heartbeat named it")
}

// Guards against routers that treat the endpoints of a zone as warm right after the zone
// returned to service.
func TestReturnedZonesAreReportedWithAge(t *testing.T) {
	g := gomega.NewWithT(t)
	state := governor.New()
	change := func(zone string, withdrawn bool) *governor.Evacuations {
		b, err := proto.Marshal(&messenger.FleetChange{Body: &messenger.FleetChange_Evacuation{Evacuation: &messenger.EvacuationChange{Zone: zone, Withdrawn: withdrawn}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		state.Apply(state.Index()+1, b)
		return state.Evacuations()
	}
	now := time.Now()
	v := &committedState{evacuations: state.Evacuations()}
	g.Expect(v.evacuationsMessage(now)).To(gomega.BeNil())
	step := func(at time.Time, e *governor.Evacuations) {
		v = &committedState{evacuations: e, returnedAt: updateReturnTimes(at, v, e)}
	}
	step(now, change("a", false))
	step(now, change("b", false))
	step(now.Add(time.Second), change("a", true))
	told := v.evacuationsMessage(now.Add(3 * time.Second))
	g.Expect(told.Zones).To(gomega.Equal([]string{"b"}))
	g.Expect(told.Returned).To(gomega.HaveLen(1))
	g.Expect(told.Returned[0].AgeMs).To(gomega.Equal(int64(2_000)))
	g.Expect(v.evacuationsMessage(now.Add(2 * zoneReturnTTL)).Returned).To(gomega.BeEmpty())
}
