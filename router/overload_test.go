package router_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
)

// TestOverloadReportsProvenOutcome sends fifty requests with a timeout of two
// seconds at once, through both routers, to a fleet that answers about three a
// second. It guards against refusals that ignore whether the request was
// dispatched ("not run" for one that ran), and against admission that ignores
// the remaining time (all answers late).
func TestOverloadReportsProvenOutcome(t *testing.T) {
	f := startFleet(t, launcher.Options{Net: 90, Zones: []string{"osu-hall"}})
	f.StartEndpoint("engine", "llm-1", "llm", "osu-hall", 1, "--capacity", "2", "--pace", "10ms")
	f.awaitService(func(r, id string) call { return f.model(r, id, 4) })
	for i := range 20 {
		_, _ = f.model(osu[i%2], fmt.Sprint("learn-", i), 20).Do(context.Background())
	}
	var mu sync.Mutex
	codes := map[string]int{}
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			c := f.model(osu[i%2], fmt.Sprint("flood-", i), 100)
			c.Timeout = 2 * time.Second
			_, err := c.Do(context.Background())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				codes["answered"]++
			case refusalOf(err) == nil:
				t.Errorf("flood-%d: %v", i, err)
			default:
				codes[refusalOf(err).Code+" "+refusalOf(err).Outcome]++
				if refusalOf(err).Code == "overloaded" && refusalOf(err).RetryAfter <= 0 {
					t.Errorf("flood-%d: overloaded without a time to come back", i)
				}
				if ran := f.runs("llm-1")[c.RequestID]; refusalOf(err).Outcome == "not_run" && ran > 0 {
					t.Errorf("flood-%d: %s says not run, ran %d times", i, refusalOf(err).Code, ran)
				}
			}
		})
	}
	wg.Wait()
	t.Log(codes)
	f.g.Expect(codes["answered"]).To(gomega.BeNumerically(">=", 2))
	f.g.Expect(codes["overloaded not_run"]).To(gomega.BeNumerically(">=", 25))
}
