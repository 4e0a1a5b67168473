package predictor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/warmer"
)

// Guards against requests that fill an endpoint which limits rejections, or that are sent to it
// although requests wait there or it has just rejected one; and against leaving it alone while it has
// room.
func TestFullEndpointThatLimitsRejectionsIsSpared(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 2, "a"), time.Unix(1_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	e, other := x.Endpoints("llm")[0], x.Endpoints("llm")[1]
	plain := Request{Service: "llm"}
	chosen := func(ms int) *Endpoint {
		w := x.Choose(at(ms), plain)
		if w == nil {
			return nil
		}
		w.endAt(at(ms))
		return w.Endpoint()
	}
	limit := State{RejectionLimit: warmer.RateLimit{Limited: true, PerSecond: 10}}
	other.Exclude()
	e.Observe(limit, at(0), at(1))
	e.ObserveLoad(at(1), Load{Running: 35, Slots: 48})
	g.Expect(chosen(2)).To(gomega.BeIdenticalTo(e), "it has room")
	g.Expect(x.Capacity(at(2), plain).Room).To(gomega.Equal(1))
	e.ObserveLoad(at(3), Load{Running: 36, Slots: 48})
	g.Expect(chosen(4)).To(gomega.BeNil(), "a quarter of its slots is left free")
	e.ObserveLoad(at(5), Load{Running: 20, Waiting: 1, Slots: 48})
	g.Expect(chosen(6)).To(gomega.BeNil(), "requests wait there")
	e.ObserveLoad(at(7), Load{Running: 20, Slots: 48})
	e.Observe(State{RejectionLimit: limit.RejectionLimit, Rejected: true}, at(8), at(9))
	g.Expect(chosen(10)).To(gomega.BeNil(), "it rejected a request")
	e.ObserveLoad(at(1008), Load{Running: 20, Slots: 48})
	g.Expect(chosen(1010)).To(gomega.BeIdenticalTo(e))
	e.ObserveLoad(at(1011), Load{Running: 48, Slots: 48})
	e.Warmup().SetRejectionShare(at(1011), warmer.Share{Rate: 1, Burst: 1}, at(5000))
	g.Expect(chosen(1012)).To(gomega.BeIdenticalTo(e), "this router's share of the rejections")
	g.Expect(chosen(1013)).To(gomega.BeNil())
	e.Observe(State{}, at(1020), at(1021))
	g.Expect(chosen(1022)).To(gomega.BeIdenticalTo(e), "the limit has ended")
}

// Guards against routers that each fill the slots which the last report of an endpoint showed as free.
func TestUnreportedRequestsOfOtherRoutersAreAssumed(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	e := x.Endpoints("llm")[0]
	e.Observe(State{RejectionLimit: warmer.RateLimit{Limited: true, PerSecond: 10}}, now, now)
	e.ObserveLoad(now, Load{Running: 0, Slots: 48})
	sent := 0
	for x.Choose(now.Add(time.Millisecond), Request{Service: "llm", Routers: 6}) != nil {
		sent++
	}
	g.Expect(sent).To(gomega.Equal(6), "six routers fill three quarters of 48 slots")
}

// Guards against requests to an endpoint that limits rejections, by a choice that counts free slots on its own
// where permits decide, and against an endpoint that is asked for again at once after a denial or a
// rejection.
func TestPermitsReplaceTheReservedSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := NewTable("a"), time.Unix(1_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	x.EnableLoadReports()
	x.EnablePermits()
	e := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e"}, Service: "llm", Zone: "a", Slots: 12})
	unknown := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "no slots"}, Service: "other", Zone: "a"})
	x.Replace(map[string][]*Endpoint{"llm": {e}, "other": {unknown}})
	choose := func(ms int) bool {
		w := x.Choose(at(ms), Request{Service: "llm", Routers: 58})
		if w != nil {
			w.endAt(at(ms))
		}
		return w != nil
	}
	g.Expect(e.NeedsPermit(at(0))).To(gomega.BeFalse())
	g.Expect(x.AllNeedPermits(at(0), "llm")).To(gomega.BeFalse())
	e.Observe(limitedState(2), at(1), at(2))
	unknown.Observe(limitedState(2), at(1), at(2))
	g.Expect(e.NeedsPermit(at(3))).To(gomega.BeTrue())
	g.Expect(unknown.NeedsPermit(at(3))).To(gomega.BeFalse(), "nobody knows how many it has room for")
	g.Expect(x.AllNeedPermits(at(3), "llm")).To(gomega.BeTrue())
	e.ObserveLoad(at(4), Load{Running: 10, Slots: 12})
	g.Expect(choose(5)).To(gomega.BeTrue(), "a permit decides")
	g.Expect(x.Capacity(at(5), Request{Service: "llm"}).Room).To(gomega.BeZero(), "two slots are left free")
	e.RecordDenial(at(6))
	g.Expect(choose(7)).To(gomega.BeFalse())
	g.Expect(choose(27)).To(gomega.BeTrue())
	e.Observe(State{RejectionLimit: limitedState(2).RejectionLimit, Rejected: true}, at(28), at(29))
	g.Expect(choose(1_000)).To(gomega.BeFalse())
	g.Expect(choose(1_030)).To(gomega.BeTrue())
	w := x.Choose(at(1_031), Request{Service: "llm"})
	g.Expect(w.Belief().Reason()).To(gomega.Equal("load_unknown"))
	w.Permitted()
	g.Expect(w.Belief().Reason()).To(gomega.Equal("permitted"))
}
