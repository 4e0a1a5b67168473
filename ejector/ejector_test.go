package ejector_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/ejector"
)

func TestEjector(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "ejector", c)
}

func failures(s ejector.State, now time.Duration, n int) ejector.State {
	for range n {
		s = s.Step(now, ejector.Failed, 0)
	}
	return s
}

var _ = ginkgo.It("ejects after three failures in a row", func() {
	s := failures(ejector.State{}, time.Second, 2).Step(time.Second, ejector.Succeeded, 0)
	gomega.Expect(failures(s, time.Second, 2).BlockedUntil()).To(gomega.BeZero(), "a success resets the count")
	gomega.Expect(failures(s, time.Second, 3).BlockedUntil()).To(gomega.Equal(2 * time.Second))
})

var _ = ginkgo.It("doubles the ejection time after each failed probe, up to a maximum", func() {
	now := time.Second
	s := failures(ejector.State{}, now, 3)
	var waits []time.Duration
	for range 7 {
		waits = append(waits, s.BlockedUntil()-now)
		now = s.BlockedUntil()
		s = s.Step(now, ejector.Dispatched, 0).Step(now, ejector.Failed, 0)
	}
	gomega.Expect(waits).To(gomega.Equal([]time.Duration{1e9, 2e9, 4e9, 8e9, 16e9, 30e9, 30e9}))
	gomega.Expect(s.Step(now, ejector.Succeeded, 0)).To(gomega.Equal(ejector.State{}))
})

// Guards against keeping a recovered endpoint ejected forever: only one probe is
// sent at a time, and the end of a probe that the router loses is never recorded.
var _ = ginkgo.It("sends another probe after a lost one", func() {
	var x ejector.Gate
	for range 3 {
		x.Step(time.Second, ejector.Failed, 0)
	}
	gomega.Expect(x.Blocked(1500 * time.Millisecond)).To(gomega.BeTrue())
	gomega.Expect(x.Blocked(2 * time.Second)).To(gomega.BeFalse())
	x.Step(2*time.Second, ejector.Dispatched, 0)
	gomega.Expect(x.Blocked(3 * time.Second)).To(gomega.BeTrue())
	gomega.Expect(x.Blocked(12 * time.Second)).To(gomega.BeFalse())
})

var _ = ginkgo.It("spreads probes at random", func() {
	s := failures(ejector.State{}, 0, 2)
	gomega.Expect(s.Step(0, ejector.Failed, 0.9).BlockedUntil()).To(gomega.BeNumerically(">", s.Step(0, ejector.Failed, 0.1).BlockedUntil()))
})

// Guards against ejecting a sound endpoint that accepts no connections for a moment: the attempts of
// one second must not count as several failures.
var _ = ginkgo.It("ejects after time-outs only if they last", func() {
	var s ejector.State
	for now := time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		s = s.Step(now, ejector.TimedOut, 0)
	}
	gomega.Expect(s.BlockedUntil()).To(gomega.BeZero())
	gomega.Expect(s.Step(3*time.Second, ejector.Succeeded, 0)).To(gomega.Equal(ejector.State{}))
	for range 3 {
		s = s.Step(3*time.Second, ejector.TimedOut, 0)
	}
	gomega.Expect(s.BlockedUntil()).To(gomega.BeNumerically(">", 3*time.Second))
})
