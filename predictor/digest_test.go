package predictor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

// testDigestBytes is the size of a digest in a datagram of 480 bytes.
const testDigestBytes = 477

// reportingTable returns a table that uses load reports, with n endpoints in each zone. Each table
// has its own copies of the endpoints.
func reportingTable(zone string, n int, zones ...string) *Table {
	t := NewTable(zone)
	t.EnableLoadReports()
	var list []*Endpoint
	for _, z := range zones {
		for i := range n {
			list = append(list, NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: fmt.Sprint(z, "-", i)}, Service: "llm", Zone: z, Slots: 48}))
		}
	}
	t.Replace(map[string][]*Endpoint{"llm": list})
	return t
}

// fleet is a set of tables that exchange digests in virtual time, as routers do.
type fleet struct {
	tables []*Table
	zones  []string
	// places holds the place of each router among perZone routers of one of zoneNames.
	places    []place
	perZone   int
	zoneNames []string
	bytes     []int
	lost      float64
	cut       bool
	random    *rand.Rand
	// wall is added to a router's clock.
	wall []time.Duration
}

// place is the place of a router in a fleet.
type place struct{ zone, rank int }

// newFleet returns a fleet with the given number of routers in each zone.
func newFleet(perZone, endpoints int, zones ...string) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2))}
	for _, z := range zones {
		for range perZone {
			f.tables, f.zones = append(f.tables, reportingTable(z, endpoints, zones...)), append(f.zones, z)
		}
	}
	f.bytes, f.wall = make([]int, len(f.tables)), make([]time.Duration, len(f.tables))
	for i := range zones {
		for j := range perZone {
			f.places = append(f.places, place{i, j})
		}
	}
	f.perZone, f.zoneNames = perZone, zones
	return f
}

// targets returns to whom a router sends in the round of its clock.
func (f *fleet) targets(i int, now time.Time) []int {
	round, p := GossipRound(now.Add(f.wall[i])), f.places[i]
	var out []int
	for _, j := range GossipTargets(round, p.rank, f.perZone) {
		out = append(out, p.zone*f.perZone+j)
	}
	var others, sizes []int
	for z := range f.zoneNames {
		if z != p.zone {
			others, sizes = append(others, z), append(sizes, f.perZone)
		}
	}
	if z, j, ok := GossipRemoteTarget(round, p.rank, sizes); ok {
		out = append(out, others[z]*f.perZone+j)
	}
	return out
}

// run passes digests on for a duration from now. Each router sends every 250 ms at a time of its
// own, and a datagram arrives 2 ms later.
func (f *fleet) run(now time.Time, d time.Duration, step func(time.Time)) {
	const interval = 250
	phase := make([]int, len(f.tables))
	for i := range phase {
		phase[i] = f.random.IntN(interval)
	}
	type datagram struct {
		to int
		b  []byte
	}
	arriving := map[int][]datagram{}
	for ms := range int(d / time.Millisecond) {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if step != nil {
			step(at)
		}
		for _, m := range arriving[ms] {
			x := &messenger.LoadDigest{}
			if proto.Unmarshal(m.b, x) == nil {
				f.tables[m.to].ApplyDigest(at.Add(f.wall[m.to]), x)
			}
		}
		delete(arriving, ms)
		for i, t := range f.tables {
			if ms%interval != phase[i] {
				continue
			}
			digest := t.Digest(at.Add(f.wall[i]), testDigestBytes)
			if digest == nil {
				continue
			}
			b, _ := proto.Marshal(digest)
			for _, to := range f.targets(i, at) {
				f.bytes[i] += len(b)
				if f.random.Float64() < f.lost || f.cut && f.zones[i] != f.zones[to] {
					continue
				}
				arriving[ms+2] = append(arriving[ms+2], datagram{to, b})
			}
		}
	}
}

// informed returns how many routers of a zone have a load that was reported for an endpoint.
func (f *fleet) informed(now time.Time, zone, endpoint string, running int) int {
	n := 0
	for i, t := range f.tables {
		e := t.Endpoint(endpoint)
		if o := e.observation(now.Add(f.wall[i])); f.zones[i] == zone && o.fresh(now.Add(f.wall[i])) && o.load.Running == running {
			n++
		}
	}
	return n
}

// endpointName returns the incarnation of an endpoint in text form.
func endpointName(t *Table, n int) string { return (*t.byService.Load())["llm"].endpoints[n].name }

