package shaper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/shaper"
)

var start = time.Unix(1000, 0)

const rate = 1_000_000

func TestDelayFollowsWhatIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	l := shaper.NewLink(rate)
	g.Expect(l.Delay(start)).To(gomega.BeZero())
	l.Sent(start, 100_000)
	g.Expect(l.Delay(start)).To(gomega.BeNumerically("~", 116*time.Millisecond, 2*time.Millisecond))
	g.Expect(l.Delay(start.Add(100 * time.Millisecond))).To(gomega.BeNumerically("~", 16*time.Millisecond, 2*time.Millisecond))
	g.Expect(l.Delay(start.Add(time.Second))).To(gomega.BeZero())
	g.Expect(l.Delay(start)).To(gomega.BeZero(), "time does not advance")
}

func TestLinkWithoutLimitAdmitsAll(t *testing.T) {
	g := gomega.NewWithT(t)
	l := shaper.NewLink(0)
	l.Sent(start, 1<<30)
	g.Expect(l.Admit(start, 1<<30)).To(gomega.BeTrue())
	g.Expect(l.AdmitOptional(start, 1<<30)).To(gomega.BeTrue())
	g.Expect(l.Delay(start)).To(gomega.BeZero())
}

// Guards against a large request that is never admitted on any link.
func TestIdleLinkAdmitsAnyRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(shaper.NewLink(rate).Admit(start, 4<<20)).To(gomega.BeTrue())
}

// One of a zone's 14 routers receives a third of its callers, and the prompts that it forwards
// need 1.6 times the rate of its link. Guards against a queue that delays control traffic and
// small requests by more than a quarter of a second, against unnecessary refusals, and against
// notices that use bandwidth which requests need.
func TestHotRouterKeepsItsLinkShort(t *testing.T) {
	g := gomega.NewWithT(t)
	l, r := shaper.NewLink(rate), rand.New(rand.NewPCG(1, 1))
	const perSecond, seconds = 200, 20
	var large, small, refusedLarge, refusedSmall, notices int
	var sent float64
	worst := time.Duration(0)
	for at := time.Duration(0); at < seconds*time.Second; at += time.Second / perSecond {
		now := start.Add(at)
		n := int64(800)
		if r.IntN(2) == 0 {
			n = 12_000 + r.Int64N(8_000)
			large++
		} else {
			small++
		}
		if !l.Admit(now, n) {
			if n > 800 {
				refusedLarge++
			} else {
				refusedSmall++
			}
			continue
		}
		for range 28 {
			if l.AdmitOptional(now, 50) {
				notices++
			}
		}
		l.Sent(now, int(n))
		sent += float64(n)
		worst = max(worst, l.Delay(now))
	}
	g.Expect(worst).To(gomega.BeNumerically("<", 250*time.Millisecond))
	g.Expect(refusedSmall*100).To(gomega.BeNumerically("<", small), "small requests refused of %d", small)
	g.Expect(refusedLarge).To(gomega.BeNumerically("<", large*6/10), "large requests refused of %d", large)
	g.Expect(sent/seconds).To(gomega.BeNumerically(">", 0.7*rate), "bytes of requests a second")
	t.Logf("refused %d of %d large, %d of %d small; worst delay %v; %d notices", refusedLarge, large, refusedSmall, small, worst, notices)
}

// Guards against refusals at a router with ordinary load.
func TestUsualLoadIsNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	l, r := shaper.NewLink(rate), rand.New(rand.NewPCG(2, 1))
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(r.ExpFloat64() * float64(time.Second) / 30) {
		now := start.Add(at)
		g.Expect(l.Admit(now, 12_000)).To(gomega.BeTrue())
		l.Sent(now, 12_000)
	}
}
