package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says(whole))
	w := newWorld(t, e)
	a := w.ask(t, "POST", "/once/x?y=%2F", "the body", "X-Own", "1", "Rattanhoist-Tenant", "forged", "Rattanhoist-Hold", "forged",
		"Kv-From", "forged", "Connection", "X-Hop", "X-Hop", "1")
	g.Expect(a.status).To(gomega.Equal(200))
	g.Expect(a.body).To(gomega.Equal("hello"))
	g.Expect(a.header.Get(signature)).To(gomega.Equal("s1"))
	got := e.requests()[0]
	g.Expect(got.Method + " " + got.RequestURI + " " + got.Host).To(gomega.Equal("POST /once/x?y=%2F A.example:80"))
	g.Expect(e.bodies[0]).To(gomega.Equal("the body"))
	h := got.Header
	g.Expect(h.Get("Rattanhoist-Request-Id")).To(gomega.Equal("r1"))
	g.Expect(h.Get("X-Own")).To(gomega.Equal("1"))
	g.Expect(h.Get("Rattanhoist-Tenant")).To(gomega.Equal("labone"))
	g.Expect(h.Get("Rattanhoist-Target-Instance")).To(gomega.Equal("e1"))
	for _, k := range []string{"Api-Key", "Rattanhoist-Hold", "Kv-From", "X-Hop"} {
		g.Expect(h).NotTo(gomega.HaveKey(k))
	}
}

func TestAnswersOfTheRouterItself(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says(whole))
	w := newWorld(t, e)
	g.Expect(w.ask(t, "GET", "/none/x", "").status).To(gomega.Equal(404))
	g.Expect(w.ask(t, "GET", "/read/x", "", "Api-Key", "other").status).To(gomega.Equal(401))
	w.rights.err = forwarder.ErrSpent
	g.Expect(w.ask(t, "POST", "/stream/x", "", "Rattanhoist-Token-Usage", "10,20").status).To(gomega.Equal(402))
	w.rights.err = forwarder.ErrRightsOutOfReach
	a := w.ask(t, "POST", "/stream/x", "", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Symptom: what may run once runs twice.
// Sequence: the endpoint runs the request and resets its connection instead of
// answering; another endpoint is free.
// Cause: a router, or a transport below it, that sends it again.
func TestWhatMayRunOnceIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says("reset"))
	f := newEndpoint(t, says("reset"))
	w := newWorld(t, e, f)
	for _, path := range []string{"/once/x", "/stream/x"} {
		before := len(e.requests()) + len(f.requests())
		g.Expect(w.ask(t, "POST", path, "b").status).To(gomega.Equal(502), path)
		g.Expect(len(e.requests())+len(f.requests())).To(gomega.Equal(before+1), path)
	}
}

func TestIdempotentRequestIsRepeatedElsewhere(t *testing.T) {
	for name, first := range map[string]script{"reset": says("reset"), "failed": says(broken), "not run": says(notRun), "garbage": says("gar\r\nbage\r\n\r\n", "close")} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			bad, good := newEndpoint(t, first), newEndpoint(t, says(whole))
			w := newWorld(t, bad, good)
			for range 6 {
				g.Expect(w.ask(t, "GET", "/read/x", "").status).To(gomega.Equal(200))
			}
			g.Expect(bad.requests()).NotTo(gomega.BeEmpty())
		})
	}
}

// Symptom: a refusal says "not run" and the request ran.
// Sequence: an endpoint answers 503 without saying that it did not run it.
// Cause: its status passed on as it is.
func TestAnEndpointsRefusalWithoutPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says("HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Request-Id: ID\r\n"+signature+": s1\r\nContent-Length: 0\r\n\r\n"))
	w := newWorld(t, e)
	a := w.ask(t, "POST", "/once/x", "b")
	g.Expect(a.status).To(gomega.Equal(502))
	g.Expect(a.header).NotTo(gomega.HaveKey(signature), "a signature belongs to the status that it was made for")
}

func TestRefusalThatPromises(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says(notRun))
	w := newWorld(t, e)
	a := w.ask(t, "POST", "/once/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{0}), "what did not run costs nothing")
}

// Symptom: a caller gets a 502 that bears an endpoint's signature.
// Sequence: an endpoint answers 200 with the head of a stream and crashes
// before its first event.
// Cause: the answer's head was copied before it was clear that it is the
// answer.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, newEndpoint(t, says(events, "reset")))
	a := w.ask(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(502))
	g.Expect(a.header).NotTo(gomega.HaveKey(signature))
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{10}), "the prompt may have been read")
}

func TestStreamIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, newEndpoint(t, says(events, event("1"), event("2"), ending)))
	a := w.ask(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.err).NotTo(gomega.HaveOccurred())
	g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{22}))
}

