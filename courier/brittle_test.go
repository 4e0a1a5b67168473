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
	// brittleSlots is the number of requests that a brittle engine runs at a time, as in its
	// heartbeats. Each takes brittleWork. No request waits.
	brittleSlots = 8
	brittleWork  = 200 * time.Millisecond
)

// brittleEngine rejects requests for which it has no slot. While tolerated is above 0, it says in each
// response how many rejections a second it tolerates.
type brittleEngine struct {
	id string

	mu         sync.Mutex
	running    int
	tolerated  float64
	rejections []time.Time
	served     []time.Time
	routers    map[string]bool
}

func (f *cluster) brittleEngine(id string) *brittleEngine {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := &brittleEngine{id: id, routers: map[string]bool{}}
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats(id, l.Addr().String())
	return e
}

func (e *brittleEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Rattanhoist-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Rattanhoist-Request-Id")
	if !e.begin(w.Header(), id) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(brittleWork)
	e.end(w.Header())
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
}

// begin takes a slot. It reports whether there was one.
func (e *brittleEngine) begin(h http.Header, id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == brittleSlots {
		e.rejections = append(e.rejections, time.Now())
		h.Set("Rattanhoist-Not-Executed", "1")
		e.report(h)
		return false
	}
	e.running++
	router, _, _ := strings.Cut(id, "-")
	e.routers[router] = true
	return true
}

func (e *brittleEngine) end(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.served = append(e.served, time.Now())
	e.report(h)
}

func (e *brittleEngine) report(h http.Header) {
	h.Set("Rattanhoist-Server-Load", fmt.Sprintf("%d,0,%d", e.running, brittleSlots))
	if e.tolerated > 0 {
		h.Set("Server-Brittle", fmt.Sprint(e.tolerated))
	}
}

func (e *brittleEngine) tolerate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tolerated = perSecond
}

// maxRejections returns the largest number of rejections in any second after a time.
func (e *brittleEngine) maxRejections(after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, last := range e.rejections {
		n := 0
		for _, at := range e.rejections[:i+1] {
			if at.After(after) && last.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (e *brittleEngine) servedSince(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.served {
		if s.After(at) {
			n++
		}
	}
	return n
}

// flood sends requests to each router, 60 a second, until the returned function is called.
func (f *cluster) flood(routers ...int) (stop func()) { return f.floodAt(60, routers...) }

// floodAt sends requests to each router, so many a second, until the returned function is called.
func (f *cluster) floodAt(perSecond int, routers ...int) (stop func()) {
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
				case <-time.After(time.Second / time.Duration(perSecond)):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					f.request(r, fmt.Sprintf("r%d-%d", r, i), "10,10")
				}()
			}
		}()
	}
	return func() { close(done); wg.Wait() }
}

// Guards against routers that together make a brittle endpoint reject more requests than it
// tolerates, while callers send twice what its service can run, and against routers that leave its
// slots empty for that. One router is cut off from the endpoints and sends through the others.
func TestBrittleEndpointRejectsNoMoreThanItTolerates(t *testing.T) {
	f, g := startCluster(t, 98)
	f.publish(g, 1, document(2, 100_000_000))
	p := newPartition()
	f.partitionedRouter(4, p)
	f.router(5)
	f.router(6)
	engines := []*brittleEngine{f.brittleEngine("i-1"), f.brittleEngine("i-2")}
	for n := 4; n <= 6; n++ {
		f.awaitServing(g, n)
	}
	// Routers may own shares once they know each other.
	time.Sleep(7 * time.Second)
	stop := f.flood(4, 5, 6)
	time.Sleep(time.Second)
	const tolerated = 4
	for _, e := range engines {
		e.tolerate(tolerated)
	}
	time.Sleep(contactWindow)
	begun := time.Now()
	time.Sleep(4 * time.Second)
	p.set(cutReset)
	time.Sleep(4 * time.Second)
	p.set(cutNone)
	for _, e := range engines {
		e.tolerate(0)
	}
	ended := time.Now()
	seconds := ended.Sub(begun).Seconds()
	for _, e := range engines {
		served := float64(e.servedSince(begun)) / seconds
		t.Logf("at most %d rejections a second, %.1f requests served a second", e.maxRejections(begun), served)
		g.Expect(e.maxRejections(begun)).To(gomega.BeNumerically("<=", tolerated))
		g.Expect(served).To(gomega.BeNumerically(">=", 0.5*brittleSlots/brittleWork.Seconds()), "half of what it can run")
	}
	time.Sleep(contactWindow)
	again := time.Now()
	time.Sleep(2 * time.Second)
	stop()
	for _, e := range engines {
		g.Expect(float64(e.servedSince(again))/2).To(gomega.BeNumerically(">=", 0.7*brittleSlots/brittleWork.Seconds()), "when it ends, it ends")
	}
}
