package courier_test

import (
	"bufio"
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
	// lateAfter is a time after the begin of a stop at which a router accepts no more requests.
	lateAfter = 2500 * time.Millisecond
	// earlyAfter is a time at which it does.
	earlyAfter = time.Second
	// usualSamples is how many requests of a route have been served before its router stops.
	usualSamples = 20
)

// stopEngine is at work on each request for as long as its X-Work header says. A stream has its first event at once.
type stopEngine struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *stopEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Rattanhoist-Request-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Rattanhoist-Response-Signature", "s")
	work, _ := time.ParseDuration(q.Header.Get("X-Work"))
	finished := func() bool {
		select {
		case <-time.After(work):
			return true
		case <-q.Context().Done():
			return false
		}
	}
	if strings.HasPrefix(q.URL.Path, "/once/") || strings.HasPrefix(q.URL.Path, "/read/") {
		if finished() {
			_, _ = io.WriteString(w, strings.Repeat("x", plainBody))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, soakBody[:len(soakBody)/2])
	_ = http.NewResponseController(w).Flush()
	if finished() {
		_, _ = io.WriteString(w, soakBody[len(soakBody)/2:])
	}
}

func (e *stopEngine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// stopCluster is a cluster with one router and one endpoint.
type stopCluster struct {
	*cluster
	engine *stopEngine
	// begun is when the router was told to stop, and ended receives how long it took.
	begun time.Time
	ended chan time.Duration
}

func startStopCluster(t *testing.T, subnet int) (*stopCluster, *gomega.WithT) {
	f, g := startCluster(t, subnet)
	f.publish(g, 1, strings.ReplaceAll(endDocument(2), `"timeout_ms":3000`, `"timeout_ms":12000`))
	f.router(4)
	x := &stopCluster{cluster: f, engine: &stopEngine{runs: map[string]int{}}, ended: make(chan time.Duration, 1)}
	l, err := net.Listen("tcp", f.ip(100)+":0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{Handler: x.engine, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats("i-1", l.Addr().String())
	f.awaitServing(g, 4)
	return x, g
}

// stopRouter tells the router to stop.
func (x *stopCluster) stopRouter() {
	x.begun = time.Now()
	go func() {
		x.stop("router4")
		x.ended <- time.Since(x.begun)
	}()
}

// at waits for a time after the begin of the stop.
func (x *stopCluster) at(d time.Duration) { time.Sleep(time.Until(x.begun.Add(d))) }

// stopCaller is a caller with one connection to the router.
type stopCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (x *stopCluster) dial(g *gomega.WithT) *stopCaller {
	c, err := net.Dial("tcp", x.serveAddress(4))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	x.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &stopCaller{c, bufio.NewReader(c)}
}

// stopHead returns the head of a request on which the endpoint works for some time.
func stopHead(route, id string, work time.Duration, framing string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Token-Usage: 1,1\r\nX-Work: %s\r\n%s\r\n\r\n",
		route, id, work, framing)
}

func (c *stopCaller) write(parts ...string) {
	// What the router does not read shows in the answer.
	for _, p := range parts {
		_, _ = io.WriteString(c, p)
	}
}

// stopAnswer is an answer to a request at a router that stops.
type stopAnswer struct {
	// status is 0 without an answer.
	status     int
	retryAfter string
	// closes is set if the answer announces the end of the connection.
	closes bool
	// err is set unless the answer is whole.
	err error
}

func (a stopAnswer) String() string {
	return fmt.Sprintf("status %d, Retry-After %q, closes %v, error %v", a.status, a.retryAfter, a.closes, a.err)
}

// receive returns the next answer.
func (c *stopCaller) receive() stopAnswer {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return stopAnswer{err: err}
	}
	_, err = io.Copy(io.Discard, a.Body)
	return stopAnswer{a.StatusCode, a.Header.Get("Retry-After"), a.Close, err}
}

// isRefusal reports whether the whole answer says that the request has not run and when to send it again.
func (a stopAnswer) isRefusal() bool {
	return a.err == nil && a.status == http.StatusServiceUnavailable && a.retryAfter != "" && a.closes
}

// serve sends a request with a body of one byte and expects that it is served.
func (c *stopCaller) serve(g *gomega.WithT, route, id string, work time.Duration) {
	c.write(stopHead(route, id, work, "Content-Length: 1"), "b")
	a := c.receive()
	g.Expect(a.err).NotTo(gomega.HaveOccurred(), id)
	g.Expect(a.status).To(gomega.Equal(http.StatusOK), id)
}

// expectRefused reads the answers to requests that are sent, and checks that they were refused and have not run.
func (x *stopCluster) expectRefused(callers map[string]*stopCaller) {
	for id, c := range callers {
		a, runs := c.receive(), x.engine.ran(id)
		if !a.isRefusal() || runs > 0 {
			x.t.Errorf("%s: %v after %s, %d runs", id, a, time.Since(x.begun).Round(time.Millisecond), runs)
		}
	}
}

