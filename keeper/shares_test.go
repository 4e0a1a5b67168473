package keeper

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Symptom: rights move to whichever zone had the last request.
// Sequence: a small workspace pauses for a minute, then has one request.
// Cause: demand that is forgotten with the idle workspace, or momentary.
func TestDemandOutlastsAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := newShares(), time.Unix(1_000_000, 0)
	for range 600 {
		s.demand("w", "osu-hall-1", 50, now)
		s.active(now)
		now = now.Add(time.Second)
	}
	g.Expect(s.ownDemand("w")).To(gomega.BeNumerically("~", 50, 1))
	for range 120 {
		s.active(now)
		now = now.Add(time.Second)
	}
	g.Expect(s.active(now)).To(gomega.BeEmpty())
	s.touch("w", now)
	g.Expect(s.ownDemand("w")).To(gomega.BeNumerically("~", 43, 3))
	s.active(now.Add(activeFor + time.Second))
	s.active(now.Add(2 * time.Hour))
	g.Expect(s.ownDemand("w")).To(gomega.BeZero(), "a meter is forgotten in the end")
}
