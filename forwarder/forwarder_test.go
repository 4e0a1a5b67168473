package forwarder_test

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/predictor"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	a := w.send(t, "POST", "/once/x?y=%2F", "the body", "X-Own", "1", "Rattanhoist-Tenant", "forged", "Rattanhoist-Hold", "forged",
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

func TestRouterAnswersWithoutEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	g.Expect(w.send(t, "GET", "/none/x", "").status).To(gomega.Equal(404))
	g.Expect(w.send(t, "GET", "/read/x", "", "Api-Key", "other").status).To(gomega.Equal(401))
	w.rights.err = forwarder.ErrSpent
	g.Expect(w.send(t, "POST", "/stream/x", "", "Rattanhoist-Token-Usage", "10,20").status).To(gomega.Equal(402))
	w.rights.err = forwarder.ErrRightsUnavailable
	a := w.send(t, "POST", "/stream/x", "", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against a router, or its transport, that sends a request again although it must
// run at most once. The endpoint runs the request and resets its connection instead of
// answering; another endpoint is available.
func TestRequestThatMustRunOnceIsNotRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds("reset"))
	f := newEndpoint(t, responds("reset"))
	w := newTestRouter(t, e, f)
	for _, path := range []string{"/once/x", "/stream/x"} {
		before := len(e.requests()) + len(f.requests())
		g.Expect(w.send(t, "POST", path, "b").status).To(gomega.Equal(502), path)
		g.Expect(len(e.requests())+len(f.requests())).To(gomega.Equal(before+1), path)
	}
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for name, first := range map[string]script{"reset": responds("reset"), "failed": responds(answerFailed), "not run": responds(answerNotRun), "garbage": responds("gar\r\nbage\r\n\r\n", "close")} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			bad, good := newEndpoint(t, first), newEndpoint(t, responds(answerOK))
			w := newTestRouter(t, bad, good)
			for range 6 {
				g.Expect(w.send(t, "GET", "/read/x", "").status).To(gomega.Equal(200))
			}
			g.Expect(bad.requests()).NotTo(gomega.BeEmpty())
		})
	}
}

// Guards against a status that tells the caller that its request was not run although it
// may have run: an endpoint answers 503 without stating that it did not run the request.
func TestRefusalThatDoesNotStateNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds("HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Request-Id: ID\r\n"+signature+": s1\r\nContent-Length: 0\r\n\r\n"))
	w := newTestRouter(t, e)
	a := w.send(t, "POST", "/once/x", "b")
	g.Expect(a.status).To(gomega.Equal(502))
	g.Expect(a.header).NotTo(gomega.HaveKey(signature), "a signature is valid only for the signed status")
}

func TestRefusalThatStatesNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerNotRun))
	w := newTestRouter(t, e)
	a := w.send(t, "POST", "/once/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{0}), "what did not run costs nothing")
}

// Guards against a 502 answer with an endpoint's signature. An endpoint answers 200 with the
// head of a stream and crashes before its first event; its header must not have been copied
// to the answer by then.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(streamHead, "reset")))
	a := w.send(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(502))
	g.Expect(a.header).NotTo(gomega.HaveKey(signature))
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{10}), "the prompt may have been prefilled")
}

func TestStreamIsPassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(streamHead, event("1"), event("2"), streamEnd)))
	a := w.send(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.err).NotTo(gomega.HaveOccurred())
	g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
	g.Eventually(w.rights.settled).Should(gomega.Equal([]int64{22}))
}

// Guards against a stream that contains an incomplete event, or that is resumed at the
// wrong event. An endpoint breaks off within its second event, and the route allows the
// stream to be resumed at another endpoint.
func TestStreamIsResumedAfterTheLastCompleteEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	broken := newEndpoint(t, responds(streamHead, event("1"), chunk("id: 2\nda"), "reset"))
	healthy := newEndpoint(t, responds(streamHead, event("2"), event("3"), streamEnd))
	w := newTestRouter(t, broken, healthy)
	for len(broken.requests()) == 0 {
		a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		if len(broken.requests()) == 1 {
			g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"))
			got := healthy.requests()
			g.Expect(got[len(got)-1].Header.Get("Last-Event-Id")).To(gomega.Equal("1"))
		}
	}
}

// Guards against a stream that was cut short but looks complete to the caller. An endpoint
// breaks off, and the route does not allow the stream to be resumed.
func TestStreamThatCantBeResumedIsBrokenOff(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(streamHead, event("1"), "reset")))
	a := w.send(t, "POST", "/stream/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(200))
	g.Expect(a.err).To(gomega.HaveOccurred())
}

