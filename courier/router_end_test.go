package courier_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// endRouters is the number of router processes that are told to stop, endRounds how often each of
	// them is, and endCallers the number of connections to each. END_ROUTERS, END_ROUNDS and END_CALLERS
	// replace them.
	endRouters = 4
	endRounds  = 2
	endCallers = 60
	// endSeed is the seed of the run in CI, which END_SEED replaces.
	endSeed = 1
	// endGrace is the grace period in the settings of a cluster.
	endGrace = 5 * time.Second
	// smallShare is the share of a processor that a small VM has.
	smallShare = 0.2
	// maxCallerPause is the longest time for which a caller leaves its connection idle. It is longer
	// than a router without requests takes to end.
	maxCallerPause = 4 * time.Second
	plainBody      = 800
)

// endDocument has a route of each kind.
func endDocument(number int) string {
	route := func(name, kind string, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"a.example","path_prefix":"/%s/","route_type":%q,"timeout_ms":3000,"service":"engine","attempts":2%s}`, name, name, kind, more)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"engine","max_connections":500,"engine":{"stride":5}}],`+
		`"limits":{},"tenants":[{"name":"w","api_keys":["k"],"prepaid":100000000}]}`, number,
		route("a", "streaming", ""), route("stream", "streaming", ""), route("resume", "streaming", `,"stream_resume":true`),
		route("once", "non_idempotent", ""), route("read", "idempotent", ""))
}

// endEngine answers plain and streaming requests completely, and counts the runs of each.
type endEngine struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *endEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Rattanhoist-Request-Id")
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("Rattanhoist-Request-Id", id)
	w.Header().Set("Rattanhoist-Response-Signature", "s")
	pause := time.Duration(rand.IntN(10)) * time.Millisecond
	if strings.HasPrefix(q.URL.Path, "/once/") || strings.HasPrefix(q.URL.Path, "/read/") {
		time.Sleep(pause)
		_, _ = io.WriteString(w, strings.Repeat("x", plainBody))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, soakBody[:len(soakBody)/2])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(pause)
	_, _ = io.WriteString(w, soakBody[len(soakBody)/2:])
}

func (e *endEngine) ran(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] > 0
}

// endCounts counts the requests of all callers by how they ended.
type endCounts struct {
	mu sync.Mutex
	// whole answers; connections closed before an answer to a request that did not run; connections
	// closed before the whole answer to a request that did.
	answered, unread int
	lost             []string
}

// endCaller sends requests on one connection to a router until that closes it or announces so, and then
// opens the next one.
type endCaller struct {
	f      *cluster
	router int
	name   string
	random *rand.Rand
	engine *endEngine
	counts *endCounts
	sent   int
}

func (c *endCaller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		conn, err := net.Dial("tcp", c.f.serveAddress(c.router))
		if err != nil {
			continue
		}
		for open, reader := true, bufio.NewReader(conn); open; {
			select {
			case <-stop:
				open = false
			case <-time.After(c.pause()):
				open = c.exchange(conn, reader)
			}
		}
		_ = conn.Close()
	}
}

// pause returns how long the connection stays idle.
func (c *endCaller) pause() time.Duration {
	if c.random.IntN(4) == 0 {
		return time.Duration(c.random.Int64N(int64(maxCallerPause)))
	}
	return time.Duration(c.random.Int64N(int64(400 * time.Millisecond)))
}

