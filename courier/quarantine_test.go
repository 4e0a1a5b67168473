package courier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// crashingBody is the request body that crashes an engine.
const crashingBody = "poison"

// crashingEngines are engines that end as soon as they begin to run certain requests, together with
// all other requests that run there. After the downtime, they restart as new incarnations.
type crashingEngines struct {
	f        *cluster
	downtime time.Duration
	// crashes reports whether a request ends its engine; nil stands for those with crashingBody.
	crashes func(r *http.Request, body string) bool
	// pause is the time between the two events of an answer.
	pause time.Duration

	mu sync.Mutex
	// ended holds when engines ended because of a request, and reached when they received such
	// requests.
	ended, reached []time.Time
	// ends holds the functions that end the incarnations that run now.
	ends map[string]func()
}

func (m *crashingEngines) run(name string) {
	l, err := net.Listen("tcp", m.f.ip(100)+":0")
	if err != nil {
		m.f.t.Fatal(err)
	}
	address := l.Addr().String()
	m.f.run(name, func(ctx context.Context) error {
		for life := 1; ctx.Err() == nil; life++ {
			m.runIncarnation(ctx, fmt.Sprint(name, "-", life), l)
			if m.downtime > 0 {
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(m.downtime):
				}
			}
			if l, err = net.Listen("tcp", address); err != nil {
				return err
			}
		}
		return l.Close()
	})
}

// runIncarnation serves requests and sends heartbeats until the incarnation ends.
func (m *crashingEngines) runIncarnation(ctx context.Context, id string, l net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	s := &http.Server{ReadHeaderTimeout: time.Second}
	// All connections break at once, even while a heartbeat waits for its answer.
	end := func() {
		cancel()
		_ = s.Close()
	}
	defer end()
	m.mu.Lock()
	if m.ends == nil {
		m.ends = map[string]func(){}
	}
	m.ends[id] = end
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.ends, id)
	}()
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.handle(ctx, w, r, id, end) })
	go func() { _ = s.Serve(l) }()
	for n := 1; ctx.Err() == nil; n++ {
		for k := 1; k <= 3 && m.f.heartbeat(k, id, l.Addr().String(), "ready", n) != http.StatusOK; k++ {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// handle answers with two events of five tokens, or ends the engine.
func (m *crashingEngines) handle(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, end func()) {
	if r.Header.Get("Rattanhoist-Target-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Rattanhoist-Request-Id", r.Header.Get("Rattanhoist-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if !m.crashesEngine(r, string(body)) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(m.pause)
		if ctx.Err() == nil {
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}
		return
	}
	m.mu.Lock()
	m.reached = append(m.reached, time.Now())
	m.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	m.mu.Lock()
	m.ended = append(m.ended, time.Now())
	m.mu.Unlock()
	end()
	<-r.Context().Done()
}

func (m *crashingEngines) crashesEngine(r *http.Request, body string) bool {
	if m.crashes == nil {
		return body == crashingBody
	}
	return m.crashes(r, body)
}

// endOne ends an engine without a cause, if one runs.
func (m *crashingEngines) endOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, end := range m.ends {
		end()
		return
	}
}

// lateArrivals returns how many requests that end engines reached one later than contactWindow after
// the crash with that number.
func (m *crashingEngines) lateArrivals(crash int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ended) < crash {
		return 0
	}
	n := 0
	for _, t := range m.reached {
		if t.After(m.ended[crash-1].Add(contactWindow)) {
			n++
		}
	}
	m.f.t.Logf("%d engines ended, %d sends late", len(m.ended), n)
	return n
}

func (m *crashingEngines) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ended)
}

// contactWindow is the time within which what a majority of keepers knows must be in effect
// at every router, as required by users.
const contactWindow = 3 * time.Second

// maxLateArrivals is how many requests that end engines may still arrive later than that.
const maxLateArrivals = 3

