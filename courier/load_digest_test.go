package courier

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/shaper"
)

// digestRouter is a router with a socket, as far as digests need it.
type digestRouter struct {
	fleet    *fleetView
	notifier *dispatchNotifier
	endpoint *predictor.Endpoint
}

// startDigestRouter returns a router that knows one endpoint and exchanges digests unless off is
// set, over a link of bytesPerSecond.
func startDigestRouter(t *testing.T, off bool, bytesPerSecond float64) *digestRouter {
	f := startFleetWith(t, func(o *Options) {
		if off {
			o.Node = loadTestNode(t, "load_digests = false\n")
		}
	})
	if !off {
		f.table.EnableLoadReports()
	}
	e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e"}, Service: "s", Zone: "z", Slots: 4})
	f.table.Replace(map[string][]*predictor.Endpoint{"s": {e}})
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	f.self.Address = c.LocalAddr().String()
	n := &dispatchNotifier{fleet: f, conn: c, admission: shaper.NewAdmission(bytesPerSecond, &shaper.Lag{}), log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { n.receive(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); _ = c.Close(); <-ended })
	return &digestRouter{f, n, e}
}

// full reports whether the router knows that its endpoint is full.
func (r *digestRouter) full() bool {
	c := r.fleet.table.Capacity(time.Now(), predictor.Request{Service: "s"})
	return c.Known && c.Room == 0
}

// listPeers makes routers of zone z known to each other.
func listPeers(list ...*digestRouter) {
	var members []*messenger.FleetMember
	for _, r := range list {
		members = append(members, r.fleet.self)
	}
	for _, r := range list {
		r.fleet.updatePeers(members)
	}
}

// Guards against digests that are sent or received in another form than the other side reads, and
// against digests that are exchanged although they are switched off.
func TestDigestReachesARouterUnlessSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two, off := startDigestRouter(t, false, 0), startDigestRouter(t, false, 0), startDigestRouter(t, true, 0)
	listPeers(one, two, off)
	sent, received := digestsSent.Get(), digestsReceived.Get()
	one.notifier.sendDigest(time.Now())
	g.Expect(digestsSent.Get()).To(gomega.Equal(sent), "nothing was observed")
	one.endpoint.ObserveLoad(time.Now(), predictor.Load{Running: 4, Slots: 4})
	used := loadEntriesUsed.Get()
	one.notifier.sendDigest(time.Now())
	g.Expect(digestsSent.Get()).To(gomega.Equal(sent + 2))
	g.Eventually(two.full).Should(gomega.BeTrue())
	g.Expect(digestsReceived.Get()).To(gomega.Equal(received+1), "the other router ignores it")
	g.Expect(loadEntriesUsed.Get()).To(gomega.BeNumerically(">", used))
	g.Expect(off.full()).To(gomega.BeFalse())
	off.endpoint.ObserveLoad(time.Now(), predictor.Load{Running: 4, Slots: 4})
	off.notifier.sendDigests(context.Background())
	off.notifier.sendDigest(time.Now())
	g.Expect(digestsSent.Get()).To(gomega.Equal(sent + 2))
}

// Guards against digests that delay requests on a busy link.
func TestDigestYieldsToOtherTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := startDigestRouter(t, false, 1_250_000), startDigestRouter(t, false, 0)
	listPeers(one, two)
	one.endpoint.ObserveLoad(time.Now(), predictor.Load{Running: 4, Slots: 4})
	one.notifier.admission.Sent(time.Now(), 1<<20)
	sent := digestsSent.Get()
	one.notifier.sendDigest(time.Now())
	g.Expect(digestsSent.Get()).To(gomega.Equal(sent))
}

// Guards against digests that routers of earlier versions can't read, or take for the notice of a
// dispatch: they receive up to 512 bytes, keep fields that they don't know, and ignore datagrams that
// name no prompt tokens.
func TestEarlierVersionsIgnoreDigests(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := predictor.NewTable("z"), time.Now()
	x.EnableLoadReports()
	var list []*predictor.Endpoint
	for i := range 200 {
		list = append(list, predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: strconv.Itoa(i)}, Service: "s", Zone: "z", Slots: 4}))
	}
	x.Replace(map[string][]*predictor.Endpoint{"s": list})
	for _, e := range list {
		e.ObserveLoad(now, predictor.Load{Running: 300, Waiting: 300, Slots: 4, Slowdown: 20})
	}
	b, err := proto.Marshal(&messenger.Dispatched{Digest: x.Digest(now, maxDigestDatagram-digestFraming)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(b)).To(gomega.BeNumerically("<=", maxDigestDatagram))
	g.Expect(len(b)).To(gomega.BeNumerically(">", maxDigestDatagram-30))
	g.Expect(proto.Unmarshal(b, &emptypb.Empty{})).To(gomega.Succeed())
	d := &messenger.Dispatched{}
	g.Expect(proto.Unmarshal(b, d)).To(gomega.Succeed())
	g.Expect(d.Unread).To(gomega.BeZero())
	g.Expect(d.Endpoint).To(gomega.BeEmpty())
}

// Guards against datagrams that can't be read, or name nothing known, and stop the receiver.
func TestGarbageDatagramsAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startDigestRouter(t, false, 0)
	invalid, dropped := datagramsInvalid.Get(), loadEntriesDropped.Get()
	r.notifier.handle(time.Now(), []byte{0xff, 0xff, 0xff})
	g.Expect(datagramsInvalid.Get()).To(gomega.Equal(invalid + 1))
	b, err := proto.Marshal(&messenger.Dispatched{Digest: &messenger.LoadDigest{Endpoints: []*messenger.EndpointLoad{{Endpoint: 1}, {Endpoint: 2}}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.notifier.handle(time.Now(), b)
	g.Expect(loadEntriesDropped.Get()).To(gomega.Equal(dropped + 2))
}

// Guards against digests that go to more than three routers of the zone and one of another, or
// always to the same ones.
func TestDigestsGoToRoutersInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startFleet(t)
	f.self.Address = "10.0.1.1:7000"
	members, zones := []*messenger.FleetMember{f.self}, map[string]string{}
	for i := 1; i < 82; i++ {
		m := &messenger.FleetMember{Address: "10.0.0." + strconv.Itoa(i) + ":7000", Zone: []string{"z", "b", "c"}[i%3]}
		zones[m.Address] = m.Zone
		members = append(members, m)
	}
	f.updatePeers(members)
	seen := map[netip.AddrPort]bool{}
	for round := range 400 {
		near, far := 0, 0
		for _, a := range f.digestTargets(time.Unix(1_000, 0).Add(time.Duration(round) * predictor.GossipInterval)) {
			seen[a] = true
			g.Expect(a.String()).NotTo(gomega.Equal(f.self.Address))
			if zones[a.String()] == "z" {
				near++
			} else {
				far++
			}
		}
		g.Expect(near).To(gomega.BeNumerically("<=", 3))
		g.Expect(far).To(gomega.Equal(1))
	}
	g.Expect(seen).To(gomega.HaveLen(81))
}
