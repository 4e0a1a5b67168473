package reporter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/reporter"
)

func TestHistogramMergesItsStripes(t *testing.T) {
	g := gomega.NewWithT(t)
	h := reporter.NewHistogram()
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := w; i < 1000; i += 4 {
				h.Observe(time.Duration(i+1) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	h.Observe(100 * time.Hour)
	s := h.Summary()
	g.Expect(s.Count).To(gomega.BeEquivalentTo(1001))
	g.Expect(s.P50).To(gomega.BeNumerically("~", 500_000, 10_000))
	g.Expect(s.P99).To(gomega.BeNumerically("~", 990_000, 20_000))
	g.Expect(s.Max).To(gomega.BeNumerically("~", time.Hour.Microseconds(), 1e8))
}
