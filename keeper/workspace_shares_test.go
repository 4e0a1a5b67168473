package keeper

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Rights must not move to whichever zone had the last request. They would if
// demand were momentary, or dropped together with the idle workspace. A small
// workspace pauses for a minute and then has one request.
func TestDemandOutlastsAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newShares(), time.Unix(1_000_000, 0)
	for range 600 {
		s.recordDemand("w", "osu-hall-1", 50, now)
		s.sampleActive(now)
		now = now.Add(time.Second)
	}
	g.Expect(s.ownDemand("w")).To(gomega.BeNumerically("~", 50, 1))
	for range 120 {
		s.sampleActive(now)
		now = now.Add(time.Second)
	}
	g.Expect(s.sampleActive(now)).To(gomega.BeEmpty())
	s.markActive("w", now)
	g.Expect(s.ownDemand("w")).To(gomega.BeNumerically("~", 43, 3))
	s.sampleActive(now.Add(activeWindow + time.Second))
	s.sampleActive(now.Add(2 * time.Hour))
	g.Expect(s.ownDemand("w")).To(gomega.BeZero(), "a meter is forgotten in the end")
}
