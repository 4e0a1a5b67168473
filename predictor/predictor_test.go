package predictor_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/ejector"
	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/localizer"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/warmer"
)

var start = time.Unix(1000, 0)

// endpoints returns n endpoints in a zone.
func endpoints(zone string, n int) []*predictor.Endpoint {
	var out []*predictor.Endpoint
	for i := range n {
		out = append(out, predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: zone + strconv.Itoa(i)}, Service: "llm", Zone: zone, Slots: 64}))
	}
	return out
}

// table returns the table of a router in zone a with the given endpoints.
func table(list ...*predictor.Endpoint) *predictor.Table {
	t := predictor.NewTable("a")
	t.Replace(map[string][]*predictor.Endpoint{"llm": list})
	return t
}

// ask returns a request whose prompt has the given length and shared parts.
func ask(tokens int64, parts ...predictor.Part) predictor.Request {
	parts = append(parts, predictor.Part{ID: "own", Tokens: tokens})
	return predictor.Request{Service: "llm", Prompt: &predictor.Prompt{InputTokens: tokens, MaxOutputTokens: 100, Parts: parts}}
}

// remoteDispatch is a dispatch by another router whose model has the initial estimates.
func remoteDispatch(uncached int64, parts []string) predictor.Dispatch {
	return predictor.Dispatch{UncachedTokens: uncached, PrefillTime: predictor.NewLatencyModel().PrefillTime(uncached, uncached), Parts: parts}
}

// Guards against requests to a rate limited endpoint beyond this router's share of the
// limit, including those for which it is the home of shared parts, and against refused
// callers that are told to retry too early.
func TestRateLimitedEndpointGetsItsShareOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	list := endpoints("a", 2)
	x := table(list...)
	shared := ask(800, predictor.Part{ID: "p", Tokens: 5_000})
	limit := func(e *predictor.Endpoint, expires time.Time) {
		e.Observe(predictor.State{RateLimit: warmer.RateLimit{Limited: true, PerSecond: 2}}, start, start)
		e.Warmup().SetRateLimitShare(start, warmer.Share{Rate: 1, Burst: 1}, expires)
	}
	limit(list[0], time.Time{})
	for range 20 {
		w := x.Choose(start, shared)
		g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(list[1]))
		g.Expect(w.CacheSource()).To(gomega.BeNil())
	}
	limit(list[1], start.Add(time.Minute))
	w := x.Choose(start, shared)
	g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(list[1]), "the share allows one request")
	g.Expect(x.Choose(start, shared)).To(gomega.BeNil())
	g.Expect(x.RetryAfter(start, shared)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
	list[0].Observe(predictor.State{}, start.Add(time.Millisecond), start.Add(2*time.Millisecond))
	g.Expect(x.Choose(start.Add(2*time.Millisecond), shared).Endpoint()).To(gomega.BeIdenticalTo(list[0]), "the limit was removed")
}

// Guards against requests to an endpoint that is shedding load before its Retry-After
// period has elapsed, and against a burst of requests afterwards instead of single probes
// at intervals, preferably with repeatable requests.
func TestSheddingEndpointIsProbedAfterRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	list := endpoints("a", 2)
	x := table(list...)
	plain, repeatable := ask(800), ask(800)
	repeatable.Repeatable = true
	// countSent sends 20 requests and returns how many of them went to list[0].
	countSent := func(ms int, a predictor.Request) int {
		n := 0
		for range 20 {
			w := x.Choose(at(ms), a)
			if w.Endpoint() == list[0] {
				n++
			}
			w.ObserveFirstByte(at(ms))
			w.End()
		}
		return n
	}
	c := list[0].Observe(predictor.State{RetryAfter: 2 * time.Second}, at(0), at(10))
	g.Expect(c.SheddingStarted).To(gomega.BeTrue())
	g.Expect(countSent(20, repeatable)).To(gomega.BeZero())
	g.Expect(countSent(2009, repeatable)).To(gomega.BeZero())
	g.Expect(x.RetryAfter(at(20), plain)).To(gomega.BeZero(), "the other endpoint is open")
	g.Expect(countSent(2300, plain)).To(gomega.BeZero(), "probes prefer repeatable requests")
	g.Expect(countSent(2310, repeatable)).To(gomega.BeNumerically("<=", 1))
	g.Expect(countSent(9000, plain)).To(gomega.BeNumerically("<=", 1), "an overdue probe may use any request")
	g.Expect(countSent(9600, repeatable)).To(gomega.BeNumerically("<=", 1))
	list[0].Observe(predictor.State{}, at(9600), at(9610))
	g.Expect(countSent(9620, plain)).To(gomega.BeNumerically(">", 3), "the endpoint stopped shedding load")
}

