package forwarder

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/quarantiner"
)

// Guards against callers that lose the place they were promised, and against ones that come back too
// early or too late and take one.
func TestReturningCallersAreKnownByTheirTime(t *testing.T) {
	g := gomega.NewWithT(t)
	r, now := newReturns(), time.Unix(1000, 0)
	f := quarantiner.Fingerprint{Workspace: "w", Sum: 1}
	other := quarantiner.Fingerprint{Workspace: "v", Sum: 1}
	at := now.Add(time.Second)
	r.Record(now, f, at)
	g.Expect(r.Take(at.Add(-time.Millisecond), f)).To(gomega.BeFalse(), "too early")
	g.Expect(r.Take(at, other)).To(gomega.BeFalse(), "another workspace")
	g.Expect(r.Take(at, f)).To(gomega.BeTrue())
	g.Expect(r.Take(at, f)).To(gomega.BeFalse(), "a place is given once")
	r.Record(now, f, at)
	g.Expect(r.Take(at.Add(returnGrace), f)).To(gomega.BeTrue(), "up to 2 s later")
	r.Record(now, f, at)
	g.Expect(r.Take(at.Add(returnGrace+time.Millisecond), f)).To(gomega.BeFalse(), "too late")
	g.Expect(r.Len()).To(gomega.BeZero())
}

// Guards against a router that treats callers of another one as known: the list is its own.
func TestSecondRouterTreatsReturningCallerAsNew(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second, now := newReturns(), newReturns(), time.Unix(1000, 0)
	f := quarantiner.Fingerprint{Workspace: "w", Sum: 1}
	first.Record(now, f, now)
	g.Expect(second.Take(now, f)).To(gomega.BeFalse())
	g.Expect(first.Take(now, f)).To(gomega.BeTrue())
}

// Guards against a list of refused callers that grows without bound.
func TestReturningCallersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r, now := newReturns(), time.Unix(1000, 0)
	for i := range uint64(2 * maxReturns) {
		r.Record(now, quarantiner.Fingerprint{Sum: i}, now.Add(time.Duration(i)*time.Millisecond))
	}
	g.Expect(r.Len()).To(gomega.Equal(maxReturns))
	g.Expect(r.entries).To(gomega.HaveLen(maxReturns))
	later := now.Add(time.Hour)
	r.Record(later, quarantiner.Fingerprint{Sum: 1}, later)
	g.Expect(r.Len()).To(gomega.Equal(1), "expired entries are evicted")
}