// Guards against a request that ends one engine after the other for as long as its caller
// retries, together with the streams of other callers. Each retry goes to another router, which
// sends it to another engine. Failures must be recorded by request and shared by all routers:
// if each router records them by endpoint alone, each retry counts as a new request.
//
// In the incident that this reproduces, the log showed that a prompt of one workspace,
// route and size began on each engine just before it ended.
func TestCrashingRequestIsHeldBackByAllRouters(t *testing.T) {
	f, g := startCluster(t, 65)
	f.publish(g, 1, document(2, 1_000_000))
	for r := 4; r <= 6; r++ {
		f.router(r)
	}
	m := &crashingEngines{f: f, downtime: time.Second}
	for e := 1; e <= 8; e++ {
		m.run(fmt.Sprint("i-", e))
	}
	for r := 4; r <= 6; r++ {
		f.awaitServing(g, r)
	}
	send := func(i int, body string) int {
		status, _ := f.call("POST", f.serveAddress(4+i%3), "/a/x", body, "Api-Key", "k",
			"Rattanhoist-Request-Id", fmt.Sprint(body, i), "Rattanhoist-Token-Usage", "10,20")
		return status
	}
	var last int
	for i := 0; i < 40; i++ {
		last = send(i, crashingBody)
		send(i+1, fmt.Sprint("harmless ", i))
		time.Sleep(200 * time.Millisecond)
	}
	g.Expect(m.crashCount()).To(gomega.BeNumerically(">=", 3), "the engines crash")
	g.Expect(m.lateArrivals(3)).To(gomega.BeNumerically("<=", maxLateArrivals))
	g.Expect(last).To(gomega.Equal(http.StatusServiceUnavailable), "the response says that it did not run")
	for i := range 12 {
		g.Expect(send(i, fmt.Sprint("after ", i))).To(gomega.Equal(http.StatusOK), "all others are served")
	}
}

// Guards against a restart of all keepers and routers that forgets the requests that are
// held back, so that one of them ends three more endpoints.
func TestHeldBackRequestsSurviveFullRestart(t *testing.T) {
	f, g := startCluster(t, 66)
	f.publish(g, 1, document(2, 1_000_000))
	f.router(4)
	m := &crashingEngines{f: f, downtime: 300 * time.Millisecond}
	for e := 1; e <= 4; e++ {
		m.run(fmt.Sprint("i-", e))
	}
	f.awaitServing(g, 4)
	send := func() int {
		status, _ := f.call("POST", f.serveAddress(4), "/a/x", crashingBody, "Api-Key", "k", "Rattanhoist-Request-Id", "r", "Rattanhoist-Token-Usage", "10,20")
		return status
	}
	for range 8 {
		send()
		time.Sleep(300 * time.Millisecond)
	}
	// By then the keepers have it in their log: it is not only held back by the router itself.
	time.Sleep(2 * time.Second)
	ended := m.crashCount()
	g.Expect(ended).To(gomega.BeNumerically(">=", 3))
	f.stop("router4")
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	for n := 1; n <= 3; n++ {
		f.keeper(n, false)
	}
	f.router(4)
	f.awaitServing(g, 4)
	for range 5 {
		g.Expect(send()).To(gomega.Equal(http.StatusServiceUnavailable))
	}
	g.Expect(m.crashCount()).To(gomega.Equal(ended))
}

// Guards against a restart of all keepers that forgets the crashes reported before. A request
// that had ended two engines would end three more if it keeps arriving after the restart.
func TestCrashesBeforeKeeperRestartCount(t *testing.T) {
	f, g := startCluster(t, 67)
	f.publish(g, 1, document(2, 1_000_000))
	f.router(4)
	f.router(5)
	m := &crashingEngines{f: f, downtime: 500 * time.Millisecond}
	for e := 1; e <= 6; e++ {
		m.run(fmt.Sprint("i-", e))
	}
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	send := func(i int) {
		f.call("POST", f.serveAddress(4+i%2), "/a/x", crashingBody, "Api-Key", "k", "Rattanhoist-Request-Id", fmt.Sprint("r", i), "Rattanhoist-Token-Usage", "10,20")
	}
	for i := 0; m.crashCount() < 2; i++ {
		send(i)
	}
	time.Sleep(time.Second)
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	for n := 1; n <= 3; n++ {
		f.keeper(n, false)
	}
	f.publish(g, 1, document(3, 1_000_000))
	for i := range 6 {
		send(i)
		time.Sleep(2 * time.Second)
	}
	g.Expect(m.crashCount()).To(gomega.BeNumerically("<=", 4), "the third crash is enough, and one request may be sent before it is detected")
}
