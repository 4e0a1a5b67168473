package router_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
)

// TestDrainCompletesOpenStreams guards against a listener or gRPC server that is
// closed, or a run that is cancelled, before the last answer is complete, and
// against refusals that are lost with the listener. A router with 300 open
// streams, about half of them of requests whose home is its sibling, is
// terminated; a new request must be refused with a reason while the streams go
// on.
func TestDrainCompletesOpenStreams(t *testing.T) {
	const streams = 300
	f := startFleet(t, launcher.Options{Net: 70, Zones: []string{"osu-hall"}})
	for n := 1; n <= 2; n++ {
		f.StartEndpoint("engine", fmt.Sprintf("llm-%d", n), "llm", "osu-hall", n, "--capacity", "200", "--pace", "4ms")
	}
	f.awaitService(func(router, id string) call { return f.model(router, id, 4) })
	var begun, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			c := f.model("osu-hall-1", fmt.Sprintf("stream-%d", i), 160)
			begun.Add(1)
			if _, err := c.Do(context.Background()); err != nil {
				failed.Add(1)
				t.Error(c.RequestID, err)
			}
		})
	}
	f.Eventually("streams run", func() bool { return len(f.runs("llm-1", "llm-2")) >= streams })
	stopped := make(chan error, 1)
	go func() { stopped <- f.Terminate("osu-hall-1") }()
	f.Eventually("healthz turns 503", func() bool { return status("http://"+f.http("osu-hall-1")+"/healthz") == http.StatusServiceUnavailable })
	before := time.Now()
	_, err := f.model("osu-hall-1", "late", 8).Do(context.Background())
	f.g.Expect(refusalOf(err)).NotTo(gomega.BeNil(), "%v", err)
	f.g.Expect(refusalOf(err).Code).To(gomega.Equal("draining"))
	f.g.Expect(refusalOf(err).Outcome).To(gomega.Equal("not_run"))
	f.g.Expect(time.Since(before)).To(gomega.BeNumerically("<", time.Second))
	_, err = f.model("osu-hall-2", "late", 8).Do(context.Background())
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	wg.Wait()
	f.g.Expect(failed.Load()).To(gomega.BeZero())
	f.g.Expect(<-stopped).To(gomega.Succeed())
	for id, n := range f.runs("llm-1", "llm-2") {
		f.g.Expect(n).To(gomega.Equal(1), id)
	}
}

// status returns the status of a GET request, or 0 if it fails.
func status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
