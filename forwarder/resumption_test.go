package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/pooler"
	"rattanhoist.example/rattanhoist/predictor"
	"rattanhoist.example/rattanhoist/publisher"
	"rattanhoist.example/rattanhoist/resumer"
)

// originsStub knows origins by key, and the sole versions of services.
type originsStub struct {
	mu       sync.Mutex
	known    map[resumer.Key]resumer.Origin
	recorded []resumer.Key
	// err is returned for unknown streams.
	err    error
	sole   map[string]enroller.Version
	within time.Duration
	// unheard holds the versions of which the router has not heard yet.
	unheard map[enroller.Version]bool
}

func (o *originsStub) KnowsVersion(_ string, v enroller.Version) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.unheard[v]
}

func newOriginsStub() *originsStub {
	return &originsStub{known: map[resumer.Key]resumer.Origin{}, err: resumer.ErrUnknown, sole: map[string]enroller.Version{}}
}

func (o *originsStub) Record(x resumer.Origin, _ time.Duration, content resumer.Key, attempts ...resumer.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range append(attempts, content) {
		o.known[k] = x
		o.recorded = append(o.recorded, k)
	}
}

func (o *originsStub) Find(_ context.Context, k resumer.Key, _ time.Duration) (resumer.Origin, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if x, ok := o.known[k]; ok {
		return x, nil
	}
	return resumer.Origin{}, o.err
}

func (o *originsStub) SoleVersion(_ context.Context, service string, within time.Duration) (enroller.Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.within = within
	v, ok := o.sole[service]
	return v, ok
}

// streamOf answers with the events from the first to the last number.
func streamOf(from, to int, end ...string) script {
	parts := []string{streamHead}
	for i := from; i <= to; i++ {
		parts = append(parts, event(fmt.Sprint(i)))
	}
	if len(end) == 0 {
		end = []string{streamEnd}
	}
	return responds(append(parts, end...)...)
}

// newVersionRouter starts a router whose endpoints have the given versions.
func newVersionRouter(t *testing.T, o *originsStub, versions []string, endpoints ...*endpoint) *testRouter {
	return newVersionRouterWith(t, document(), func(*forwarder.Dependencies) {}, o, versions, endpoints...)
}

func newVersionRouterWith(t *testing.T, d *publisher.Document, change func(*forwarder.Dependencies), o *originsStub, versions []string, endpoints ...*endpoint) *testRouter {
	w := newTestRouterWith(t, d, func(p *forwarder.Dependencies) {
		p.Origins = o
		change(p)
	}, func(int) string { return "z" }, endpoints...)
	w.setVersions(versions...)
	return w
}

// setVersions sets the versions of the endpoints in order.
func (w *testRouter) setVersions(versions ...string) {
	list := w.table.Endpoints("engine")
	for i, v := range versions {
		list[i].SetVersion(enroller.Version(v))
	}
	w.table.Replace(map[string][]*predictor.Endpoint{"engine": list})
}

// originKey is the key of an attempt of the workspace labone.
func originKey(path, attempt string) resumer.Key {
	return resumer.NewKey("labone", "A.example:80", path, attempt)
}

// resume sends a request that resumes a stream after event 2.
func (w *testRouter) resume(t *testing.T, resumes string) response {
	return w.send(t, "POST", "/resume/x", "", "Last-Event-Id", "2", "Resumes", resumes, "Rattanhoist-Request-Id", "later", "Rattanhoist-Token-Usage", "10,20")
}

// Guards against an origin that other routers learn only after the caller has the first event, and one
// that is recorded for a stream without an event.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	w := newVersionRouter(t, o, []string{"v1"}, newEndpoint(t, responds(streamHead, "reset"), streamOf(1, 2)))
	r, err := http.NewRequestWithContext(t.Context(), "POST", w.server.URL+"/resume/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "A.example:80"
	r.Header.Set("Rattanhoist-Request-Id", "r1")
	r.Header.Set("Api-Key", "k1")
	a, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	g.Expect(a.StatusCode).To(gomega.Equal(502), "nothing was passed on")
	g.Expect(o.recorded).To(gomega.BeEmpty())
	a, err = http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Body.Close()
	g.Expect(a.StatusCode).To(gomega.Equal(200))
	o.mu.Lock()
	g.Expect(o.known[originKey("/resume/x", "r1")]).To(gomega.Equal(resumer.Origin{Service: "engine", Version: "v1"}))
	o.mu.Unlock()
}

