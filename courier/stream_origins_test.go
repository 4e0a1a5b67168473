package courier

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/resumer"
	"rattanhoist.example/rattanhoist/shaper"
)

// originRouter is a router with a socket, as far as origins of streams need it.
type originRouter struct {
	*streamOrigins
	notifier *dispatchNotifier
}

// startOriginRouters returns routers of the given zones that know each other.
func startOriginRouters(t testing.TB, zones ...string) []*originRouter {
	var out []*originRouter
	for i, zone := range zones {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		f := &fleetView{self: &messenger.FleetMember{Address: c.LocalAddr().String(), Zone: zone, Incarnation: uint64(i + 1)}, startedAt: time.Now()}
		f.origins = newStreamOrigins(f, zap.NewNop())
		n := &dispatchNotifier{fleet: f, conn: c, admission: shaper.NewAdmission(0, &shaper.Lag{}), log: zap.NewNop()}
		f.notifier.Store(n)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { n.receive(ctx); close(ended) }()
		t.Cleanup(func() { cancel(); _ = c.Close(); <-ended })
		out = append(out, &originRouter{f.origins, n})
	}
	introduce(out...)
	return out
}

// introduce lists routers to each other.
func introduce(routers ...*originRouter) {
	var list []*messenger.FleetMember
	for _, r := range routers {
		list = append(list, r.fleet.self)
	}
	for _, r := range routers {
		r.setRouters(list)
	}
}

func (r *originRouter) known() int {
	known, _ := r.counts()
	return known
}

func streamKey(n int) resumer.Key { return resumer.NewKey("w", "h", "/p", fmt.Sprint(n)) }

var streamOrigin = resumer.Origin{Service: "s", Version: "v1"}

// Guards against a stream that only the router knows that began it: two others keep its origin, and any
// router finds it there.
func TestOriginsAreFoundAtOtherRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a", "a", "b", "b", "c")
	r[0].Record(streamOrigin, time.Minute, streamKey(-1), streamKey(1))
	g.Eventually(func() int {
		sum := 0
		for _, x := range r {
			sum += x.known()
		}
		return sum
	}, time.Second, time.Millisecond).Should(gomega.Equal(6))
	for _, x := range r {
		begun := time.Now()
		o, err := x.Find(t.Context(), streamKey(1), 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(o).To(gomega.Equal(streamOrigin))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 80*time.Millisecond), "the first round finds it")
		_, err = x.Find(t.Context(), streamKey(2), 0)
		g.Expect(err).To(gomega.MatchError(resumer.ErrUnknown))
	}
}

