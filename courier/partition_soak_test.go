package courier_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// soakSeed is the seed of the run in CI. SOAK_SEED replaces it; each seed has addresses of its own.
	soakSeed = 1
	// soakPartitionedRouters is the number of router processes, which SOAK_ROUTERS replaces.
	soakPartitionedRouters = 4
	soakDuration           = 20 * time.Second
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
// answer is not whole, while paths of router processes to endpoints are lost and come back in all ways
// and routers are stopped, killed and started. The last router always has its paths, and callers go on
// using their connections until the process is gone.
func TestSoakOfLostPaths(t *testing.T) {
	t.Parallel()
	seed, count := soakSetting(t, "SOAK_SEED", soakSeed), int(soakSetting(t, "SOAK_ROUTERS", soakPartitionedRouters))
	r := rand.New(rand.NewPCG(seed, 0))
	f, g := startCluster(t, 110+int(seed%50))
	f.publish(g, 1, document(2, 100_000_000))
	routers := make([]*partitionedProcess, count)
	for i := range routers {
		routers[i] = f.partitionedProcess(firstRouter + i)
	}
	engines := &soakEngines{runs: map[string]int{}}
	for i := range max(4, count/5) {
		engines.start(f, fmt.Sprint("i-", i), r)
	}
	for i := range routers {
		f.awaitServing(g, firstRouter+i)
	}
	var mu sync.Mutex
	answers := map[string]soakAnswer{}
	stop := make(chan struct{})
	var callers, restarts sync.WaitGroup
	for i := range routers {
		for k := range max(1, 12/count) {
			callers.Go(func() {
				soakCaller(f, firstRouter+i, fmt.Sprintf("r%d-%d", firstRouter+i, k), stop, func(id string, a soakAnswer) {
					mu.Lock()
					defer mu.Unlock()
					answers[id] = a
				})
			})
		}
	}
	// As often for each router in a fleet of any size.
	pause := 600 * time.Millisecond * soakPartitionedRouters / time.Duration(count)
	for begun := time.Now(); time.Since(begun) < soakDuration; time.Sleep(time.Duration(r.Int64N(int64(pause)))) {
		p := routers[r.IntN(count-1)]
		if r.IntN(8) == 0 {
			how := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.IntN(2)]
			t.Logf("router %d: %s", p.number, how)
			restarts.Go(func() { p.restart(how) })
			continue
		}
		c := []cut{cutNone, cutHang, cutRefuse, cutReset, cutResetRefuse}[r.IntN(5)]
		t.Logf("router %d: cut %d", p.number, c)
		p.set(c)
	}
	restarts.Wait()
	for _, p := range routers {
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
			outcomes[fmt.Sprintf("%s %d %s", id[:strings.Index(id, "-")], a.status, addressPattern.ReplaceAllString(strings.TrimSpace(a.body), "ADDRESS"))]++
		}
	}
	t.Logf("%d of %d answers are whole; the others: %v", served, answered, outcomes)
	g.Expect(float64(served)).To(gomega.BeNumerically(">=", minServedInSoak*float64(answered)))
}
