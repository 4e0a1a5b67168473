package courier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
)

const (
	// crashDowntime is how long an engine is gone after a crash.
	crashDowntime = 3 * time.Second
	// brittleTime is how long engines are brittle.
	brittleTime = 11 * time.Second
)

// rejection is a request of a router that an engine had no room for.
type rejection struct {
	at     time.Time
	router string
}

// crashingEngine runs brittleSlots requests at a time, lets as many wait, and is back under another id
// after a crash. While it is brittle, it states in each response how many rejections a second it
// tolerates; from contactWindow later no request waits there, and it crashes if it has to reject more.
type crashingEngine struct {
	f       *cluster
	name    string
	address string

	mu           sync.Mutex
	server       *http.Server
	starts       int
	running      int
	waiting      int
	freed        *sync.Cond
	work         time.Duration
	tolerated    int
	brittleSince time.Time
	rejections   []rejection
	served       int
	// crashes holds the rejections of the last second before each crash.
	crashes [][]rejection
}

func (f *cluster) crashingEngine(name string) *crashingEngine {
	e := &crashingEngine{f: f, name: name, work: brittleWork}
	e.freed = sync.NewCond(&e.mu)
	e.start(f.ip(100) + ":0")
	f.t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	f.run("beats "+name, e.sendHeartbeats)
	return e
}

// start listens, as an incarnation of its own.
func (e *crashingEngine) start(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		e.f.t.Error(err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.starts++
	e.running, e.waiting = 0, 0
	s := &http.Server{Handler: e.handler(e.starts), ReadHeaderTimeout: time.Second}
	e.server = s
	go func() { _ = s.Serve(l) }()
}

// id returns the id of the current incarnation, or "" while there is none.
func (e *crashingEngine) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return ""
	}
	return fmt.Sprintf("%s.%d", e.name, e.starts)
}

