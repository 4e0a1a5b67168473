package predictor_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/predictor"
)

// Guards against reported loads that are decoded but not applied. Endpoints that share
// their machines with other work are slowed down at times.
func TestReportedLoadIsAvoidedWhileItIsFresh(t *testing.T) {
	for name, load := range map[string]predictor.Load{
		"slots taken":    {Running: 64, Slots: 64},
		"machine slowed": {Slots: 64, Slowdown: 2.5},
	} {
		g := gomega.NewWithT(t)
		list := endpoints("a", 2)
		x := table(list...)
		list[0].Observe(predictor.State{Load: &load}, start, start)
		for range 50 {
			w := x.Choose(start, ask(2_000))
			g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(list[1]), name)
			w.ObserveFirstByte(start)
			w.End()
		}
		later, chosen := start.Add(time.Second), map[*predictor.Endpoint]int{}
		for range 50 {
			w := x.Choose(later, ask(2_000))
			chosen[w.Endpoint()]++
			w.End()
		}
		g.Expect(chosen).To(gomega.HaveLen(2), name+": an old report no longer counts")
	}
}
