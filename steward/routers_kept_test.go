package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against a router that believes to know all streams although others that knew them have ended: they
// started anew, or fell silent, or this keeper has just started itself.
func TestKeeperTellsForHowLongNoRouterHasEnded(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1_000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	sync := func(r *registry, s int, address string, incarnation uint64) time.Duration {
		out := &messenger.SyncReply{}
		r.answerSync(at(s), "d", &messenger.SyncRequest{Router: &messenger.FleetMember{Address: address, Zone: "z", Incarnation: incarnation}}, out)
		return time.Duration(out.RoutersKeptMs) * time.Millisecond
	}
	r := newRegistry(time.Second)
	r.beginVersions(at(0), true)
	g.Expect(sync(r, 1, "a", 1)).To(gomega.BeNumerically(">", time.Hour), "just founded")
	g.Expect(sync(r, 2, "b", 2)).To(gomega.BeNumerically(">", time.Hour), "another router")
	g.Expect(sync(r, 3, "a", 3)).To(gomega.BeZero(), "it has started anew")
	g.Expect(sync(r, 5, "b", 2)).To(gomega.Equal(2 * time.Second))
	r.expire(at(7))
	g.Expect(sync(r, 8, "b", 2)).To(gomega.Equal(time.Second), "a is silent")
	later := newRegistry(time.Second)
	later.beginVersions(at(10), false)
	g.Expect(sync(later, 12, "a", 1)).To(gomega.Equal(2 * time.Second))
}