// Guards against origins and answers that anybody sends: a datagram needs the proof of a listed router's
// incarnation, over its content and its receiver.
func TestDatagramsOfStrangersAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")
	k := streamKey(1)
	content, err := proto.Marshal(&messenger.StreamMessage{Origins: []*messenger.StreamOrigin{{Key: k[:], Service: "s", Version: "v1", RemainingMs: 60_000}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	self, other := r[0].fleet.self, r[1].fleet.self
	stranger := &messenger.FleetMember{Address: other.Address, Incarnation: other.Incarnation + 7}
	changed := append([]byte{}, content...)
	changed[len(changed)-1]++
	for name, p := range map[string]*messenger.ProvenStreamMessage{
		"no proof":            {From: other.Address, Content: content},
		"another incarnation": {From: other.Address, Content: content, Proof: messenger.SignDatagram(stranger, self.Address, content)},
		"unknown sender":      {From: "10.9.9.9:1", Content: content, Proof: messenger.SignDatagram(&messenger.FleetMember{Address: "10.9.9.9:1"}, self.Address, content)},
		"another receiver":    {From: other.Address, Content: content, Proof: messenger.SignDatagram(other, other.Address, content)},
		"other content":       {From: other.Address, Content: changed, Proof: messenger.SignDatagram(other, self.Address, content)},
		"empty":               {},
	} {
		r[0].receive(p, time.Now())
		g.Expect(r[0].known()).To(gomega.BeZero(), name)
	}
	r[0].receive(&messenger.ProvenStreamMessage{From: other.Address, Content: content, Proof: messenger.SignDatagram(other, self.Address, content)}, time.Now())
	g.Expect(r[0].known()).To(gomega.Equal(1))
}

// Guards against origins that are lost because their router has just started, so that keepers have not
// listed its incarnation yet, and against memory that strangers fill meanwhile.
func TestEarlyDatagramsWaitForTheirSender(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")
	self, other := r[0].fleet.self, r[1].fleet.self
	restarted := &messenger.FleetMember{Address: other.Address, Zone: "a", Incarnation: 77}
	k := streamKey(1)
	content, err := proto.Marshal(&messenger.StreamMessage{Origins: []*messenger.StreamOrigin{{Key: k[:], Service: "s", Version: "v1", RemainingMs: 60_000}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	early := &messenger.ProvenStreamMessage{From: other.Address, Content: content, Proof: messenger.SignDatagram(restarted, self.Address, content)}
	r[0].receive(early, time.Now())
	g.Expect(r[0].known()).To(gomega.BeZero())
	g.Expect(r[0].fleet.listSoon.Load()).To(gomega.BeTrue(), "the list of routers is asked for")
	r[0].setRouters([]*messenger.FleetMember{self, restarted})
	g.Expect(r[0].known()).To(gomega.Equal(1))

	for i := range 10_000 {
		r[0].receive(&messenger.ProvenStreamMessage{From: fmt.Sprint("stranger", i), Content: content}, time.Now())
	}
	r[0].mu.Lock()
	defer r[0].mu.Unlock()
	g.Expect(len(r[0].members.early)).To(gomega.BeNumerically("<=", maxEarly))
}

// Guards against a router that is no longer listed, since it lost its paths to keepers, and whose
// streams nobody accepts any more.
func TestUnlistedRoutersAreStillBelieved(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")
	r[0].setRouters([]*messenger.FleetMember{r[0].fleet.self})
	r[1].Record(streamOrigin, time.Minute, streamKey(-1), streamKey(1))
	g.Eventually(r[0].known, time.Second, time.Millisecond).Should(gomega.Equal(2))
	var m streamMembers
	now := time.Unix(1000, 0)
	m.update(now, []resumer.Member{{Address: "x", Incarnation: 1}})
	m.update(now.Add(memberTTL+time.Second), nil)
	_, ok := m.incarnationOf("x")
	g.Expect(ok).To(gomega.BeFalse(), "but not for ever")
}

// Guards against streams that are lost when routers stop in turn: one that stops hands over what it
// keeps, also for routers that have ended.
func TestStoppingRouterHandsOverOrigins(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a", "b", "b")
	for i := 1; i <= 50; i++ {
		r[0].Record(streamOrigin, time.Minute, streamKey(-i), streamKey(i))
	}
	g.Eventually(func() int { return r[1].known() + r[2].known() + r[3].known() }, time.Second, time.Millisecond).Should(gomega.Equal(200))
	// The first router is gone, and the second one stops.
	introduce(r[1], r[2], r[3])
	r[1].handOver()
	introduce(r[2], r[3])
	for i := 1; i <= 50; i++ {
		g.Eventually(func() error {
			_, err := r[2+i%2].Find(t.Context(), streamKey(i), 0)
			return err
		}, time.Second, time.Millisecond).Should(gomega.Succeed())
	}
}

// Guards against a search that waits for routers that are silent, and against more searches at a time
// than a router can bear.
func TestSearchesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a")
	_, err := r[0].Find(t.Context(), streamKey(1), 0)
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnreachable), "a router that knows no other one can't tell")
	r[0].setRouters([]*messenger.FleetMember{r[0].fleet.self, {Address: "127.0.0.1:9", Zone: "a", Incarnation: 5}})
	begun := time.Now()
	results := make(chan error, maxSearches+100)
	for i := range cap(results) {
		go func() {
			_, err := r[0].Find(context.Background(), streamKey(i), 0)
			results <- err
		}()
	}
	for range cap(results) {
		g.Expect(<-results).To(gomega.MatchError(resumer.ErrUnreachable))
	}
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
}

// Guards against messages that routers of earlier versions can't receive, whatever the length of names.
func TestMessagesOnStreamsFitOneDatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")
	var entries []resumer.Entry
	for i := range 200 {
		entries = append(entries, resumer.Entry{Key: streamKey(i), Origin: resumer.Origin{Service: "a-service-of-some-length", Version: enroller.NewVersion(fmt.Sprintf("%0100d", i))}, Remaining: time.Minute})
	}
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	g.Expect(c.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
	r[0].sendAll([]resumer.Send{{To: resumer.Member{Address: c.LocalAddr().String()}, Entries: entries}})
	b := make([]byte, 4096)
	for got := 0; got < len(entries); {
		n, err := c.Read(b)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.BeNumerically("<=", 512))
		d, m := &messenger.Dispatched{}, &messenger.StreamMessage{}
		g.Expect(proto.Unmarshal(b[:n], d)).To(gomega.Succeed())
		g.Expect(proto.Unmarshal(d.Stream.Content, m)).To(gomega.Succeed())
		got += len(m.Origins)
	}
}

// BenchmarkRecord measures what a stream's origin adds before its first event, with as many other
// routers as in a small and in a large fleet.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{5, 339} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := startOriginRouters(b, "z0")[0]
			list := []*messenger.FleetMember{r.fleet.self}
			for i := range n {
				list = append(list, &messenger.FleetMember{Address: fmt.Sprintf("127.0.%d.%d:9", i/250, 1+i%250), Zone: fmt.Sprint("z", i%5), Incarnation: 1})
			}
			r.setRouters(list)
			i := 0
			for b.Loop() {
				i++
				r.Record(streamOrigin, time.Minute, streamKey(-i), streamKey(i))
			}
		})
	}
}

