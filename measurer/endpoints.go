package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/tracker"
)

// The experiment on what an endpoint known costs.
var _ = register(Experiment{
	Name: "endpoints", Short: "Announcements and gossip: bytes, processor time and memory for each endpoint",
	Run: measureEndpoints,
})

const (
	endpointMaxAge = 3 * time.Second
	endpointZone   = "zone-1"
	// pulledAfter is how old an announcement is on average when it is pulled:
	// a period for the token, half a one for the wait.
	pulledAfter = 750 * time.Millisecond
	// announcedBefore is about what an endpoint has announced in three days,
	// so that sequences are not shorter than they will be.
	announcedBefore = 1 << 20
	// endpointRounds is how often each case is repeated.
	endpointRounds = 20
)

// endpointSizes are a zone of today, a zone and a region of two years on, and
// all of it.
var endpointSizes = []int{15, 216, 600, 1200, 4100}

// endpointFleet is a router that endpoints announce to and one that pulls.
type endpointFleet struct {
	told, pulls *tracker.Tracker
	peer        *tracker.Peer
	now         rattanhoist.Moment
	said        []tracker.Announcement
}

func newEndpointFleet(n int) *endpointFleet {
	f := &endpointFleet{now: rattanhoist.MomentOf(time.Now()), peer: tracker.NewPeer("told", true)}
	for i, t := range []**tracker.Tracker{&f.told, &f.pulls} {
		*t = tracker.New(tracker.Options{
			MaxAge: endpointMaxAge, Incarnation: rattanhoist.Incarnation(i + 1),
			Zone: endpointZone, Zones: []string{endpointZone},
		})
	}
	for i := range n {
		f.said = append(f.said, tracker.Announcement{
			Name: fmt.Sprintf("survey-llm-%d", i), Service: fmt.Sprintf("service-%d", i%15), Zone: endpointZone,
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			Labels:  map[string]string{"tier": "standard", "accelerator": "large", "version": "v12"},
			// As endpoints choose it: the time of their start.
			Incarnation: uint64(time.Now().UnixNano()), Capacity: 16, Sequence: announcedBefore,
		})
	}
	return f
}

// renew has every endpoint announce once, as the router's handler takes it.
func (f *endpointFleet) renew() (bytes int, err error) {
	f.now = f.now.Add(time.Second)
	token := f.told.Token(f.now)
	for i := range f.said {
		a := &f.said[i]
		a.Sequence++
		a.Load, a.Token = int64(i+int(a.Sequence))%16, token
		b, err := json.Marshal(a)
		if err != nil {
			return 0, err
		}
		bytes += len(b)
		var read tracker.Announcement
		if err := json.Unmarshal(b, &read); err != nil {
			return 0, err
		}
		if _, err := f.told.Announce(read, f.now); err != nil {
			return 0, err
		}
	}
	return bytes, nil
}

// pull has the other router pull once, through the codec.
func (f *endpointFleet) pull() (bytes int, err error) {
	now := f.now.Add(pulledAfter)
	reply := f.told.Reply(f.peer.Request("puller", endpointZone, nil), now)
	b, err := proto.Marshal(reply)
	if err != nil {
		return 0, err
	}
	var read messenger.GossipReply
	if err := proto.Unmarshal(b, &read); err != nil {
		return 0, err
	}
	f.pulls.Merge(f.peer, &read, now, now)
	return len(b), nil
}

// endpointCost is what one size cost: one round of announcements, one pull in
// which all are renewed, the pulls until all are known; times are elapsed.
type endpointCost struct {
	announceBytes, pullBytes, joinBytes float64
	announceTime, pullTime              time.Duration
	memory                              float64
}

func measureEndpoints(ctx context.Context, r *Report) error {
	points := map[string][]Point{}
	for _, n := range endpointSizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c, err := costOfEndpoints(n)
		if err != nil {
			return err
		}
		caseName := fmt.Sprintf("%d endpoints", n)
		r.Figure(caseName, "announcement", c.announceBytes/float64(n), "bytes")
		r.Figure(caseName, "announcement taken in", float64(c.announceTime.Nanoseconds())/float64(n), "ns")
		for metric, y := range map[string]float64{
			"pull_bytes": c.pullBytes, "join_bytes": c.joinBytes, "memory_bytes": c.memory,
			"pull_us": float64(c.pullTime.Nanoseconds()) / 1e3, "announce_us": float64(c.announceTime.Nanoseconds()) / 1e3,
		} {
			points[metric] = append(points[metric], Point{X: float64(n), Y: y})
		}
	}
	for _, m := range []struct{ metric, unit string }{
		{"announce_us", "us"},
		{"pull_us", "us"},
		{"pull_bytes", "bytes"},
		{"join_bytes", "bytes"},
		{"memory_bytes", "bytes"},
	} {
		r.Slope("router", m.metric, m.unit, "endpoint", points[m.metric])
	}
	return measureTurns(ctx, r)
}

func costOfEndpoints(n int) (endpointCost, error) {
	var c endpointCost
	f := newEndpointFleet(n)
	before := liveBytes()
	if _, err := f.renew(); err != nil {
		return c, err
	}
	c.memory = liveBytes() - before
	for f.pulls.Stats().Known < n {
		bytes, err := f.pull()
		if err != nil {
			return c, err
		}
		c.joinBytes += float64(bytes)
	}
	for range endpointRounds {
		start := time.Now()
		bytes, err := f.renew()
		if err != nil {
			return c, err
		}
		c.announceBytes += float64(bytes) / endpointRounds
		c.announceTime += time.Since(start) / endpointRounds
		start = time.Now()
		bytes, err = f.pull()
		if err != nil {
			return c, err
		}
		c.pullBytes += float64(bytes) / endpointRounds
		c.pullTime += time.Since(start) / endpointRounds
	}
	runtime.KeepAlive(f)
	return c, nil
}
