package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a router that keeps an interval of keepers that no longer answer, or follows a
// value that can't be meant, and checks the switch and keepers that state none.
func TestStatedClaimIntervalIsUsedWhileRecent(t *testing.T) {
	g := gomega.NewWithT(t)
	const initial = 1700 * time.Millisecond
	now := time.Unix(1000, 0)
	c := &claimPace{}
	g.Expect(c.current(now, initial)).To(gomega.Equal(initial), "nothing stated yet")
	c.observe(now, 400)
	g.Expect(c.current(now.Add(4*time.Second), initial)).To(gomega.Equal(400 * time.Millisecond))
	g.Expect(c.current(now.Add(6*time.Second), initial)).To(gomega.Equal(initial), "nothing stated for 6 s")
	dropped := claimIntervalsDropped.Get()
	for _, ms := range []int64{-1, 1, 60_000, 1 << 62} {
		c.observe(now, ms)
	}
	g.Expect(claimIntervalsDropped.Get() - dropped).To(gomega.Equal(uint64(4)))
	g.Expect(c.current(now, initial)).To(gomega.Equal(400 * time.Millisecond))
	c.ignored = true
	g.Expect(c.current(now, initial)).To(gomega.Equal(initial), "switched off")
	c.ignored = false
	c.observe(now, 0)
	g.Expect(c.current(now, initial)).To(gomega.Equal(initial), "a keeper that states none")
}