// Guards against a stream that goes on at another version of the service than the one that began it.
// The caller's next attempt may name the first one, or the one in between.
func TestResumedStreamIsSentToItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v2"}
	one, two := newEndpoint(t, streamOf(3, 4)), newEndpoint(t, streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1", "v2"}, one, two)
	for range 10 {
		a := w.resume(t, "first")
		g.Expect(a.status).To(gomega.Equal(200))
	}
	g.Expect(one.accepted.Load()).To(gomega.BeZero())
	g.Expect(two.requests()).To(gomega.HaveLen(10))
	g.Expect(two.requests()[0].Header.Get("Resumes")).To(gomega.Equal("first"))
	g.Expect(o.known[originKey("/resume/x", "later")]).To(gomega.Equal(resumer.Origin{Service: "engine", Version: "v2"}))
	g.Expect(o.recorded).To(gomega.ContainElement(originKey("/resume/x", "first")), "the first attempt is kept for longer")
}

// Guards against a resumption within one answer at another version. The answer is broken off, so that
// nobody takes it for whole, and its prompt is charged once.
func TestAnswerIsBrokenOffWithoutItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	one, two := newEndpoint(t, streamOf(1, 2, "reset")), newEndpoint(t, streamOf(1, 4))
	w := newVersionRouter(t, o, []string{"v1", "v2"}, one, two)
	w.table.Endpoint("e2").Exclude()
	a := w.send(t, "POST", "/resume/x", "", "Rattanhoist-Token-Usage", "10,60")
	g.Expect(a.status).To(gomega.Equal(200))
	g.Expect(a.err).To(gomega.HaveOccurred())
	g.Expect(two.requests()).To(gomega.BeEmpty())
	g.Expect(w.rights.settled()).To(gomega.Equal([]int64{10 + 2*6}))

	// Of the same version.
	three, four := newEndpoint(t, streamOf(1, 2, "reset")), newEndpoint(t, streamOf(3, 4))
	w = newVersionRouter(t, o, []string{"v1", "v1"}, three, four)
	a = w.send(t, "POST", "/resume/x", "")
	if len(three.requests()) > 0 {
		g.Expect(a.err).NotTo(gomega.HaveOccurred())
		g.Expect(a.body).To(gomega.ContainSubstring("id: 4"))
		g.Expect(four.requests()[0].Header.Get("Last-Event-Id")).To(gomega.Equal("2"))
	}
}

