package steward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against a router whose list of routers differs from its keeper's.
func TestChangesReproduceTheRouterList(t *testing.T) {
	g := gomega.NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	x, held := newRouters(), map[string]uint64{}
	now := time.Unix(1000, 0)
	var revision uint64
	for range 5_000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		m := &messenger.FleetMember{Address: fmt.Sprint("a", r.IntN(40)), Zone: "z", Incarnation: uint64(r.IntN(3))}
		switch r.IntN(4) {
		case 0:
			x.expire(now)
		case 1:
			x.observeRelayed(now, m)
		default:
			x.observe(now, m, true)
		}
		if r.IntN(3) > 0 {
			continue
		}
		out := &messenger.SyncReply{}
		x.fillList(revision, out)
		g.Expect(out.RoutersPartial).To(gomega.Equal(revision > 0))
		for _, m := range out.Routers {
			held[m.Address] = m.Incarnation
		}
		for _, a := range out.RoutersGone {
			delete(held, a)
		}
		revision = out.RoutersRevision
		want := map[string]uint64{}
		for a, x := range x.byAddress {
			want[a] = x.member.Incarnation
		}
		g.Expect(held).To(gomega.Equal(want))
	}
	out := &messenger.SyncReply{}
	x.fillList(x.revision+1, out)
	g.Expect(out.RoutersPartial).To(gomega.BeFalse(), "an unknown revision")
}

// Guards against sending only changes to a router of an older version, which reports no
// revision.
func TestRouterWithoutRevisionReceivesAllRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	r, now := newRegistry(time.Second), time.Unix(1000, 0)
	ask := func(n int) *messenger.SyncReply {
		out := &messenger.SyncReply{}
		r.answerSync(now, "d", &messenger.SyncRequest{Router: &messenger.FleetMember{Address: fmt.Sprint("a", n), Zone: "z"}, ListRouters: true, Epoch: r.epoch, Revision: 1}, out)
		return out
	}
	for n := range 5 {
		ask(n)
	}
	g.Expect(ask(0).Routers).To(gomega.HaveLen(5))
	g.Expect(ask(0).RoutersPartial).To(gomega.BeFalse())
}

// 500 and 1,000 routers that all stay alive ask for the list every 2 s. Guards against
// replies that grow with the number of routers.
func TestRouterListIsSentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	size := func(n int) int {
		r, now := newRegistry(time.Second), time.Unix(1000, 0)
		bytes, revisions := 0, map[int]uint64{}
		for round := range 4 {
			for i := range n {
				out := &messenger.SyncReply{}
				r.answerSync(now, "d", &messenger.SyncRequest{
					Router: &messenger.FleetMember{Address: fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250), Zone: "z"}, ListRouters: true,
					Epoch: r.epoch, RoutersRevision: revisions[i],
				}, out)
				revisions[i] = out.RoutersRevision
				if round > 1 {
					bytes += proto.Size(out)
				}
			}
			now = now.Add(time.Second)
		}
		return bytes / n
	}
	g.Expect(size(1_000)).To(gomega.BeNumerically("<=", size(500)+8))
	g.Expect(size(1_000)).To(gomega.BeNumerically("<", 200))
}