// Guards against a router that takes a stream for the only one of its content although the routers that knew
// another one ended shortly before it started; and against one that forgets what it has kept when others
// end later.
func TestRouterKnowsForHowLongItHasKeptOrigins(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")
	now := time.Now()
	kept := func() time.Duration {
		r[0].mu.Lock()
		defer r[0].mu.Unlock()
		return r[0].keptLocked(now).Round(time.Second)
	}
	r[0].Record(streamOrigin, time.Minute, streamKey(1), streamKey(2))
	_, err := r[0].Find(t.Context(), streamKey(1), time.Minute)
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnknown), "no keeper has told yet")
	_, err = r[0].Find(t.Context(), streamKey(2), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r[0].recordRoutersKept(now, time.Hour)
	g.Expect(kept()).To(gomega.Equal(time.Hour))
	_, err = r[0].Find(t.Context(), streamKey(1), time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r[0].recordRoutersKept(now, 3*time.Second)
	g.Expect(kept()).To(gomega.Equal(3*time.Second), "one ended before its start")
	r[0].startedAt = now.Add(-time.Minute)
	r[0].recordRoutersKept(now, time.Second)
	g.Expect(kept()).To(gomega.Equal(3*time.Second), "one ended long after its start")
}

// Guards against a stream that goes on at the version of another one of the same content: its router was cut off
// from the others when they began it.
func TestOwnOriginOfAContentIsConfirmedByOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a", "a")
	for _, x := range r {
		x.recordRoutersKept(time.Now(), time.Hour)
	}
	content, later := streamKey(-1), resumer.Origin{Service: "s", Version: "v2"}
	r[0].Record(streamOrigin, time.Minute, content, streamKey(1))
	g.Eventually(func() int { return r[1].known() + r[2].known() }, time.Second, time.Millisecond).Should(gomega.Equal(4))
	o, err := r[0].Find(t.Context(), content, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(o).To(gomega.Equal(streamOrigin))
	introduce(r[1], r[2])
	r[1].Record(later, time.Minute, content, streamKey(2))
	introduce(r...)
	o, err = r[0].Find(t.Context(), content, time.Minute)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(o.Version).To(gomega.BeEmpty(), "two streams have this content")
	for _, x := range r[1:] {
		_ = x.notifier.conn.Close()
	}
	_, err = r[0].Find(t.Context(), content, time.Minute)
	g.Expect(err).To(gomega.MatchError(resumer.ErrUnreachable))
	o, err = r[0].Find(t.Context(), streamKey(1), 0)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "an attempt's name is that of one stream")
	g.Expect(o).To(gomega.Equal(streamOrigin))
}

// Guards against a router that believes to know all streams of a content although it stood still, or was cut
// off, when others began.
func TestRouterThatWasOutOfStepHasNotKeptAllOrigins(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startOriginRouters(t, "a", "a")[0]
	now := time.Now()
	kept := func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.keptLocked(now).Round(time.Second)
	}
	r.recordRoutersKept(now, time.Hour)
	r.tickedAt = rattanhoist.MomentOf(now)
	g.Expect(kept()).To(gomega.Equal(time.Hour))
	now = now.Add(3 * time.Second)
	g.Expect(kept()).To(gomega.BeZero(), "it stood still")
	r.tickedAt = rattanhoist.MomentOf(now).Add(-time.Millisecond)
	g.Expect(kept()).To(gomega.BeNumerically(">=", time.Hour))
	r.tickedAt = rattanhoist.NewMoment(rattanhoist.MomentOf(now).Monotonic(), rattanhoist.MomentOf(now).Wall()-3*time.Second)
	g.Expect(kept()).To(gomega.BeZero(), "its VM was suspended")
	r.tickedAt = rattanhoist.MomentOf(now)
	r.recordReceived(now.Add(-500 * time.Millisecond))
	r.contactLost(now, 2*time.Second)
	g.Expect(kept()).To(gomega.BeNumerically(">=", time.Hour), "other routers were heard; keepers alone were away")
	r.recordReceived(now.Add(-3 * time.Second))
	r.contactLost(now, 2*time.Second)
	g.Expect(kept()).To(gomega.BeZero())
}
