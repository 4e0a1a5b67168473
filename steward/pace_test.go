package steward

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// paceAt steps a claimPace for a period, during which the process uses a part of a core and claims
// take a time to commit.
func paceAt(c *claimPace, now *time.Time, period time.Duration, term uint64, core float64, commit time.Duration) time.Duration {
	var used time.Duration
	before := c.usedBefore
	c.processorTime = func() (time.Duration, bool) { return before + used, true }
	var out time.Duration
	const step = 100 * time.Millisecond
	for range int(period / step) {
		*now = now.Add(step)
		used += time.Duration(core * float64(step))
		c.recordCommit(commit)
		out = c.step(*now, term, 82)
	}
	return out
}

// Guards against an interval that ignores the keeper's load: it follows the processor time as a
// part of the share and the time of commits, and a new term starts from the initial interval.
func TestClaimIntervalFollowsTheKeepersLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now := newClaimPace(0.48), time.Unix(1000, 0)
	c.processorTime = func() (time.Duration, bool) { return 0, true }
	c.step(now, 1, 82)
	g.Expect(paceAt(c, &now, 15*time.Second, 1, 0.06, 10*time.Millisecond)).To(gomega.Equal(allotter.MinClaimInterval))
	_, use := c.stated()
	g.Expect(use).To(gomega.BeNumerically("~", 0.125, 0.01))
	g.Expect(paceAt(c, &now, 15*time.Second, 1, 0.3, 10*time.Millisecond)).To(gomega.Equal(allotter.MaxClaimInterval))
	paceAt(c, &now, 20*time.Second, 1, 0.06, 10*time.Millisecond)
	g.Expect(paceAt(c, &now, 15*time.Second, 1, 0.06, 200*time.Millisecond)).To(gomega.Equal(allotter.MaxClaimInterval))
	g.Expect(paceAt(c, &now, 500*time.Millisecond, 2, 0.06, 10*time.Millisecond)).To(gomega.Equal(allotter.InitialClaimInterval(82)))
}

// Guards against a keeper of unknown share, or without processor times, that shortens the interval.
func TestClaimIntervalStaysWithoutAShare(t *testing.T) {
	for name, c := range map[string]*claimPace{"no share": newClaimPace(0), "no times": newClaimPace(0.48)} {
		g := gomega.NewWithT(t)
		if name == "no times" {
			c.processorTime = func() (time.Duration, bool) { return 0, false }
		}
		now := time.Unix(1000, 0)
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			g.Expect(c.step(now, 1, 82)).To(gomega.Equal(allotter.InitialClaimInterval(82)), name)
		}
	}
}

// Guards against commits that the pacer never learns of.
func TestBatcherReportsCommitTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBatcher(func(context.Context, []byte) (any, error) {
		time.Sleep(20 * time.Millisecond)
		return []*messenger.RightsGrants{{}}, nil
	}, zap.NewNop())
	times := make(chan time.Duration, 1)
	b.onCommit = func(d time.Duration) { times <- d }
	go b.run(t.Context())
	_, err := b.submit(t.Context(), &messenger.RightsChange{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(<-times).To(gomega.BeNumerically(">=", 20*time.Millisecond))
}

// Guards against a keeper that states an interval although paced_claims is off: routers then use the
// interval by their number, as before.
func TestPacedClaimsCanBeSwitchedOff(t *testing.T) {
	for setting, want := range map[string]int64{"yes": 250, "no": 0} {
		g := gomega.NewWithT(t)
		file := filepath.Join(t.TempDir(), "node.ini")
		text := "[node]\nname = k\nkind = keeper\nzone = z\nip = 127.0.0.1\ninternal_ports = 1\nseeds = 127.0.0.1:1\ncontrol = 127.0.0.1:2\ndata_dir = " +
			t.TempDir() + "\npaced_claims = " + setting + "\n"
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
		n, _, err := loader.LoadNode(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		s, cleanUp, err := New(n, zap.NewNop())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(cleanUp)
		g.Expect(s.withClaimInterval(time.Unix(1000, 0), &messenger.RightsGrants{}).ClaimIntervalMs).To(gomega.Equal(want), setting)
	}
}
