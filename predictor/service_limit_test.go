package predictor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/warmer"
)

// limitedState returns a response that states a limit on rejections.
func limitedState(perSecond float64) State {
	return State{RejectionLimit: warmer.RateLimit{Limited: true, PerSecond: perSecond}}
}

// Guards against routers that treat an endpoint as one without a limit on rejections because only
// other endpoints of its service have reported theirs to them: one that has just started again, or one
// that they have sent nothing to.
func TestLimitOfOneEndpointAppliesToItsService(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 2, "a"), time.Unix(1_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	e, other := x.Endpoints("llm")[0], x.Endpoints("llm")[1]
	other.Observe(State{}, at(0), at(1))
	e.Observe(limitedState(2), at(2), at(3))
	g.Expect(other.RejectionLimit(at(4))).To(gomega.Equal(warmer.RateLimit{Limited: true, PerSecond: 2}))
	again := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a-1", BornMS: 2}, Service: "llm", Zone: "a", Slots: 48})
	plain := NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "b-1"}, Service: "api", Zone: "a", Slots: 6})
	x.Replace(map[string][]*Endpoint{"llm": {e, other, again}, "api": {plain}})
	g.Expect(again.RejectionLimit(at(5)).Limited).To(gomega.BeTrue(), "started again")
	g.Expect(plain.RejectionLimit(at(5)).Limited).To(gomega.BeFalse(), "another service")

	other.Observe(State{}, at(10), at(11))
	g.Expect(other.RejectionLimit(at(12)).Limited).To(gomega.BeFalse(), "it says that it has none any more")
	g.Expect(again.RejectionLimit(at(12)).Limited).To(gomega.BeTrue())
	g.Expect(again.RejectionLimit(at(3).Add(serviceLimitTTL)).Limited).To(gomega.BeFalse(), "nothing has been reported for so long")
}

// Guards against the same in a router that has heard from no endpoint, and against a report that
// routers pass on to each other for ever.
func TestLimitIsToldToOtherRoutersOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	first, second, third := reportingTable("a", 1, "a"), reportingTable("b", 1, "a"), reportingTable("c", 1, "a")
	first.Endpoints("llm")[0].Observe(limitedState(2), at(0), at(1))
	d := first.Digest(at(100), testDigestBytes)
	g.Expect(second.ApplyDigest(at(101), d).Used).To(gomega.Equal(1))
	g.Expect(second.Endpoints("llm")[0].RejectionLimit(at(102))).To(gomega.Equal(warmer.RateLimit{Limited: true, PerSecond: 2}))
	g.Expect(second.Digest(at(103), testDigestBytes)).To(gomega.BeNil())
	g.Expect(second.Endpoints("llm")[0].RejectionLimit(at(2).Add(serviceLimitTTL)).Limited).To(gomega.BeFalse(), "its age counts")
	invalid := &messenger.LoadDigest{Limits: []*messenger.ServiceLimit{
		{Service: hashName("llm"), PerSecond: -1}, {Service: hashName("llm"), PerSecond: 2, AgeMs: -1}, {Service: hashName("unknown"), PerSecond: 2},
	}}
	g.Expect(third.ApplyDigest(at(0), invalid)).To(gomega.Equal(DigestResult{Dropped: 3}))
	g.Expect(third.Endpoints("llm")[0].RejectionLimit(at(1)).Limited).To(gomega.BeFalse())
}