// Guards against short prompts that wait behind a long one that this router or another one
// has just sent: at 60 tokens per millisecond, 60,000 tokens take a second, and the other
// endpoint is idle.
func TestShortPromptsKeepAwayFromLongOnes(t *testing.T) {
	for name, send := range map[string]func(*predictor.Table, *predictor.Endpoint){
		"own": func(t *predictor.Table, _ *predictor.Endpoint) { t.Choose(start, ask(60_000)) },
		"other": func(t *predictor.Table, e *predictor.Endpoint) {
			t.RecordDispatch(start, e.Name(), remoteDispatch(60_000, nil))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			list := endpoints("a", 2)
			x := table(list...)
			send(x, list[0])
			for range 20 {
				w := x.Choose(start.Add(10*time.Millisecond), ask(800))
				g.Expect(w.PredictedFirstEvent()).To(gomega.BeNumerically("<", 300*time.Millisecond))
				w.ObserveFirstByte(start.Add(50 * time.Millisecond))
				w.End()
			}
		})
	}
}

// Guards against a queue that empties with time alone while a prompt of this router has no
// first event, as at an endpoint that is far slower than predicted.
func TestQueueDoesNotAdvancePastAPromptWithoutFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)...)
	x.Choose(start, ask(60_000))
	x.Choose(start, ask(60_000))
	late := start.Add(10 * time.Second)
	g.Expect(x.Choose(late, ask(100)).PredictedFirstEvent()).To(gomega.BeNumerically(">", time.Second))
}

// The first event of a prompt shows that all prompts before it have been prefilled.
func TestFirstEventEmptiesTheQueueBeforeIt(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)...)
	x.Choose(start, ask(60_000))
	w := x.Choose(start, ask(60_000))
	w.ObserveFirstByte(start.Add(20 * time.Millisecond))
	g.Expect(x.Choose(start.Add(21*time.Millisecond), ask(100)).PredictedFirstEvent()).To(gomega.BeNumerically("<", 200*time.Millisecond))
}

// Routers that have no information about each other must send requests that share a part of
// 5,000 tokens to the same endpoint of the zone.
func TestRoutersAgreeOnTheHomeOfASharedPart(t *testing.T) {
	g := gomega.NewWithT(t)
	for part := range 20 {
		p := predictor.Part{ID: "p" + strconv.Itoa(part), Tokens: 5_000}
		seen := map[string]bool{}
		for range 3 {
			x := table(endpoints("a", 4)...)
			seen[x.Choose(start, ask(6_000, p)).Endpoint().Beat().ID] = true
		}
		g.Expect(seen).To(gomega.HaveLen(1))
	}
}

// A request goes to another zone only if the predicted wait there is shorter by more than
// the cross-zone penalty.
func TestOtherZoneOnlyWhereItWins(t *testing.T) {
	g := gomega.NewWithT(t)
	sameZone, otherZone := endpoints("a", 1)[0], endpoints("b", 1)[0]
	x := table(sameZone, otherZone)
	g.Expect(x.Choose(start, ask(800)).Endpoint()).To(gomega.BeIdenticalTo(sameZone))
	x.RecordDispatch(start, sameZone.Name(), remoteDispatch(30_000, nil))
	g.Expect(x.Choose(start, ask(800)).Endpoint()).To(gomega.BeIdenticalTo(otherZone))
}

// An endpoint that a request was sent to already must not be chosen again.
func TestTriedEndpointsAreLeftOut(t *testing.T) {
	g := gomega.NewWithT(t)
	list := endpoints("a", 2)
	x := table(list...)
	a := ask(800)
	a.Tried = []enroller.Incarnation{{ID: "a0"}}
	g.Expect(x.Choose(start, a).Endpoint()).To(gomega.BeIdenticalTo(list[1]))
	a.Tried = append(a.Tried, enroller.Incarnation{ID: "a1"})
	g.Expect(x.Choose(start, a)).To(gomega.BeNil())
}