// Guards against unknown versions that count as equal: a stream that began at an endpoint of unknown
// version, or whose key belongs to two streams, goes on nowhere.
func TestUnknownVersionEqualsNone(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine"}
	one, two := newEndpoint(t, streamOf(1, 2, "reset")), newEndpoint(t, streamOf(1, 2, "reset"))
	w := newVersionRouter(t, o, []string{"", ""}, one, two)
	a := w.resume(t, "first")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(a.header.Get("Retry-After")).To(gomega.BeEmpty())
	g.Expect(append(one.requests(), two.requests()...)).To(gomega.BeEmpty())
	a = w.send(t, "POST", "/resume/x", "")
	g.Expect(a.err).To(gomega.HaveOccurred())
	g.Expect(append(one.requests(), two.requests()...)).To(gomega.HaveLen(1))
	g.Expect(one.accepted.Load() + two.accepted.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against resumptions that are answered falsely, late, or at another workspace's expense when
// the caller is wrong or when nobody knows the stream: no endpoint gets the request, and no token is
// reserved.
func TestResumptionsThatAreRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		header []string
		path   string
		err    error
		status int
		retry  bool
	}{
		{"unknown attempt", []string{"Last-Event-Id", "2", "Resumes", "nobody"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"routers do not answer", []string{"Last-Event-Id", "2", "Resumes", "nobody"}, "/resume/x", resumer.ErrUnreachable, 503, true},
		{"no Resumes", []string{"Last-Event-Id", "2"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"no Last-Event-Id", []string{"Resumes", "nobody"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"itself", []string{"Last-Event-Id", "2", "Resumes", "r1"}, "/resume/x", resumer.ErrUnknown, 400, false},
		{"very long", []string{"Last-Event-Id", "2", "Resumes", strings.Repeat("a", 10_000)}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"another path", []string{"Last-Event-Id", "2", "Resumes", "first"}, "/resume/y", resumer.ErrUnknown, 503, false},
		{"another route", []string{"Last-Event-Id", "2", "Resumes", "first"}, "/stream/x", resumer.ErrUnknown, 503, false},
		{"another workspace", []string{"Last-Event-Id", "2", "Resumes", "foreign"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"another service", []string{"Last-Event-Id", "2", "Resumes", "other"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"a service that gets no requests now", []string{"Last-Event-Id", "2", "Resumes", "drained"}, "/resume/x", resumer.ErrUnknown, 503, false},
		{"a version that is gone", []string{"Last-Event-Id", "2", "Resumes", "gone"}, "/resume/x", resumer.ErrUnknown, 503, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := newOriginsStub()
			o.err = c.err
			o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v1"}
			o.known[originKey("/resume/x", "gone")] = resumer.Origin{Service: "engine", Version: "v0"}
			o.known[originKey("/resume/x", "other")] = resumer.Origin{Service: "desk", Version: "v1"}
			o.known[resumer.NewKey("another", "A.example:80", "/resume/x", "foreign")] = resumer.Origin{Service: "engine", Version: "v1"}
			o.known[originKey("/resume/x", "drained")] = resumer.Origin{Service: "drained", Version: "v1"}
			e := newEndpoint(t, streamOf(3, 4))
			d := document()
			d.Services = append(d.Services, publisher.Service{Name: "desk", Connections: 50}, publisher.Service{Name: "drained", Connections: 50})
			d.Routes[3].Shares = append(d.Routes[3].Shares, publisher.Share{Service: "drained"})
			w := newVersionRouterWith(t, d, func(*forwarder.Dependencies) {}, o, []string{"v1"}, e)
			list := w.table.Endpoints("engine")
			w.table.Replace(map[string][]*predictor.Endpoint{"engine": list, "desk": list, "drained": list})
			begun := time.Now()
			a := w.send(t, "POST", c.path, "", append(c.header, "Rattanhoist-Token-Usage", "10,20")...)
			g.Expect(a.status).To(gomega.Equal(c.status), a.body)
			g.Expect(a.header.Get("Retry-After") != "").To(gomega.Equal(c.retry))
			g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 300*time.Millisecond))
			g.Expect(e.requests()).To(gomega.BeEmpty())
			g.Expect(w.rights.settled()).To(gomega.BeEmpty())
		})
	}
}

// Guards against a request that names several attempts, of which any may be taken for the first.
func TestSeveralResumesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v1"}
	e := newEndpoint(t, streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1"}, e)
	c, err := net.Dial("tcp", w.server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "POST /resume/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\nLast-Event-Id: 2\r\nResumes: first\r\nResumes: second\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(b)).To(gomega.HavePrefix("HTTP/1.1 400"))
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against plain requests that are refused for the headers of a resumption, which mean nothing
// there.
func TestPlainRequestsResumeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEndpoint(t, responds(answerOK))
	w := newVersionRouter(t, newOriginsStub(), []string{"v1"}, e)
	g.Expect(w.send(t, "POST", "/read/x", "", "Last-Event-Id", "2", "Resumes", "r1").status).To(gomega.Equal(200))
}

// Guards against a stream that is refused, or goes on at any version, because its caller does not name
// the attempt that brought its first event: it is found by the request's content. Another body, path or
// workspace is another stream.
func TestStreamIsResumedWithoutResumes(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	two := newEndpoint(t, streamOf(1, 2), streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1", "v2"}, newEndpoint(t, streamOf(1, 2)), two)
	w.table.Endpoint("e1").Exclude()
	g.Expect(w.send(t, "POST", "/resume/x", "prompt").status).To(gomega.Equal(200))
	for _, c := range []struct {
		path, body string
		status     int
	}{{"/resume/x", "prompt", 200}, {"/resume/x", "another", 503}, {"/resume/y", "prompt", 503}} {
		a := w.send(t, "POST", c.path, c.body, "Last-Event-Id", "2", "Rattanhoist-Request-Id", "later")
		g.Expect(a.status).To(gomega.Equal(c.status), "%s %s", c.path, c.body)
	}
}

// Guards against a stream that goes on at the only version in service although it may have begun at
// another one, and against a fleet with one version that refuses streams whose origin was lost.
func TestSoleVersionHasToBeOldEnough(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	e := newEndpoint(t, streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1"}, e)
	g.Expect(w.resume(t, "lost").status).To(gomega.Equal(503))
	g.Expect(o.within).To(gomega.Equal(2 * time.Minute))
	o.sole["engine"] = "v1"
	g.Expect(w.resume(t, "lost").status).To(gomega.Equal(200))
	o.sole["engine"] = "v2"
	g.Expect(w.resume(t, "lost2").status).To(gomega.Equal(503), "no endpoint has it any more")
	d := document()
	d.Routes[3].Shares = append(d.Routes[3].Shares, publisher.Share{Service: "desk", Weight: 1})
	d.Services = append(d.Services, publisher.Service{Name: "desk", Connections: 50})
	w.publish(d)
	o.sole["engine"] = "v1"
	g.Expect(w.resume(t, "lost3").status).To(gomega.Equal(503), "either service may have begun it")
}

// Guards against events of two versions in one answer because an endpoint's heartbeats state another
// version while it streams, or between the choice and the request.
func TestEndpointThatChangesItsVersionIsBrokenOff(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	var w *testRouter
	changes := func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "ID", r.Header.Get("Rattanhoist-Request-Id"))+event("1"))
		time.Sleep(50 * time.Millisecond)
		w.setVersions("v2")
		_, _ = io.WriteString(c, event("2")+streamEnd)
		return true
	}
	w = newVersionRouter(t, o, []string{"v1"}, newEndpoint(t, changes))
	a := w.send(t, "POST", "/resume/x", "")
	g.Expect(a.err).To(gomega.HaveOccurred())
	g.Expect(a.body).To(gomega.ContainSubstring("id: 1"))
	g.Expect(a.body).NotTo(gomega.ContainSubstring("id: 2"))
	g.Expect(o.known[originKey("/resume/x", "r1")].Version).To(gomega.Equal(enroller.Version("v1")))
}

// Guards against a stream that is refused because this router hears of the first endpoint of a version a
// moment after another router has begun the stream there.
func TestVersionThatIsNewHereIsAwaited(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v2"}
	o.unheard = map[enroller.Version]bool{"v2": true}
	e := newEndpoint(t, streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1"}, e)
	begun := time.Now()
	g.Expect(w.resume(t, "first").status).To(gomega.Equal(503))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 600*time.Millisecond))
	time.AfterFunc(100*time.Millisecond, func() {
		w.setVersions("v2")
		o.mu.Lock()
		defer o.mu.Unlock()
		o.unheard = nil
	})
	g.Expect(w.resume(t, "first").status).To(gomega.Equal(200))
}

// Guards against a request that is sent to an endpoint whose version has changed since it was chosen.
func TestVersionIsCheckedAsTheRequestIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v1"}
	e := newEndpoint(t, streamOf(3, 4))
	w := newVersionRouter(t, o, []string{"v1"}, e)
	w.pool.UseDialer(func(ctx context.Context, address string) (net.Conn, error) {
		w.setVersions("v2")
		return pooler.DialDirect(ctx, address)
	})
	a := w.resume(t, "first")
	g.Expect(a.status).To(gomega.Equal(503))
	g.Expect(e.requests()).To(gomega.BeEmpty())
}