func (e *crashingEngine) sendHeartbeats(ctx context.Context) error {
	for n := 1; ctx.Err() == nil; n++ {
		if id := e.id(); id != "" {
			for k := 1; k <= 3; k++ {
				if e.f.heartbeat(k, id, e.address, "ready", n) == http.StatusOK {
					break
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	return ctx.Err()
}

// handler returns the handler of one incarnation.
func (e *crashingEngine) handler(start int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Rattanhoist-Target-Instance") != fmt.Sprintf("%s.%d", e.name, start) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		id := r.Header.Get("Rattanhoist-Request-Id")
		work, ok := e.begin(w.Header(), id, start)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer e.end(start)
		w.Header().Set("Rattanhoist-Request-Id", id)
		w.Header().Set("Content-Type", "text/event-stream")
		if !sleep(r.Context(), work/4) {
			return
		}
		e.report(w.Header())
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		if !sleep(r.Context(), work-work/4) {
			return
		}
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
}

// sleep reports whether the time has passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// begin takes a slot, for which the request may have to wait. It reports whether there was room.
func (e *crashingEngine) begin(h http.Header, id string, start int) (work time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == brittleSlots && e.waiting >= e.queueLocked() {
		e.rejectLocked(id, start)
		h.Set("Rattanhoist-Not-Executed", "1")
		e.reportLocked(h)
		return 0, false
	}
	for e.waiting++; e.running == brittleSlots && e.starts == start; {
		e.freed.Wait()
	}
	if e.starts != start {
		return 0, true
	}
	e.waiting--
	e.running++
	return e.work, true
}

// queueLocked returns how many requests may wait.
func (e *crashingEngine) queueLocked() int {
	if e.strictLocked() {
		return 0
	}
	return brittleSlots
}

// strictLocked reports whether the engine has been brittle for contactWindow.
func (e *crashingEngine) strictLocked() bool {
	return e.tolerated > 0 && time.Since(e.brittleSince) >= contactWindow
}

func (e *crashingEngine) rejectLocked(id string, start int) {
	router, _, _ := strings.Cut(id, "-")
	now := time.Now()
	e.rejections = append(e.rejections, rejection{now, router})
	var recent []rejection
	for _, r := range e.rejections {
		if now.Sub(r.at) < time.Second && r.at.Sub(e.brittleSince) >= contactWindow {
			recent = append(recent, r)
		}
	}
	if e.strictLocked() && len(recent) > e.tolerated && e.starts == start && e.server != nil {
		e.crashes = append(e.crashes, recent)
		e.rejections = nil
		go e.crash()
	}
}

// crash closes all connections and starts another incarnation after crashDowntime.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	s := e.server
	if s == nil {
		e.mu.Unlock()
		return
	}
	e.server = nil
	e.mu.Unlock()
	_ = s.Close()
	time.Sleep(crashDowntime)
	e.freed.Broadcast()
	e.start(e.address)
	e.freed.Broadcast()
}

func (e *crashingEngine) end(start int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starts != start {
		return
	}
	e.running--
	e.served++
	e.freed.Signal()
}

func (e *crashingEngine) report(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportLocked(h)
}

func (e *crashingEngine) reportLocked(h http.Header) {
	h.Set("Rattanhoist-Server-Load", fmt.Sprintf("%d,%d,%d", e.running, e.waiting, brittleSlots))
	if e.tolerated > 0 {
		h.Set("Server-Brittle", strconv.Itoa(e.tolerated))
	}
}

// setBrittle makes the engine brittle, or not if it tolerates 0 rejections a second.
func (e *crashingEngine) setBrittle(tolerated int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tolerated, e.brittleSince, e.crashes, e.served = tolerated, time.Now(), nil, 0
}

func (e *crashingEngine) setWork(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.work = d
}

// brittleFleet is a cluster with engines that crash.
type brittleFleet struct {
	*cluster
	engines []*crashingEngine
	// disturbed holds, for each router, when it was last stopped or started.
	mu        sync.Mutex
	disturbed map[string]time.Time
}

func (b *brittleFleet) disturb(router int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disturbed[fmt.Sprint("r", router)] = time.Now()
}

// inTouch reports whether a router was neither stopped nor started in the last contactWindow.
func (b *brittleFleet) inTouch(r rejection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.disturbed[r.router]
	return !ok || r.at.Sub(at) >= contactWindow || r.at.Before(at)
}

// brittleRound makes all engines brittle for brittleTime, during which act runs. It returns how many of
// their crashes were caused by routers in touch, and how many requests a second the engines ran.
func (b *brittleFleet) brittleRound(tolerated int, act func()) (crashes int, served float64) {
	for _, e := range b.engines {
		e.setBrittle(tolerated)
	}
	begun := time.Now()
	act()
	time.Sleep(brittleTime - time.Since(begun))
	seconds := time.Since(begun).Seconds()
	for _, e := range b.engines {
		e.mu.Lock()
		for _, c := range e.crashes {
			counted := 0
			for _, r := range c {
				if b.inTouch(r) {
					counted++
				}
			}
			if 2*counted > len(c) {
				crashes++
			}
		}
		served += float64(e.served) / seconds
		e.mu.Unlock()
		e.setBrittle(0)
	}
	// Those that crashed last come back.
	time.Sleep(crashDowntime + time.Second)
	return crashes, served
}

// startBrittleFleet starts routers, from number 4 on, and engines.
func startBrittleFleet(t *testing.T, subnet, routers, engines int) *brittleFleet {
	f, g := startCluster(t, subnet)
	f.publish(g, 1, document(2, 100_000_000))
	b := &brittleFleet{cluster: f, disturbed: map[string]time.Time{}}
	for n := 4; n < 4+routers; n++ {
		f.router(n)
	}
	for i := range engines {
		b.engines = append(b.engines, f.crashingEngine(fmt.Sprint("i-", i)))
	}
	for n := 4; n < 4+routers; n++ {
		f.awaitServing(g, n)
	}
	return b
}

// expectFew checks what a brittle time allows: 2 crashes and a tenth of the engines; and that the slots
// of the engines are not left empty, while callers send as much as all of them run, most a second.
func (b *brittleFleet) expectFew(name string, tolerated int, most float64, act func()) {
	// The next brittle times are examined as well if this one fails.
	g := gomega.NewGomega(func(message string, _ ...int) { b.t.Error(message) })
	before := rejectionsByBelief()
	crashes, served := b.brittleRound(tolerated, act)
	for belief, n := range rejectionsByBelief() {
		b.t.Logf("%s: %d rejections, sent as %s", name, n-before[belief], belief)
	}
	b.t.Logf("%s: %d crashes, %.0f of %.0f requests a second served", name, crashes, served, most)
	g.Expect(crashes).To(gomega.BeNumerically("<=", 2+len(b.engines)/10), name)
	g.Expect(served).To(gomega.BeNumerically(">=", most/2), "%s: half of what the engines can run", name)
}

// capacity returns how many requests a second all engines can run, each of which takes work.
func (b *brittleFleet) capacity(work time.Duration) float64 {
	return float64(len(b.engines)*brittleSlots) / work.Seconds()
}

// rejectionsByBelief returns the counters of all routers of the process.
func rejectionsByBelief() map[string]uint64 {
	out := map[string]uint64{}
	for _, belief := range []string{"limit_unknown", "load_unknown", "at_risk", "room", "permitted"} {
		out[belief] = metrics.GetOrCreateCounter(`rattanhoist_rejections_by_belief_total{sent_as="` + belief + `"}`).Get()
	}
	return out
}

// Guards against endpoints that limit rejections and crash, one after the other, because routers
// together send them more than they have room for: in steady load, when all endpoints slow down, and
// when routers stop and start, and when one loses its paths to all endpoints and reaches them through the
// others.
func TestRoutersTogetherCrashFewBrittleEndpoints(t *testing.T) {
	b := startBrittleFleet(t, 170, 3, 6)
	p := newPartition()
	b.partitionedRouter(7, p)
	b.awaitServing(gomega.NewWithT(t), 7)
	stop := b.flood(4, 5, 6, 7)
	defer stop()
	time.Sleep(time.Second)
	none := func() {}
	most := b.capacity(brittleWork)
	b.expectFew("steady", 2, most, none)
	b.expectFew("one rejection tolerated", 1, most, none)
	b.expectFew("slow-down", 2, (most+most/3)/2, func() {
		time.Sleep(brittleTime / 2)
		for _, e := range b.engines {
			e.setWork(3 * brittleWork)
		}
	})
	for _, e := range b.engines {
		e.setWork(brittleWork)
	}
	b.expectFew("restarts", 2, most, func() {
		for _, n := range []int{4, 5} {
			time.Sleep(contactWindow / 4)
			b.disturb(n)
			b.stop(fmt.Sprint("router", n))
			b.disturb(n)
			b.router(n)
		}
	})
	b.expectFew("a router is cut off from the engines", 2, most, func() {
		for _, c := range []cut{cutHang, cutNone, cutResetRefuse, cutNone} {
			time.Sleep(brittleTime / 5)
			p.set(c)
		}
	})
}

// Guards against the same with so many routers that each sends an endpoint less than a request in the
// time of a load report.
func TestManyRoutersTogetherCrashFewBrittleEndpoints(t *testing.T) {
	const routers = 16
	b := startBrittleFleet(t, 171, routers, 12)
	var numbers []int
	for n := 4; n < 4+routers; n++ {
		numbers = append(numbers, n)
	}
	const work = 2 * brittleWork
	for _, e := range b.engines {
		e.setWork(work)
	}
	stop := b.floodAt(15, numbers...)
	defer stop()
	time.Sleep(time.Second)
	b.expectFew("steady", 2, b.capacity(work), func() {})
}
