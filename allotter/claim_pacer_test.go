package allotter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
)

// pace steps a pacer five times per second for a period and returns the last interval.
func pace(p *allotter.ClaimPacer, now *time.Time, period time.Duration, load allotter.PacerLoad) time.Duration {
	var out time.Duration
	for range int(period / (200 * time.Millisecond)) {
		*now = now.Add(200 * time.Millisecond)
		out = p.Step(*now, load)
	}
	return out
}

// Guards against routers that claim seldom while keepers are idle, and so lose many tokens in a
// crash: the interval of 82 routers falls from the initial one to the shortest one.
func TestIdleKeepersShortenTheClaimInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := &allotter.ClaimPacer{}, time.Unix(1000, 0)
	load := allotter.PacerLoad{Routers: 82, Use: 0.125, UseKnown: true, CommitTime: 10 * time.Millisecond}
	g.Expect(p.Step(now, load)).To(gomega.Equal(allotter.InitialClaimInterval(82)))
	g.Expect(pace(p, &now, 3*time.Second, load)).To(gomega.And(gomega.BeNumerically("<", time.Second), gomega.BeNumerically(">", allotter.MinClaimInterval)))
	g.Expect(pace(p, &now, 6*time.Second, load)).To(gomega.Equal(allotter.MinClaimInterval))
}

// Guards against a keeper that is overloaded by claims: the interval rises to the longest one, and
// does not fall between the two thresholds.
func TestLoadedKeepersLengthenTheClaimInterval(t *testing.T) {
	for name, load := range map[string]allotter.PacerLoad{
		"processor": {Routers: 82, Use: 0.5, UseKnown: true},
		"commits":   {Routers: 82, Use: 0.1, UseKnown: true, CommitTime: 200 * time.Millisecond},
		"no share":  {Routers: 82, CommitTime: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p, now := &allotter.ClaimPacer{}, time.Unix(1000, 0)
			pace(p, &now, 20*time.Second, allotter.PacerLoad{Routers: 82, Use: 0.1, UseKnown: true})
			g.Expect(pace(p, &now, 20*time.Second, load)).To(gomega.Equal(allotter.MaxClaimInterval))
			between := allotter.PacerLoad{Routers: 82, Use: 0.3, UseKnown: true, CommitTime: 100 * time.Millisecond}
			g.Expect(pace(p, &now, 20*time.Second, between)).To(gomega.Equal(allotter.MaxClaimInterval))
		})
	}
}

// Guards against a keeper without a known processor share that shortens the interval although it
// can't tell whether it has capacity left.
func TestUnknownUseKeepsTheInitialClaimInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := &allotter.ClaimPacer{}, time.Unix(1000, 0)
	g.Expect(pace(p, &now, 30*time.Second, allotter.PacerLoad{Routers: 82, CommitTime: time.Millisecond})).To(gomega.Equal(allotter.InitialClaimInterval(82)))
}

// Guards against a new leader that knows few routers yet and keeps their short interval when it
// learns of the others, and against one that resumes an interval of an earlier time as leader.
func TestClaimIntervalFollowsRoutersAndStartsAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	p, now := &allotter.ClaimPacer{}, time.Unix(1000, 0)
	idle := allotter.PacerLoad{Routers: 3, Use: 0.1, UseKnown: true}
	pace(p, &now, 5*time.Second, idle)
	idle.Routers = 82
	now = now.Add(200 * time.Millisecond)
	g.Expect(p.Step(now, idle)).To(gomega.BeNumerically(">", time.Second))
	g.Expect(pace(p, &now, 20*time.Second, idle)).To(gomega.Equal(allotter.MinClaimInterval))
	now = now.Add(6 * time.Second)
	g.Expect(p.Step(now, idle)).To(gomega.Equal(allotter.InitialClaimInterval(82)))
}
