package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/picker"
)

// newTestLimiter returns a limiter and a candidate set of one endpoint with the
// given capacity.
func newTestLimiter(capacity int64) (*limiter, *picker.Set) {
	now := time.Now()
	s, _ := admitter.New(admitter.Deadline)
	e := rattanhoist.NewEndpoint(rattanhoist.EndpointFields{Name: "e", Service: "llm", Capacity: capacity, AnnouncedAt: now})
	set := picker.NewLedger(now).NewSet("llm", "z", time.Hour, now, []*rattanhoist.Endpoint{e})
	return &limiter{
		epoch: now, retries: admitter.NewRetries(),
		queue: admitter.NewQueue(admitter.DefaultBounds, s), waiters: map[uint64]chan admitter.Action{},
	}, set
}

// waitingRequest returns a request with the given time left until its deadline.
func waitingRequest(workspace string, id int, left time.Duration) *request {
	return &request{
		key: rattanhoist.NewRequestKey(workspace, fmt.Sprint(id)), deadline: time.Now().Add(left),
		service: &messenger.Service{Name: "llm"},
	}
}

// Guards against leaked slots, which leave requests waiting while capacity is
// free, and against more requests in flight than the capacity. Either happens
// if a slot is given to a caller that has left, or if a request ends between
// another one's capacity check and its wait. A hundred requests arrive at once;
// some callers give up while they wait.
func TestLimiterReusesReleasedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l, set := newTestLimiter(4)
		room := int64(set.FreeCapacity(time.Now()))
		var inside, most, served, left atomic.Int64
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7+1)*time.Second)
				defer cancel()
				if !l.tryAdmit(set, time.Now(), true) {
					if err := l.awaitVerdict(ctx, waitingRequest(fmt.Sprint(i%3), i, time.Hour), set, picker.Estimate{}); err != nil {
						var p *Problem
						if !errors.As(err, &p) || p.Outcome != NotRun {
							t.Errorf("want a refusal that says not run, got %v", err)
						}
						left.Add(1)
						return
					}
				}
				if n := inside.Add(1); n > most.Load() {
					most.Store(n)
				}
				time.Sleep(300 * time.Millisecond)
				inside.Add(-1)
				served.Add(1)
				l.release(set)
			})
		}
		wg.Wait()
		g.Expect(most.Load()).To(gomega.BeNumerically("<=", room))
		g.Expect(served.Load() + left.Load()).To(gomega.Equal(int64(100)))
		g.Expect(left.Load()).To(gomega.BeNumerically(">", 0))
		g.Expect(l.inFlight.Load()).To(gomega.BeZero())
		g.Expect(l.waiting.Load()).To(gomega.BeZero())
		g.Expect(l.waiters).To(gomega.BeEmpty())
	})
}

// Guards against a wait that ends only at the deadline. The only slot is taken;
// the request must be refused as soon as the time left is shorter than the
// shortest time in which an answer can be produced.
func TestLimiterRefusesOnceDeadlineCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l, set := newTestLimiter(1)
		g.Expect(l.tryAdmit(set, time.Now(), true)).To(gomega.BeTrue())
		began := time.Now()
		err := l.awaitVerdict(context.Background(), waitingRequest("w", 1, 10*time.Second), set, picker.Estimate{Service: 4 * time.Second, MinService: 3 * time.Second})
		g.Expect(problemFromError(err).Code).To(gomega.Equal(CodeOverloaded))
		g.Expect(problemFromError(err).Outcome).To(gomega.Equal(NotRun))
		g.Expect(problemFromError(err).After).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("~", 7*time.Second, 2*admissionPollInterval))
	})
}
