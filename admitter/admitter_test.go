package admitter_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rattanhoist.example/rattanhoist/admitter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed := "5"
	if s := os.Getenv("FUZZ_SEED"); s != "" {
		seed = s
	}
	_ = flag.Set("rapid.seed", seed)
	if n := os.Getenv("FUZZ_CHECKS"); n != "" {
		_ = flag.Set("rapid.checks", n)
	}
	os.Exit(m.Run())
}

func newQueue(shedder string) *admitter.Queue {
	s, _ := admitter.New(shedder)
	return admitter.NewQueue(admitter.DefaultBounds, s)
}

func request(id uint64, workspace string, priority int, deadline time.Duration) admitter.Request {
	return admitter.Request{
		ID: id, Workspace: workspace, Priority: priority, Deadline: deadline,
		Tokens: 100, Service: 2 * time.Second, MinService: time.Second,
	}
}

func arrive(r admitter.Request, inFlight, limit int) admitter.Event {
	return admitter.Event{Kind: admitter.Arrive, Request: r, InFlight: inFlight, Limit: limit}
}

// drain starts the waiting requests one at a time and returns their ids.
func drain(q *admitter.Queue, now time.Duration) (ids []uint64) {
	for q.Waiting() > 0 {
		for _, a := range q.Step(now, admitter.Event{Kind: admitter.Tick, Limit: 1}) {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func TestStartsImmediatelyBelowLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	out := newQueue("deadline").Step(0, arrive(request(1, "w", 0, 10*time.Second), 0, 1))
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].Verdict).To(gomega.Equal(admitter.Start))
}

func TestShedsOnArrivalWithRetryAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("deadline")
	for id := range uint64(5) {
		g.Expect(q.Step(0, arrive(request(id, "w", 0, time.Minute), 1, 1))).To(gomega.BeEmpty())
	}
	// Five requests of 2 s and half of the one in progress are ahead: 11 s of
	// waiting and 2 s of service end 3 s after the deadline of 10 s.
	out := q.Step(0, arrive(request(9, "w", 1, 10*time.Second), 1, 1))
	g.Expect(out).To(gomega.Equal([]admitter.Action{{ID: 9, Verdict: admitter.Shed, RetryAfter: 3 * time.Second}}))
	g.Expect(q.Waiting()).To(gomega.Equal(5))
}

// Guards against queueing a request until its deadline although no endpoint
// could answer in time any more: a queue that checks only the deadline itself
// tells the caller too late that its request never started.
func TestExpiredWaitingRequestIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("deadline")
	q.Step(0, arrive(request(1, "w", 0, 10*time.Second), 1, 1))
	at, ok := q.NextExpiry()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(at).To(gomega.Equal(9 * time.Second))
	g.Expect(q.Step(at, admitter.Event{Kind: admitter.Tick, InFlight: 1, Limit: 1})).To(gomega.BeEmpty())
	out := q.Step(at+1, admitter.Event{Kind: admitter.Tick, InFlight: 1, Limit: 1})
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].Verdict).To(gomega.Equal(admitter.Expired))
	g.Expect(out[0].RetryAfter).To(gomega.BeNumerically(">", 0))
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("none")
	for id, p := range []int{5, 3, 9, 0} {
		q.Step(0, arrive(request(uint64(id), "w", p, time.Hour), 1, 1))
	}
	g.Expect(drain(q, 0)).To(gomega.Equal([]uint64{3, 1, 0, 2}))
}

// Guards against starvation by first-come, first-served order across
// workspaces: one workspace queues 60 requests, then two others queue 5 each.
func TestWorkspacesShareByTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("none")
	id := uint64(0)
	add := func(w string, n int, tokens float64) {
		for range n {
			r := request(id, w, 0, time.Hour)
			r.Tokens = tokens
			q.Step(0, arrive(r, 1, 1))
			id++
		}
	}
	add("flood", 60, 100)
	add("small", 5, 100)
	add("large", 5, 200)
	first := drain(q, 0)[:20]
	var small, large int
	for _, x := range first {
		switch {
		case x >= 65:
			large++
		case x >= 60:
			small++
		}
	}
	g.Expect(small).To(gomega.Equal(5), "all of the small workspace within twenty starts")
	g.Expect(large).To(gomega.BeNumerically("~", 4, 1), "twice the tokens, half the starts")
}

func TestFullQueueEvictsLowerPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := admitter.New("none")
	q := admitter.NewQueue(admitter.Bounds{MaxWaiting: 2, Workspace: 2}, s)
	q.Step(0, arrive(request(1, "a", 5, time.Hour), 1, 1))
	q.Step(0, arrive(request(2, "b", 5, time.Hour), 1, 1))
	out := q.Step(0, arrive(request(3, "c", 5, time.Hour), 1, 1))
	g.Expect(out).To(gomega.ConsistOf(gomega.HaveField("Verdict", admitter.Full)))
	out = q.Step(0, arrive(request(4, "c", 1, time.Hour), 1, 1))
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].ID).NotTo(gomega.Equal(uint64(4)), "a request of lower priority is evicted")
	g.Expect(drain(q, 0)[0]).To(gomega.Equal(uint64(4)))
}

func TestLikelyLateRequestsAreStartedLast(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("none")
	q.Step(0, arrive(request(1, "w", 0, 3*time.Second), 1, 1))
	q.Step(0, arrive(request(2, "w", 0, 30*time.Second), 1, 1))
	g.Expect(drain(q, 1500*time.Millisecond)).To(gomega.Equal([]uint64{2, 1}))
}

func TestLossShedderFollowsLoadAndResets(t *testing.T) {
	g := gomega.NewWithT(t)
	s, _ := admitter.New("loss")
	r := request(1, "w", 0, time.Hour)
	r.RandomValue = 0.3
	var refused bool
	for i := range 20 {
		refused, _ = s.ShouldShed(time.Duration(i)*time.Second, r, admitter.Forecast{Load: 2})
	}
	g.Expect(refused).To(gomega.BeTrue())
	refused, _ = s.ShouldShed(time.Hour, r, admitter.Forecast{Load: 1})
	g.Expect(refused).To(gomega.BeFalse(), "the rejected fraction is reset after its validity")
}

// Guards against bounding retries per request only and not per service, which
// sends every failed request to an overloaded service again. The initial credit
// is spent, then 100 first attempts fail and each asks for a retry.
func TestRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := admitter.NewRetries()
	for r.AllowRetry() {
		continue
	}
	retries := 0
	for range 100 {
		r.RecordRequest()
		if r.AllowRetry() {
			retries++
		}
	}
	g.Expect(retries).To(gomega.Equal(10))
}

// TestEveryRequestGetsOneVerdict checks random events against a simple model:
// each request gets exactly one verdict, no request is started above the limit
// or after it expired, and the bounds of the queue hold.
func TestEveryRequestGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := admitter.New(rapid.SampledFrom(admitter.Names()).Draw(t, "shedder"))
		b := admitter.Bounds{MaxWaiting: rapid.IntRange(1, 20).Draw(t, "waiting"), Workspace: rapid.IntRange(1, 10).Draw(t, "workspace")}
		q := admitter.NewQueue(b, s)
		open := map[uint64]admitter.Request{}
		inFlight, now, next := 0, time.Duration(0), uint64(0)
		step := func(e admitter.Event) {
			e.InFlight, e.Limit = inFlight, rapid.IntRange(0, 4).Draw(t, "limit")
			for _, a := range q.Step(now, e) {
				r, ok := open[a.ID]
				if !ok {
					t.Fatalf("request %d got a second verdict", a.ID)
				}
				delete(open, a.ID)
				if a.Verdict != admitter.Start {
					continue
				}
				if inFlight++; inFlight > e.Limit {
					t.Fatalf("started past the limit of %d", e.Limit)
				}
				if now > r.Deadline-r.MinService {
					t.Fatalf("started request %d too late", a.ID)
				}
			}
			if q.Waiting() != len(open) || q.Waiting() > b.MaxWaiting {
				t.Fatalf("%d wait, %d have no verdict, bound %d", q.Waiting(), len(open), b.MaxWaiting)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				next++
				r := request(next, fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "w")), rapid.IntRange(-1, 11).Draw(t, "p"), now+time.Duration(rapid.IntRange(500, 20000).Draw(t, "d"))*time.Millisecond)
				r.RandomValue = rapid.Float64Range(0, 0.999).Draw(t, "random")
				open[next] = r
				step(admitter.Event{Kind: admitter.Arrive, Request: r})
			},
			"end": func(*rapid.T) {
				inFlight = max(0, inFlight-1)
				step(admitter.Event{Kind: admitter.Tick})
			},
			"cancel": func(t *rapid.T) {
				id := uint64(rapid.IntRange(1, 20).Draw(t, "id"))
				delete(open, id)
				step(admitter.Event{Kind: admitter.Cancel, Request: admitter.Request{ID: id}})
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				step(admitter.Event{Kind: admitter.Tick})
			},
		})
	})
}

