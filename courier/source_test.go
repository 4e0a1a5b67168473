package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against endpoints that are forgotten though their keeper takes them for alive,
// and against ones that stay though it does not.
func TestChangesKeepEndpointsAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &fleet{roll: enroller.NewTable(2 * time.Second), sources: map[string]*source{}}
	now := time.Unix(1000, 0)
	sighting := func(id string) *messenger.Sighting {
		return &messenger.Sighting{Id: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 1, Sequence: 1}
	}
	ids := func() []string {
		f.roll.Expire(now)
		var out []string
		for _, s := range f.roll.Sightings(now) {
			out = append(out, s.Id)
		}
		return out
	}
	hear := func(keeper string, r *messenger.SyncReply) {
		now = now.Add(time.Second)
		f.hearEndpoints(keeper, r, now, now)
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
	g.Expect(ids()).To(gomega.Equal([]string{"a"}), "the keeper started anew and knows one")
}