// Guards against loads that reach a part of a zone's routers only, or too late, while one in ten
// datagrams is lost.
func TestObservationReachesAllRoutersOfTheZoneWithinASecond(t *testing.T) {
	for routers, zones := range map[int][]string{27: {"a", "b", "c"}, 197: {"a", "b", "c", "d", "e"}} {
		g, late := gomega.NewWithT(t), 0
		for seed := range uint64(20) {
			f := newFleet(routers, 1, zones...)
			f.lost, f.random = 0.1, rand.New(rand.NewPCG(seed, 3))
			now, name := time.Unix(1_000, 0), endpointName(f.tables[0], 0)
			f.tables[0].Endpoint(name).ObserveLoad(now, Load{Running: 31, Slots: 48})
			f.run(now, 999*time.Millisecond, nil)
			late += routers - f.informed(now.Add(999*time.Millisecond), "a", name, 31)
		}
		g.Expect(late).To(gomega.BeZero(), "%d routers", routers)
	}
}

// Guards against digests that grow with the number of routers or of endpoints.
func TestDigestBytesAreTheSameAtAnyFleetSize(t *testing.T) {
	g := gomega.NewWithT(t)
	bytes := map[int]float64{}
	for _, perZone := range []int{27, 328} {
		f := newFleet(perZone, perZone/3, "a", "b", "c")
		now := time.Unix(1_000, 0)
		f.run(now, time.Second, func(at time.Time) {
			if at.Sub(now)%(10*time.Millisecond) == 0 {
				x := f.tables[f.random.IntN(len(f.tables))]
				for range 5 {
					x.Endpoint(endpointName(x, f.random.IntN(3*(perZone/3)))).ObserveLoad(at, Load{Running: 300, Waiting: 200, Slots: 48, Slowdown: 1.5})
				}
			}
		})
		most := slices.Max(f.bytes)
		g.Expect(most).To(gomega.BeNumerically("<=", 16*testDigestBytes))
		bytes[perZone] = float64(most)
	}
	t.Logf("bytes a second of the busiest sender: %.0f at 81 routers, %.0f at 984", bytes[27], bytes[328])
	g.Expect(bytes[328]).To(gomega.BeNumerically("~", bytes[27], 0.1*bytes[27]))
}

// Guards against a digest of more bytes than a datagram has, and against old observations that take
// the space of newer ones.
func TestDigestHoldsTheNewestObservations(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 100, "a"), time.Unix(1_000, 0)
	for i, e := range x.Endpoints("llm") {
		e.ObserveLoad(now.Add(time.Duration(i)*time.Millisecond), Load{Running: 40, Waiting: 2, Slots: 48, Slowdown: 1.25})
	}
	d := x.Digest(now.Add(100*time.Millisecond), testDigestBytes)
	g.Expect(proto.Size(d)).To(gomega.BeNumerically("<=", testDigestBytes))
	g.Expect(len(d.Endpoints)).To(gomega.BeNumerically(">=", 18))
	for i, l := range d.Endpoints {
		g.Expect(l.Endpoint).To(gomega.Equal(hashName(endpointName(x, 99-i))))
		g.Expect(l.AgeMs).To(gomega.BeEquivalentTo(i + 1))
	}
	g.Expect(x.Digest(now.Add(2*time.Second), testDigestBytes)).To(gomega.BeNil(), "nothing was observed in the last second")
}

// Guards against a relayed observation that replaces a newer one, or whose age starts anew with
// each router that relays it.
func TestOlderObservationDoesNotReplaceANewerOne(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	e := x.Endpoint(endpointName(x, 0))
	entry := func(running uint32, ms int32) *messenger.LoadDigest {
		return &messenger.LoadDigest{Endpoints: []*messenger.EndpointLoad{{Endpoint: hashName(e.name), Running: running, AgeMs: ms}}}
	}
	e.ObserveLoad(now, Load{Running: 5, Slots: 48})
	later := now.Add(200 * time.Millisecond)
	g.Expect(x.ApplyDigest(later, entry(9, 300))).To(gomega.Equal(DigestResult{}))
	g.Expect(e.reported.Running).To(gomega.Equal(5))
	g.Expect(x.ApplyDigest(later, entry(5, 150))).To(gomega.Equal(DigestResult{}), "the same observation, 50 ms on the network")
	g.Expect(e.reportedAt).To(gomega.Equal(now))
	g.Expect(x.ApplyDigest(later, entry(9, 150))).To(gomega.Equal(DigestResult{Used: 1}))
	g.Expect(e.reported.Running).To(gomega.Equal(9))
	f := newFleet(27, 1, "a")
	f.tables[0].Endpoint(e.name).ObserveLoad(now, Load{Running: 31, Slots: 48})
	f.run(now, 1_200*time.Millisecond, nil)
	g.Expect(f.informed(now.Add(1_200*time.Millisecond), "a", e.name, 31)).To(gomega.BeZero(), "an observation is used for a second")
}

