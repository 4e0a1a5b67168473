package reporter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/reporter"
)

func TestReporter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "reporter", c)
}

var _ = ginkgo.It("merges the stripes of a histogram", func() {
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
	gomega.Expect(s.Count).To(gomega.BeEquivalentTo(1001))
	gomega.Expect(s.P50).To(gomega.BeNumerically("~", 500_000, 10_000))
	gomega.Expect(s.P99).To(gomega.BeNumerically("~", 990_000, 20_000))
	gomega.Expect(s.Max).To(gomega.BeNumerically("~", time.Hour.Microseconds(), 1e8))
})
