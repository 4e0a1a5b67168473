package pathfinder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/pathfinder"
)

const ms = time.Millisecond

// loseAll makes attempts to n endpoints fail at a time, each followed by a relayed connection.
func loseAll(p *pathfinder.Paths, now time.Duration, n int) {
	for i := range n {
		p.Failed(now, fmt.Sprint(i))
	}
	for i := range n {
		p.Relayed(now, fmt.Sprint(i))
	}
}

// Guards against losing a path because of a single lost packet.
func TestSingleFailureLosesNoPath(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	p.Failed(100*ms, "a")
	g.Expect(p.Relayed(101*ms, "a")).To(gomega.BeFalse())
	g.Expect(p.Route(102*ms, "a")).To(gomega.Equal(pathfinder.Race))
	p.Connected(150*ms, "a")
	g.Expect(p.Route(151*ms, "a")).To(gomega.Equal(pathfinder.Direct))
	p.Failed(200*ms, "a")
	g.Expect(p.Relayed(201*ms, "a")).To(gomega.BeFalse(), "a success resets the count")
	p.Failed(300*ms, "a")
	g.Expect(p.Relayed(301*ms, "a")).To(gomega.BeTrue())
	g.Expect(p.Route(302*ms, "a")).To(gomega.Equal(pathfinder.Relayed))
	g.Expect(p.Route(302*ms, "b")).To(gomega.Equal(pathfinder.Direct), "the other endpoints keep their paths")
}

// Guards against requests that pay for a failed attempt at each endpoint of a router that has
// lost its paths to all of them.
func TestPathsAreLostTogether(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	loseAll(p, 100*ms, 3)
	g.Expect(p.Isolated(101 * ms)).To(gomega.BeTrue())
	g.Expect(p.LostCount()).To(gomega.Equal(3), "one failure each suffices")
	p.Connected(200*ms, "other")
	g.Expect(p.Isolated(201 * ms)).To(gomega.BeFalse())
}

// Guards against treating an endpoint that has crashed as a lost path: all routers would look for
// relays with every request.
func TestCrashedEndpointIsNoLostPath(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	for i := range 10 {
		now := time.Duration(i) * 100 * ms
		p.Failed(now, "a")
		p.RelayFailed(now, "a", true)
		g.Expect(p.Route(now+1, "a")).To(gomega.Equal(pathfinder.DirectOnly), "no relay is asked for a while")
	}
	g.Expect(p.LostCount()).To(gomega.BeZero())
	g.Expect(p.Route(1500*ms, "a")).To(gomega.Equal(pathfinder.Direct), "then one is asked again")
}

// Guards against requests that wait for connections when no router can help.
func TestUnreachableEndpointsAreNotTried(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	for _, id := range []string{"a", "b", "c"} {
		p.Failed(100*ms, id)
	}
	for _, id := range []string{"a", "b", "c"} {
		p.RelayFailed(101*ms, id, false)
		g.Expect(p.Route(102*ms, id)).To(gomega.Equal(pathfinder.Unreachable))
	}
	g.Expect(p.FailedLately(700*ms, "a")).To(gomega.BeTrue())
	g.Expect(p.FailedLately(1200*ms, "a")).To(gomega.BeFalse())
	g.Expect(p.Route(700*ms, "a")).To(gomega.Equal(pathfinder.Unreachable))
	g.Expect(p.ProbesDue(700*ms, 2)).To(gomega.HaveLen(2), "the paths are probed meanwhile")
	g.Expect(p.ProbesDue(700*ms, 10)).To(gomega.HaveLen(1))
	p.Relayed(800*ms, "a")
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(p.Route(800*ms, id)).To(gomega.Equal(pathfinder.Relayed), "a relay was found for one of them")
	}
}