// Guards against rejecting requests near capacity although all deadlines could
// be met. A large workspace has a request with 1 s of slack and a small one a
// request with 6 s; if workspaces shared by tokens while nothing is rejected,
// the large one would wait for its turn and miss its deadline.
func TestUrgentRequestIsStartedBeforeItsTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	order := func(refuse bool) []uint64 {
		q := newQueue("none")
		for id := range uint64(3) {
			q.Step(0, arrive(request(id, "large", 0, 3*time.Second+time.Duration(id)*time.Second), 1, 1))
		}
		q.Step(0, arrive(request(3, "small", 0, 8*time.Second), 1, 1))
		if refuse {
			q.Step(0, arrive(request(9, "large", 0, 0), 1, 1))
		}
		return drain(q, 0)
	}
	g.Expect(order(false)).To(gomega.Equal([]uint64{0, 1, 2, 3}))
	g.Expect(order(true)).To(gomega.Equal([]uint64{0, 3, 1, 2}), "shared by tokens after a rejection")
}

// Guards against earliest-deadline-first order regardless of slack, where a burst
// of one workspace delays the others although nothing is rejected: 20 requests
// of one workspace with an hour left, then one of another workspace.
func TestRequestWithSlackWaitsForItsTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("none")
	for id := range uint64(20) {
		q.Step(0, arrive(request(id, "burst", 0, time.Hour), 1, 1))
	}
	q.Step(0, arrive(request(20, "calm", 0, time.Hour+time.Minute), 1, 1))
	g.Expect(drain(q, 0)[:2]).To(gomega.ContainElement(uint64(20)))
}

// Guards against rejecting requests near capacity that would have met their
// deadline: nothing was rejected so far, and a request is predicted to be 0.5 s
// late. Predictions err by a fraction of the service time, so such a prediction
// must not be final.
func TestSlightlyLateRequestIsAdmittedWithoutRecentRejection(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("deadline")
	near := func(id uint64) []admitter.Action {
		return q.Step(0, arrive(request(id, "w", 0, 2500*time.Millisecond), 1, 1))
	}
	g.Expect(near(1)).To(gomega.BeEmpty())
	out := q.Step(0, arrive(request(2, "w", 0, 1500*time.Millisecond), 1, 1))
	g.Expect(out).To(gomega.ConsistOf(gomega.HaveField("Verdict", admitter.Shed)))
	g.Expect(near(3)).To(gomega.ConsistOf(gomega.HaveField("Verdict", admitter.Shed)), "a request was rejected just before")
}

// Guards against callers that come back when they were told to and find their place taken by
// requests that arrived since: a returning request goes first in its priority, but not before a
// higher one, and only returning requests count as ahead of it.
func TestReturningRequestsGoFirstInTheirPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue("none")
	for id := uint64(1); id <= 3; id++ {
		q.Step(0, arrive(request(id, "w", 1, 60*time.Second), 1, 1))
	}
	q.Step(0, arrive(request(4, "v", 0, 60*time.Second), 1, 1))
	r := request(5, "w", 1, 70*time.Second)
	r.Returning = true
	q.Step(0, arrive(r, 1, 1))
	g.Expect(drain(q, 0)).To(gomega.Equal([]uint64{4, 5, 1, 2, 3}))

	q = newQueue("deadline")
	for id := uint64(1); id <= 5; id++ {
		q.Step(0, arrive(request(id, "w", 1, 12*time.Second), 1, 1))
	}
	late := request(6, "w", 1, 12*time.Second)
	late.MinService = late.Service
	g.Expect(q.Step(0, arrive(late, 1, 1))[0].Verdict).To(gomega.Equal(admitter.Shed))
	late.ID, late.Returning = 7, true
	g.Expect(q.Step(0, arrive(late, 1, 1))).To(gomega.BeEmpty(), "it waits behind none of the others")
}