// exchange sends a request and reads its answer. It reports whether the connection may be used again.
func (c *endCaller) exchange(conn net.Conn, reader *bufio.Reader) bool {
	c.sent++
	id := fmt.Sprint(c.name, "-", c.sent)
	route := []string{"stream", "resume", "once", "read"}[c.random.IntN(4)]
	body := strings.Repeat("b", []int{0, 100, 20_000}[c.random.IntN(3)])
	request := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k\r\nRattanhoist-Request-Id: %s\r\nRattanhoist-Token-Usage: 1,1\r\nContent-Length: %d\r\n\r\n%s",
		route, id, len(body), body)
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	begun := time.Now()
	_, err := io.WriteString(conn, request)
	var a *http.Response
	if err == nil {
		a, err = http.ReadResponse(reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	switch {
	case err == nil:
		c.counts.answered++
		return !a.Close
	case c.engine.ran(id):
		c.counts.lost = append(c.counts.lost, fmt.Sprintf("%s on %s after %s: %v", id, route, time.Since(begun), err))
	default:
		c.counts.unread++
	}
	return false
}

// throttle gives a process a share of a processor in each period, until stop is closed.
func (p *partitionedProcess) throttle(share float64, stop <-chan struct{}) {
	const period = 100 * time.Millisecond
	signal := func(s syscall.Signal, d time.Duration) {
		p.mu.Lock()
		// A process that has just ended is replaced soon.
		_ = p.process.Process.Signal(s)
		p.mu.Unlock()
		time.Sleep(d)
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		signal(syscall.SIGSTOP, time.Duration((1-share)*float64(period)))
		signal(syscall.SIGCONT, time.Duration(share*float64(period)))
	}
}

// Guards against requests that are sent to an endpoint and whose connection is closed without their whole
// answer, while routers are told to stop, one after the other and together, and their callers use open
// connections until the process is gone. Some routers have a small share of a processor.
func TestRequestsOnOpenConnectionsOutlastTheirRouter(t *testing.T) {
	t.Parallel()
	seed, routers := soakSetting(t, "END_SEED", endSeed), int(soakSetting(t, "END_ROUTERS", endRouters))
	rounds, each := int(soakSetting(t, "END_ROUNDS", endRounds)), int(soakSetting(t, "END_CALLERS", endCallers))
	f, g := startCluster(t, 21+int(seed%8))
	f.publish(g, 1, endDocument(2))
	engine := &endEngine{runs: map[string]int{}}
	for n := range 3 {
		f.startEndEngine(fmt.Sprint("i-", n), engine)
	}
	processes := make([]*partitionedProcess, routers)
	for i := range processes {
		processes[i] = f.partitionedProcess(firstRouter + i)
		f.awaitServing(g, firstRouter+i)
	}
	counts, stop := &endCounts{}, make(chan struct{})
	var callers sync.WaitGroup
	for i := range processes {
		for n := range each {
			c := &endCaller{f: f, router: firstRouter + i, name: fmt.Sprintf("c%d-%d", i, n), random: rand.New(rand.NewPCG(seed, uint64(1000*i+n))), engine: engine, counts: counts}
			callers.Go(func() { c.run(stop) })
		}
	}
	for i, p := range processes {
		if i%2 == 0 {
			callers.Go(func() { p.throttle(smallShare, stop) })
		}
	}
	time.Sleep(time.Second)
	for round := range rounds {
		var stopped sync.WaitGroup
		for _, p := range processes {
			stopped.Go(func() {
				begun := time.Now()
				p.restart(syscall.SIGTERM)
				if d := time.Since(begun); d > endGrace {
					t.Errorf("router %d ended %s after it was told to", p.number, d)
				}
			})
			if round%2 == 0 {
				time.Sleep(500 * time.Millisecond)
			}
		}
		stopped.Wait()
		time.Sleep(time.Second)
	}
	close(stop)
	callers.Wait()
	t.Logf("%d answered, %d not run, %d lost", counts.answered, counts.unread, len(counts.lost))
	g.Expect(counts.answered).To(gomega.BeNumerically(">", 100))
	g.Expect(counts.lost).To(gomega.BeEmpty())
}

func (f *cluster) startEndEngine(id string, e *endEngine) {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats(id, l.Addr().String())
}

// bigDocument has more routes before those that callers use.
func bigDocument(number, routes int) string {
	more := strings.Builder{}
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"m%d","hostname":"m%d.example","path_prefix":"/m%d/","route_type":"idempotent","timeout_ms":3000,"service":"engine","attempts":2},`, i, i, i)
	}
	return strings.Replace(endDocument(number), `"routes":[`, `"routes":[`+more.String(), 1)
}

// Guards against requests that were sent to an endpoint and whose connection is closed without their whole
// answer while big documents, and many in a row, come into force. Nothing else happens, so no connection
// is closed at all.
func TestRequestsOnOpenConnectionsOutlastDocuments(t *testing.T) {
	t.Parallel()
	seed := soakSetting(t, "END_SEED", endSeed)
	f, g := startCluster(t, 31+int(seed%8))
	f.publish(g, 1, endDocument(2))
	engine := &endEngine{runs: map[string]int{}}
	for n := range 3 {
		f.startEndEngine(fmt.Sprint("i-", n), engine)
	}
	const routers = 2
	for i := range routers {
		f.partitionedProcess(firstRouter + i)
		f.awaitServing(g, firstRouter+i)
	}
	counts, stop := &endCounts{}, make(chan struct{})
	var callers sync.WaitGroup
	for i := range routers {
		for n := range endCallers {
			c := &endCaller{f: f, router: firstRouter + i, name: fmt.Sprintf("c%d-%d", i, n), random: rand.New(rand.NewPCG(seed, uint64(1000*i+n))), engine: engine, counts: counts}
			callers.Go(func() { c.run(stop) })
		}
	}
	number := 3
	for _, routes := range []int{0, 3_000, 0, 1_000} {
		f.publish(g, 1+number%3, bigDocument(number, routes))
		number++
		time.Sleep(time.Second)
	}
	for range 30 {
		f.publish(g, 1+number%3, bigDocument(number, 100*(number%3)))
		number++
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	t.Logf("%d answered, %d not run, %d lost; %d documents", counts.answered, counts.unread, len(counts.lost), number-2)
	g.Expect(counts.answered).To(gomega.BeNumerically(">", 100))
	g.Expect(counts.lost).To(gomega.BeEmpty())
	g.Expect(counts.unread).To(gomega.BeZero())
}

// Guards against a connection that is closed without an answer at the end of the grace period of its router,
// because an endpoint is still at work on its request.
func TestRequestsLeftAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 41)
	f.publish(g, 1, strings.ReplaceAll(endDocument(2), `"timeout_ms":3000`, `"timeout_ms":20000`))
	f.router(4)
	working := make(chan struct{}, 2)
	l, err := net.Listen("tcp", f.ip(100)+":0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Rattanhoist-Request-Id", r.Header.Get("Rattanhoist-Request-Id"))
		if strings.HasPrefix(r.URL.Path, "/a/") {
			_, _ = io.WriteString(w, soakBody)
			return
		}
		working <- struct{}{}
		<-r.Context().Done()
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	f.sendHeartbeats("i-1", l.Addr().String())
	f.awaitServing(g, 4)
	statuses := make(chan int, 2)
	for _, route := range []string{"once", "stream"} {
		go func() {
			r, _ := http.NewRequestWithContext(t.Context(), "POST", "http://"+f.serveAddress(4)+"/"+route+"/x", strings.NewReader(""))
			r.Host = "a.example"
			r.Header.Set("Api-Key", "k")
			r.Header.Set("Rattanhoist-Request-Id", route)
			r.Header.Set("Rattanhoist-Token-Usage", "1,1")
			a, err := (&http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}).Do(r)
			if err != nil {
				statuses <- 0
				return
			}
			_ = a.Body.Close()
			statuses <- a.StatusCode
		}()
	}
	for range 2 {
		g.Eventually(working, 2*time.Second).Should(gomega.Receive())
	}
	begun := time.Now()
	f.stop("router4")
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 5*time.Second), "within the grace period")
	for range 2 {
		g.Eventually(statuses, time.Second).Should(gomega.Receive(gomega.Equal(http.StatusBadGateway)), "it may have run")
	}
}