// Guards against a resumption that waits for, or is refused because of, endpoints of other versions
// that are full, and one that does not wait although those of its version are full.
func TestResumptionQueuesForItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOriginsStub()
	o.known[originKey("/resume/x", "first")] = resumer.Origin{Service: "engine", Version: "v1"}
	one, two := newEndpoint(t, streamOf(3, 4)), newEndpoint(t, streamOf(3, 4))
	w := newVersionRouterWith(t, document(), func(p *forwarder.Dependencies) { p.ServiceAdmission = true }, o, []string{"v1", "v2"}, one, two)
	load := func(name string, running int) {
		w.table.Endpoint(name).ObserveLoad(time.Now(), predictor.Load{Running: running, Slots: 8})
	}
	load("e1", 0)
	load("e2", 8)
	g.Expect(w.resume(t, "first").status).To(gomega.Equal(200))
	load("e1", 8)
	load("e2", 0)
	begun := time.Now()
	a := w.resume(t, "first")
	g.Expect(time.Since(begun)).To(gomega.BeNumerically(">", 100*time.Millisecond), "it waits while its endpoint is full")
	g.Expect(a.status == 200 || a.header.Get("Retry-After") != "").To(gomega.BeTrue())
	g.Expect(two.requests()).To(gomega.BeEmpty())
}

// Guards against a setting without effect: switched off, streams go on at any version.
func TestStreamVersionsCanBeSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTestRouter(t, newEndpoint(t, streamOf(3, 4)))
	g.Expect(w.resume(t, "nobody").status).To(gomega.Equal(200))
}
