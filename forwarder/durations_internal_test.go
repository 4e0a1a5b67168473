package forwarder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// lognormal returns a duration around a median.
func lognormal(r *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*r.NormFloat64()))
}

// Guards against requests that outlast their stopping router although others of their route took as long: where
// durations vary by half, and after all endpoints have become four times as slow, at most one in ten lasts longer than
// is usual.
func TestUsualDurationCoversRequestsOfVariedLength(t *testing.T) {
	for seed := range uint64(20) {
		g, r := gomega.NewWithT(t), rand.New(rand.NewPCG(seed, 1))
		d, longer, n := newDurations(), 0, 0
		for _, median := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			for i := range 400 {
				x := lognormal(r, median, 0.5)
				// The first requests after a change show it.
				if mean, usual, ok := d.usual("r"); ok && i >= 20 {
					n++
					if x > usual {
						longer++
					}
					g.Expect(usual).To(gomega.BeNumerically("<", 8*median))
					g.Expect(mean).To(gomega.And(gomega.BeNumerically(">", median/2), gomega.BeNumerically("<", usual)))
				}
				d.record("r", x)
			}
		}
		g.Expect(float64(longer)/float64(n)).To(gomega.BeNumerically("<", 0.1), "seed %d", seed)
	}
}

// Guards against a route whose durations are taken from another, and against memory for routes without end.
func TestDurationsAreKeptByRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	d := newDurations()
	_, _, ok := d.usual("a")
	g.Expect(ok).To(gomega.BeFalse())
	d.record("a", time.Second)
	d.record("b", time.Minute)
	mean, longest, ok := d.usual("a")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect([]time.Duration{mean, longest}).To(gomega.HaveEach(time.Second))
	for i := range 3 * maxRecordedRoutes {
		d.record(fmt.Sprint(i), time.Second)
	}
	g.Expect(len(d.routes)).To(gomega.BeNumerically("<=", maxRecordedRoutes))
}
