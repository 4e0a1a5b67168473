package courier_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// leaveSoakSeed is the seed of the run in CI. SOAK_SEED replaces it, and SOAK_ROUTERS soakRouters.
	leaveSoakSeed     = 1
	leaveSoakDuration = 20 * time.Second
	leaveSoakEngines  = 12
	// drainDuration is the time after the acknowledgement of a leave from which an endpoint must get no more
	// requests, and servesAfterLeave how long it goes on serving in the test.
	drainDuration    = 2 * time.Second
	servesAfterLeave = 5 * time.Second
	// foreignCallInterval is the mean time between two calls of a program that is no endpoint.
	foreignCallInterval = 30 * time.Millisecond
	// maxAcknowledgement is how long a leave may take that is repeated at the next keeper after a second.
	maxAcknowledgement = 4 * time.Second
)

// lateRequest is a request that reached an endpoint too long after its leave was acknowledged.
type lateRequest struct {
	router int
	after  time.Duration
}

// leaveSoak is a fleet of router processes whose endpoints leave and are replaced.
type leaveSoak struct {
	*soakFleet
	mu sync.Mutex
	// coreDisturbedAt is when a keeper was last stopped or started.
	coreDisturbedAt time.Time
	late            []lateRequest
	acknowledged    []time.Duration
	served, failed  int
}

// leavingEngine is an endpoint that leaves.
type leavingEngine struct {
	soak   *leaveSoak
	id     string
	keeper int
	mu     sync.Mutex
	// leftAt is when its leave was acknowledged.
	leftAt time.Time
}

func (s *leaveSoak) startEngine(n int) *leavingEngine {
	l, err := net.Listen("tcp", s.ip(100)+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	e := &leavingEngine{soak: s, id: fmt.Sprint("i-", n), keeper: n}
	h := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(l) }()
	s.t.Cleanup(func() { _ = h.Close() })
	s.run("beats "+e.id, func(ctx context.Context) error {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			for k := range 3 {
				if s.heartbeat(1+(e.keeper+k)%3, e.id, l.Addr().String(), "ready", sequence) == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(200 * time.Millisecond):
			}
		}
		return ctx.Err()
	})
	return e
}

// leave ends the heartbeats, and repeats the leave at the next keeper until one acknowledges it.
func (e *leavingEngine) leave() {
	e.soak.stop("beats " + e.id)
	begun := time.Now()
	for k := e.keeper; ; k++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := http.NewRequestWithContext(ctx, "DELETE", "http://"+e.soak.controlAddress(1+k%3)+"/v1/instances/"+e.id, nil)
		if err != nil {
			e.soak.t.Error(err)
		}
		a, err := http.DefaultClient.Do(r)
		cancel()
		if err == nil {
			_ = a.Body.Close()
		}
		if err == nil && a.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.mu.Lock()
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.soak.mu.Lock()
	e.soak.acknowledged = append(e.soak.acknowledged, time.Since(begun))
	e.soak.mu.Unlock()
}

func (e *leavingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Rattanhoist-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Rattanhoist-Request-Id")
	e.mu.Lock()
	left := e.leftAt
	e.mu.Unlock()
	if after := time.Since(left); !left.IsZero() && after > drainDuration {
		router, err := strconv.Atoi(id[:strings.IndexByte(id, '-')])
		if err != nil {
			e.soak.t.Error(err)
		}
		e.soak.recordLate(lateRequest{router: router, after: after})
	}
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, soakBody)
}

// recordLate records a late request of a router in contact with a calm core. What a router sends that was just
// disturbed, or whose keepers were, is late at times.
func (s *leaveSoak) recordLate(l lateRequest) {
	s.mu.Lock()
	calm := time.Since(s.coreDisturbedAt) > contactWindow
	s.mu.Unlock()
	if !calm || !s.inTouch(l.router) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, l)
}

// restartKeeper stops a keeper and starts it a moment later.
func (s *leaveSoak) restartKeeper(n int) {
	disturbed := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.coreDisturbedAt = time.Now()
	}
	disturbed()
	s.stop(fmt.Sprint("keeper", n))
	time.Sleep(500 * time.Millisecond)
	s.keeper(n, false)
	disturbed()
}