// Guards against a path that is used again at its first sign of life while it flaps: connections
// that are opened then hang when it is lost again.
func TestFlappingPathHasToHoldLonger(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	now := time.Second
	var holds []time.Duration
	for range 7 {
		now += 10 * ms
		loseAll(p, now, 3)
		for i := range 3 {
			g.Expect(p.Connected(now, fmt.Sprint(i))).To(gomega.BeFalse(), "not at the first success")
		}
		begun := now
		for p.LostCount() > 0 {
			now += 10 * ms
			for i := range 3 {
				p.Connected(now, fmt.Sprint(i))
			}
		}
		holds = append(holds, now-begun)
	}
	g.Expect(holds).To(gomega.Equal([]time.Duration{500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms, 8000 * ms, 8000 * ms}))
	now += 31 * time.Second
	loseAll(p, now, 3)
	p.Connected(now, "0")
	g.Expect(p.Connected(now+500*ms, "0")).To(gomega.BeTrue(), "forgotten after half a minute")
}

// Guards against routers that wait for their paths to hold while no router relays.
func TestPathWithoutRelayIsUsedAtOnce(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	loseAll(p, 100*ms, 3)
	g.Expect(p.Connected(200*ms, "0")).To(gomega.BeFalse())
	p.RelayFailed(300*ms, "1", false)
	g.Expect(p.Connected(400*ms, "1")).To(gomega.BeTrue())
}

// Guards against a run of successful probes that is counted across a failure.
func TestFailedProbeStartsAnew(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	loseAll(p, 100*ms, 3)
	p.Connected(400*ms, "0")
	p.Failed(700*ms, "0")
	g.Expect(p.Connected(1000*ms, "0")).To(gomega.BeFalse())
	g.Expect(p.Connected(1500*ms, "0")).To(gomega.BeTrue())
}

// Guards against giving up connections to an endpoint that was silent for a moment: its path counts
// as lost for a short while.
func TestSilentEndpointIsNotGone(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	p.Failed(100*ms, "a")
	p.Failed(200*ms, "a")
	g.Expect(p.Relayed(210*ms, "a")).To(gomega.BeTrue())
	p.Connected(500*ms, "a")
	g.Expect(p.Gone(1300*ms, "a")).To(gomega.BeFalse())
	p.Failed(1400*ms, "a")
	g.Expect(p.Gone(1500*ms, "a")).To(gomega.BeTrue())
}

// Guards against state that grows with every endpoint that ever failed.
func TestPathsForgetOldTrouble(t *testing.T) {
	g, p := gomega.NewWithT(t), pathfinder.New()
	p.Failed(100*ms, "a")
	p.RelayFailed(100*ms, "a", true)
	p.Suspect(100*ms, "b")
	loseAll(p, 200*ms, 3)
	p.Expire(10 * time.Second)
	g.Expect(p.LostCount()).To(gomega.Equal(3))
	for i := range 3 {
		p.Forget(fmt.Sprint(i))
	}
	g.Expect(p.LostCount()).To(gomega.BeZero())
	g.Expect(p.Route(10*time.Second, "b")).To(gomega.Equal(pathfinder.Direct))
	g.Expect(testing.AllocsPerRun(100, func() { p.Route(10*time.Second, "a") })).To(gomega.BeZero())
}

// Guards against checks while requests are answered: only a service of which nothing is heard
// while requests wait is checked, and rarely.
func TestSilentServiceIsChecked(t *testing.T) {
	g, s := gomega.NewWithT(t), pathfinder.NewSilence()
	x := s.Service("a")
	g.Expect(s.Due(10*time.Second)).To(gomega.BeEmpty(), "nothing waits")
	x.Began(10 * time.Second)
	x.Began(10100 * ms)
	x.Heard(10300 * ms)
	g.Expect(s.Due(10600 * ms)).To(gomega.BeEmpty())
	g.Expect(s.Due(10700 * ms)).To(gomega.Equal([]string{"a"}))
	g.Expect(s.Due(11600 * ms)).To(gomega.BeEmpty())
	g.Expect(s.Due(11700 * ms)).To(gomega.Equal([]string{"a"}))
	x.Ended()
	x.Ended()
	g.Expect(s.Due(20 * time.Second)).To(gomega.BeEmpty())
}
