package courier_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// rateWindow is the sliding window over which requests are counted.
	rateWindow = 4 * time.Second
	// notificationGrace is how long after its first response with a limit a router's
	// requests are not counted.
	notificationGrace = 500 * time.Millisecond
)

// reportingEngine is an engine that reports its state in its responses: a rate limit while
// one is set, and Retry-After while it sheds load.
type reportingEngine struct {
	f       *cluster
	id      string
	address string

	mu        sync.Mutex
	limit     float64
	limitedAt time.Time
	// Notified is when each router was first sent a response with a limit.
	notified map[string]time.Time
	// RetryAfter is the period sent in Retry-After; 0 if the engine is not shedding load.
	retryAfter time.Duration
	arrivals   []arrival
}

type arrival struct {
	at     time.Time
	router string
	// RetryAfter is the Retry-After period of the response; 0 if the request was run.
	retryAfter time.Duration
}

func (f *cluster) reportingEngine(id string) *reportingEngine {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := &reportingEngine{f: f, id: id, address: l.Addr().String(), notified: map[string]time.Time{}}
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats(id, e.address)
	return e
}

// ServeHTTP responds with two events. Request ids start with the name of the router that
// received the request.
func (e *reportingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Rattanhoist-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Rattanhoist-Request-Id")
	router, _, _ := strings.Cut(id, "-")
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{time.Now(), router, e.retryAfter})
	retryAfter := e.retryAfter
	if e.limit > 0 {
		w.Header().Set("Server-Limit", fmt.Sprint(e.limit))
		if e.notified[router].IsZero() {
			e.notified[router] = time.Now()
		}
	}
	e.mu.Unlock()
	if retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
		w.Header().Set("Rattanhoist-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
}

func (e *reportingEngine) setLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit, e.limitedAt = perSecond, time.Now()
}

func (e *reportingEngine) setRetryAfter(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = d
}

// maxEarlyRetries returns the maximum number of requests from one router that arrived later
// than notificationGrace after a response with Retry-After, but before that period elapsed.
func (e *reportingEngine) maxEarlyRetries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, shed := range e.arrivals {
		n := 0
		for _, a := range e.arrivals[i+1:] {
			if d := a.at.Sub(shed.at); a.router == shed.router && d > notificationGrace && d < shed.retryAfter {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// maxArrivals returns the maximum number of requests from notified routers in any
// rateWindow that ends at least contactWindow after the limit was set.
func (e *reportingEngine) maxArrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, last := range e.arrivals {
		if last.at.Before(e.limitedAt.Add(contactWindow)) {
			continue
		}
		n := 0
		for _, a := range e.arrivals[:i+1] {
			since := e.notified[a.router]
			if !since.IsZero() && !a.at.Before(since.Add(notificationGrace)) && last.at.Sub(a.at) < rateWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// routersSince returns the routers whose requests arrived after t.
func (e *reportingEngine) routersSince(t time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]bool{}
	for _, a := range e.arrivals {
		if a.at.After(t) {
			out[a.router] = true
		}
	}
	return out
}

// startLoad sends 20 requests a second to each router until the returned function is called.
func (f *cluster) startLoad(routers ...int) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, r := range routers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				f.request(r, fmt.Sprintf("r%d-%d", r, i), "10,10")
			}
		}()
	}
	return func() { close(done); wg.Wait() }
}

// Guards against routers that together send more requests to an endpoint than the rate
// limit in its responses allows, and against routers that stop using it altogether.
func TestEndpointGetsNoMoreThanItsRateLimit(t *testing.T) {
	f, g := startCluster(t, 68)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	limited, unlimited := f.reportingEngine("i-1"), f.reportingEngine("i-2")
	for _, r := range routers {
		f.awaitServing(g, r)
	}
	stop := f.startLoad(routers...)
	time.Sleep(time.Second)
	const perSecond = 2
	limited.setLimit(perSecond)
	time.Sleep(12 * time.Second)
	stop()
	most := limited.maxArrivals()
	t.Logf("%d requests in %v from notified routers", most, rateWindow)
	g.Expect(most).To(gomega.BeNumerically("<=", 1.5*perSecond*rateWindow.Seconds()+5))
	g.Expect(limited.routersSince(time.Now().Add(-rateWindow))).NotTo(gomega.BeEmpty(), "the limited endpoint still gets requests")
	g.Expect(unlimited.routersSince(time.Now().Add(-rateWindow))).To(gomega.HaveLen(len(routers)), "all routers use the endpoint without a limit")
}

// Guards against routers that never use an endpoint again after its rate limit was
// removed, because they send no requests whose responses would report that.
func TestEndpointIsUsedAgainAfterItsRateLimit(t *testing.T) {
	f, g := startCluster(t, 69)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	e := f.reportingEngine("i-1")
	f.reportingEngine("i-2")
	for _, r := range routers {
		f.awaitServing(g, r)
	}
	defer f.startLoad(routers...)()
	time.Sleep(time.Second)
	e.setLimit(1)
	time.Sleep(9 * time.Second)
	e.setLimit(0)
	ended := time.Now()
	g.Eventually(func() map[string]bool { return e.routersSince(ended) }, 10*time.Second, 100*time.Millisecond).Should(gomega.HaveLen(len(routers)))
}

// Guards against requests to an endpoint that is shedding load before its Retry-After period
// has elapsed, and against routers that don't use the endpoint again after it recovers.
func TestEndpointGetsNoRequestsBeforeItsRetryAfter(t *testing.T) {
	f, g := startCluster(t, 70)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	shedding := f.reportingEngine("i-1")
	f.reportingEngine("i-2")
	for _, r := range routers {
		f.awaitServing(g, r)
	}
	defer f.startLoad(routers...)()
	time.Sleep(time.Second)
	shedding.setRetryAfter(2 * time.Second)
	time.Sleep(7 * time.Second)
	most := shedding.maxEarlyRetries()
	t.Logf("at most %d requests from one router before Retry-After elapsed", most)
	g.Expect(most).To(gomega.BeNumerically("<=", 2))
	shedding.setRetryAfter(0)
	ended := time.Now()
	g.Eventually(func() map[string]bool { return shedding.routersSince(ended) }, 5*time.Second, 50*time.Millisecond).Should(gomega.HaveLen(len(routers)))
}
