package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against removing endpoints that their keeper considers alive, and against keeping
// those that it does not.
func TestChangesKeepEndpointsAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fleetView{registered: enroller.NewTable(2 * time.Second), sources: map[string]*keeperSource{}}
	now := time.Unix(1000, 0)
	sighting := func(id string) *messenger.Sighting {
		return &messenger.Sighting{Id: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 1, Sequence: 1}
	}
	ids := func() []string {
		f.registered.Expire(now)
		var out []string
		for _, s := range f.registered.Sightings(now) {
			out = append(out, s.Id)
		}
		return out
	}
	hear := func(keeper string, r *messenger.SyncReply) {
		now = now.Add(time.Second)
		f.updateEndpoints(keeper, r, now, now)
	}
	hear("k1", &messenger.SyncReply{Epoch: 7, Revision: 3, Endpoints: []*messenger.Sighting{sighting("a"), sighting("b"), sighting("c")}})
	for range 5 {
		hear("k1", &messenger.SyncReply{Epoch: 7, Revision: 3, Partial: true})
	}
	g.Expect(ids()).To(gomega.Equal([]string{"a", "b", "c"}))
	hear("k1", &messenger.SyncReply{Epoch: 7, Revision: 5, Partial: true, Gone: []*messenger.LeaveChange{{Endpoint: "b"}}, Endpoints: []*messenger.Sighting{sighting("d")}})
	g.Expect(ids()).To(gomega.Equal([]string{"a", "c", "d"}))
	hear("k1", &messenger.SyncReply{Epoch: 8, Revision: 1, Endpoints: []*messenger.Sighting{sighting("a")}})
	for range 3 {
		hear("k1", &messenger.SyncReply{Epoch: 8, Revision: 1, Partial: true})
	}
	g.Expect(ids()).To(gomega.Equal([]string{"a"}), "the keeper restarted and knows one endpoint")
}

// Guards against losing or keeping the wrong routers of a keeper's list when it sends only
// changes, and against applying the changes of a restarted keeper to the previous list.
func TestChangesOfRoutersAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fleetView{registered: enroller.NewTable(2 * time.Second), sources: map[string]*keeperSource{}}
	member := func(a string) *messenger.FleetMember { return &messenger.FleetMember{Address: a, Zone: "z"} }
	hear := func(r *messenger.SyncReply) []string {
		f.updateEndpoints("k", r, time.Unix(1000, 0), time.Unix(1000, 0))
		var out []string
		for _, m := range f.updateRouters("k", r) {
			out = append(out, m.Address)
		}
		return out
	}
	g.Expect(hear(&messenger.SyncReply{Epoch: 7, RoutersRevision: 4, Routers: []*messenger.FleetMember{member("a"), member("b")}})).To(gomega.ConsistOf("a", "b"))
	g.Expect(hear(&messenger.SyncReply{Epoch: 7, Partial: true})).To(gomega.BeEmpty(), "routers were not requested")
	change := &messenger.SyncReply{Epoch: 7, Partial: true, RoutersPartial: true, RoutersRevision: 6, Routers: []*messenger.FleetMember{member("c")}, RoutersGone: []string{"a"}}
	g.Expect(hear(change)).To(gomega.ConsistOf("b", "c"))
	g.Expect(hear(&messenger.SyncReply{Epoch: 7, Partial: true, RoutersPartial: true, RoutersRevision: 6})).To(gomega.ConsistOf("b", "c"))
	g.Expect(hear(&messenger.SyncReply{Epoch: 8, RoutersRevision: 1, Routers: []*messenger.FleetMember{member("d")}})).To(gomega.ConsistOf("d"))
	older := &messenger.SyncReply{Epoch: 8, Partial: true, Routers: []*messenger.FleetMember{member("e")}}
	g.Expect(hear(older)).To(gomega.ConsistOf("e"), "a keeper of an older version lists all routers")
}
