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
	// rateWindow and notificationGrace are the users' bounds: the window in which requests
	// are counted, and how long after an answer with a limit those of its router count.
	rateWindow        = 4 * time.Second
	notificationGrace = 500 * time.Millisecond
)

// limitedEngine serves, and states a rate limit in its answers while it has one.
type limitedEngine struct {
	f       *fleet
	id      string
	address string

	mu        sync.Mutex
	limit     float64
	limitedAt time.Time
	// Notified is when an answer with a limit was first given to a router.
	notified map[string]time.Time
	arrivals []arrival
}

type arrival struct {
	at     time.Time
	router string
}

func (f *fleet) limitedEngine(id string) *limitedEngine {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := &limitedEngine{f: f, id: id, address: l.Addr().String(), notified: map[string]time.Time{}}
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.beats(id, e.address)
	return e
}

// ServeHTTP answers with two events. Request ids begin with the name of the router that
// the caller uses.
func (e *limitedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Rattanhoist-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Rattanhoist-Request-Id")
	router, _, _ := strings.Cut(id, "-")
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{time.Now(), router})
	if e.limit > 0 {
		w.Header().Set("Server-Limit", fmt.Sprint(e.limit))
		if e.notified[router].IsZero() {
			e.notified[router] = time.Now()
		}
	}
	e.mu.Unlock()
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
}

func (e *limitedEngine) setLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit, e.limitedAt = perSecond, time.Now()
}

// maxArrivals returns the most requests in any rateWindow that ends later than
// contactWindow after the limit was set, of routers that were notified before.
func (e *limitedEngine) maxArrivals() int {
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

// routersSince returns which routers have sent requests since a time.
func (e *limitedEngine) routersSince(t time.Time) map[string]bool {
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

// load sends 20 requests a second to each router until the returned function is called.
func (f *fleet) load(routers ...int) (stop func()) {
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
				f.ask(r, fmt.Sprintf("r%d-%d", r, i), "10,10")
			}
		}()
	}
	return func() { close(done); wg.Wait() }
}

// Guards against an endpoint that gets more requests from all routers together than the
// rate limit in its answers allows, and against routers that leave it idle.
func TestEndpointGetsNoMoreThanItsRateLimit(t *testing.T) {
	f, g := start(t, 68)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	limited, free := f.limitedEngine("i-1"), f.limitedEngine("i-2")
	for _, r := range routers {
		f.serves(g, r)
	}
	stop := f.load(routers...)
	time.Sleep(time.Second)
	const perSecond = 2
	limited.setLimit(perSecond)
	time.Sleep(12 * time.Second)
	stop()
	most := limited.maxArrivals()
	t.Logf("%d requests in %v from notified routers", most, rateWindow)
	g.Expect(most).To(gomega.BeNumerically("<=", 1.5*perSecond*rateWindow.Seconds()+5))
	g.Expect(limited.routersSince(time.Now().Add(-rateWindow))).NotTo(gomega.BeEmpty(), "it takes some")
	g.Expect(free.routersSince(time.Now().Add(-rateWindow))).To(gomega.HaveLen(len(routers)), "the other one takes the rest")
}

// Guards against routers that never send to an endpoint again after its rate limit has
// ended, because they send nothing whose answer could tell them.
func TestEndpointIsUsedAgainAfterItsRateLimit(t *testing.T) {
	f, g := start(t, 69)
	f.publish(g, 1, document(2, 10_000_000))
	routers := []int{4, 5, 6}
	for _, r := range routers {
		f.router(r)
	}
	e := f.limitedEngine("i-1")
	f.limitedEngine("i-2")
	for _, r := range routers {
		f.serves(g, r)
	}
	defer f.load(routers...)()
	time.Sleep(time.Second)
	e.setLimit(1)
	time.Sleep(9 * time.Second)
	e.setLimit(0)
	ended := time.Now()
	g.Eventually(func() map[string]bool { return e.routersSince(ended) }, 10*time.Second, 100*time.Millisecond).Should(gomega.HaveLen(len(routers)))
}
