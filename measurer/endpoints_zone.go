package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/router"
	"rattanhoist.example/rattanhoist/tracker"
)

// A zone in virtual time: every endpoint tells two routers, which pull from
// siblings in turn.
const (
	zoneStep = 5 * time.Millisecond
	zoneTrip = 5 * time.Millisecond
	zoneWarm = 8 * time.Second
	zoneLook = 10 * time.Second
	zoneSeed = 1
)

// turnZoneSizes are numbers of endpoints around those of the letter's zone.
var turnZoneSizes = []int{54, 108, 216, 432}

// turnZone is the routers and endpoints of one zone.
type turnZone struct {
	at       time.Duration
	start    rattanhoist.Moment
	random   *rand.Rand
	fleet    *endpointFleet
	trackers []*tracker.Tracker
	rotas    []*tracker.PullSchedule
	// Peers are those of each router, by the other one's place.
	peers [][]*tracker.Peer
	// PullAt and sayAt are when the next pull of a router and the next
	// announcement of an endpoint are due.
	pullAt, sayAt []time.Duration
	// Told are the two routers of each endpoint, with their tokens.
	told   [][announcedTo]int
	tokens [][announcedTo]string
	later  map[time.Duration][]func() error
	// Pulls and bytes count after zoneWarm.
	pulls, bytes int
	// Pairs, missing and oldest are what was seen of the tables.
	pairs, missing int
	oldest         time.Duration
}

func newTurnZone(routers, endpoints int) *turnZone {
	z := &turnZone{
		start: rattanhoist.MomentOf(time.Now()), random: rand.New(rand.NewPCG(zoneSeed, uint64(endpoints))),
		fleet: newEndpointFleet(endpoints), later: map[time.Duration][]func() error{},
	}
	for i := range routers {
		z.trackers = append(z.trackers, tracker.New(tracker.Options{
			MaxAge: endpointMaxAge, Incarnation: rattanhoist.Incarnation(i + 1), Zone: endpointZone, Zones: []string{endpointZone},
		}))
		z.rotas = append(z.rotas, tracker.NewPullSchedule(routers, i))
		z.pullAt = append(z.pullAt, z.within(tracker.PullInterval))
		var peers []*tracker.Peer
		for j := range routers {
			peers = append(peers, tracker.NewRotatedPeer(routerName(j)))
		}
		z.peers = append(z.peers, peers)
	}
	for range endpoints {
		p := z.random.Perm(routers)
		z.told = append(z.told, [announcedTo]int(p[:announcedTo]))
		z.tokens = append(z.tokens, [announcedTo]string{})
		z.sayAt = append(z.sayAt, z.within(router.RenewInterval))
	}
	return z
}

func routerName(i int) string { return fmt.Sprintf("zone-01-router-%02d", i) }

// within returns a moment of a period, on the grain of the time.
func (z *turnZone) within(d time.Duration) time.Duration {
	return time.Duration(z.random.Int64N(int64(d/zoneStep))) * zoneStep
}

func (z *turnZone) now() rattanhoist.Moment { return z.start.Add(z.at) }

func (z *turnZone) announce(i int) error {
	z.sayAt[i] += router.RenewInterval
	a := &z.fleet.said[i]
	for k, n := range z.told[i] {
		t := z.trackers[n]
		a.Sequence++
		a.Load, a.Token = z.random.Int64N(a.Capacity), z.tokens[i][k]
		if _, err := t.Announce(*a, z.now()); err != nil {
			return err
		}
		z.tokens[i][k] = t.Token(z.now())
	}
	return nil
}

func (z *turnZone) pull(n int) {
	z.pullAt[n] += tracker.PullInterval / tracker.DefaultSiblingsPerRound
	m := z.rotas[n].Next(func(int) bool { return true })
	p, asked := z.peers[n][m], z.now()
	q := z.trackers[n].Request(p, routerName(n), endpointZone, nil, asked)
	z.after(func() error {
		reply, err := proto.Marshal(z.trackers[m].Reply(q, z.now()))
		if err != nil {
			return err
		}
		if z.at > zoneWarm {
			z.pulls, z.bytes = z.pulls+1, z.bytes+proto.Size(q)+len(reply)
		}
		z.after(func() error {
			var read messenger.GossipReply
			if err := proto.Unmarshal(reply, &read); err != nil {
				return err
			}
			z.trackers[n].Merge(p, &read, asked, z.now())
			return nil
		})
		return nil
	})
}

func (z *turnZone) after(f func() error) {
	z.later[z.at+zoneTrip] = append(z.later[z.at+zoneTrip], f)
}

func (z *turnZone) step() error {
	for _, f := range z.later[z.at] {
		if err := f(); err != nil {
			return err
		}
	}
	delete(z.later, z.at)
	for i, due := range z.sayAt {
		if due > z.at {
			continue
		}
		if err := z.announce(i); err != nil {
			return err
		}
	}
	for n, due := range z.pullAt {
		if due <= z.at {
			z.pull(n)
		}
	}
	return nil
}

// look counts the pairs of router and endpoint that can't be used.
func (z *turnZone) look() {
	for _, t := range z.trackers {
		usable := 0
		for _, s := range t.Table().Services() {
			for _, e := range t.Table().Service(s) {
				age, _ := z.now().Since(e.AnnouncedAtMoment())
				z.oldest = max(z.oldest, age)
				if t.UsableAt(e, z.now()) {
					usable++
				}
			}
		}
		z.pairs += len(z.told)
		z.missing += len(z.told) - usable
	}
}

func (z *turnZone) run(ctx context.Context) error {
	const lookEvery = 50 * time.Millisecond
	for ; z.at < zoneWarm+zoneLook; z.at += zoneStep {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := z.step(); err != nil {
			return err
		}
		if z.at > zoneWarm && z.at%lookEvery == 0 {
			z.look()
		}
	}
	return nil
}

// measureTurns reports what a pull of a zone costs whose routers ask each
// other in turn, and how old endpoints get there.
func measureTurns(ctx context.Context, r *Report) error {
	routers := int(Letter.NodesPerZone() + 0.5)
	var points []Point
	for _, n := range turnZoneSizes {
		z := newTurnZone(routers, n)
		if err := z.run(ctx); err != nil {
			return err
		}
		points = append(points, Point{X: float64(n), Y: float64(z.bytes) / float64(z.pulls)})
		caseName := fmt.Sprintf("%d routers, %d endpoints, in turn", routers, n)
		r.Figure(caseName, "largest age", z.oldest.Seconds(), "s")
		r.Figure(caseName, "not usable", float64(z.missing)/float64(z.pairs), "of all")
	}
	r.Slope("router", "turn_pull_bytes", "bytes", "endpoint", points)
	return nil
}