// Guards against an endpoint id that is mistaken for an incarnation. An endpoint crashes
// with a second of prompts in its queue and restarts under the same id: the cache and the
// queue of the previous incarnation must not count for the new one.
func TestRestartedEndpointStartsWithoutHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	old := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a0", BornMS: 1}, Service: "llm", Zone: "a", Slots: 64})
	next := predictor.NewEndpoint(enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a0", BornMS: 2}, Service: "llm", Zone: "a", Slots: 64})
	x := table(old)
	x.RecordDispatch(start, old.Name(), remoteDispatch(60_000, nil))
	x.Replace(map[string][]*predictor.Endpoint{"llm": {next}})
	x.RecordDispatch(start, old.Name(), remoteDispatch(60_000, nil))
	a := ask(800)
	a.Tried = []enroller.Incarnation{old.Beat().Incarnation}
	w := x.Choose(start, a)
	g.Expect(w).NotTo(gomega.BeNil(), "the previous incarnation was tried, this one was not")
	g.Expect(w.PredictedFirstEvent()).To(gomega.BeNumerically("<", 200*time.Millisecond))
}

// Guards against ignoring the dispatches of other routers. The home of a part of 13,000
// tokens was busy, and another router sent a request with that part elsewhere. While the
// home is still busy, the next request with the part must go to that endpoint: prefilling
// it again takes an engine a quarter of a second, and on days of 40,000 requests a quarter
// of all prefilled tokens had been prefilled before.
func TestPartsDispatchedByOtherRoutersAreFound(t *testing.T) {
	g := gomega.NewWithT(t)
	part := predictor.Part{ID: "p", Tokens: 13_000}
	list := endpoints("a", 6)
	x := table(list...)
	home := x.Choose(start, ask(17_000, part)).Endpoint()
	other := list[0]
	if other == home {
		other = list[1]
	}
	x.RecordDispatch(start, home.Name(), remoteDispatch(60_000, nil))
	x.RecordDispatch(start, other.Name(), remoteDispatch(17_000, []string{"p"}))
	w := x.Choose(start.Add(400*time.Millisecond), ask(17_000, part))
	g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(other))
	g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(4_000)))
}

// Guards against parts that count as cached after their eviction. Once an endpoint has
// prefilled half of its cache size since the last use of a part, the part has to be
// prefilled again.
func TestPartsAreEvictedByLaterPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	part := predictor.Part{ID: "p", Tokens: 13_000}
	list := endpoints("a", 1)
	x := table(list...)
	a := ask(17_000, part)
	a.CacheTokens = 400_000
	x.Choose(start, a)
	uncached := func() int64 {
		w := x.Choose(start.Add(time.Minute), a)
		defer w.End()
		return w.UncachedTokens()
	}
	x.RecordDispatch(start, list[0].Name(), remoteDispatch(150_000, []string{"q"}))
	g.Expect(uncached()).To(gomega.Equal(int64(4_000)))
	x.RecordDispatch(start, list[0].Name(), remoteDispatch(250_000, []string{"r"}))
	g.Expect(uncached()).To(gomega.Equal(int64(17_000)))
}

// Guards against an integer overflow at endpoints that have not prefilled anything yet: the
// time since the zero time, as a float, exceeds the range of time.Duration. The first event
// was predicted to come before the request was sent, and requests piled up there.
func TestNewEndpointHasAnEmptyQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)...)
	for i := range 20 {
		now := time.Now().Add(time.Duration(i) * time.Second)
		w := x.Choose(now, ask(10_000))
		g.Expect(w.PredictedFirstEvent()).To(gomega.BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
		w.ObserveFirstByte(now.Add(120 * time.Millisecond))
		w.End()
	}
}

