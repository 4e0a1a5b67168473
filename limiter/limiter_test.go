package limiter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/limiter"
)

// Guards against routers that exceed the retry budget together. Every request fails, and
// six routers retry as often as they may: in no window of 10 s may the sum of their retries
// exceed a fifth of the requests plus 52.
func TestRetriesOfTheFleetStayWithinTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, ratio, slack = 6, 0.2, 52.0
	start := time.Unix(1000, 0)
	var all []*limiter.Limiter
	for range routers {
		all = append(all, limiter.New(limiter.Budget{Ratio: ratio, Slack: slack, Window: 10 * time.Second}, start))
	}
	var requests, repeats [40]float64
	for s := range 40 {
		for n := range 20 {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(n)*50*time.Millisecond)
			for _, l := range all {
				l.RecordRequest(now, "s")
				requests[s]++
				if l.AllowRetry(now, "s", routers) {
					repeats[s]++
				}
			}
		}
	}
	var sum float64
	for s := 10; s < 40; s++ {
		var q, r float64
		for i := s - 10; i < s; i++ {
			q, r = q+requests[i], r+repeats[i]
		}
		g.Expect(r).To(gomega.BeNumerically("<=", ratio*q+slack))
		sum += r
	}
	g.Expect(sum).To(gomega.BeNumerically(">", 0))
}

// Retries of one service must not use up the budget of another one.
func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	l := limiter.New(limiter.Budget{Ratio: 0, Slack: 2, Window: time.Second}, now)
	g.Expect(l.AllowRetry(now, "a", 1)).To(gomega.BeTrue())
	g.Expect(l.AllowRetry(now, "a", 1)).To(gomega.BeFalse())
	g.Expect(l.AllowRetry(now, "b", 1)).To(gomega.BeTrue())
	g.Expect(l.AllowRetry(now.Add(2*time.Second), "a", 1)).To(gomega.BeTrue())
}