var stopRoutes = []string{"once", "read", "stream", "resume"}

var stopFramings = map[string]struct{ head, begin, end string }{
	"length": {"Content-Length: 8", "body", "body"},
	"chunks": {"Transfer-Encoding: chunked", "4\r\nbody\r\n", "4\r\nbody\r\n0\r\n\r\n"},
}

// Guards against requests whose body arrives whole when their router accepts no more requests, and which it sends to
// an endpoint all the same and cuts off at the end of its grace period.
func TestLateBodiesAreNotPassedOnAndCutOff(t *testing.T) {
	t.Parallel()
	x, g := startStopCluster(t, 43)
	callers, ends := map[string]*stopCaller{}, map[string]string{}
	var begin []func()
	for _, kept := range []bool{false, true} {
		for _, route := range stopRoutes {
			for name, f := range stopFramings {
				c, id := x.dial(g), fmt.Sprintf("%s in %s, kept %v", route, name, kept)
				if kept {
					c.serve(g, "a", "before "+id, 0)
				}
				callers[id], ends[id] = c, f.end
				begin = append(begin, func() { c.write(stopHead(route, id, 20*time.Second, f.head), f.begin) })
			}
		}
	}
	x.stopRouter()
	x.at(earlyAfter)
	for _, send := range begin {
		send()
	}
	x.at(lateAfter)
	for id, c := range callers {
		c.write(ends[id])
	}
	x.expectRefused(callers)
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
}

// Guards against a refusal, while a router stops, of requests that usually end long before it does: they are served,
// also if their body arrives late.
func TestShortRequestsAreServedWhileTheirRouterStops(t *testing.T) {
	t.Parallel()
	x, g := startStopCluster(t, 44)
	for _, route := range stopRoutes {
		c := x.dial(g)
		for i := range usualSamples {
			c.serve(g, route, fmt.Sprint(route, i), 20*time.Millisecond)
		}
	}
	early, late := map[string]*stopCaller{}, map[string]*stopCaller{}
	for _, route := range stopRoutes {
		early[route], late[route] = x.dial(g), x.dial(g)
	}
	x.stopRouter()
	x.at(earlyAfter)
	f := stopFramings["chunks"]
	for _, route := range stopRoutes {
		early[route].serve(g, route, "early "+route, 20*time.Millisecond)
		late[route].write(stopHead(route, "late "+route, 20*time.Millisecond, f.head), f.begin)
	}
	x.at(lateAfter)
	for _, route := range stopRoutes {
		late[route].write(f.end)
		a := late[route].receive()
		g.Expect(a.err).NotTo(gomega.HaveOccurred(), route)
		g.Expect(a.status).To(gomega.Equal(http.StatusOK), route)
		g.Expect(a.closes).To(gomega.BeTrue(), route)
	}
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
}

// Guards against requests that a stopping router takes although those of their route last longer than it will: they
// are sent to an endpoint, and cut off in the middle of their answers.
func TestRequestsThatWouldOutlastTheirRouterAreRefused(t *testing.T) {
	t.Parallel()
	const usual = 4200 * time.Millisecond
	x, g := startStopCluster(t, 45)
	var served sync.WaitGroup
	for _, route := range stopRoutes {
		for i := range 3 {
			c := x.dial(g)
			served.Go(func() { c.serve(g, route, fmt.Sprint(route, i), usual) })
		}
	}
	served.Wait()
	callers := map[string]*stopCaller{}
	for _, route := range stopRoutes {
		callers["long "+route] = x.dial(g)
	}
	x.stopRouter()
	x.at(earlyAfter)
	for id, c := range callers {
		c.write(stopHead(strings.TrimPrefix(id, "long "), id, usual, "Content-Length: 1"), "b")
	}
	x.expectRefused(callers)
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
}