// sendForeignCalls sends calls in wrong form to keepers, as a program that is no endpoint.
func (s *leaveSoak) sendForeignCalls(r *rand.Rand, stop <-chan struct{}) {
	calls := wrongCalls()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * foreignCallInterval)))):
		}
		c := calls[r.IntN(len(calls))]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		q, err := http.NewRequestWithContext(ctx, c.method, "http://"+s.controlAddress(1+r.IntN(3))+"/v1/instances/"+c.id, strings.NewReader(c.body))
		if err != nil {
			s.t.Error(err)
		}
		if a, err := http.DefaultClient.Do(q); err == nil {
			_ = a.Body.Close()
		}
		cancel()
	}
}

func (s *leaveSoak) recordAnswer(a soakAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.status == 200 && a.whole {
		s.served++
	} else if a.status != 0 {
		s.failed++
	}
}

// Guards against requests that reach an endpoint too long after its leave was acknowledged, and against leaves that
// nobody acknowledges, while endpoints are replaced, routers are killed, stopped and frozen, keepers start
// again, and another program sends keepers calls in every wrong form.
func TestSoakOfLeaves(t *testing.T) {
	seed, routers := soakSetting(t, "SOAK_SEED", leaveSoakSeed), int(soakSetting(t, "SOAK_ROUTERS", soakRouters))
	r := rand.New(rand.NewPCG(seed, 2))
	c, g := startCluster(t, 220+int(seed%30))
	c.publish(g, 1, document(2, 100_000_000))
	s := &leaveSoak{soakFleet: &soakFleet{cluster: c, binary: nodeBinary(t), routers: routers, processes: map[int]*exec.Cmd{}, disturbedAt: map[int]time.Time{}}}
	var engines []*leavingEngine
	for n := range leaveSoakEngines {
		engines = append(engines, s.startEngine(n))
	}
	for n := range routers {
		s.startRouter(firstRouter + n)
	}
	for n := range routers {
		c.awaitServing(g, firstRouter+n)
	}
	stop := make(chan struct{})
	var callers, disturbances sync.WaitGroup
	for n := range 3 * routers {
		router := firstRouter + n%routers
		callers.Go(func() {
			soakCaller(c, router, fmt.Sprintf("%d-%d", router, n), stop, func(_ string, a soakAnswer) { s.recordAnswer(a) })
		})
	}
	foreign := rand.New(rand.NewPCG(seed, 3))
	callers.Go(func() { s.sendForeignCalls(foreign, stop) })
	restarted := time.Now()
	for begun, next := time.Now(), leaveSoakEngines; time.Since(begun) < leaveSoakDuration; next++ {
		engines = append(engines, s.startEngine(next))
		leaving := engines[0]
		engines = engines[1:]
		disturbances.Go(leaving.leave)
		if n := firstRouter + r.IntN(routers); r.IntN(4) == 0 && s.inTouch(n) {
			how := r.IntN(3)
			t.Logf("router %d: disturbance %d", n, how)
			disturbances.Go(func() { s.disturb(n, how) })
		}
		if r.IntN(8) == 0 && time.Since(restarted) > 3*contactWindow {
			restarted = time.Now()
			n := 1 + r.IntN(3)
			t.Logf("keeper %d starts again", n)
			disturbances.Go(func() { s.restartKeeper(n) })
		}
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
	time.Sleep(servesAfterLeave)
	disturbances.Wait()
	close(stop)
	callers.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest, slowest time.Duration
	for _, l := range s.late {
		latest = max(latest, l.after)
	}
	for _, d := range s.acknowledged {
		slowest = max(slowest, d)
	}
	t.Logf("seed %d: %d leaves, acknowledged after at most %v; %d requests late, up to %v; %d served, %d not", seed, len(s.acknowledged), slowest, len(s.late), latest, s.served, s.failed)
	g.Expect(s.late).To(gomega.BeEmpty())
	g.Expect(slowest).To(gomega.BeNumerically("<", maxAcknowledgement))
	g.Expect(float64(s.served)).To(gomega.BeNumerically(">=", minServedInSoak*float64(s.served+s.failed)))
}
