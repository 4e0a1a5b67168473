package picker_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/picker"
)

var update = flag.Bool("update", false, "re-record golden files")

var start = time.Unix(1_000_000, 0)

const maxAge = 3 * time.Second

func endpointNamed(name, zone string, load int64, heard time.Time) *rattanhoist.Endpoint {
	return rattanhoist.NewEndpoint(rattanhoist.EndpointFields{
		Name: name, Service: "llm", Zone: zone, Incarnation: 1, Capacity: 16, Load: load, AnnouncedAt: heard,
	})
}

// fleetOf returns a set of n endpoints in three zones, with some learned times
// and cached prefixes.
func fleetOf(n int) (*picker.Ledger, *picker.Set) {
	l := picker.NewLedger(start.Add(-time.Minute))
	var es []*rattanhoist.Endpoint
	for i := range n {
		es = append(es, endpointNamed(fmt.Sprintf("e-%04d", i), fmt.Sprint("z-", i%3), int64(i%20), start))
	}
	s := l.NewSet("llm", "z-0", maxAge, start, es)
	for i := range s.Len() {
		run(l, s.At(i), query(uint64(i%40)+1), 100*time.Millisecond, time.Duration(10+i%7)*time.Millisecond)
	}
	return l, s
}

func query(prefix uint64) picker.Query {
	return picker.Query{Now: start, Deadline: start.Add(20 * time.Second), Prefix: prefix, PromptTokens: 1000, MaxAnswer: 200}
}

// run records a complete response of 100 tokens at an endpoint.
func run(l *picker.Ledger, c *picker.Candidate, q picker.Query, first, token time.Duration) {
	r := l.Begin(c, q)
	r.RecordFirstToken(q.Now.Add(first))
	r.End(q.Now.Add(first+99*token), picker.Outcome{AnswerTokens: 100, CachedTokens: -1, Complete: true}, 0)
}

func fail(l *picker.Ledger, c *picker.Candidate, q picker.Query) {
	r := l.Begin(c, q)
	r.End(q.Now.Add(time.Millisecond), picker.Outcome{CachedTokens: -1, EndpointFault: true}, 0)
}

// shares picks n times with different seeds and returns the number of picks by
// endpoint.
func shares(p picker.Picker, s *picker.Set, q picker.Query, n int) map[string]int {
	got := map[string]int{}
	for i := range n {
		q.Seed = uint64(i) * 0x9e3779b97f4a7c15
		if at := p.Pick(q, s); at >= 0 {
			got[s.At(at).Endpoint().Name()]++
		}
	}
	return got
}

func made(name string) picker.Picker {
	p, _ := picker.New(name)
	return p
}

func BenchmarkPick(b *testing.B) {
	for _, name := range picker.Names() {
		for _, n := range []int{12, 216, 4100} {
			b.Run(fmt.Sprint(name, "/", n), func(b *testing.B) {
				_, s := fleetOf(n)
				p := made(name)
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					q := query(1)
					for pb.Next() {
						q.Seed++
						q.Prefix = q.Seed%40 + 1
						if p.Pick(q, s) < 0 {
							b.Error("nothing picked")
						}
					}
				})
			})
		}
	}
}

func TestPicksAllocateNothing(t *testing.T) {
	for _, name := range picker.Names() {
		g := gomega.NewWithT(t)
		_, s := fleetOf(216)
		p, q := made(name), query(7)
		g.Expect(testing.AllocsPerRun(200, func() {
			q.Seed++
			p.Pick(q, s)
		})).To(gomega.BeZero(), name)
	}
}