// Guards against requests that are sent at any moment of a stop, on kept and on new connections, and end without an
// answer although an endpoint got them, or are sent to one when the router accepts no more.
func TestRequestsAtEachMomentOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	const (
		step = 20 * time.Millisecond
		last = 5 * time.Second
	)
	x, g := startStopCluster(t, 46)
	for _, route := range stopRoutes {
		c := x.dial(g)
		for i := range usualSamples {
			c.serve(g, route, fmt.Sprint(route, i), 20*time.Millisecond)
		}
	}
	var mu sync.Mutex
	outcomes := map[string]int{}
	var done sync.WaitGroup
	exchange := func(c *stopCaller, at time.Duration, route, kind string) {
		x.at(at)
		id := fmt.Sprintf("%s %s %s", at, route, kind)
		c.write(stopHead(route, id, 20*time.Millisecond, "Content-Length: 1"), "b")
		a, runs := c.receive(), x.engine.ran(id)
		mu.Lock()
		defer mu.Unlock()
		outcomes[fmt.Sprintf("%s: status %d", kind, a.status)]++
		if a.err != nil && runs > 0 || runs > 0 && at > lateAfter || runs > 1 || a.err == nil && !a.closes && at > earlyAfter {
			t.Errorf("%s: %v, %d runs", id, a, runs)
		}
	}
	type kept struct {
		c     *stopCaller
		at    time.Duration
		route string
	}
	var callers []kept
	for at := step; at <= last; at += step {
		c := x.dial(g)
		c.serve(g, "a", fmt.Sprint("before ", at), 0)
		callers = append(callers, kept{c, at, stopRoutes[len(callers)%len(stopRoutes)]})
	}
	// A long request keeps the router until the end of its grace period.
	long := x.dial(g)
	long.write(stopHead("once", "long", 20*time.Second, "Content-Length: 1"), "b")
	g.Eventually(func() int { return x.engine.ran("long") }, time.Second).Should(gomega.Equal(1))
	x.stopRouter()
	for _, k := range callers {
		done.Go(func() { exchange(k.c, k.at, k.route, "kept") })
		done.Go(func() {
			x.at(k.at)
			n, err := net.Dial("tcp", x.serveAddress(4))
			if err != nil {
				return
			}
			defer n.Close()
			_ = n.SetDeadline(time.Now().Add(10 * time.Second))
			exchange(&stopCaller{n, bufio.NewReader(n)}, k.at, k.route, "new")
		})
	}
	g.Expect(long.receive().status).To(gomega.Equal(http.StatusBadGateway), "it may have run")
	done.Wait()
	t.Logf("%v", outcomes)
	g.Expect(outcomes["kept: status 200"]).To(gomega.BeNumerically(">", 20))
	g.Expect(outcomes["kept: status 503"]).To(gomega.BeNumerically(">", 20))
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
}

// Guards against a refusal of a stopping router that waits for the rest of a body which nobody reads, or that is lost
// because the connection is closed while the caller still sends.
func TestRefusalsOfAStoppingRouterReachCallersThatSend(t *testing.T) {
	t.Parallel()
	const maxWait = time.Second
	x, g := startStopCluster(t, 47)
	// A request keeps the router until the end of its grace period.
	long := x.dial(g)
	long.write(stopHead("once", "long", 20*time.Second, "Content-Length: 1"), "b")
	g.Eventually(func() int { return x.engine.ran("long") }, time.Second).Should(gomega.Equal(1))
	callers := map[string]*stopCaller{}
	uploads := map[string]struct {
		framing, part string
		pause         time.Duration
	}{
		"slow chunks": {"Transfer-Encoding: chunked", "1\r\nx\r\n", 20 * time.Millisecond},
		"slow length": {"Content-Length: 100000", "x", 20 * time.Millisecond},
		"fast chunks": {"Transfer-Encoding: chunked", "400\r\n" + strings.Repeat("x", 1024) + "\r\n", 100 * time.Microsecond},
		"fast length": {"Content-Length: 4000000", strings.Repeat("x", 1024), 100 * time.Microsecond},
	}
	for name := range uploads {
		callers[name] = x.dial(g)
	}
	x.stopRouter()
	x.at(lateAfter)
	var done sync.WaitGroup
	for name, u := range uploads {
		c := callers[name]
		done.Go(func() {
			begun := time.Now()
			c.write(stopHead("once", name, 0, u.framing))
			go func() {
				for range 4000 {
					if _, err := io.WriteString(c, u.part); err != nil {
						return
					}
					time.Sleep(u.pause)
				}
			}()
			if a, took := c.receive(), time.Since(begun); !a.isRefusal() || took > maxWait {
				t.Errorf("%s: %v after %s", name, a, took.Round(time.Millisecond))
			}
		})
	}
	done.Wait()
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
}

// Guards against callers that get no answer because their bodies still arrive when their router ends.
func TestUnfinishedBodiesAreAnsweredBeforeTheirRouterEnds(t *testing.T) {
	t.Parallel()
	const pause = 50 * time.Millisecond
	x, g := startStopCluster(t, 49)
	callers := map[string]*stopCaller{}
	var done sync.WaitGroup
	for _, route := range stopRoutes {
		for name, f := range map[string]struct{ framing, part string }{
			"length": {"Content-Length: 100000", "x"}, "chunks": {"Transfer-Encoding: chunked", "1\r\nx\r\n"},
		} {
			c, id := x.dial(g), route+" in "+name
			callers[id] = c
			c.write(stopHead(route, id, 0, f.framing))
			done.Go(func() {
				for err := error(nil); err == nil; _, err = io.WriteString(c, f.part) {
					time.Sleep(pause)
				}
			})
		}
	}
	time.Sleep(4 * pause)
	x.stopRouter()
	x.expectRefused(callers)
	g.Expect(<-x.ended).To(gomega.BeNumerically("<", endGrace))
	done.Wait()
}
