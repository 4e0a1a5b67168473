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

// askedIn returns how many routers one router asks in a partition of a given duration.
func askedIn(peers int, partition time.Duration) int {
	s, start, asked := allotter.NewLoanSearches(0), time.Unix(1000, 0), 0
	zone, others := addresses("a", peers/3), addresses("b", peers-peers/3)
	for now := start; now.Before(start.Add(partition)); now = now.Add(10 * time.Millisecond) {
		if s.Delay(now) > 0 {
			continue
		}
		list := s.Lenders(now, zone, others)
		for _, a := range list {
			s.LentNothing(now, a)
		}
		asked += len(list)
		s.Ended(now, len(list))
	}
	return asked
}

// All routers are partitioned from the keepers for 30 s. Guards against searches that fill links of 10 Mbit/s: 100 requests a second from each router, and
// one search begun, whatever the number of routers.
func TestPartitionedFleetsSearchAtAConstantRate(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, peers := range []int{5, 81, 984} {
		g.Expect(askedIn(peers, 30*time.Second)).To(gomega.BeNumerically("<=", 30*100+allotter.MaxLendersAsked), "%d peers", peers)
	}
}

// Six routers are partitioned from the keepers, and the limits of each rise all the time. Guards
// against requests that are refused between two searches while another router has tokens to lend.
func TestSmallFleetSearchesWithoutLongPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := allotter.NewLoanSearches(0), time.Unix(1000, 0)
	for range 20 {
		list := s.Lenders(now, addresses("a", 1), addresses("b", 4))
		g.Expect(list).To(gomega.HaveLen(5), "a router that lent nothing is asked again")
		for _, a := range list {
			s.LentNothing(now, a)
		}
		s.Ended(now, len(list))
		d := s.Delay(now)
		g.Expect(d).To(gomega.BeNumerically("<=", 125*time.Millisecond))
		now = now.Add(d)
	}
}

// Guards against a router that doesn't search soon after a partition has ended.
func TestSearchPauseEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := allotter.NewLoanSearches(0), time.Unix(1000, 0)
	s.Ended(now, 32)
	g.Expect(s.Delay(now)).To(gomega.Equal(320 * time.Millisecond))
	s.Reset(now)
	g.Expect(s.Delay(now)).To(gomega.BeNumerically("<=", 100*time.Millisecond))
}

// Guards against searches that ask the same routers without tokens again, and ask other zones
// while routers of the zone were not asked.
func TestLendersWithoutTokensAreAskedLast(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := allotter.NewLoanSearches(5), time.Unix(1000, 0)
	zone, others := addresses("a", 40), addresses("b", 40)
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
