package recorder_test

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/recorder"
)

func TestRecorder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "recorder", c)
}

var _ = ginkgo.It("explains in order and by workspace", func() {
	r := recorder.New(64)
	at := time.Unix(1, 0)
	a, b := rattanhoist.NewRequestKey("a", "1"), rattanhoist.NewRequestKey("b", "1")
	r.Record(a, recorder.Decision{At: at.Add(2), Kind: recorder.Billed, Tokens: 7})
	r.Record(a, recorder.Decision{At: at, Kind: recorder.Admitted})
	r.Record(b, recorder.Decision{At: at.Add(1), Kind: recorder.Refused, Code: "budget_spent"})
	var kinds []recorder.Kind
	for _, e := range r.Explain("", "1") {
		kinds = append(kinds, e.Decision.Kind)
	}
	gomega.Expect(kinds).To(gomega.Equal([]recorder.Kind{recorder.Admitted, recorder.Refused, recorder.Billed}))
	gomega.Expect(r.Explain("b", "1")).To(gomega.HaveLen(1))
	gomega.Expect(r.Explain("", "2")).To(gomega.BeEmpty())
})

// Guards against unbounded memory growth: decisions were kept without a limit,
// so memory grew with the number of requests served and with endless retries
// under one request ID.
var _ = ginkgo.It("bounds its memory", func() {
	const requests, sent = 64, 10_000
	r := recorder.New(requests)
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := w; i < sent; i += 4 {
				r.Record(rattanhoist.NewRequestKey("w", fmt.Sprint(i)), recorder.Decision{Kind: recorder.Admitted})
				r.Record(rattanhoist.NewRequestKey("w", "again"), recorder.Decision{Kind: recorder.Retried})
			}
		})
	}
	wg.Wait()
	kept := 0
	for i := range sent {
		kept += len(r.Explain("w", fmt.Sprint(i)))
	}
	gomega.Expect(kept).To(gomega.BeNumerically("<=", requests))
	gomega.Expect(kept).To(gomega.BeNumerically(">", requests/2))
	last := rattanhoist.NewRequestKey("w", "last")
	for i := range 100 {
		r.Record(last, recorder.Decision{At: time.Unix(int64(i), 0), Tokens: rattanhoist.Tokens(i)})
	}
	trail := r.Explain("", "last")
	gomega.Expect(len(trail)).To(gomega.BeNumerically("<=", 32))
	gomega.Expect(trail[0].Decision.Tokens).To(gomega.BeEquivalentTo(0))
	gomega.Expect(trail[len(trail)-1].Decision.Tokens).To(gomega.BeEquivalentTo(99))
})

func BenchmarkRecord(b *testing.B) {
	r := recorder.New(4096)
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			k := rattanhoist.NewRequestKey("w", strconv.FormatInt(n.Add(1), 10))
			for _, kind := range []recorder.Kind{recorder.Admitted, recorder.Reserved, recorder.Picked, recorder.Dispatched, recorder.Billed, recorder.Answered} {
				r.Record(k, recorder.Decision{Kind: kind, Endpoint: "e"})
			}
		}
	})
}
