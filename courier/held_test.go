package courier

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/quarantiner"
)

func content(n uint64) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{Workspace: "w", Sum: n}
}

func crash(request uint64, endpoint int) quarantiner.Crash {
	return quarantiner.Crash{Request: content(request), Endpoint: enroller.Incarnation{ID: fmt.Sprint("e", endpoint)}, At: time.Now().Add(time.Duration(endpoint) * time.Second)}
}

// told returns the requests that the next question would tell of.
func told(q *quarantine) (out []uint64, t telling) {
	r := &messenger.SyncRequest{}
	t = q.ask(r)
	for _, c := range r.Crashes {
		out = append(out, c.Request.Sum)
	}
	return out, t
}

// Symptom: a harmless request is taken for one that ends endpoints.
// Sequence: endpoints reset connections under it and live on.
// Cause: a connection that breaks off taken for an endpoint that ended.
func TestOnlyEndpointsThatListenNoMoreHaveEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	alive, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer alive.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(gone.Close()).To(gomega.Succeed())
	q := newQuarantine(zap.NewNop())
	for n, l := range []net.Listener{alive, gone} {
		e := predictor.NewEndpoint(enroller.Beat{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", n)}, Address: l.Addr().String()})
		q.BrokenOff(e, content(uint64(10+n)), time.Second)
		q.BrokenOff(e, content(uint64(20+n)), time.Second)
	}
	g.Eventually(func() []uint64 { out, _ := told(q); return out }, 2*time.Second).Should(gomega.ConsistOf(uint64(11), uint64(21)))
	g.Consistently(func() []uint64 { out, _ := told(q); return out }, 200*time.Millisecond).Should(gomega.HaveLen(2))
}

// Symptom: a page that everybody asks for is refused for an hour.
// Sequence: all copies of a service go down at once while it is asked for.
// Cause: ends counted though endpoints had answered the same request all the time.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop())
	q.Answered(content(1))
	for e := range 5 {
		q.crashed([]quarantiner.Crash{crash(1, e), crash(uint64(100+e), e)})
	}
	list, _ := told(q)
	g.Expect(list).To(gomega.Equal([]uint64{100, 101, 102, 103, 104}))
	q.step(time.Now().Add(time.Second))
	g.Expect(q.Held(content(1))).To(gomega.BeZero())
}

// Symptom: after a restart of all keepers a request that ended two endpoints ends three
// more before it is held back.
// Sequence: routers tell of the ends; all keepers start again and have them in memory no
// more.
// Cause: what had been told once was never told again.
func TestKeepersThatStartedAgainAreToldAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop())
	q.tellEnded(now, now.Add(-time.Minute), telling{})
	q.crashed([]quarantiner.Crash{crash(1, 1), crash(2, 1)})
	list, upTo := told(q)
	g.Expect(list).To(gomega.HaveLen(2))
	again, _ := told(q)
	g.Expect(again).To(gomega.HaveLen(2), "nobody has answered")
	q.tellEnded(now.Add(time.Second), now.Add(-time.Minute), upTo)
	list, upTo = told(q)
	g.Expect(list).To(gomega.BeEmpty())
	q.tellEnded(now.Add(3*time.Second), now.Add(2*time.Second), upTo)
	list, _ = told(q)
	g.Expect(list).To(gomega.HaveLen(2), "this keeper has started since")
}

// Symptom: a router that no keeper answers sends the same request to one endpoint
// after the other.
// Sequence: it is cut off; a caller comes back with a request that ends endpoints.
// Cause: only keepers decide.
func TestRouterAloneHoldsBackWhatItSaw(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop())
	for e := range 3 {
		q.crashed([]quarantiner.Crash{crash(1, e), crash(uint64(100+e), e)})
	}
	q.step(time.Now())
	g.Expect(q.Held(content(1))).To(gomega.BeZero(), "others may still break off there")
	q.step(time.Now().Add(time.Second))
	g.Expect(q.Held(content(1))).To(gomega.BeNumerically(">", 30*time.Second))
	g.Expect(q.Held(content(100))).To(gomega.BeZero())
	q.learn(time.Now(), []*messenger.QuarantineTold{{Request: content(1).Content(), Number: 4, LeftMs: 3_600_000}})
	g.Expect(q.Held(content(1))).To(gomega.BeNumerically(">", 30*time.Minute))
	r := &messenger.SyncRequest{}
	q.ask(r)
	g.Expect(r.Quarantine).To(gomega.Equal(uint64(4)))
	q.step(time.Now().Add(2 * time.Hour))
	g.Expect(q.held.Load().until).To(gomega.BeEmpty(), "ended ones take no memory")
}

// Symptom: a harmless request is refused for an hour.
// Sequence: it is held back by bad luck while one like it is under way, which is answered
// whole.
// Cause: nobody tells the keepers.
func TestHeldBackRequestThatIsAnsweredIsToldAndLetGo(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	q := newQuarantine(zap.NewNop())
	q.learn(now, []*messenger.QuarantineTold{{Request: content(1).Content(), Number: 1, LeftMs: 3_600_000}})
	q.Answered(content(2))
	q.Answered(content(1))
	q.Answered(content(1))
	r := &messenger.SyncRequest{}
	told := q.ask(r)
	g.Expect(r.Answered).To(gomega.HaveLen(1))
	g.Expect(r.Answered[0].Sum).To(gomega.Equal(uint64(1)))
	g.Expect(q.Held(content(1))).NotTo(gomega.BeZero(), "keepers decide")
	q.tellEnded(now, now.Add(-time.Hour), told)
	r = &messenger.SyncRequest{}
	q.ask(r)
	g.Expect(r.Answered).To(gomega.BeEmpty())
	q.learn(now, []*messenger.QuarantineTold{{Request: content(1).Content(), Number: 2}, {Request: content(3).Content(), Number: 3}})
	g.Expect(q.Held(content(1))).To(gomega.BeZero())
	g.Expect(q.held.Load().newest).To(gomega.Equal(uint64(3)))
}

// A flood of ends, with no keeper in reach, takes a bounded amount of memory.
func TestCrashesThatNoKeeperTakesAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQuarantine(zap.NewNop())
	for n := range 3_000 {
		q.crashed([]quarantiner.Crash{crash(uint64(n), n)})
	}
	g.Expect(q.recent).To(gomega.HaveLen(recentMost))
	list, upTo := told(q)
	g.Expect(list).To(gomega.HaveLen(toldAtOnce))
	g.Expect(list[0]).To(gomega.Equal(uint64(3_000 - recentMost)))
	q.tellEnded(time.Now(), time.Now().Add(-time.Hour), upTo)
	q.tellEnded(time.Now(), time.Now().Add(-time.Hour), upTo)
	list, _ = told(q)
	g.Expect(list[0]).To(gomega.Equal(uint64(3_000 - recentMost + toldAtOnce)))
}
