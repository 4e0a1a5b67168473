package courier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/permitter"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/shaper"
	"rattanhoist.example/rattanhoist/warmer"
)

const permitSlots = 12

// permitRouter is a router with a socket, as far as permits need it.
type permitRouter struct {
	*fleetView
	endpoint *predictor.Endpoint
	// frozen is set while the router neither receives nor sends.
	frozen atomic.Bool
	cancel context.CancelFunc
}

// startPermitRouters returns routers of the given zones that know each other, and an endpoint of zone a
// that limits rejections.
func startPermitRouters(t testing.TB, zones ...string) []*permitRouter {
	var out []*permitRouter
	var members []warmer.Member
	for _, zone := range zones {
		r := newPermitRouter(t, zone)
		out, members = append(out, r), append(members, warmer.Member{Address: r.self.Address, Zone: zone})
	}
	for _, r := range out {
		r.permits.setMembers(members)
	}
	return out
}

func newPermitRouter(t testing.TB, zone string) *permitRouter {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	table := predictor.NewTable(zone)
	table.EnableLoadReports()
	table.EnablePermits()
	e := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e"}, Service: "s", Zone: "a", Slots: permitSlots})
	table.Replace(map[string][]*predictor.Endpoint{"s": {e}})
	e.Observe(predictor.State{RejectionLimit: warmer.RateLimit{Limited: true, PerSecond: 2}}, time.Now(), time.Now())
	f := &fleetView{self: &messenger.FleetMember{Address: c.LocalAddr().String(), Zone: zone}, startedAt: time.Now(), table: table}
	f.permits = newPermits(f, zap.NewNop())
	n := &dispatchNotifier{fleet: f, conn: c, admission: shaper.NewAdmission(0, &shaper.Lag{}), log: zap.NewNop()}
	f.notifier.Store(n)
	ctx, cancel := context.WithCancel(t.Context())
	r := &permitRouter{fleetView: f, endpoint: e, cancel: cancel}
	ended := make(chan struct{})
	go func() { r.receive(ctx, n); close(ended) }()
	go f.permits.run(ctx)
	t.Cleanup(func() { cancel(); _ = c.Close(); <-ended })
	return r
}

// receive handles datagrams, and drops those that arrive while the router is frozen.
func (r *permitRouter) receive(ctx context.Context, n *dispatchNotifier) {
	b := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := n.conn.ReadFromUDPAddrPort(b)
		if err == nil && !r.frozen.Load() {
			n.handle(time.Now(), b[:size])
		}
	}
}

// coordinates reports whether the router is the endpoint's coordinator.
func (r *permitRouter) coordinates() bool {
	address, _ := r.permits.coordinatorOf(time.Now(), r.endpoint)
	return address == r.self.Address
}

// slotCounter is an endpoint that counts its requests.
type slotCounter struct {
	mu       sync.Mutex
	running  int
	most     int
	granted  int
	rejected []time.Time
}

// begin takes a slot and returns the load.
func (s *slotCounter) begin() (running int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	if s.running == permitSlots {
		s.rejected = append(s.rejected, time.Now())
		return s.running, false
	}
	s.running++
	s.most = max(s.most, s.running)
	return s.running, true
}