// Guards against prefilling a part that can be fetched from the cache of a busy endpoint.
// Transferring 13,000 tokens at 4.8 microseconds each takes 62 ms, twice as long from
// another zone, and prefilling them 0.35 s. A part whose own prefill is not complete can't
// be fetched yet.
func TestCachedPartsAreFetchedFromABusyEndpoint(t *testing.T) {
	part := predictor.Part{ID: "p", Tokens: 13_000}
	a := ask(15_000, part)
	a.TransferPerToken = 4800 * time.Nanosecond
	for name, c := range map[string]struct {
		zone    string
		after   time.Duration
		fetched bool
		most    time.Duration
	}{
		"zone":       {"a", 2 * time.Second, true, 230 * time.Millisecond},
		"other zone": {"b", 2 * time.Second, true, 290 * time.Millisecond},
		"not yet":    {"a", 10 * time.Millisecond, false, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			source, other := endpoints(c.zone, 2)[1], endpoints("a", 1)[0]
			x := table(source, other)
			x.RecordDispatch(start, source.Name(), remoteDispatch(15_000, []string{"p"}))
			now := start.Add(c.after)
			x.RecordDispatch(now, source.Name(), remoteDispatch(35_000, nil))
			w := x.Choose(now, a)
			g.Expect(w.Endpoint()).To(gomega.BeIdenticalTo(other))
			g.Expect(w.CacheSource() != nil).To(gomega.Equal(c.fetched))
			g.Expect(w.PredictedFirstEvent()).To(gomega.BeNumerically("<", c.most))
			if c.fetched {
				g.Expect(w.CacheSource()).To(gomega.BeIdenticalTo(source))
				g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(2_000)))
			}
		})
	}
}

// Guards against ignoring the cached parts that endpoints report to a router that has just
// started. A part of which only some tokens are cached counts as not cached.
func TestReportedCachedPartsAreFound(t *testing.T) {
	g := gomega.NewWithT(t)
	list := endpoints("a", 1)
	x := table(list...)
	list[0].AddCachedParts([]predictor.Part{{ID: "p", Tokens: 13_000}, {ID: "q", Tokens: 200}})
	w := x.Choose(start, ask(17_000, predictor.Part{ID: "p", Tokens: 13_000}))
	g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(4_000)))
	w = x.Choose(start, ask(17_000, predictor.Part{ID: "q", Tokens: 13_000}))
	g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(17_000)))
}

// sendPlain sends n plain requests, one after each pause. The answer to request i takes the
// time returned by took. sendPlain returns how many requests stayed in zone a.
func sendPlain(x *predictor.Table, from time.Time, n int, pause time.Duration, took func(i int, zone string) time.Duration) (sameZone int) {
	for i := range n {
		now := from.Add(time.Duration(i) * pause)
		w := x.Choose(now, predictor.Request{Service: "llm"})
		zone := w.Endpoint().Beat().Zone
		if zone == "a" {
			sameZone++
		}
		w.ObserveFirstByte(now.Add(took(i, zone)))
		w.End()
	}
	return sameZone
}

// Guards against averages per endpoint that only the endpoint's own answers update: one
// late answer sent half of all requests to another zone for the rest of the day. One in
// twenty answers takes 400 ms, the others about 60 ms, at one endpoint in each of three
// zones. Requests should stay in their zone.
func TestPlainRequestsStayInTheirZone(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)[0], endpoints("b", 1)[0], endpoints("c", 1)[0])
	r := rand.New(rand.NewPCG(1, 2))
	sameZone := sendPlain(x, start, 1000, 150*time.Millisecond, func(i int, _ string) time.Duration {
		took := time.Duration(30+r.IntN(60)) * time.Millisecond
		if i%20 == 0 {
			return 400 * time.Millisecond
		}
		return took
	})
	g.Expect(sameZone).To(gomega.BeNumerically(">", 970))
}

// Guards against a single very late answer, as after a lost one that is followed by
// another, that sends requests to another zone. One answer in a hundred takes two seconds;
// one such answer sent the next eighty requests away.
func TestOneVeryLateAnswerDoesNotMoveRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)[0], endpoints("b", 1)[0], endpoints("c", 1)[0])
	sameZone := sendPlain(x, start, 1000, 150*time.Millisecond, func(i int, _ string) time.Duration {
		if i%100 == 50 {
			return 2 * time.Second
		}
		return 60 * time.Millisecond
	})
	g.Expect(sameZone).To(gomega.BeNumerically(">", 970))
}