// Symptom: a stream holds half an event, or pieces of two runs are joined.
// Sequence: an endpoint breaks off within its second event; the route allows
// the stream to go on elsewhere.
// Cause: the torn event passed on, or the second run started from the wrong
// place.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	torn := newEndpoint(t, says(events, event("1"), chunk("id: 2\nda"), "reset"))
	rest := newEndpoint(t, says(events, event("2"), event("3"), ending))
	w := newWorld(t, torn, rest)
	for len(torn.requests()) == 0 {
		a := w.ask(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		if len(torn.requests()) == 1 {
			g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"))
			got := rest.requests()
			g.Expect(got[len(got)-1].Header.Get("Last-Event-Id")).To(gomega.Equal("1"))
		}
	}
}

// Symptom: a stream that was cut short looks complete.
// Sequence: an endpoint breaks off; the stream may not go on elsewhere.
// Cause: the router ends its own answer properly.
func TestStreamThatCantGoOnIsBrokenOff(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, newEndpoint(t, says(events, event("1"), "reset")))
	a := w.ask(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(200))
	g.Expect(a.err).To(gomega.HaveOccurred())
}

// Symptom: a caller gets the answer of another request.
// Sequence: an endpoint answers one request twice; the next request on the
// connection finds the second answer.
// Cause: answers taken in the order in which they come.
func TestSecondAnswerIsNotTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	late := headOK + "Content-Length: 4\r\n\r\nlate"
	e := newEndpoint(t, says(whole), func(c net.Conn, r *http.Request, b string) bool {
		return says("HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: other\r\nContent-Length: 4\r\n\r\nlate", whole)(c, r, b)
	}, says(whole+late), says(whole))
	w := newWorld(t, e)
	for range 5 {
		g.Expect(w.ask(t, "POST", "/once/x", "b").body).To(gomega.Equal("hello"))
		time.Sleep(10 * time.Millisecond)
	}
}

// Symptom: an endpoint works for a caller who has left.
// Sequence: the caller closes its connection during a stream.
// Cause: the connection to the endpoint stays open.
func TestCallerWhoLeavesStopsTheWork(t *testing.T) {
	g := gomega.NewWithT(t)
	gone := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
		says(events, event("1"))(c, r, b)
		_, _ = c.Read(make([]byte, 1))
		close(gone)
		return false
	})
	w := newWorld(t, e)
	r, err := http.NewRequestWithContext(t.Context(), "POST", w.server.URL+"/stream/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "a.example"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	a, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = a.Body.Close()
	g.Eventually(gone, 500*time.Millisecond).Should(gomega.BeClosed())
}

func TestDeadlineGetsItsFinalAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	w := newWorld(t, e)
	begun := time.Now()
	a := w.ask(t, "POST", "/once/x", "b", "Rattanhoist-Deadline-Ms", "200")
	g.Expect(a.status).To(gomega.Equal(504))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 600*time.Millisecond))
}

// Symptom: a stream stands still for seconds and breaks off, though it may go on
// elsewhere.
// Sequence: its endpoint loses power within the stream and starts again under its
// id; no reset comes from there.
// Cause: the connection to the life before is kept as if that were alive.
func TestStreamGoesOnWhenItsEndpointStartedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := make(chan struct{}, 1)
	dark := newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
		says(events, event("1"))(c, r, b)
		silent <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	rest := newEndpoint(t, says(events, event("2"), ending))
	w := newWorld(t, dark, rest)
	go func() {
		<-silent
		time.Sleep(20 * time.Millisecond)
		w.pool.End("e1")
	}()
	for len(dark.requests()) == 0 {
		a := w.ask(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		if len(dark.requests()) == 1 {
			g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
		}
	}
}

func TestRequestThatIsHeldBackIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, says(whole))
	w := newWorld(t, e)
	w.held.held = 40 * time.Second
	a := w.ask(t, "POST", "/read/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">=", 40))
	g.Expect(e.requests()).To(gomega.BeEmpty())
	g.Expect(w.rights.settled()).To(gomega.BeEmpty(), "nothing is set aside for it")
}

// A request is told of by what it is, not by its id, and only what an endpoint's
// connection did tells against it.
func TestWhatAnAttemptShowsOfItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, newEndpoint(t, says(events, "reset")))
	for _, id := range []string{"r1", "r2"} {
		g.Expect(w.ask(t, "POST", "/stream/x", "b", "Rattanhoist-Request-Id", id).status).To(gomega.Equal(502))
	}
	g.Expect(w.held.broken).To(gomega.HaveLen(2))
	g.Expect(w.held.broken[0]).To(gomega.Equal(w.held.broken[1]))
	g.Expect(w.held.broken[0].Workspace).To(gomega.Equal("labone"))
	g.Expect(w.held.answered).To(gomega.BeEmpty())

	for name, c := range map[string]struct {
		path     string
		s        script
		answered int
	}{
		"whole": {"/once/x", says(whole), 1}, "stream": {"/stream/x", says(events, event("1"), ending), 1},
		"failed": {"/once/x", says(broken), 0}, "not run": {"/once/x", says(notRun), 0},
		"shed": {"/once/x", says("HTTP/1.1 429 Too Many Requests\r\nRattanhoist-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"), 0},
	} {
		w = newWorld(t, newEndpoint(t, c.s))
		w.ask(t, "POST", c.path, "b")
		g.Expect(w.held.answered).To(gomega.HaveLen(c.answered), name)
		g.Expect(w.held.broken).To(gomega.BeEmpty(), name)
	}
	w = newWorld(t, newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}))
	w.ask(t, "POST", "/once/x", "b", "Rattanhoist-Deadline-Ms", "100")
	g.Expect(w.held.broken).To(gomega.BeEmpty(), "the router itself ended it")
}

