package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// 300 routers ask one keeper every 0.6 s about 3,000 endpoints, of which one starts or
// changes in each round. Guards against replies that grow with the number of endpoints,
// which kept keepers from syncing their log.
func TestSyncRepliesDoNotGrowWithEndpoints(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, endpoints, perSecond, seconds = 300, 3_000, 5.0 / 3, 6
	r := newRegistry(time.Minute)
	now := time.Now()
	beat := func(i, slots int, sequence uint64) {
		r.observeHeartbeat(now, enroller.Heartbeat{
			Incarnation: enroller.Incarnation{ID: fmt.Sprintf("i-%010d", i)}, Service: "service", Address: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250),
			Zone: "zone", Slots: slots, Sequence: sequence,
		})
	}
	for i := range endpoints {
		beat(i, 64, 1)
	}
	questions := make([]*messenger.SyncRequest, routers)
	for i := range questions {
		questions[i] = &messenger.SyncRequest{Router: &messenger.FleetMember{Address: fmt.Sprintf("10.0.%d.%d:7340", i/250, i%250), Zone: "zone"}}
	}
	ask := func(n int, list bool) int {
		q := questions[n]
		q.ListRouters = list
		out := &messenger.SyncReply{}
		r.answerSync(now, "d", q, out)
		q.Epoch, q.Revision = out.Epoch, out.Revision
		return proto.Size(out)
	}
	first := 0
	for i := range routers {
		first += ask(i, true)
	}
	bytes := 0
	for round := range int(seconds * perSecond) {
		now = now.Add(time.Duration(float64(time.Second) / perSecond))
		beat(round, 32, uint64(2+round))
		for i := range routers {
			bytes += ask(i, round%5 == 0)
		}
	}
	g.Expect(first).To(gomega.BeNumerically(">", routers*endpoints*50), "the first reply holds all endpoints")
	g.Expect(bytes/seconds).To(gomega.BeNumerically("<", 2_000_000), "bytes per second")
}
