package pathfinder_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pathfinder"
)

func peers(zones ...string) []pathfinder.Peer {
	var out []pathfinder.Peer
	for i, z := range zones {
		out = append(out, pathfinder.Peer{Address: fmt.Sprint(z, i), Zone: z})
	}
	return out
}

func addresses(list []pathfinder.Peer) []string {
	var out []string
	for _, p := range list {
		out = append(out, p.Address)
	}
	return out
}

// Guards against asking routers that can't help again and again, and against sending bytes through
// other zones without need.
func TestRelaysAreAskedInOrder(t *testing.T) {
	g, r := gomega.NewWithT(t), pathfinder.NewRelays()
	all := peers("c", "b", "a", "c")
	g.Expect(addresses(r.Choose(0, all, "a", "b"))[:2]).To(gomega.Equal([]string{"a2", "b1"}), "the own zone, then that of the endpoint")
	r.Failed(time.Second, "a2")
	r.Connected(time.Second, "c0")
	g.Expect(addresses(r.Choose(1100*ms, all, "a", "b"))).To(gomega.Equal([]string{"c0", "b1", "c3"}))
	r.Refer("a2")
	g.Expect(addresses(r.Choose(1200*ms, all, "a", "b"))[:2]).To(gomega.Equal([]string{"c0", "a2"}), "named by another router")
	r.Failed(1300*ms, "c0")
	g.Expect(addresses(r.Choose(1400*ms, all, "a", "b"))).NotTo(gomega.ContainElement("c0"))
	g.Expect(addresses(r.Choose(3400*ms, all, "a", "b"))).To(gomega.ContainElement("a2"), "asked again after a while")
}

// Guards against a router that has just started and gets no help for seconds, because relays that did not
// know it yet are not asked again.
func TestRelayThatDidNotKnowARouterIsAskedAgainSoon(t *testing.T) {
	g, r := gomega.NewWithT(t), pathfinder.NewRelays()
	r.Unrecognized(time.Second, "a0")
	g.Expect(r.Choose(1100*ms, peers("a"), "a", "a")).To(gomega.BeEmpty())
	g.Expect(r.Choose(1200*ms, peers("a"), "a", "a")).To(gomega.HaveLen(1))
}

// Guards against a flood of searches by a router for which nobody has a path.
func TestFailedSearchesAreLimited(t *testing.T) {
	g, r := gomega.NewWithT(t), pathfinder.NewRelays()
	searches := 0
	for now := time.Duration(0); now < 10*time.Second; now += ms {
		if len(r.Choose(now, peers("a", "a", "a", "a"), "a", "a")) > 0 {
			searches++
			r.SearchFailed()
		}
	}
	g.Expect(searches).To(gomega.BeNumerically("~", 130, 2), "30 at once and 10 a second")
}

// fleet is a fleet of routers of which some have paths and relay at most limit connections each.
type fleet struct {
	relays []*pathfinder.Relays
	peers  []pathfinder.Peer
	// others holds the peers of each router.
	others  [][]pathfinder.Peer
	hasPath func(i int) bool
	limit   int
	open    []int
	asked   []int
}

func newFleet(n, limit int, hasPath func(i int) bool) *fleet {
	f := &fleet{hasPath: hasPath, limit: limit, open: make([]int, n), asked: make([]int, n)}
	for i := range n {
		f.relays = append(f.relays, pathfinder.NewRelays())
		f.peers = append(f.peers, pathfinder.Peer{Address: fmt.Sprint(i), Zone: fmt.Sprint(i % 3)})
	}
	for i := range n {
		f.others = append(f.others, slices.Delete(slices.Clone(f.peers), i, i+1))
	}
	return f
}

// connect opens a connection for router i. It
// reports whether a relay connected.
func (f *fleet) connect(now time.Duration, i int) bool {
	for _, p := range f.relays[i].Choose(now, f.others[i], f.peers[i].Zone, "0") {
		j, _ := strconv.Atoi(p.Address)
		f.asked[j]++
		if f.hasPath(j) && f.open[j] < f.limit {
			f.open[j]++
			f.relays[i].Connected(now, p.Address)
			return true
		}
		f.relays[i].Failed(now, p.Address)
		if proven := f.relays[j].Proven(now); proven != "" && !f.hasPath(j) {
			f.relays[i].Refer(proven)
		}
	}
	f.relays[i].SearchFailed()
	return false
}

// Guards against cut-off routers that don't find those with paths, at the sizes and shares of a cut
// that users state, and against load on those that can't help: 20 connections a second are opened by
// each.
func TestCutOffRoutersFindRelays(t *testing.T) {
	for _, c := range []struct {
		name    string
		routers int
		hasPath func(i int) bool
	}{
		{"half of 6", 6, func(i int) bool { return i%2 == 0 }},
		{"a zone of 6", 6, func(i int) bool { return i%3 != 0 }},
		{"all but one of 6", 6, func(i int) bool { return i == 0 }},
		{"a tenth of 300", 300, func(i int) bool { return i%10 != 0 }},
		{"a zone of 300", 300, func(i int) bool { return i%3 != 0 }},
		{"all but one of 300", 300, func(i int) bool { return i == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(c.routers, 1<<30, c.hasPath)
			failed, cut := 0, 0
			for tick := range 200 {
				now := time.Duration(tick) * 50 * ms
				for i := range c.routers {
					if c.hasPath(i) {
						continue
					}
					connected := f.connect(now, i)
					if now >= 3*time.Second {
						cut++
						if !connected {
							failed++
						}
					}
				}
			}
			g.Expect(failed*50).To(gomega.BeNumerically("<=", cut), "of %d connections from 3 s on, %d failed", cut, failed)
			for i, n := range f.asked {
				if !c.hasPath(i) {
					g.Expect(n).To(gomega.BeNumerically("<=", 300), "router %d has no path", i)
				}
			}
		})
	}
}