// Plain requests must leave an endpoint that has become eight times as slow, and return
// some time after it has recovered.
func TestPlainRequestsLeaveASlowEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	x := table(endpoints("a", 1)[0], endpoints("b", 1)[0])
	const pause = 100 * time.Millisecond
	countSameZone := func(from, n int, slow time.Duration) int {
		return sendPlain(x, start.Add(time.Duration(from)*pause), n, pause, func(_ int, zone string) time.Duration {
			if zone == "a" {
				return slow
			}
			return 60 * time.Millisecond
		})
	}
	g.Expect(countSameZone(0, 100, 60*time.Millisecond)).To(gomega.BeNumerically(">", 95))
	g.Expect(countSameZone(100, 100, 480*time.Millisecond)).To(gomega.BeNumerically("<", 15))
	countSameZone(200, 200, 60*time.Millisecond)
	g.Expect(countSameZone(400, 100, 60*time.Millisecond)).To(gomega.BeNumerically(">", 90))
}

// Guards against a healthy endpoint that gets no requests for the rest of the day. It fails
// three times in a row, is ejected and recovers a second later. While an endpoint that
// needs a probe cost more than any other, it never got one.
func TestAnEjectedEndpointIsProbed(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		within     time.Duration
	}{"repeatable": {true, 3 * time.Second}, "not": {false, 8 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ejected, healthy := endpoints("a", 1)[0], endpoints("b", 1)[0]
			x := table(ejected, healthy)
			for range 3 {
				ejected.Gate().Step(0, ejector.Failed, 0.5)
			}
			a := predictor.Request{Service: "llm", Repeatable: c.repeatable}
			for a.Elapsed = 0; a.Elapsed < c.within; a.Elapsed += 100 * time.Millisecond {
				w := x.Choose(start.Add(a.Elapsed), a)
				w.ObserveFirstByte(start.Add(a.Elapsed + 50*time.Millisecond))
				w.End()
				if w.Endpoint() == ejected {
					ejected.Gate().Step(a.Elapsed, ejector.Succeeded, 0)
				}
			}
			g.Expect(ejected.Gate().Ejected()).To(gomega.BeFalse())
		})
	}
}

// Guards against home endpoints and cache sources of shared parts outside the zones of a
// request.
func TestSharedPartsStayInTheZonesOfARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	a := ask(50_100, predictor.Part{ID: "p", Tokens: 50_000})
	a.CacheTokens, a.TransferPerToken = 400_000, 100*time.Nanosecond
	choose := func(z *localizer.Zones) (w *predictor.Assignment, in, out *predictor.Endpoint) {
		in, out = endpoints("a", 1)[0], endpoints("b", 1)[0]
		out.AddCachedParts([]predictor.Part{{ID: "p", Tokens: 50_000}})
		a.Zones = z
		return table(in, out).Choose(start, a), in, out
	}
	w, _, out := choose(nil)
	g.Expect(w.Endpoint() == out || w.CacheSource() == out).To(gomega.BeTrue(), "its cached parts outweigh the penalty of the other zone")
	w, in, _ := choose(localizer.New(map[string]string{"a": "north", "b": "south"}).InRegions([]string{"north"}))
	g.Expect(w.Endpoint()).To(gomega.Equal(in))
	g.Expect(w.CacheSource()).To(gomega.BeNil())
	g.Expect(w.UncachedTokens()).To(gomega.Equal(int64(50_100)))
}

// Guards against a burst of prompts that all go to an endpoint that has just returned cold,
// because its queue is empty, rather than to one with a long queue.
func TestABurstDoesNotGoToAColdEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	cold, busy := endpoints("a", 1)[0], endpoints("b", 1)[0]
	x := table(cold, busy)
	busy.RecordDispatch(start, remoteDispatch(60_000, nil))
	cold.Warmup().SetCold(start, start.Add(3*time.Second), warmer.Share{Rate: 2, Burst: 1}, start.Add(time.Minute))
	at := map[*predictor.Endpoint]int{}
	for i := range 100 {
		at[x.Choose(start.Add(time.Duration(i)*10*time.Millisecond), ask(800)).Endpoint()]++
	}
	g.Expect(at[cold]).To(gomega.BeNumerically("~", 2, 1))
	g.Expect(at[busy]).To(gomega.Equal(100 - at[cold]))
}
