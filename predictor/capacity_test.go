package predictor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against requests that this router counts twice, or not at all, beside a reported load: the
// load is the newest observation of at most a second and what was sent since and has not ended.
func TestLoadIsTheReportAndWhatWasSentSince(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 1, "a"), time.Unix(1_000, 0)
	e, a := x.Endpoints("llm")[0], sharing("p")
	free := func(ms int) Capacity { return x.Capacity(now.Add(time.Duration(ms)*time.Millisecond), a) }
	before := x.Choose(now, a)
	g.Expect(free(1)).To(gomega.Equal(Capacity{Slots: 48}), "no observation")
	e.applyObservation(now.Add(10*time.Millisecond), observation{load: Load{Running: 40}, at: now.Add(5 * time.Millisecond)})
	g.Expect(free(20)).To(gomega.Equal(Capacity{Known: true, Room: 8, Slots: 48}))
	var since []*Assignment
	for range 3 {
		since = append(since, x.Choose(now.Add(30*time.Millisecond), a))
	}
	g.Expect(free(40).Room).To(gomega.Equal(5))
	since[0].End()
	g.Expect(free(50).Room).To(gomega.Equal(6))
	before.End()
	g.Expect(free(60).Room).To(gomega.Equal(6), "it was part of the observation")
	e.ObserveLoad(now.Add(70*time.Millisecond), Load{Running: 42, Waiting: 1, Slots: 48})
	g.Expect(free(80).Room).To(gomega.Equal(5))
	g.Expect(free(1_069).Known).To(gomega.BeTrue())
	g.Expect(free(1_071)).To(gomega.Equal(Capacity{Slots: 48}))
	since[1].End()
	since[2].End()
	g.Expect(e.dispatched).To(gomega.BeEmpty())
}

// Guards against requests that go to an endpoint that another router knows to be full.
func TestChoiceFollowsReportsOfOtherRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	x, y, now := reportingTable("a", 2, "a"), reportingTable("a", 2, "a"), time.Unix(1_000, 0)
	x.Endpoints("llm")[0].ObserveLoad(now, Load{Running: 48, Slots: 48})
	y.ApplyDigest(now, x.Digest(now, testDigestBytes))
	later := now.Add(900 * time.Millisecond)
	for range 20 {
		w := y.Choose(later, Request{Service: "llm", Prompt: &Prompt{InputTokens: 500}})
		g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(y.Endpoints("llm")[1]))
		w.End()
	}
}

// Guards against a request that examines all endpoints of a large service: those that find no room
// share one examination in 50 ms.
func TestCapacityOfALargeServiceIsCached(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := reportingTable("a", 400, "a"), time.Unix(1_000, 0)
	list, a := x.Endpoints("llm"), sharing("p")
	for _, e := range list {
		e.ObserveLoad(now, Load{Running: 48, Slots: 48})
	}
	full := Capacity{Known: true, Slots: 400 * 48}
	g.Expect(x.Capacity(now, a)).To(gomega.Equal(full))
	list[0].ObserveLoad(now, Load{Running: 47, Slots: 48})
	g.Expect(x.Capacity(now.Add(time.Millisecond), a).Slots).To(gomega.BeNumerically("<=", 400*48))
	g.Expect(x.Capacity(now.Add(50*time.Millisecond), a).Room).To(gomega.Equal(1))
	x.Endpoints("llm")[1].reportedAt = now.Add(-time.Hour)
	g.Expect(x.Capacity(now.Add(100*time.Millisecond), a).Known).To(gomega.BeFalse())
}