// Guards against a caller that gets the answer of another request, when answers are matched
// to requests by order alone. An endpoint answers one request twice, and the next request
// on the connection finds the second answer.
func TestSecondAnswerIsNotTakenForTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	late := headOK + "Content-Length: 4\r\n\r\nlate"
	e := newEndpoint(t, responds(answerOK), func(c net.Conn, r *http.Request, b string) bool {
		return responds("HTTP/1.1 200 OK\r\nRattanhoist-Request-Id: other\r\nContent-Length: 4\r\n\r\nlate", answerOK)(c, r, b)
	}, responds(answerOK+late), responds(answerOK))
	w := newTestRouter(t, e)
	for range 5 {
		g.Expect(w.send(t, "POST", "/once/x", "b").body).To(gomega.Equal("hello"))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an endpoint that keeps working for a caller that disconnected during a
// stream, because the connection to the endpoint stays open.
func TestDisconnectedCallerStopsTheEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	disconnected := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
		responds(streamHead, event("1"))(c, r, b)
		_, _ = c.Read(make([]byte, 1))
		close(disconnected)
		return false
	})
	w := newTestRouter(t, e)
	r, err := http.NewRequestWithContext(t.Context(), "POST", w.server.URL+"/stream/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "a.example"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	a, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = a.Body.Close()
	g.Eventually(disconnected, 500*time.Millisecond).Should(gomega.BeClosed())
}

func TestRequestIsAnsweredAtItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	w := newTestRouter(t, e)
	begun := time.Now()
	a := w.send(t, "POST", "/once/x", "b", "Rattanhoist-Deadline-Ms", "200")
	g.Expect(a.status).To(gomega.Equal(504))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 600*time.Millisecond))
}

// Guards against a resumable stream that stalls for seconds and then breaks off. Its
// endpoint loses power during the stream and restarts under the same id, without a reset of
// the old connection. The connection to the previous incarnation must be closed.
func TestStreamIsResumedWhenItsEndpointRestarted(t *testing.T) {
	g := gomega.NewWithT(t)
	silent := make(chan struct{}, 1)
	silentEndpoint := newEndpoint(t, func(c net.Conn, r *http.Request, b string) bool {
		responds(streamHead, event("1"))(c, r, b)
		silent <- struct{}{}
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	healthy := newEndpoint(t, responds(streamHead, event("2"), streamEnd))
	w := newTestRouter(t, silentEndpoint, healthy)
	go func() {
		<-silent
		time.Sleep(20 * time.Millisecond)
		w.pool.CloseAll("e1")
	}()
	for len(silentEndpoint.requests()) == 0 {
		a := w.send(t, "POST", "/resume/x", "b", "Rattanhoist-Token-Usage", "10,20")
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		if len(silentEndpoint.requests()) == 1 {
			g.Expect(a.body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))
		}
	}
}

func TestRequestThatIsHeldBackIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newTestRouter(t, e)
	w.quarantine.heldFor = 40 * time.Second
	a := w.send(t, "POST", "/read/x", "b", "Rattanhoist-Token-Usage", "10,20")
	g.Expect(a.status).To(gomega.Equal(503))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">=", 40))
	g.Expect(e.requests()).To(gomega.BeEmpty())
	g.Expect(w.rights.settled()).To(gomega.BeEmpty(), "no tokens are reserved for it")
}

// The quarantine identifies a request by its content, not by its id, and only an endpoint's
// broken connection counts against it.
func TestAttemptsAreReportedToTheQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, responds(streamHead, "reset")))
	for _, id := range []string{"r1", "r2"} {
		g.Expect(w.send(t, "POST", "/stream/x", "b", "Rattanhoist-Request-Id", id).status).To(gomega.Equal(502))
	}
	g.Expect(w.quarantine.broken).To(gomega.HaveLen(2))
	g.Expect(w.quarantine.broken[0]).To(gomega.Equal(w.quarantine.broken[1]))
	g.Expect(w.quarantine.broken[0].Fingerprint.Workspace).To(gomega.Equal("labone"))
	g.Expect(w.quarantine.answered).To(gomega.BeEmpty())

	for name, c := range map[string]struct {
		path     string
		s        script
		answered int
	}{
		"whole": {"/once/x", responds(answerOK), 1}, "stream": {"/stream/x", responds(streamHead, event("1"), streamEnd), 1},
		"failed": {"/once/x", responds(answerFailed), 0}, "not run": {"/once/x", responds(answerNotRun), 0},
		"shed": {"/once/x", responds("HTTP/1.1 429 Too Many Requests\r\nRattanhoist-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"), 0},
	} {
		w = newTestRouter(t, newEndpoint(t, c.s))
		w.send(t, "POST", c.path, "b")
		g.Expect(w.quarantine.answered).To(gomega.HaveLen(c.answered), name)
		g.Expect(w.quarantine.broken).To(gomega.BeEmpty(), name)
	}
	w = newTestRouter(t, newEndpoint(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	}))
	w.send(t, "POST", "/once/x", "b", "Rattanhoist-Deadline-Ms", "100")
	g.Expect(w.quarantine.broken).To(gomega.BeEmpty(), "the router itself closed the connection")
}

