package measurer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracker"
)

// EndpointSlopes measures what knowing endpoints costs a router.
var EndpointSlopes = Register(Experiment{
	Name: "endpoint_slopes", Short: "Endpoints at a router: memory, processor time and bytes of announcements and gossip",
	Run: runEndpointSlopes,
})

var sampleStart = rattanhoist.NewMoment(time.Hour, 1000*time.Hour)

func newSampleTracker() *tracker.Tracker {
	return tracker.New(tracker.Options{MaxAge: 3 * time.Second, Incarnation: 1, Zone: sampleZone, Zones: []string{sampleZone}})
}

// announce tells a tracker of endpoints 0 to n-1.
func announce(t *tracker.Tracker, n int, sequence uint64, now rattanhoist.Moment) error {
	token := t.Token(now)
	for i := range n {
		a := tracker.Announcement{
			Name: fmt.Sprintf("service-%02d-worker-%05d", i%15, i), Service: fmt.Sprintf("service-%02d", i%15), Zone: sampleZone,
			Address: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250), Labels: map[string]string{"tier": "standard"},
			Incarnation: 1, Sequence: sequence, Capacity: 8, Load: int64(i % 8), Token: token,
		}
		if _, err := t.Announce(a, now); err != nil {
			return err
		}
	}
	return nil
}

func runEndpointSlopes(_ context.Context, r *Report) error {
	var failed error
	note := func(err error) {
		if err != nil {
			failed = err
		}
	}
	r.Slope("router", "memory", "B", "endpoint", sweep(sizes(500, 1000, 2000, 4100), func(n int) float64 {
		return heapBytes(func() any {
			t := newSampleTracker()
			note(announce(t, n, 1, sampleStart))
			return t
		})
	}))
	r.Slope("router", "renewal_processor", "s", "announcement", sweep(sizes(500, 1000, 2000, 4100), func(n int) float64 {
		const rounds = 20
		t := newSampleTracker()
		note(announce(t, n, 1, sampleStart))
		return processorSeconds(func() {
			for i := range rounds {
				note(announce(t, n, uint64(i+2), sampleStart))
			}
		}) / rounds
	}))
	r.Slope("router", "gossip_bytes", "B", "renewed endpoint", sweep(sizes(100, 200, 500, 1000), func(n int) float64 {
		t := newSampleTracker()
		note(announce(t, n, 1, sampleStart))
		first := t.Reply(&messenger.GossipRequest{Node: "peer", Zone: sampleZone}, sampleStart)
		for first.Revision < uint64(n) {
			first = t.Reply(&messenger.GossipRequest{Node: "peer", Zone: sampleZone, Incarnation: 1, Revision: first.Revision}, sampleStart)
		}
		note(announce(t, n, 2, sampleStart))
		reply := t.Reply(&messenger.GossipRequest{Node: "peer", Zone: sampleZone, Incarnation: 1, Revision: first.Revision}, sampleStart)
		return float64(proto.Size(reply))
	}))
	return failed
}