func (s *slotCounter) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// maxRejected returns the largest number of rejections in a second.
func (s *slotCounter) maxRejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, last := range s.rejected {
		n := 0
		for _, at := range s.rejected[:i+1] {
			if last.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (s *slotCounter) grantedSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// send sends requests one after the other until ctx is done, each as soon as it gets a permit.
func (r *permitRouter) send(ctx context.Context, s *slotCounter) {
	for ctx.Err() == nil {
		if r.frozen.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		r.sendOne(ctx, s)
		time.Sleep(rand.N(20 * time.Millisecond))
	}
}

func (r *permitRouter) sendOne(ctx context.Context, s *slotCounter) {
	w := r.table.Choose(time.Now(), predictor.Request{Service: "s"})
	if w == nil {
		return
	}
	if !r.AcquirePermit(ctx, r.endpoint) {
		w.End()
		r.endpoint.RecordDenial(time.Now())
		return
	}
	defer r.ReleasePermit(r.endpoint)
	defer w.End()
	sentAt := time.Now()
	running, ok := s.begin()
	r.endpoint.Observe(predictor.State{
		RejectionLimit: warmer.RateLimit{Limited: true, PerSecond: 2}, Rejected: !ok, Load: &predictor.Load{Running: running, Slots: permitSlots},
	}, sentAt, time.Now())
	if !ok {
		return
	}
	defer s.end()
	time.Sleep(20*time.Millisecond + rand.N(100*time.Millisecond))
}

// Guards against more requests than an endpoint tolerates from routers that agree on a coordinator, and
// from routers whose coordinator stands still and goes on, is killed, or is another one for each of
// them as they know different routers; and against an endpoint that gets nothing meanwhile.
func TestPermitsWhileCoordinatorsFail(t *testing.T) {
	var zones []string
	for i := range 40 {
		zones = append(zones, string(rune('a'+i%4)))
	}
	for name, fail := range map[string]func(routers []*permitRouter, coordinator *permitRouter){
		"steady": func([]*permitRouter, *permitRouter) { time.Sleep(2 * time.Second) },
		"frozen": func(_ []*permitRouter, c *permitRouter) {
			c.frozen.Store(true)
			time.Sleep(1500 * time.Millisecond)
			c.frozen.Store(false)
			time.Sleep(2500 * time.Millisecond)
		},
		"killed": func(_ []*permitRouter, c *permitRouter) {
			c.frozen.Store(true)
			c.cancel()
			time.Sleep(3 * time.Second)
		},
		"two views": func(routers []*permitRouter, c *permitRouter) {
			all := c.permits.ranks.Load().members
			without := slices.DeleteFunc(slices.Clone(all), func(m warmer.Member) bool { return m.Address == c.self.Address })
			// Lists of one router and of another differ for the interval between two syncs with keepers.
			for _, members := range [][]warmer.Member{without, all} {
				for i, r := range routers {
					if i%2 == 0 {
						r.permits.setMembers(members)
					}
				}
				time.Sleep(maxSyncPaceFactor * syncInterval)
				for _, r := range routers {
					r.permits.setMembers(members)
				}
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, s := gomega.NewWithT(t), &slotCounter{}
			routers := startPermitRouters(t, zones...)
			var coordinator *permitRouter
			for _, r := range routers {
				if r.coordinates() {
					coordinator = r
				}
			}
			g.Expect(coordinator.self.Zone).To(gomega.Equal("a"), "of the endpoint's zone")
			ctx, cancel := context.WithCancel(t.Context())
			var senders sync.WaitGroup
			for _, r := range routers {
				senders.Go(func() { r.send(ctx, s) })
			}
			time.Sleep(permitter.HoldTTL + time.Second)
			before, begun := s.grantedSoFar(), time.Now()
			fail(routers, coordinator)
			perSecond := float64(s.grantedSoFar()-before) / time.Since(begun).Seconds()
			cancel()
			senders.Wait()
			t.Logf("at most %d requests at a time, %d rejections in a second, %.0f granted a second", s.most, s.maxRejected(), perSecond)
			g.Expect(s.maxRejected()).To(gomega.BeNumerically("<=", 2))
			// A request takes 70 ms on the mean.
			g.Expect(perSecond).To(gomega.BeNumerically(">=", 0.5*permitSlots/0.07), "half of what it can run")
		})
	}
}

// Guards against permits that are never given back: the messages on the end of requests are lost, or their router
// is killed.
func TestPermitsOfLostRoutersExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startPermitRouters(t, "a", "b")
	g.Expect(r[0].coordinates()).To(gomega.BeTrue())
	ask := func(r *permitRouter, load predictor.Load) bool {
		r.endpoint.ObserveLoad(time.Now(), load)
		w := r.table.Choose(time.Now(), predictor.Request{Service: "s"})
		granted := r.AcquirePermit(t.Context(), r.endpoint)
		if !granted {
			w.End()
		}
		return granted
	}
	g.Eventually(func() int {
		ask(r[1], predictor.Load{Slots: permitSlots})
		return r[1].endpoint.Running()
	}, 2*permitter.HoldTTL, 50*time.Millisecond).Should(gomega.Equal(permitter.Limit(permitSlots)))
	granted := func() bool { return ask(r[0], predictor.Load{Running: permitSlots / 2, Slots: permitSlots}) }
	g.Consistently(granted, permitter.HoldTTL+500*time.Millisecond, 50*time.Millisecond).Should(gomega.BeFalse(), "its requests are stated again")
	r[1].frozen.Store(true)
	r[1].cancel()
	g.Eventually(granted, permitter.HoldTTL+500*time.Millisecond, 50*time.Millisecond).Should(gomega.BeTrue())
}

// Guards against a request that waits for its whole time at a router that has lost its paths to all others,
// and against one that is sent on no knowledge of what the others send.
func TestPermitsWithoutAPathToOtherRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	var zones []string
	for range 20 {
		zones = append(zones, "a")
	}
	r := startPermitRouters(t, zones...)
	for _, x := range r[1:] {
		x.frozen.Store(true)
	}
	granted := 0
	for i := range 20 {
		r[0].table.Choose(time.Now(), predictor.Request{Service: "s"})
		begun := time.Now()
		if r[0].AcquirePermit(t.Context(), r[0].endpoint) {
			granted++
		}
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", maxCoordinators*permitTimeout+100*time.Millisecond), fmt.Sprint(i))
	}
	g.Expect(granted).To(gomega.BeNumerically("<=", 2), "a quarter of the slots without a load")
}

// Guards against memory that grows with the names of endpoints that a sender makes up, and against a coordinator
// that counts as answering because it sends statements of its own.
func TestStatementsOfUnknownEndpointsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startPermitRouters(t, "a", "b")
	now := time.Now()
	for i := range 1000 {
		r[0].permits.receive(now, &messenger.PermitMessage{From: r[1].self.Address, Zone: "b", Holds: []*messenger.EndpointHold{{Endpoint: fmt.Sprint(i), Requests: 1}}})
	}
	g.Expect(r[0].permits.coordinator.Endpoints()).To(gomega.BeZero())
	r[1].permits.recordSilence(now, r[0].self.Address)
	statement := &messenger.PermitMessage{From: r[0].self.Address, Zone: "a", Holds: []*messenger.EndpointHold{{Endpoint: r[0].endpoint.Name(), Requests: 1}}}
	r[1].permits.receive(now, statement)
	g.Expect(r[1].coordinates()).To(gomega.BeTrue(), "it has not answered")
	g.Expect(r[1].permits.coordinator.Endpoints()).To(gomega.Equal(1))
	r[1].permits.receive(now, &messenger.PermitMessage{From: r[0].self.Address, Zone: "a", Answer: &messenger.PermitAnswer{}})
	g.Expect(r[1].coordinates()).To(gomega.BeFalse())
}