// Symptom: a request is sent on to another endpoint though equal ones ended several.
// Sequence: it is held back while an attempt is under way, which breaks off.
// Cause: what is held back looked at only when a request arrives.
func TestAttemptThatBrokeOffIsNotRepeatedOnceHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var w *world
	dies := func(c net.Conn, r *http.Request, b string) bool {
		w.held.mu.Lock()
		w.held.held = time.Minute
		w.held.mu.Unlock()
		return says("reset")(c, r, b)
	}
	one, two := newEndpoint(t, dies), newEndpoint(t, dies)
	w = newWorld(t, one, two)
	g.Expect(w.ask(t, "GET", "/read/x", "").status).To(gomega.Equal(502), "it may have run")
	g.Expect(len(one.requests()) + len(two.requests())).To(gomega.Equal(1))
}

// Guards against a request, or its repeat, that leaves the regions of its route.
func TestBoundRequestsStayInTheirRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	inside, outside := newEndpoint(t, says(broken)), newEndpoint(t, says(whole))
	w := newWorldIn(t, func(i int) string { return []string{"z", "y"}[i] }, inside, outside)
	for range 5 {
		g.Expect(w.ask(t, "GET", "/north/x", "").status).To(gomega.Equal(502), "no other endpoint may have it")
	}
	a := w.ask(t, "GET", "/nowhere/x", "")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(inside.requests()).To(gomega.HaveLen(5))
	g.Expect(outside.requests()).To(gomega.BeEmpty())
}

// Guards against a rate limit that is read from only some kinds of responses. The router
// has no share of the limit, so it must not send another request to the endpoint.
func TestRateLimitIsReadFromAnyResponse(t *testing.T) {
	expectNoRequestsAfter(t, "Server-Limit: 2\r\n")
}

// Guards against new requests to an endpoint after it has reported, in any kind of
// response, that it is leaving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	expectNoRequestsAfter(t, "Server-Leaving: 1\r\n")
}

// expectNoRequestsAfter checks, for each kind of response, that an endpoint receives no
// further requests after a response that contains the given header field.
func expectNoRequestsAfter(t *testing.T, field string) {
	for name, s := range map[string]script{
		"whole": says(headOK + field + "Content-Length: 5\r\n\r\nhello"), "stream": says(headOK+field+"Transfer-Encoding: chunked\r\n\r\n", event("1"), ending),
		"not run": says("HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Not-Executed: 1\r\n" + field + "Content-Length: 0\r\n\r\n"),
		"failed":  says("HTTP/1.1 500 Internal Server Error\r\nRattanhoist-Request-Id: ID\r\n" + field + "Content-Length: 3\r\n\r\nbad"),
		"broken":  says(headOK+field+"Content-Length: 5\r\n\r\nhe", "reset"),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, s)
			w := newWorld(t, e)
			w.ask(t, "POST", "/stream/x", "b")
			g.Expect(e.requests()).To(gomega.HaveLen(1))
			for _, path := range []string{"/stream/x", "/read/x", "/resume/x", "/once/x"} {
				a := w.ask(t, "POST", path, "b")
				g.Expect(a.status).To(gomega.Equal(503))
				g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
			g.Expect(e.requests()).To(gomega.HaveLen(1))
		})
	}
}

// Guards against requests to an endpoint before its Retry-After period has elapsed, and
// against refusals that tell callers to retry before an endpoint accepts requests.
func TestEndpointRetryAfterIsHonored(t *testing.T) {
	g := gomega.NewWithT(t)
	unavailable := "HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
	one, two := newEndpoint(t, says(unavailable)), newEndpoint(t, says(unavailable))
	w := newWorld(t, one, two)
	for _, path := range []string{"/read/x", "/stream/x", "/resume/x", "/once/x"} {
		a := w.ask(t, "POST", path, "b")
		g.Expect(a.status).To(gomega.Equal(503))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.BeNumerically(">", 2), path)
	}
	g.Expect(one.requests()).To(gomega.HaveLen(1))
	g.Expect(two.requests()).To(gomega.HaveLen(1))
}
