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

// limiterOf returns a limiter before one endpoint of a capacity.
func limiterOf(capacity int64) (*limiter, *picker.Set) {
	now := time.Now()
	s, _ := admitter.New(admitter.Deadline)
	e := rattanhoist.NewEndpoint(rattanhoist.EndpointFields{Name: "e", Service: "llm", Capacity: capacity, Heard: now})
	set := picker.NewLedger(now).NewSet("llm", "z", time.Hour, now, []*rattanhoist.Endpoint{e})
	return &limiter{
		base: now, retries: admitter.NewRetries(),
		queue: admitter.NewQueue(admitter.DefaultBounds, s), callers: map[uint64]chan admitter.Action{},
	}, set
}

func waiter(workspace string, id int, left time.Duration) *request {
	return &request{
		key: rattanhoist.NewRequestKey(workspace, fmt.Sprint(id)), deadline: time.Now().Add(left),
		service: &messenger.Service{Name: "llm"},
	}
}

// Symptom: a request waits for ever though places are free, or more run at
// once than the room allows.
// Sequence: a hundred requests come at once, some of their callers leave
// while they wait, the others end one after the other.
// Cause: a place that is given to a caller that has left, or an end that
// comes between the look at the room and the wait.
func TestLimiterGivesEveryPlaceOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l, set := limiterOf(4)
		room := int64(set.Room(time.Now()))
		var inside, most, served, left atomic.Int64
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7+1)*time.Second)
				defer cancel()
				if !l.enter(set, time.Now(), true) {
					if err := l.wait(ctx, waiter(fmt.Sprint(i%3), i, time.Hour), set, picker.Estimate{}); err != nil {
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
				l.leave(set)
			})
		}
		wg.Wait()
		g.Expect(most.Load()).To(gomega.BeNumerically("<=", room))
		g.Expect(served.Load() + left.Load()).To(gomega.Equal(int64(100)))
		g.Expect(left.Load()).To(gomega.BeNumerically(">", 0))
		g.Expect(l.inFlight.Load()).To(gomega.BeZero())
		g.Expect(l.waiting.Load()).To(gomega.BeZero())
		g.Expect(l.callers).To(gomega.BeEmpty())
	})
}

// Symptom: a caller hears at its deadline that its request never began.
// Sequence: the only place is taken; the time left falls below what an answer
// takes.
// Cause: the wait ends only with the deadline.
func TestLimiterRefusesAsSoonAsDeadlineIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l, set := limiterOf(1)
		g.Expect(l.enter(set, time.Now(), true)).To(gomega.BeTrue())
		began := time.Now()
		err := l.wait(context.Background(), waiter("w", 1, 10*time.Second), set, picker.Estimate{Service: 4 * time.Second, Least: 3 * time.Second})
		g.Expect(problemOf(err).Code).To(gomega.Equal(CodeOverloaded))
		g.Expect(problemOf(err).Outcome).To(gomega.Equal(NotRun))
		g.Expect(problemOf(err).After).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("~", 7*time.Second, 2*recheck))
	})
}
