package ejector_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/ejector"
)

func failures(s ejector.State, now time.Duration, n int) ejector.State {
	for range n {
		s = s.Step(now, ejector.Failed, 0)
	}
	return s
}

func TestThreeFailuresInARowEject(t *testing.T) {
	g := gomega.NewWithT(t)
	s := failures(ejector.State{}, time.Second, 2).Step(time.Second, ejector.Succeeded, 0)
	g.Expect(failures(s, time.Second, 2).BlockedUntil()).To(gomega.BeZero(), "a success between counts")
	g.Expect(failures(s, time.Second, 3).BlockedUntil()).To(gomega.Equal(2 * time.Second))
}

func TestFailedProbesWaitLongerUpToABound(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Second
	s := failures(ejector.State{}, now, 3)
	var waits []time.Duration
	for range 7 {
		waits = append(waits, s.BlockedUntil()-now)
		now = s.BlockedUntil()
		s = s.Step(now, ejector.Dispatched, 0).Step(now, ejector.Failed, 0)
	}
	g.Expect(waits).To(gomega.Equal([]time.Duration{1e9, 2e9, 4e9, 8e9, 16e9, 30e9, 30e9}))
	g.Expect(s.Step(now, ejector.Succeeded, 0)).To(gomega.Equal(ejector.State{}))
}

// Symptom: an endpoint that recovered gets no work for ever.
// Sequence: its probe is dispatched; the router loses it and no end is noted.
// Cause: one probe at a time, and this one never ends.
func TestLostProbeIsFollowedByAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	var x ejector.Gate
	for range 3 {
		x.Step(time.Second, ejector.Failed, 0)
	}
	g.Expect(x.Blocked(1500 * time.Millisecond)).To(gomega.BeTrue())
	g.Expect(x.Blocked(2 * time.Second)).To(gomega.BeFalse())
	x.Step(2*time.Second, ejector.Dispatched, 0)
	g.Expect(x.Blocked(3 * time.Second)).To(gomega.BeTrue())
	g.Expect(x.Blocked(12 * time.Second)).To(gomega.BeFalse())
}

func TestRandomSpreadsProbes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := failures(ejector.State{}, 0, 2)
	g.Expect(s.Step(0, ejector.Failed, 0.9).BlockedUntil()).To(gomega.BeNumerically(">", s.Step(0, ejector.Failed, 0.1).BlockedUntil()))
}
