package forwarder_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
)

// admissionRouter is a router with admission control in front of endpoints of 8 slots.
type admissionRouter struct {
	*testRouter
	log *observer.ObservedLogs
}

func newAdmissionRouter(t *testing.T, edit func(*publisher.Document), endpoints ...*endpoint) *admissionRouter {
	core, log := observer.New(zap.InfoLevel)
	d := document()
	edit(d)
	w := newTestRouterWith(t, d, func(p *forwarder.Dependencies) {
		p.ServiceAdmission, p.Log = true, zap.New(core)
	}, func(int) string { return "z" }, endpoints...)
	return &admissionRouter{w, log}
}

func unchanged(*publisher.Document) {}

// report sets the number of requests that each endpoint reports as running.
func (w *admissionRouter) report(running int) {
	for _, e := range w.table.Endpoints("engine") {
		e.ObserveLoad(time.Now(), predictor.Load{Running: running, Slots: 8})
	}
}

// keepReporting reports the number that running returns until the test ends.
func (w *admissionRouter) keepReporting(t *testing.T, running func() int) {
	w.report(running())
	go func() {
		for t.Context().Err() == nil {
			w.report(running())
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

func full() int { return 8 }

// ended returns the fields of the last `ended` line.
func (w *admissionRouter) ended() map[string]any {
	lines := w.log.FilterMessage("ended").All()
	if len(lines) == 0 {
		return nil
	}
	return lines[len(lines)-1].ContextMap()
}

// counter returns the value of a counter.
func counter(t *testing.T, name string) int {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(v))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("no counter %s", name)
	return 0
}

func outcome(t *testing.T, name string) int {
	return counter(t, `rattanhoist_admission_total{outcome="`+name+`"}`)
}

// expectNoRefusalWithRoom fails the test if a request was refused while an endpoint had room.
func expectNoRefusalWithRoom(t *testing.T) {
	gomega.NewWithT(t).Expect(counter(t, "rattanhoist_admission_refused_with_room_total")).To(gomega.BeZero())
}

// sendSoon sends a request and returns the channel of its answer, once the request waits.
func (w *admissionRouter) sendSoon(t *testing.T, path string, header ...string) chan response {
	out := make(chan response, 1)
	go func() { out <- w.send(t, http.MethodPost, path, "b", header...) }()
	time.Sleep(60 * time.Millisecond)
	select {
	case a := <-out:
		t.Fatalf("request did not wait: %d %s", a.status, a.body)
	default:
	}
	return out
}

// Guards against requests that are sent to full endpoints, and against ones that still wait once an
// endpoint has room.
func TestRequestWaitsForRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	w.report(8)
	before := outcome(t, "waited")
	out := w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "8000")
	g.Expect(e.requests()).To(gomega.BeEmpty())
	w.report(7)
	g.Expect((<-out).status).To(gomega.Equal(http.StatusOK))
	g.Expect(outcome(t, "waited")).To(gomega.Equal(before + 1))
	g.Eventually(w.ended).Should(gomega.HaveKey("queued"))
	g.Expect(w.ended()["queued"]).To(gomega.BeNumerically(">", 40*time.Millisecond))
	w.report(0)
	g.Expect(w.send(t, http.MethodGet, "/read/x", "").status).To(gomega.Equal(http.StatusOK))
	g.Eventually(func() int { return w.log.FilterMessage("ended").Len() }).Should(gomega.Equal(2))
	g.Expect(w.ended()).NotTo(gomega.HaveKey("queued"), "it did not wait")
	expectNoRefusalWithRoom(t)
}

// Guards against callers that wait until their deadline for endpoints that stay full, and against
// refusals that don't say when to come back.
func TestRequestIsRefusedAfterAQuarterOfItsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	w.keepReporting(t, full)
	before, begun := outcome(t, "refused_late"), time.Now()
	a := w.send(t, http.MethodPost, "/once/x", "b", "Rattanhoist-Deadline-Ms", "1200")
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", 300*time.Millisecond, 100*time.Millisecond))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.BeNumerically(">=", 0.1))
	g.Expect(e.requests()).To(gomega.BeEmpty())
	g.Expect(w.rights.settled()).To(gomega.BeEmpty(), "no tokens are reserved while a request waits")
	g.Expect(outcome(t, "refused_late")).To(gomega.Equal(before + 1))
	g.Expect(w.ended()["queued"]).To(gomega.BeNumerically(">", 200*time.Millisecond))
	expectNoRefusalWithRoom(t)
}

