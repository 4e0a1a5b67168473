package allotter_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
)

func addresses(zone string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(zone, i))
	}
	return out
}

// 82 routers in three zones are partitioned from all keepers for 30 s, and none has tokens to
// lend. Guards against searches that fill links of 10 Mbit/s. Searches start at 0, 0.5, 1.5, 3.5
// and 7.5 s and then every 4 s: at most 4 in each 4 s, and from 3.5 s on 16 requests in each 4 s,
// which are 4 a second from each router and 328 a second from the fleet.
func TestPartitionedFleetSearchesSeldom(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, step = 82, 50 * time.Millisecond
	zone, others := addresses("a", 27), addresses("b", 54)
	start := time.Unix(1000, 0)
	first, later := 0, 0
	for i := range routers {
		s := allotter.NewLoanSearches(i)
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
			if d, _ := s.Delay(now); d > 0 {
				continue
			}
			asked := s.Lenders(now, zone, others)
			g.Expect(len(asked)).To(gomega.BeNumerically("<=", 16))
			for _, a := range asked {
				s.LentNothing(now, a)
			}
			s.Ended(now, false)
			if now.Before(start.Add(4 * time.Second)) {
				first += len(asked)
			} else {
				later += len(asked)
			}
		}
	}
	g.Expect(first).To(gomega.BeNumerically("<=", routers*16*4))
	g.Expect(later).To(gomega.BeNumerically(">", 0))
	g.Expect(float64(later)/26).To(gomega.BeNumerically("<=", 1.1*328), "requests a second, with the last search begun")
}

// A partitioned fleet in which each search obtains a little. Guards against one search for each
// request: a search every 0.1 s asks at most 160 routers a second.
func TestSmallLoansAreSearchedInBulk(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now, asked := allotter.NewLoanSearches(0), time.Unix(1000, 0), 0
	for range 1000 {
		if d, _ := s.Delay(now); d == 0 {
			asked += len(s.Lenders(now, addresses("a", 40), nil))
			s.Ended(now, true)
		}
		now = now.Add(time.Millisecond)
	}
	g.Expect(asked).To(gomega.BeNumerically("<=", 160))
}

// Guards against a router that doesn't search after a partition has ended, or after a loan that
// arrived late, because earlier searches were in vain.
func TestSearchBackoffEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := allotter.NewLoanSearches(0), time.Unix(1000, 0)
	for _, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		s.Ended(now, false)
		d, fruitless := s.Delay(now)
		g.Expect(d).To(gomega.Equal(want))
		g.Expect(fruitless).To(gomega.BeTrue())
	}
	s.Reset(now)
	d, fruitless := s.Delay(now)
	g.Expect(d).To(gomega.BeNumerically("<=", 100*time.Millisecond))
	g.Expect(fruitless).To(gomega.BeFalse())
	s.Ended(now, false)
	d, _ = s.Delay(now)
	g.Expect(d).To(gomega.Equal(500*time.Millisecond), "it starts at the shortest backoff again")
	s.Lent(now, "a1")
	d, _ = s.Delay(now)
	g.Expect(d).To(gomega.BeNumerically("<=", 100*time.Millisecond))
}

// Guards against searches that ask the same routers without tokens again, and ask other zones
// while routers of the zone were not asked.
func TestLendersWithoutTokensAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := allotter.NewLoanSearches(5), time.Unix(1000, 0)
	zone, others := addresses("a", 20), addresses("b", 20)
	first := s.Lenders(now, zone, others)
	g.Expect(first).To(gomega.HaveLen(allotter.MaxLendersAsked))
	for _, a := range first {
		g.Expect(zone).To(gomega.ContainElement(a))
		s.LentNothing(now, a)
	}
	second := s.Lenders(now.Add(time.Second), zone, others)
	g.Expect(second).To(gomega.HaveLen(allotter.MaxLendersAsked))
	g.Expect(slices.ContainsFunc(second, func(a string) bool { return slices.Contains(first, a) })).To(gomega.BeFalse())
	for _, a := range zone {
		g.Expect(append(first, second...)).To(gomega.ContainElement(a))
	}
	third := s.Lenders(now.Add(2*time.Second), zone, others)
	g.Expect(zone).To(gomega.ContainElements(third), "after 2 s they are asked again")
	g.Expect(s.Lenders(now, nil, nil)).To(gomega.BeEmpty())
}
