package warmer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/warmer"
)

// Guards against routers that each send what might be rejected before they know their share, or that
// go on with an expired one, and against a limit that an outdated response removes.
func TestRejectionShareIsNeededAtRisk(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	x := &warmer.Gate{}
	limit := warmer.RateLimit{Limited: true, PerSecond: 6}
	g.Expect(x.ObserveRejectionLimit(warmer.RateLimit{}, at(0), at(1))).To(gomega.BeFalse())
	g.Expect(x.ObserveRejectionLimit(limit, at(1), at(2))).To(gomega.BeTrue())
	g.Expect(x.LimitsRejections()).To(gomega.BeTrue())
	g.Expect(x.AdmitRisk(at(3))).To(gomega.BeFalse())
	x.SetRejectionShare(at(4), warmer.Share{Rate: 2, Burst: 1}, at(1000))
	g.Expect(x.AdmitRisk(at(5))).To(gomega.BeTrue())
	g.Expect(x.AdmitRisk(at(6))).To(gomega.BeFalse())
	g.Expect(x.AdmitRisk(at(510))).To(gomega.BeTrue())
	g.Expect(x.RiskOpen(at(1001))).To(gomega.BeFalse(), "expired")
	g.Expect(x.Open(at(1001))).To(gomega.BeTrue(), "what is not at risk may be sent")
	g.Expect(x.ObserveRejectionLimit(warmer.RateLimit{}, at(1), at(1002))).To(gomega.BeFalse())
	g.Expect(x.ObserveRejectionLimit(warmer.RateLimit{}, at(1001), at(1003))).To(gomega.BeTrue())
	g.Expect(x.LimitsRejections()).To(gomega.BeFalse())
}

// Guards against shares of the rejections that add up to more than an endpoint tolerates, even while
// routers disagree on the owners.
func TestRejectionSharesStayWithinTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{0, 1, 2, 5, 10, 40} {
		owners, s := warmer.Limit{PerSecond: rate, Overshoot: 1, Window: time.Second}.Split()
		g.Expect(2*float64(owners)*(s.Burst+s.Rate)).To(gomega.BeNumerically("<=", rate+1e-9), "%g", rate)
	}
}
