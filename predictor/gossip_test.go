package predictor

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against routers that are sent to twice before others were, and against routers that get
// more digests in a round than others.
func TestGossipTargetsTakeTurns(t *testing.T) {
	for _, n := range []int{2, 3, 4, 27, 197} {
		g := gomega.NewWithT(t)
		rounds, seen := (n-1+2)/3, map[int]int{}
		for round := range rounds {
			received := make([]int, n)
			for self := range n {
				for _, to := range GossipTargets(int64(7*rounds+round), self, n) {
					g.Expect(to).NotTo(gomega.Equal(self))
					received[to]++
					if self == 0 {
						seen[to]++
					}
				}
			}
			for _, c := range received {
				g.Expect(c).To(gomega.Equal(received[0]), "%d routers", n)
			}
		}
		g.Expect(seen).To(gomega.HaveLen(n - 1))
		for _, c := range seen {
			g.Expect(c).To(gomega.Equal(1), "%d routers", n)
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(GossipTargets(5, 0, 1)).To(gomega.BeEmpty())
	g.Expect(GossipTargets(5, 0, 0)).To(gomega.BeEmpty())
}

// Guards against zones, or routers of another zone, that never get a digest from this router.
func TestGossipReachesAllRoutersOfOtherZones(t *testing.T) {
	g := gomega.NewWithT(t)
	seen, sizes := map[[2]int]bool{}, []int{27, 28, 328}
	for round := range int64(3 * 28 * 328) {
		zone, place, ok := GossipRemoteTarget(round, 5, sizes)
		g.Expect(ok).To(gomega.BeTrue())
		seen[[2]int{zone, place}] = true
	}
	g.Expect(seen).To(gomega.HaveLen(27 + 28 + 328))
	_, _, ok := GossipRemoteTarget(3, 5, nil)
	g.Expect(ok).To(gomega.BeFalse())
}