// Guards against a retry of a request that is held back while an attempt is under way that
// then breaks off, if the quarantine is consulted only when the request arrives.
func TestAttemptThatBrokeOffIsNotRetriedOnceHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	var w *testRouter
	crash := func(c net.Conn, r *http.Request, b string) bool {
		w.quarantine.mu.Lock()
		w.quarantine.heldFor = time.Minute
		w.quarantine.mu.Unlock()
		return responds("reset")(c, r, b)
	}
	one, two := newEndpoint(t, crash), newEndpoint(t, crash)
	w = newTestRouter(t, one, two)
	g.Expect(w.send(t, "GET", "/read/x", "").status).To(gomega.Equal(502), "it may have run")
	g.Expect(len(one.requests()) + len(two.requests())).To(gomega.Equal(1))
}

// Guards against requests and retries outside the regions of their route.
func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	inside, outside := newEndpoint(t, responds(answerFailed)), newEndpoint(t, responds(answerOK))
	w := newTestRouterInZones(t, func(i int) string { return []string{"z", "y"}[i] }, inside, outside)
	for range 5 {
		g.Expect(w.send(t, "GET", "/north/x", "").status).To(gomega.Equal(502), "no other endpoint may receive it")
	}
	a := w.send(t, "GET", "/nowhere/x", "")
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

// leavingLink is a network link during whose delay an endpoint leaves service.
type leavingLink struct{ leave func() }

func (l leavingLink) Sent(time.Time, int)     {}
func (l leavingLink) Received(time.Time, int) {}
func (l leavingLink) Delay(time.Time) time.Duration {
	l.leave()
	return 0
}

// Guards against a request that reaches an endpoint after its leave, because the endpoint was chosen
// before it and opening the connection took long.
func TestEndpointThatLeavesWhileItsConnectionOpensGetsNoRequest(t *testing.T) {
	for path, s := range map[string]script{
		"/read/x": responds(answerOK), "/once/x": responds(answerOK), "/stream/x": responds(streamHead, event("1"), streamEnd),
	} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			first, second := newEndpoint(t, s), newEndpoint(t, s)
			w := newTestRouter(t, first, second)
			all := w.table.Endpoints("engine")
			all[1].Exclude()
			w.pool.UseLink(leavingLink{sync.OnceFunc(func() {
				remaining := predictor.NewEndpoint(all[1].Beat())
				w.table.Replace(map[string][]*predictor.Endpoint{"engine": {remaining}})
			})})
			g.Expect(w.send(t, "POST", path, "b").status).To(gomega.Equal(200))
			g.Expect(first.requests()).To(gomega.BeEmpty(), "it has left")
			g.Expect(second.requests()).To(gomega.HaveLen(1))
		})
	}
}

// expectNoRequestsAfter checks, for each kind of response, that an endpoint receives no
// further requests after a response that contains the given header field.
func expectNoRequestsAfter(t *testing.T, field string) {
	for name, s := range map[string]script{
		"whole": responds(headOK + field + "Content-Length: 5\r\n\r\nhello"), "stream": responds(headOK+field+"Transfer-Encoding: chunked\r\n\r\n", event("1"), streamEnd),
		"not run": responds("HTTP/1.1 503 Service Unavailable\r\nRattanhoist-Not-Executed: 1\r\n" + field + "Content-Length: 0\r\n\r\n"),
		"failed":  responds("HTTP/1.1 500 Internal Server Error\r\nRattanhoist-Request-Id: ID\r\n" + field + "Content-Length: 3\r\n\r\nbad"),
		"broken":  responds(headOK+field+"Content-Length: 5\r\n\r\nhe", "reset"),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, s)
			w := newTestRouter(t, e)
			w.send(t, "POST", "/stream/x", "b")
			g.Expect(e.requests()).To(gomega.HaveLen(1))
			for _, path := range []string{"/stream/x", "/read/x", "/resume/x", "/once/x"} {
				a := w.send(t, "POST", path, "b")
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
	one, two := newEndpoint(t, responds(unavailable)), newEndpoint(t, responds(unavailable))
	w := newTestRouter(t, one, two)
	for _, path := range []string{"/read/x", "/stream/x", "/resume/x", "/once/x"} {
		a := w.send(t, "POST", path, "b")
		g.Expect(a.status).To(gomega.Equal(503))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.BeNumerically(">", 2), path)
	}
	g.Expect(one.requests()).To(gomega.HaveLen(1))
	g.Expect(two.requests()).To(gomega.HaveLen(1))
}
