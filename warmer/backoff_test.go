package warmer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/warmer"
)

// Guards against a backoff that is cut short by an outdated response or by a shorter
// Retry-After.
func TestBackoffEndsOnlyByALaterResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	x := &warmer.Gate{}
	g.Expect(x.ObserveBackoff(0, at(0), at(5))).To(gomega.BeFalse())
	g.Expect(x.ObserveBackoff(3*time.Second, at(10), at(20))).To(gomega.BeTrue())
	g.Expect(x.ObserveBackoff(0, at(15), at(30))).To(gomega.BeFalse())
	g.Expect(x.BackingOff(at(30))).To(gomega.BeTrue(), "sent before Retry-After was received")
	g.Expect(x.ObserveBackoff(time.Second, at(16), at(40))).To(gomega.BeFalse())
	g.Expect(x.BackingOff(at(3019))).To(gomega.BeTrue(), "a shorter Retry-After does not shorten the backoff")
	g.Expect(x.BackingOff(at(3020))).To(gomega.BeFalse())
	g.Expect(x.Restricted(at(3020))).To(gomega.BeTrue(), "no later response without Retry-After yet")
	x.ObserveBackoff(0, at(3030), at(3040))
	g.Expect(x.Restricted(at(3040))).To(gomega.BeFalse())
}

// Guards against a burst of requests to an endpoint when its Retry-After period ends, and
// against probes being reported as sent during that period.
func TestSheddingEndpointIsProbedAtIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	x := &warmer.Gate{}
	x.ObserveBackoff(time.Second, at(0), at(0))
	g.Expect(x.Admit(at(999))).To(gomega.BeFalse())
	g.Expect(x.OpensAt(at(400))).To(gomega.Equal(at(1000)))
	g.Expect(x.ProbeDue(at(1200))).To(gomega.Equal(200 * time.Millisecond))
	g.Expect(x.Admit(at(1200))).To(gomega.BeTrue())
	g.Expect(x.BackingOff(at(1200))).To(gomega.BeFalse())
	g.Expect(x.Admit(at(1600))).To(gomega.BeFalse())
	g.Expect(x.OpensAt(at(1600))).To(gomega.Equal(at(1700)))
	g.Expect(x.Admit(at(1700))).To(gomega.BeTrue(), "the previous probe has no response yet")
	x.ObserveBackoff(0, at(1200), at(1750))
	g.Expect(x.Admit(at(1750))).To(gomega.BeTrue(), "the endpoint stopped shedding load")
	g.Expect(x.Admit(at(1750))).To(gomega.BeTrue())
}