// Guards against requests that are refused while an endpoint has room, where room appears and is gone
// again many times in the time that a request waits.
func TestRoomThatComesAndGoes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newAdmissionRouter(t, unchanged, newEndpoint(t, responds(answerOK)))
	var n atomic.Int64
	w.keepReporting(t, func() int { return 7 + int(n.Add(1)%3+1)/2 })
	refused := outcome(t, "refused_late") + outcome(t, "refused_early") + outcome(t, "refused_full")
	var all sync.WaitGroup
	var started, ended atomic.Int64
	for range 40 {
		all.Go(func() {
			for range 5 {
				switch a := w.send(t, http.MethodPost, "/once/x", "b", "Rattanhoist-Deadline-Ms", "100"); a.status {
				case http.StatusOK:
					started.Add(1)
				case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
					ended.Add(1)
				default:
					t.Errorf("status %d, %v", a.status, a.err)
				}
			}
		})
	}
	all.Wait()
	g.Expect(started.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(outcome(t, "refused_late") + outcome(t, "refused_early") + outcome(t, "refused_full")).To(gomega.BeNumerically(">", refused))
	expectNoRefusalWithRoom(t)
}

// Guards against a caller that comes back when it was told to and is placed behind new requests.
func TestReturningCallerGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	var mu sync.Mutex
	running := 8
	w.keepReporting(t, func() int {
		mu.Lock()
		defer mu.Unlock()
		return running
	})
	a := w.send(t, http.MethodPost, "/once/returning", "b", "Rattanhoist-Deadline-Ms", "400")
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	returned := time.Now().Add(time.Duration(after * float64(time.Second)))
	before := counter(t, "rattanhoist_admission_returned_total")
	first := w.sendSoon(t, "/once/new", "Rattanhoist-Deadline-Ms", "8000")
	time.Sleep(time.Until(returned))
	second := w.sendSoon(t, "/once/returning", "Rattanhoist-Deadline-Ms", "8000")
	mu.Lock()
	running = 7
	mu.Unlock()
	g.Expect((<-second).status).To(gomega.Equal(http.StatusOK))
	g.Expect((<-first).status).To(gomega.Equal(http.StatusOK))
	g.Expect(e.requests()[0].URL.Path).To(gomega.Equal("/once/returning"))
	g.Expect(counter(t, "rattanhoist_admission_returned_total")).To(gomega.Equal(before + 1))
	expectNoRefusalWithRoom(t)
}

// Guards against requests that wait for an endpoint that has left until their time is over.
func TestEndpointLeavesWhileRequestsWait(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newEndpoint(t, responds(answerOK)), newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, one, two)
	w.report(8)
	out := w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "8000")
	list := w.table.Endpoints("engine")
	list[0].Exclude()
	list[0].ObserveLoad(time.Now(), predictor.Load{Running: 0, Slots: 8})
	time.Sleep(60 * time.Millisecond)
	g.Expect(out).NotTo(gomega.Receive(), "an endpoint that leaves counts as full")
	list[1].ObserveLoad(time.Now(), predictor.Load{Running: 7, Slots: 8})
	g.Expect((<-out).status).To(gomega.Equal(http.StatusOK))
	g.Expect(one.requests()).To(gomega.BeEmpty())

	w.report(8)
	out = w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "8000")
	list[1].Exclude()
	g.Expect((<-out).status).To(gomega.Equal(http.StatusServiceUnavailable), "nothing is left to wait for")
	expectNoRefusalWithRoom(t)
}