// TestGoldenPicks compares the choices of every picker for fixed seeds with a
// golden file.
func TestGoldenPicks(t *testing.T) {
	g := gomega.NewWithT(t)
	var out strings.Builder
	for _, name := range picker.Names() {
		for _, n := range []int{3, 12, 216} {
			_, s := fleetOf(n)
			p := made(name)
			var picks []string
			for i := range 8 {
				q := query(uint64(i%3) + 1)
				q.Seed = uint64(i) * 0x9e3779b97f4a7c15
				picks = append(picks, s.At(p.Pick(q, s)).Endpoint().Name())
			}
			fmt.Fprintf(&out, "%s %d: %s\n", name, n, strings.Join(picks, " "))
		}
	}
	file := filepath.Join("testdata", "picks.golden")
	if *update {
		g.Expect(os.MkdirAll("testdata", 0o755)).To(gomega.Succeed())
		g.Expect(os.WriteFile(file, []byte(out.String()), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.String()).To(gomega.Equal(string(want)))
}

// Guards against a resumed router that sends requests to endpoints that are
// gone: the table is built, the process is suspended for ten seconds, and it
// picks before any announcement arrives. The age of announcements must be
// checked at pick time.
func TestResumedRouterIgnoresStaleEndpoints(t *testing.T) {
	for _, name := range picker.Names() {
		g := gomega.NewWithT(t)
		_, s := fleetOf(12)
		q := query(1)
		g.Expect(made(name).Pick(q, s)).To(gomega.BeNumerically(">=", 0), name)
		q.Now = start.Add(10 * time.Second)
		g.Expect(made(name).Pick(q, s)).To(gomega.Equal(-1), name)
		g.Expect(s.FreeCapacity(q.Now)).To(gomega.BeZero(), name)
	}
}

// Guards against preferring an endpoint that fails every run: after three
// consecutive failures it is idle, so it looks like the best choice.
func TestFailingEndpointIsEjectedAndReadmittedByProbe(t *testing.T) {
	for _, name := range picker.Names() {
		g := gomega.NewWithT(t)
		l, s := fleetOf(3)
		q, p := query(1), made(name)
		for range 3 {
			fail(l, s.At(0), q)
		}
		bad := s.At(0).Endpoint().Name()
		g.Expect(shares(p, s, q, 50)).NotTo(gomega.HaveKey(bad), name)
		q.Now = start.Add(1500 * time.Millisecond)
		q.NotRepeatable = true
		g.Expect(shares(p, s, q, 50)).NotTo(gomega.HaveKey(bad), "no probe by a request that may not be repeated: "+name)
		q.NotRepeatable = false
		g.Expect(shares(p, s, q, 50)).To(gomega.HaveKey(bad), "probed back: "+name)
		probe := l.Begin(s.At(0), q)
		g.Expect(shares(p, s, q, 50)).NotTo(gomega.HaveKey(bad), "one probe at a time: "+name)
		probe.End(q.Now.Add(time.Millisecond), picker.Outcome{AnswerTokens: 1, CachedTokens: -1, Complete: true}, 0)
		g.Expect(shares(p, s, q, 50)).To(gomega.HaveKey(bad), "back in service: "+name)
	}
}

// Guards against rejecting every request because all endpoints are ejected: each
// of them fails three times in a row.
func TestPicksEjectedEndpointIfAllAreEjected(t *testing.T) {
	for _, name := range picker.Names() {
		g := gomega.NewWithT(t)
		l, s := fleetOf(3)
		for i := range 9 {
			fail(l, s.At(i%3), query(1))
		}
		g.Expect(made(name).Pick(query(1), s)).To(gomega.BeNumerically(">=", 0), name)
	}
}

func TestTriedEndpointIsNotPickedAgain(t *testing.T) {
	for _, name := range picker.Names() {
		g := gomega.NewWithT(t)
		_, s := fleetOf(3)
		q := query(1)
		q.Tried = []*picker.Stats{s.At(0).Stats(), s.At(1).Stats()}
		g.Expect(shares(made(name), s, q, 20)).To(gomega.Equal(map[string]int{s.At(2).Endpoint().Name(): 20}), name)
		q.Tried = append(q.Tried, s.At(2).Stats())
		g.Expect(made(name).Pick(q, s)).To(gomega.Equal(-1), name)
	}
}

// Guards against timeouts at an endpoint that is ten times slower than the
// others but reports the same load: load counts requests, not their speed.
func TestDeadlineAvoidsSlowEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	l, s := fleetOf(3)
	for range 10 {
		run(l, s.At(0), query(0), 5*time.Second, 120*time.Millisecond)
	}
	q := query(0)
	q.Now = start.Add(time.Second)
	q.Deadline = q.Now.Add(15 * time.Second)
	slow := s.At(0).Endpoint().Name()
	g.Expect(shares(made(picker.Deadline), s, q, 50)).NotTo(gomega.HaveKey(slow))
}

func TestDeadlineReusesPrefixUntilQueueOutweighsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	l := picker.NewLedger(start.Add(-time.Minute))
	var es []*rattanhoist.Endpoint
	for i := range 3 {
		es = append(es, endpointNamed(fmt.Sprint("e-", i), "z-0", 0, start))
	}
	s := l.NewSet("llm", "z-0", maxAge, start, es)
	holder := s.At(1)
	run(l, holder, query(99), 500*time.Millisecond, 10*time.Millisecond)
	name := holder.Endpoint().Name()
	g.Expect(shares(made(picker.Deadline), s, query(99), 30)).To(gomega.Equal(map[string]int{name: 30}))
	for range 64 {
		l.Begin(holder, query(99))
	}
	g.Expect(shares(made(picker.Deadline), s, query(99), 30)).NotTo(gomega.HaveKey(name), "a long queue outweighs the cache")
	l.ApplyCacheEvent(holder.Endpoint(), 99, false, start)
	g.Expect(shares(made(picker.Deadline), s, query(99), 30)).NotTo(gomega.HaveKey(name), "an eviction is heard")
}

func TestDeadlinePrefersOwnZone(t *testing.T) {
	g := gomega.NewWithT(t)
	l := picker.NewLedger(start.Add(-time.Minute))
	s := l.NewSet("llm", "near", maxAge, start, []*rattanhoist.Endpoint{
		endpointNamed("a", "far", 0, start), endpointNamed("b", "near", 0, start), endpointNamed("c", "far", 0, start),
	})
	g.Expect(shares(made(picker.Deadline), s, query(0), 30)).To(gomega.Equal(map[string]int{"b": 30}))
}

func TestUnknownNameFallsBackToDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	_, ok := picker.New("no such picker")
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(picker.Names()).To(gomega.Equal([]string{"deadline", "least_outstanding", "round_robin", "two_choices"}))
}

// Guards against avoiding a restarted endpoint because of its past failures: it
// is ejected, restarts and announces a new incarnation. Statistics must not be
// keyed by name alone.
func TestNewIncarnationHasEmptyStats(t *testing.T) {
	g := gomega.NewWithT(t)
	l, s := fleetOf(3)
	for range 3 {
		fail(l, s.At(0), query(1))
	}
	g.Expect(s.At(0).Stats().Ejected()).To(gomega.BeTrue())
	e := rattanhoist.NewEndpoint(rattanhoist.EndpointFields{Name: s.At(0).Endpoint().Name(), Service: "llm", Incarnation: 2, AnnouncedAt: start})
	g.Expect(l.Stats(e).Ejected()).To(gomega.BeFalse())
}

// Guards against rejecting requests without a token limit of their own as too
// long: after callers with exact limits, one request comes with the service's
// limit of 4,000. The fraction of the limit that responses use doesn't carry
// over from tight limits to loose ones.
func TestLooseTokenLimitIsNotExpectedLength(t *testing.T) {
	g := gomega.NewWithT(t)
	l, s := fleetOf(3)
	tight := query(0)
	tight.MaxAnswer = 100
	for range 60 {
		run(l, s.At(0), tight, 100*time.Millisecond, 10*time.Millisecond)
	}
	loose := tight
	loose.MaxAnswer = 4000
	e := s.Service().Estimate(loose, l.Since(start.Add(2*time.Second)))
	g.Expect(e.Service).To(gomega.BeNumerically("~", 3*time.Second, time.Second))
	g.Expect(s.Service().Estimate(loose, l.Since(start.Add(time.Hour))).Service).To(gomega.BeZero(), "old samples give no estimate")
}

// Guards against sending requests to a ten times slower endpoint at which every
// run is cut off at its deadline: if only complete responses gave samples,
// its time per token would stay unknown and be assumed to equal the others'.
func TestIncompleteRunsRevealSlowEndpoint(t *testing.T) {
	for name, cut := range map[string]bool{"in progress": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := picker.NewLedger(start.Add(-time.Minute))
			var es []*rattanhoist.Endpoint
			for _, n := range []string{"slow", "well-1", "well-2"} {
				es = append(es, endpointNamed(n, "z-0", 0, start))
			}
			s := l.NewSet("llm", "z-0", maxAge, start, es)
			for i := 1; i < s.Len(); i++ {
				run(l, s.At(i), query(0), 100*time.Millisecond, 20*time.Millisecond)
				l.Begin(s.At(i), query(0))
				l.Begin(s.At(i), query(0))
			}
			r := l.Begin(s.At(0), query(0))
			r.RecordFirstToken(start.Add(100 * time.Millisecond))
			for n := int64(1); n <= 40; n++ {
				r.RecordChunks(start.Add(time.Duration(n)*200*time.Millisecond), n)
			}
			if cut {
				r.End(start.Add(8*time.Second), picker.Outcome{CachedTokens: -1}, 0)
			}
			q := query(0)
			q.Now, q.Deadline = start.Add(2*time.Second), start.Add(10*time.Second)
			g.Expect(shares(made(picker.Deadline), s, q, 100)).NotTo(gomega.HaveKey("slow"))
		})
	}
}

// Guards against a new router that sends a ten times slower endpoint more than it
// can answer in time: the endpoint has no samples, one request in progress and
// the prefix of the next requests cached. Without samples it is assumed to be as
// fast as the others.
func TestEndpointWithoutSamplesGetsOneRequestUntilFirstTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	l := picker.NewLedger(start.Add(-time.Minute))
	var es []*rattanhoist.Endpoint
	for _, n := range []string{"known-1", "known-2", "unknown"} {
		es = append(es, endpointNamed(n, "z-0", 0, start))
	}
	s := l.NewSet("llm", "z-0", maxAge, start, es)
	for i := range 2 {
		run(l, s.At(i), query(0), 100*time.Millisecond, 20*time.Millisecond)
	}
	q := query(7)
	r := l.Begin(s.At(2), q)
	g.Expect(shares(made(picker.Deadline), s, q, 100)).NotTo(gomega.HaveKey("unknown"))
	r.RecordFirstToken(start.Add(100 * time.Millisecond))
	r.RecordChunks(start.Add(400*time.Millisecond), 16)
	g.Expect(shares(made(picker.Deadline), s, q, 100)).To(gomega.HaveKey("unknown"))
}