// Guards against entries that can't be right, or come from other builds, and change what is known.
func TestInvalidEntriesOfDigestsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a", "b"), time.Unix(1_000, 0)
	hash, service := hashName(endpointName(x, 0)), hashName("llm")
	bad := &messenger.LoadDigest{
		Endpoints: []*messenger.EndpointLoad{
			{Endpoint: hash, Running: 1, AgeMs: -1},
			{Endpoint: hash, Running: 1, AgeMs: 10_000},
			{Endpoint: hash + 1, Running: 1},
			{Endpoint: hash, Running: 1 << 31},
			{Endpoint: hash, Waiting: 1 << 31},
			{Endpoint: hash, SlowdownPermille: 1 << 31},
			{Endpoint: hash, PacePermille: 1 << 31},
		},
		Zones: []*messenger.ZoneRoom{
			{Zone: "b", Service: service, Slots: 5, AgeMs: -1},
			{Zone: "b", Service: service, Slots: 5, AgeMs: 10_000},
			{Zone: "b", Service: service + 1, Slots: 5},
			{Zone: "b", Service: service},
			{Zone: "b", Service: service, FreeSlots: 6, Slots: 5},
			{Zone: "", Service: service, Slots: 5},
			{Zone: string(make([]byte, 65)), Service: service, Slots: 5},
		},
	}
	g.Expect(x.ApplyDigest(now, bad)).To(gomega.Equal(DigestResult{Dropped: 14}))
	g.Expect(x.ApplyDigest(now, nil)).To(gomega.Equal(DigestResult{}))
	g.Expect(x.ApplyDigest(now, &messenger.LoadDigest{})).To(gomega.Equal(DigestResult{}))
	random := rand.New(rand.NewPCG(4, 5))
	for range 2_000 {
		b := make([]byte, random.IntN(64))
		for i := range b {
			b[i] = byte(random.Uint32())
		}
		d := &messenger.LoadDigest{}
		if proto.Unmarshal(b, d) == nil {
			g.Expect(x.ApplyDigest(now, d).Used).To(gomega.BeZero())
		}
	}
	for _, e := range x.Endpoints("llm") {
		g.Expect(e.reportedAt.IsZero()).To(gomega.BeTrue())
	}
	g.Expect(x.reports.rooms).To(gomega.BeEmpty())
	off := NewTable("a")
	g.Expect(off.ApplyDigest(now, bad)).To(gomega.Equal(DigestResult{}), "load reports are switched off")
	g.Expect(off.Digest(now, testDigestBytes)).To(gomega.BeNil())
}

// Guards against senders of many zone names that fill a router's memory.
func TestReportedZonesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	for i := range 3 * maxRooms {
		x.ApplyDigest(now, &messenger.LoadDigest{Zones: []*messenger.ZoneRoom{{Zone: fmt.Sprint("z", i), Service: hashName("llm"), Slots: 5}}})
	}
	g.Expect(len(x.reports.rooms)).To(gomega.Equal(maxRooms))
	later := now.Add(2 * time.Second)
	d := &messenger.LoadDigest{Zones: []*messenger.ZoneRoom{{Zone: "b", Service: hashName("llm"), Slots: 5}}}
	g.Expect(x.ApplyDigest(later, d)).To(gomega.Equal(DigestResult{Used: 1}), "expired entries make room")
}