// Guards against the place of a caller that has gone, which would be started in place of another's.
func TestCallerGoesAwayWhileWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	w.keepReporting(t, full)
	before := outcome(t, "abandoned")
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/once/x", strings.NewReader("b"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "a.example"
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Rattanhoist-Deadline-Ms", "20000")
	time.AfterFunc(80*time.Millisecond, cancel)
	_, err = http.DefaultClient.Do(r)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(func() int { return outcome(t, "abandoned") }).Should(gomega.Equal(before + 1))
	g.Expect(w.ended()["status"]).To(gomega.BeEquivalentTo(0))
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against requests that wait and then run although their key was revoked, their route dropped
// or their zones taken away meanwhile.
func TestDocumentChangesWhileRequestWaits(t *testing.T) {
	for name, c := range map[string]struct {
		edit func(*publisher.Document)
		want int
	}{
		"key revoked":     {func(d *publisher.Document) { d.Workspaces[0].Keys = []string{"k2"} }, http.StatusUnauthorized},
		"route dropped":   {func(d *publisher.Document) { d.Routes = d.Routes[2:] }, http.StatusNotFound},
		"zones taken":     {func(d *publisher.Document) { d.Workspaces[0].Regions = []string{"nowhere"} }, http.StatusServiceUnavailable},
		"service removed": {func(d *publisher.Document) { d.Services[0].Name = "other" }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, responds(answerOK))
			w := newAdmissionRouter(t, unchanged, e)
			w.keepReporting(t, full)
			before := outcome(t, "revoked")
			out := w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "8000")
			d := document()
			d.Number++
			c.edit(d)
			w.publish(d)
			g.Expect((<-out).status).To(gomega.Equal(c.want))
			g.Expect(e.requests()).To(gomega.BeEmpty())
			g.Expect(outcome(t, "revoked")).To(gomega.Equal(before + 1))
		})
	}
}

// Guards against a request that starts in the moment in which its key is revoked: the slot of a request
// that ends is passed on before anything tells the waiting one of the change.
func TestKeyIsRevokedAsRequestStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		<-release
		return responds(answerOK)(c, r, body)
	})
	w := newAdmissionRouter(t, unchanged, e)
	d := document()
	d.Number++
	d.Workspaces[0].Keys = []string{"k2"}
	for range 8 {
		w.publish(document())
		w.report(0)
		first := make(chan response, 1)
		go func() { first <- w.send(t, http.MethodPost, "/once/first", "b") }()
		g.Eventually(e.requests).ShouldNot(gomega.BeEmpty())
		time.Sleep(20 * time.Millisecond)
		w.report(8)
		second := w.sendSoon(t, "/once/second")
		w.publish(d)
		release <- struct{}{}
		g.Expect((<-first).status).To(gomega.Equal(http.StatusOK))
		g.Expect((<-second).status).To(gomega.Equal(http.StatusUnauthorized))
	}
	g.Expect(e.requests()).To(gomega.HaveLen(8))
}

// Guards against a change of the document that ends, or loses, requests which it still allows.
func TestDocumentKeepsWaitingRequest(t *testing.T) {
	for name, edit := range map[string]func(*publisher.Document){
		"nothing of the request": unchanged,
		"zones that remain":      func(d *publisher.Document) { d.Workspaces[0].Regions = []string{"north"} },
		"the request's priority": func(d *publisher.Document) { d.Routes[1].Priority = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEndpoint(t, responds(answerOK))
			w := newAdmissionRouter(t, unchanged, e)
			w.report(8)
			out := w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "8000")
			d := document()
			d.Number++
			edit(d)
			w.publish(d)
			time.Sleep(60 * time.Millisecond)
			g.Expect(out).NotTo(gomega.Receive())
			w.report(7)
			g.Expect((<-out).status).To(gomega.Equal(http.StatusOK))
			g.Eventually(func() any { return w.ended()["configuration"] }).Should(gomega.BeEquivalentTo(4))
		})
	}
}

// Guards against requests that wait although an endpoint that may serve them has no known load.
func TestRequestIsSentWhileALoadIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := newEndpoint(t, responds(answerOK)), newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, one, two)
	w.table.Endpoints("engine")[0].ObserveLoad(time.Now(), predictor.Load{Running: 8, Slots: 8})
	g.Expect(w.send(t, http.MethodPost, "/once/x", "b").status).To(gomega.Equal(http.StatusOK))
	g.Expect(two.requests()).To(gomega.HaveLen(1))
}

