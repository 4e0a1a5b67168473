package courier_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/courier"
	"rattanhoist.example/rattanhoist/launcher"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/platform"
	"rattanhoist.example/rattanhoist/steward"
)

// cluster runs keepers and routers on loopback addresses, each with its own settings and disk.
type cluster struct {
	t   *testing.T
	dir string
	// subnet is the second byte of the addresses, which is different in each test.
	subnet  int
	stopsMu sync.Mutex
	stops   map[string]func()
}

func newCluster(t *testing.T, subnet int) *cluster {
	launcher.LockAddresses(t, fmt.Sprint("cluster-", subnet))
	return &cluster{t: t, dir: t.TempDir(), subnet: subnet, stops: map[string]func(){}}
}

func (f *cluster) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", f.subnet, n) }

func (f *cluster) controlAddress(n int) string { return f.ip(n) + ":8229" }

func (f *cluster) serveAddress(n int) string { return f.ip(n) + ":8227" }

func (f *cluster) dataDir(n int) string { return filepath.Join(f.dir, fmt.Sprint("data", n)) }

func (f *cluster) node(kind string, n int, first bool, settings ...string) *loader.Node {
	text := fmt.Sprintf("[node]\nname = n%d\nkind = %s\nzone = z%d\nip = %s\ninternal_ports = 7340,7355\nseeds = %s,%s,%s\n"+
		"first_start = %v\nlost_disks = 1\nheartbeat_ms = 300\ngrace_s = 5\n", n, kind, n, f.ip(n), f.controlAddress(1), f.controlAddress(2), f.controlAddress(3), first)
	if kind == loader.KindKeeper {
		text += "control = " + f.controlAddress(n) + "\ndata_dir = " + f.dataDir(n) + "\n"
	} else {
		text += "serve = " + f.serveAddress(n) + "\nready = " + f.ip(n) + ":8220\n"
	}
	text += strings.Join(settings, "\n") + "\n"
	file := filepath.Join(f.dir, fmt.Sprint("node", n, ".ini"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	node, _, err := loader.LoadNode(file)
	if err != nil {
		f.t.Fatal(err)
	}
	return node
}

// run runs a process until it is stopped or the test ends.
func (f *cluster) run(name string, p func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p(ctx); err != nil && ctx.Err() == nil {
			f.t.Errorf("%s: %v", name, err)
		}
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	f.t.Cleanup(stop)
	f.stopsMu.Lock()
	defer f.stopsMu.Unlock()
	f.stops[name] = stop
}

func (f *cluster) keeper(n int, first bool) {
	s, cleanUp, err := steward.New(f.node(loader.KindKeeper, n, first), zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	f.run(fmt.Sprint("keeper", n), func(ctx context.Context) error {
		defer cleanUp()
		return s.Run(ctx, func(s *steward.Keeper) http.Handler {
			return platform.NewControl(steward.NewControl(s, platform.DecodeDocument), s.RequestMemory())
		})
	})
}

func (f *cluster) router(n int) {
	c := courier.New(courier.Options{
		Node: f.node(loader.KindRouter, n, false), Log: zap.NewNop(), Decode: platform.DecodeDocument, Wire: platform.HeaderCodec{},
		ClassifyResponse: platform.ClassifyResponse, ReadyPath: platform.ReadyPath,
	})
	f.run(fmt.Sprint("router", n), c.Run)
}

func (f *cluster) stop(name string) {
	f.stopsMu.Lock()
	stop := f.stops[name]
	f.stopsMu.Unlock()
	stop()
}

// call returns the status and body of the response to one request, or 0 if it failed.
func (f *cluster) call(method, address, path, body string, header ...string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	r.Close = true
	r.Host = "a.example"
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	return a.StatusCode, string(b)
}

func document(number int, prepaid int64) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/a/","route_type":"streaming",`+
		`"timeout_ms":3000,"service":"engine","attempts":1}],"services":[{"name":"engine","max_connections":50,"engine":{"stride":5}}],`+
		`"limits":{},"tenants":[{"name":"w","api_keys":["k"],"prepaid":%d}]}`, number, prepaid)
}

// engine starts an engine that answers each request with two events of five tokens, and with the given
// names and values in the header.
func (f *cluster) engine(id string, header ...string) string {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Rattanhoist-Target-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Rattanhoist-Request-Id", r.Header.Get("Rattanhoist-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func (f *cluster) heartbeat(keeper int, id, address, state string, sequence int) int {
	status, _ := f.call("PUT", f.controlAddress(keeper), "/v1/instances/"+id,
		fmt.Sprintf(`{"service":"engine","address":%q,"zone":"z4","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":%d}`, address, state, sequence))
	return status
}

// sendHeartbeats sends heartbeats until the test ends, to the first keeper that answers.
func (f *cluster) sendHeartbeats(id, address string) {
	f.run("beats "+id, func(ctx context.Context) error {
		for n := 1; ctx.Err() == nil; n++ {
			for k := 1; k <= 3; k++ {
				if f.heartbeat(k, id, address, "ready", n) == http.StatusOK {
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
}

func (f *cluster) request(router int, id string, tokens string) (int, string) {
	return f.call("POST", f.serveAddress(router), "/a/x", "", "Api-Key", "k", "Rattanhoist-Request-Id", id, "Rattanhoist-Token-Usage", tokens)
}

func (f *cluster) publish(g *gomega.WithT, keeper int, content string) {
	g.Eventually(func() int {
		status, _ := f.call("PUT", f.controlAddress(keeper), "/v1/config", content)
		return status
	}, 15*time.Second, 100*time.Millisecond).Should(gomega.Equal(200))
}

func startCluster(t *testing.T, subnet int) (*cluster, *gomega.WithT) {
	f, g := newCluster(t, subnet), gomega.NewWithT(t)
	for n := 1; n <= 3; n++ {
		f.keeper(n, true)
	}
	f.publish(g, 1, document(1, 200))
	return f, g
}

// Guards against two runs of the tests on one machine that use the same addresses at the same time: the
// second can't listen, and the first gets requests, endpoints and documents of the second.
func TestClustersWithTheSameAddressesTakeTurns(t *testing.T) {
	var running atomic.Int32
	for _, name := range []string{"one", "another"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newCluster(t, 161)
			gomega.NewWithT(t).Expect(running.Add(1)).To(gomega.BeEquivalentTo(1))
			time.Sleep(200 * time.Millisecond)
			running.Add(-1)
		})
	}
}

func (f *cluster) awaitServing(g *gomega.WithT, router int) {
	g.Eventually(func() int {
		status, _ := f.request(router, "warm", "1,1")
		return status
	}, 15*time.Second, 50*time.Millisecond).Should(gomega.Equal(200))
}

func TestFleetServesCountsAndDrains(t *testing.T) {
	f, g := startCluster(t, 61)
	f.router(4)
	f.router(5)
	address := f.engine("i-1")
	f.sendHeartbeats("i-1", address)
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	_, body := f.request(4, "one", "10,10")
	g.Expect(body).To(gomega.Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\n"))

	// The total is 200. Each request reserves up to 30 and costs 20.
	served := 0
	for i := range 20 {
		status, body := f.request(4+i%2, fmt.Sprint("r", i), "10,20")
		if status == 200 {
			served++
		} else {
			g.Expect(status).To(gomega.Equal(402), body)
		}
	}
	g.Expect(served).To(gomega.BeNumerically(">=", 6))
	g.Expect(served).To(gomega.BeNumerically("<=", 9))

	f.publish(g, 2, document(2, 100_000))
	g.Eventually(func() int {
		status, _ := f.request(4, "more", "10,20")
		return status
	}, 3*time.Second, 50*time.Millisecond).Should(gomega.Equal(200), "a raised total is in force within seconds")

	status, _ := f.call("DELETE", f.controlAddress(3), "/v1/instances/i-1", "")
	g.Expect(status).To(gomega.Equal(200))
	g.Eventually(func() int {
		status, _ := f.request(5, "late", "1,1")
		return status
	}, 2*time.Second, 50*time.Millisecond).Should(gomega.Equal(503), "an endpoint that left gets no new work")
	g.Consistently(func() int {
		status, _ := f.request(5, "late", "1,1")
		return status
	}, time.Second, 100*time.Millisecond).Should(gomega.Equal(503), "its late heartbeats don't bring it back")
}

// Guards against losing an acknowledged configuration, or reading an older one. A keeper
// acknowledges, loses its disk and restarts empty at the same address while another is
// down; then all stop and start. An empty disk must not count for a majority.
func TestAcknowledgedConfigurationSurvivesALostDisk(t *testing.T) {
	f, g := startCluster(t, 62)
	f.publish(g, 1, document(5, 200))
	f.stop("keeper1")
	g.Expect(os.RemoveAll(f.dataDir(1))).To(gomega.Succeed())
	f.stop("keeper2")
	f.keeper(1, false)
	status := func() int {
		status, _ := f.call("GET", f.controlAddress(1), "/v1/config", "")
		return status
	}
	g.Eventually(status, 3*time.Second, 20*time.Millisecond).Should(gomega.Equal(503), "it listens")
	g.Consistently(status, 2*time.Second, 100*time.Millisecond).Should(gomega.Equal(503), "without a majority nothing is read")
	f.keeper(2, false)
	read := func(n int) func() string {
		return func() string {
			_, body := f.call("GET", f.controlAddress(n), "/v1/config", "")
			return body
		}
	}
	g.Eventually(read(1), 10*time.Second, 100*time.Millisecond).Should(gomega.Equal(document(5, 200)))
	f.publish(g, 3, document(9, 200))
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	for n := 1; n <= 3; n++ {
		f.keeper(n, false)
	}
	for n := 1; n <= 3; n++ {
		g.Eventually(read(n), 10*time.Second, 100*time.Millisecond).Should(gomega.Equal(document(9, 200)))
	}
	f.publish(g, 2, document(7, 1))
	g.Expect(read(1)()).To(gomega.Equal(document(9, 200)), "a lower number changes nothing")
}

// Guards against refusing callers while no keeper can be reached, although routers hold
// rights and a configuration.
func TestRoutersServeWithoutKeepers(t *testing.T) {
	f, g := startCluster(t, 63)
	f.publish(g, 1, document(2, 100_000))
	f.router(4)
	f.router(5)
	address := f.engine("i-1")
	f.sendHeartbeats("i-1", address)
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	time.Sleep(time.Second)
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	for i := range 30 {
		status, _ := f.request(4+i%2, fmt.Sprint("r", i), "50,50")
		g.Expect(status).To(gomega.Equal(200), "request %d", i)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a stream that is cut off by the planned stop of its router. A caller sends
// a request on an open connection 3.8 of 8 s after the router was told to stop, and its
// stream would last until the process is killed. Such late requests must be refused.
func TestStoppingRouterRefusesLateRequests(t *testing.T) {
	f, g := startCluster(t, 64)
	f.publish(g, 1, document(2, 100_000))
	f.router(4)
	address := f.engine("i-1")
	f.sendHeartbeats("i-1", address)
	f.awaitServing(g, 4)
	go f.stop("router4")
	g.Eventually(func() int {
		status, _ := f.call("GET", f.ip(4)+":8220", "/v1/ready", "")
		return status
	}, time.Second, 10*time.Millisecond).Should(gomega.Equal(503), "not ready at once")
	status, _ := f.request(4, "early", "1,1")
	g.Expect(status).To(gomega.Equal(200), "still served")
	time.Sleep(2 * time.Second)
	status, _ = f.request(4, "late", "1,1")
	g.Expect(status).To(gomega.Equal(503), "refused as not executed")
}

// Guards against requests that wait for room at an endpoint and are ended by the planned stop of their
// router, although its grace period has only begun.
func TestStoppingRouterKeepsWaitingRequests(t *testing.T) {
	f, g := startCluster(t, 77)
	// A request waits for a quarter of its time at most, longer than a load is known.
	f.publish(g, 1, strings.Replace(document(2, 100_000), `"timeout_ms":3000`, `"timeout_ms":8000`, 1))
	f.router(4)
	f.sendHeartbeats("i-1", f.engine("i-1", "Rattanhoist-Server-Load", "8,0,8"))
	f.awaitServing(g, 4)
	status, _ := f.request(4, "full", "1,1")
	g.Expect(status).To(gomega.Equal(200))
	begun, waiting := time.Now(), make(chan int, 1)
	go func() {
		status, _ := f.request(4, "waits", "1,1")
		waiting <- status
	}()
	time.Sleep(100 * time.Millisecond)
	go f.stop("router4")
	g.Eventually(waiting, 3*time.Second).Should(gomega.Receive(gomega.Equal(200)))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically(">", 250*time.Millisecond), "it waited until the load was no longer known")
}

// Guards against a restart of all processes, one of them with an empty disk, that loses an
// acknowledged evacuation, and against a router that learns of the evacuation only once it
// serves callers.
func TestEvacuationSurvivesFullRestart(t *testing.T) {
	f, g := startCluster(t, 65)
	f.publish(g, 1, document(2, 100_000))
	f.router(4)
	address := f.engine("i-1")
	f.sendHeartbeats("i-1", address)
	f.awaitServing(g, 4)
	order := func(keeper int, method string) int {
		status, _ := f.call(method, f.controlAddress(keeper), "/v1/evacuations/z4", "")
		return status
	}
	ask := func() int {
		status, _ := f.request(4, "x", "1,1")
		return status
	}
	status, _ := f.call("POST", f.controlAddress(1), "/v1/evacuations/nowhere", "")
	g.Expect(status).To(gomega.Equal(400))
	g.Expect(order(1, "POST")).To(gomega.Equal(200))
	g.Eventually(ask, 2*time.Second, 20*time.Millisecond).Should(gomega.Equal(503), "no other zone has an engine")
	f.stop("router4")
	for n := 1; n <= 3; n++ {
		f.stop(fmt.Sprint("keeper", n))
	}
	g.Expect(os.RemoveAll(f.dataDir(1))).To(gomega.Succeed())
	for n := 1; n <= 3; n++ {
		f.keeper(n, false)
	}
	f.router(4)
	for ready := 0; ready != 200; {
		ready, _ = f.call("GET", f.ip(4)+":8220", "/v1/ready", "")
		g.Expect(ask()).NotTo(gomega.Equal(200))
	}
	g.Consistently(ask, 2*time.Second, 50*time.Millisecond).Should(gomega.Equal(503))
	g.Eventually(func() int { return order(2, "POST") }, 5*time.Second, 100*time.Millisecond).Should(gomega.Equal(200), "sent again")
	g.Eventually(func() int { return order(3, "DELETE") }, 5*time.Second, 100*time.Millisecond).Should(gomega.Equal(200))
	f.awaitServing(g, 4)
}

// Guards against a request that is sent to an endpoint and gets no answer, because it arrives while its
// stopping router, which had no request in progress a moment before, ends.
func TestRequestsThatMeetTheEndOfARouterAreAnswered(t *testing.T) {
	t.Parallel()
	f, g := startCluster(t, 148)
	f.publish(g, 1, document(2, 100_000_000))
	f.partitionedRouter(4, newPartition(), "grace_s = 8")
	f.partitionedRouter(5, newPartition())
	engines := &soakEngines{runs: map[string]int{}}
	engines.start(f, "i-1", rand.New(rand.NewPCG(1, 1)))
	f.awaitServing(g, 4)
	f.awaitServing(g, 5)
	stopped := make(chan struct{})
	go func() { f.stop("router4"); close(stopped) }()
	unanswered := []string{}
	for i := 0; ; i++ {
		id := fmt.Sprint("r", i)
		if status, _ := f.request(4, id, "1,1"); status == 0 && engines.runsOf(id) > 0 {
			unanswered = append(unanswered, id)
		}
		select {
		case <-stopped:
			g.Expect(i).To(gomega.BeNumerically(">", 10))
			g.Expect(unanswered).To(gomega.BeEmpty())
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
