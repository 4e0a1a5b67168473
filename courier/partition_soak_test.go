package courier_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// soakSeed is the seed of the run in CI. SOAK_SEED replaces it; each seed has addresses of its own.
	soakSeed     = 1
	soakDuration = 20 * time.Second
	// soakBody is the whole answer of an engine.
	soakBody = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	// minServedInSoak is the part of the answers that must be whole, as users require of routers
	// without paths. What is in progress when a path is lost may fail.
	minServedInSoak = 2.0 / 3
)

// addressPattern matches addresses in refusals.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+(:\d+)?`)

// soakEngines counts how often each request ran.
type soakEngines struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *soakEngines) start(f *cluster, id string, r *rand.Rand) {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	delays := make([]time.Duration, 64)
	for i := range delays {
		delays[i] = time.Duration(r.IntN(150)) * time.Millisecond
	}
	n := 0
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("Rattanhoist-Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.mu.Lock()
		e.runs[q.Header.Get("Rattanhoist-Request-Id")]++
		n++
		delay := delays[n%len(delays)]
		e.mu.Unlock()
		w.Header().Set("Rattanhoist-Request-Id", q.Header.Get("Rattanhoist-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, soakBody[:len(soakBody)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(delay)
		_, _ = io.WriteString(w, soakBody[len(soakBody)/2:])
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats(id, l.Addr().String())
}

func (e *soakEngines) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// soakAnswer is what the caller of a request received.
type soakAnswer struct {
	status int
	body   string
	// whole is set if the answer ended regularly.
	whole bool
}

// soakCaller sends requests over one connection to a router for as long as that stays open.
func soakCaller(f *cluster, router int, name string, stop <-chan struct{}, record func(id string, a soakAnswer)) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	defer c.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		id := fmt.Sprint(name, "-", i)
		r, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+f.serveAddress(router)+"/a/x", strings.NewReader(""))
		if err != nil {
			f.t.Error(err)
			return
		}
		r.Host = "a.example"
		r.Header.Set("Api-Key", "k")
		r.Header.Set("Rattanhoist-Request-Id", id)
		r.Header.Set("Rattanhoist-Token-Usage", "1,1")
		a, err := c.Do(r)
		if err != nil {
			record(id, soakAnswer{})
			continue
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		record(id, soakAnswer{status: a.StatusCode, body: string(b), whole: err == nil})
	}
}

// Guards against requests that run twice, that run although they were refused as not run, or whose
// answer is not whole, while paths of routers to endpoints are lost and come back in all ways and
// routers are stopped and started. Router 7 always has its paths, and callers go on using their
// connections until the process is gone.
func TestSoakOfLostPaths(t *testing.T) {
	t.Parallel()
	seed := uint64(soakSeed)
	if s := os.Getenv("SOAK_SEED"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	r := rand.New(rand.NewPCG(seed, 0))
	f, g := startCluster(t, 110+int(seed%100))
	f.publish(g, 1, document(2, 100_000_000))
	cuts := map[int]*partition{}
	for n := 4; n <= 7; n++ {
		cuts[n] = newPartition()
		f.partitionedRouter(n, cuts[n])
	}
	engines := &soakEngines{runs: map[string]int{}}
	for i := range 4 {
		engines.start(f, fmt.Sprint("i-", i), r)
	}
	for n := 4; n <= 7; n++ {
		f.awaitServing(g, n)
	}
	var mu sync.Mutex
	answers := map[string]soakAnswer{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := 4; n <= 7; n++ {
		for k := range 3 {
			callers.Go(func() {
				soakCaller(f, n, fmt.Sprintf("r%d-%d", n, k), stop, func(id string, a soakAnswer) {
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			})
		}
	}
	for begun := time.Now(); time.Since(begun) < soakDuration; time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond) {
		n := 4 + r.IntN(3)
		if r.IntN(8) == 0 {
			f.stop(fmt.Sprint("router", n))
			f.partitionedRouter(n, cuts[n])
			continue
		}
		c := []cut{cutNone, cutHang, cutRefuse, cutReset, cutResetRefuse}[r.IntN(5)]
		t.Logf("router %d: cut %d", n, c)
		cuts[n].set(c)
	}
	for _, p := range cuts {
		p.set(cutNone)
	}
	close(stop)
	callers.Wait()
	// What was refused must not run later either.
	time.Sleep(time.Second)
	served, answered := 0, 0
	outcomes := map[string]int{}
	for id, a := range answers {
		runs := engines.runsOf(id)
		g.Expect(runs).To(gomega.BeNumerically("<=", 1), "%s ran twice", id)
		switch {
		case a.status == 200 && a.whole:
			g.Expect(a.body).To(gomega.Equal(soakBody), id)
			g.Expect(runs).To(gomega.Equal(1), id)
			served++
		case a.status == 503 || a.status == 429:
			g.Expect(runs).To(gomega.BeZero(), "%s was refused as not run: %s", id, a.body)
		}
		if a.status != 0 {
			answered++
		}
		if a.status != 200 || !a.whole {
			outcomes[fmt.Sprintf("%s %d %s", id[:2], a.status, addressPattern.ReplaceAllString(strings.TrimSpace(a.body), "ADDRESS"))]++
		}
	}
	t.Logf("%d of %d answers are whole; the others: %v", served, answered, outcomes)
	g.Expect(float64(served)).To(gomega.BeNumerically(">=", minServedInSoak*float64(answered)))
}
