package predictor_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/predictor"
)

// versions returns a table of n endpoints, the first of version v1 and all others of v2.
func versions(n, first int) (*predictor.Table, []*predictor.Endpoint) {
	list := endpoints("a", n)
	for i, e := range list {
		e.SetVersion("v2")
		if i < first {
			e.SetVersion("v1")
		}
	}
	return table(list...), list
}

func askVersion(v enroller.Version) predictor.Request {
	a := ask(800, predictor.Part{ID: "p", Tokens: 5_000})
	a.Version = v
	return a
}

// Guards against a stream that is refused, or goes on at another version, while one of the last two
// endpoints of its version is full, ejected, slow or leaving.
func TestLastEndpointsOfAVersionAreChosen(t *testing.T) {
	for name, disturb := range map[string]func(e *predictor.Endpoint){
		"full": func(e *predictor.Endpoint) {
			e.ObserveLoad(start, predictor.Load{Running: 64, Waiting: 20, Slots: 64})
		},
		"ejected": func(e *predictor.Endpoint) {
			for range 10 {
				e.Gate().Step(0, ejector.Dispatched, 0)
				e.Gate().Step(0, ejector.Failed, 0)
			}
		},
		"slow":    func(e *predictor.Endpoint) { e.ObserveLoad(start, predictor.Load{Running: 1, Slots: 64, Slowdown: 20}) },
		"leaving": func(e *predictor.Endpoint) { e.Exclude() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x, list := versions(12, 2)
			disturb(list[0])
			for range 50 {
				w := x.Choose(start, askVersion("v1"))
				g.Expect(w).NotTo(gomega.BeNil())
				g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(list[1]))
				w.End()
			}
		})
	}
}

// Guards against requests of one version whose room, or time to come back, is that of endpoints of
// other versions.
func TestCapacityIsThatOfTheVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	x, list := versions(4, 2)
	for i, e := range list {
		e.ObserveLoad(start, predictor.Load{Running: []int{64, 60, 0, 0}[i], Slots: 64})
	}
	g.Expect(x.Capacity(start, askVersion("v1"))).To(gomega.Equal(predictor.Capacity{Known: true, Room: 4, Slots: 128}))
	g.Expect(x.Capacity(start, askVersion("v2"))).To(gomega.Equal(predictor.Capacity{Known: true, Room: 128, Slots: 128}))
	g.Expect(x.Capacity(start, askVersion("")).Slots).To(gomega.Equal(256))
	g.Expect(x.Capacity(start, askVersion("v3")).Known).To(gomega.BeFalse())
	list[0].Observe(predictor.State{RetryAfter: time.Second}, start, start)
	list[1].Observe(predictor.State{RetryAfter: 2 * time.Second}, start, start)
	g.Expect(x.RetryAfter(start, askVersion("v1"))).To(gomega.BeNumerically(">=", time.Second))
	g.Expect(x.RetryAfter(start, askVersion("v2"))).To(gomega.BeZero())
}

// Guards against an endpoint that is chosen for its earlier version, and against a version that counts
// as served while all its endpoints leave.
func TestChoiceFollowsAChangedVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	x, list := versions(3, 1)
	g.Expect(x.Serves(askVersion("v1"))).To(gomega.BeTrue())
	list[0].SetVersion("v2")
	x.Replace(map[string][]*predictor.Endpoint{"llm": list})
	g.Expect(x.Choose(start, askVersion("v1"))).To(gomega.BeNil())
	g.Expect(x.Serves(askVersion("v1"))).To(gomega.BeFalse())
	for _, e := range list {
		g.Expect(x.Serves(askVersion("v2"))).To(gomega.BeTrue())
		e.Exclude()
	}
	g.Expect(x.Serves(askVersion("v2"))).To(gomega.BeFalse())
}