// Guards against a partition between zones that stops the reports inside of them, and against the
// use of what was known of the other side before.
func TestZonesThatArePartitionedHaveTheirOwnView(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(27, 4, "a", "b")
	f.cut = true
	now, here, there := time.Unix(1_000, 0), "", ""
	for _, e := range f.tables[0].Endpoints("llm") {
		if e.beat.Zone == "a" {
			here = e.name
		} else {
			there = e.name
		}
	}
	f.tables[0].Endpoint(here).ObserveLoad(now, Load{Running: 11, Slots: 48})
	f.tables[27].Endpoint(there).ObserveLoad(now, Load{Running: 22, Slots: 48})
	at := now.Add(999 * time.Millisecond)
	f.run(now, 999*time.Millisecond, nil)
	g.Expect(f.informed(at, "a", here, 11)).To(gomega.Equal(27))
	g.Expect(f.informed(at, "b", there, 22)).To(gomega.Equal(27))
	g.Expect(f.informed(at, "b", here, 11)).To(gomega.BeZero())
	g.Expect(f.informed(at, "a", there, 22)).To(gomega.BeZero())
	f.cut = false
	f.tables[0].Endpoint(here).ObserveLoad(at, Load{Running: 12, Slots: 48})
	f.run(at, 999*time.Millisecond, nil)
	g.Expect(f.informed(at.Add(999*time.Millisecond), "b", here, 12)).To(gomega.BeNumerically(">", 20), "one digest in four goes to another zone")
}

// Guards against times of day in digests: routers whose clocks differ by hours, as after a step,
// have to agree on ages.
func TestClocksThatStepDoNotChangeAges(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(27, 1, "a")
	for i := range f.wall {
		f.wall[i] = time.Duration(f.random.IntN(7200)-3600) * time.Second
	}
	now, name := time.Unix(100_000, 0), endpointName(f.tables[0], 0)
	f.tables[0].Endpoint(name).ObserveLoad(now.Add(f.wall[0]), Load{Running: 31, Slots: 48})
	f.run(now, 999*time.Millisecond, nil)
	g.Expect(f.informed(now.Add(999*time.Millisecond), "a", name, 31)).To(gomega.Equal(27))
	for i, x := range f.tables {
		e := x.Endpoint(name)
		g.Expect(e.reportedAt.Sub(now.Add(f.wall[i]))).To(gomega.BeNumerically("~", 0, 50*time.Millisecond))
	}
}

// Guards against figures of an endpoint that other routers would drop, or that become others when
// they are encoded.
func TestAbsurdLoadsAreEncodedWithinTheirBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y, now := reportingTable("a", 1, "a"), reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	for _, slowdown := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1} {
		now = now.Add(time.Second)
		x.Endpoints("llm")[0].ObserveLoad(now, Load{Running: math.MaxInt, Waiting: math.MinInt, Slots: 48, Slowdown: slowdown})
		r := y.ApplyDigest(now, x.Digest(now, testDigestBytes))
		g.Expect(r.Dropped).To(gomega.BeZero())
		e := y.Endpoints("llm")[0]
		g.Expect(e.reported.Running).To(gomega.Equal(maxReported))
		g.Expect(e.reported.Waiting).To(gomega.BeZero())
		g.Expect(e.reported.Slowdown).To(gomega.Or(gomega.BeZero(), gomega.BeEquivalentTo(maxPermille/permille)))
	}
}

// Guards against memory for announced requests that grows at endpoints that are never candidates.
func TestAnnouncedRequestsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	e := x.Endpoints("llm")[0]
	for i := range 3 * maxAnnounced {
		e.RecordDispatch(now.Add(time.Duration(i)*time.Microsecond), Dispatch{UncachedTokens: 500})
	}
	g.Expect(len(e.announced)).To(gomega.BeNumerically("<=", maxAnnounced))
	e.RecordDispatch(now.Add(2*announcedTTL), Dispatch{UncachedTokens: 500})
	g.Expect(e.announced).To(gomega.HaveLen(1))
}

// Guards against a slow endpoint that each router has to find out for itself, and against reports
// of a pace that replace this router's own measurement.
func TestPaceIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y, now := reportingTable("a", 1, "a"), reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	one, two := x.Endpoints("llm")[0], y.Endpoints("llm")[0]
	one.prefillFactor, one.prefillFactorAt, one.paceMeasuredAt = 3, now, now
	for range 4 {
		now = now.Add(150 * time.Millisecond)
		one.ObserveLoad(now, Load{Running: 4, Slots: 48})
		y.ApplyDigest(now, x.Digest(now, testDigestBytes))
	}
	g.Expect(two.currentPrefillFactor(now)).To(gomega.BeNumerically("~", 2.8, 0.2))
	two.prefillFactor, two.prefillFactorAt, two.paceMeasuredAt = 1, now, now
	now = now.Add(150 * time.Millisecond)
	one.ObserveLoad(now, Load{Running: 4, Slots: 48})
	y.ApplyDigest(now, x.Digest(now, testDigestBytes))
	g.Expect(two.currentPrefillFactor(now)).To(gomega.Equal(1.0))
}