// spentRights knows that every total is spent.
type spentRights struct{ rightsStub }

func (*spentRights) KnownSpent(string, int64) bool { return true }

// Guards against requests that wait for an endpoint although their total is known to be spent.
func TestSpentTotalIsKnownBeforeWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouterWith(t, document(), func(p *forwarder.Dependencies) {
		p.ServiceAdmission, p.Rights = true, &spentRights{}
	}, func(int) string { return "z" }, newEndpoint(t, responds(answerOK)))
	w.table.Endpoints("engine")[0].ObserveLoad(time.Now(), predictor.Load{Running: 8, Slots: 8})
	begun := time.Now()
	g.Expect(w.send(t, http.MethodPost, "/stream/x", "", "Rattanhoist-Token-Usage", "10,20").status).To(gomega.Equal(http.StatusPaymentRequired))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond))
}

// Guards against a switch that leaves a part of the admission control on: without it, requests to full
// endpoints are sent as before, and with it, requests to endpoints with room are sent in the same way.
func TestServiceAdmissionOffAndUnusedAreTheSame(t *testing.T) {
	g := gomega.NewWithT(t)
	record := func(on bool, running int) (sent []string, answers []response) {
		e := newEndpoint(t, responds(answerOK), responds(answerNotRun), responds(answerOK))
		w := newTestRouterWith(t, document(), func(p *forwarder.Dependencies) { p.ServiceAdmission = on }, func(int) string { return "z" }, e)
		w.table.Endpoints("engine")[0].ObserveLoad(time.Now(), predictor.Load{Running: running, Slots: 8})
		for _, path := range []string{"/read/x", "/once/x", "/none/x"} {
			a := w.send(t, http.MethodPost, path, "b")
			a.header.Del("Retry-After")
			a.header.Del("Date")
			answers = append(answers, a)
		}
		for _, r := range e.requests() {
			r.Header.Del("Rattanhoist-Deadline-Ms")
			sent = append(sent, r.Method+r.RequestURI+headerText(r.Header))
		}
		return sent, answers
	}
	sentOff, answersOff := record(false, 8)
	sentOn, answersOn := record(true, 0)
	g.Expect(sentOff).To(gomega.HaveLen(2))
	g.Expect(sentOn).To(gomega.Equal(sentOff))
	g.Expect(answersOn).To(gomega.Equal(answersOff))
}

func headerText(h http.Header) string {
	var b bytes.Buffer
	_ = h.Write(&b)
	return b.String()
}

// Guards against a caller that waits at a stopping router until its connection is cut, and can't know
// that the request has not run.
func TestWaitingRequestIsRefusedBeforeTheRouterEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newAdmissionRouter(t, unchanged, e)
	stopping := make(chan struct{})
	w.forwarder.Stopping = stopping
	w.keepReporting(t, full)
	out := w.sendSoon(t, "/once/x", "Rattanhoist-Deadline-Ms", "60000")
	g.Consistently(out, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(stopping)
	a := <-out
	g.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against endpoints that get more requests at once than they have room for, when many wait.
func TestManyWaitingRequestsStartAsThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	active, peak := 0, 0
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		mu.Lock()
		active++
		peak = max(peak, active)
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		active--
		mu.Unlock()
		return responds(answerOK)(c, r, body)
	})
	w := newAdmissionRouter(t, unchanged, e)
	w.keepReporting(t, func() int {
		mu.Lock()
		defer mu.Unlock()
		return 6 + min(active, 2)
	})
	var all sync.WaitGroup
	statuses := make(chan response, 20)
	for range 20 {
		all.Go(func() {
			statuses <- w.send(t, http.MethodPost, "/once/x", "b", "Rattanhoist-Deadline-Ms", "20000")
		})
	}
	all.Wait()
	close(statuses)
	for s := range statuses {
		g.Expect(s.status).To(gomega.Equal(http.StatusOK), s.body)
	}
	g.Expect(peak).To(gomega.BeNumerically("<=", 2))
	expectNoRefusalWithRoom(t)
}
