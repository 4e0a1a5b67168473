package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/launcher"
)

const (
	// routerMemoryMB and keeperMemoryMB are the memory of the processes in megabytes.
	routerMemoryMB = 80
	keeperMemoryMB = 96
	// manyDescriptors and fewDescriptors are limits on the descriptors of a process, of which
	// platformDescriptors are reserved by the platform.
	manyDescriptors     = 4100
	fewDescriptors      = 500
	platformDescriptors = 200
	// answerTimeout bounds the wait for an ordinary request that is repeated until it is answered.
	answerTimeout = time.Minute
	// ordinaryPath is that of requests that the endpoint answers.
	ordinaryPath = "/a/x"
	// firstNet is the second byte of the addresses of the first fleet.
	firstNet = 211
)

// buildDir is removed after the tests.
var buildDir string

// buildOnce builds the command without the race detector, which multiplies the memory of a process.
var buildOnce = sync.OnceValues(func() (string, error) {
	file := filepath.Join(buildDir, "rattanhoist-node")
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

// process is a running router or keeper.
type process struct {
	t       *testing.T
	name    string
	ip      string
	command *exec.Cmd
	ended   chan struct{}
	usage   *launcher.Usage
	log     string
}

// smallFleet is one keeper, one router and one endpoint on loopback addresses.
type smallFleet struct {
	t              *testing.T
	g              *gomega.WithT
	net            int
	keeper, router *process
	endpoint       string
	number         int
	maxDescriptors int64
	// connections is the limit on those to the endpoint, and slots its number of slots.
	connections, slots int
	// answer answers requests at the endpoint whose path is not that of an ordinary one.
	answer func(net.Conn)
}

func (f *smallFleet) ip(n int) string { return fmt.Sprintf("127.%d.%d.1", f.net, n) }

// Addresses of the fleet.
func (f *smallFleet) serve() string         { return f.ip(2) + ":8227" }
func (f *smallFleet) ready() string         { return f.ip(2) + ":8220" }
func (f *smallFleet) control() string       { return f.ip(1) + ":8229" }
func (f *smallFleet) routerMetrics() string { return f.ip(2) + ":9464" }
func (f *smallFleet) keeperMetrics() string { return f.ip(1) + ":9464" }
func (f *smallFleet) routerPeers() string   { return f.ip(2) + ":7340" }
func (f *smallFleet) keeperPeers() string   { return f.ip(1) + ":7340" }

// startSmallFleet starts a fleet and waits until it serves.
func startSmallFleet(t *testing.T, maxDescriptors int64) *smallFleet {
	t.Helper()
	return startFleetWith(t, &smallFleet{maxDescriptors: maxDescriptors, connections: 50, slots: 8})
}

// startFleetWith starts a fleet with other properties.
func startFleetWith(t *testing.T, f *smallFleet) *smallFleet {
	t.Helper()
	launcher.LockAddresses(t, fmt.Sprint("cluster-", firstNet))
	f.t, f.g, f.net = t, gomega.NewWithT(t), firstNet
	f.keeper = f.start("keeper", 1, fmt.Sprintf("control = %s\ndata_dir = %s\nmemory_mb = %d\nmetrics = %s\n", f.control(), filepath.Join(t.TempDir(), "data"), keeperMemoryMB, f.keeperMetrics()))
	f.router = f.start("router", 2, fmt.Sprintf("serve = %s\nready = %s\nmemory_mb = %d\nmetrics = %s\n", f.serve(), f.ready(), routerMemoryMB, f.routerMetrics()))
	f.startEndpoint()
	f.expectServed()
	return f
}

func (f *smallFleet) start(kind string, n int, settings string) *process {
	f.t.Helper()
	binary, err := buildOnce()
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(f.t.TempDir(), kind+".ini")
	text := fmt.Sprintf("[node]\nname = %s\nkind = %s\nzone = z\nip = %s\ninternal_ports = 7340,7355\nseeds = %s\nfirst_start = true\n"+
		"lost_disks = 0\nheartbeat_ms = 300\ngrace_s = 5\nmax_fds = %d\n%s", kind, kind, f.ip(n), f.control(), f.maxDescriptors, settings)
	f.g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	p := &process{t: f.t, name: kind, ip: f.ip(n), command: exec.Command(binary), ended: make(chan struct{}), log: filepath.Join(f.t.TempDir(), "log")}
	log, err := os.Create(p.log)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.command.Env = append(os.Environ(), settingsVariable+"="+file, "GOMAXPROCS=1", "GOGC=75")
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.g.Expect(p.command.Start()).To(gomega.Succeed())
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	p.usage = launcher.WatchUsage(p.command.Process.Pid, p.ip, p.ended)
	f.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		if f.t.Failed() {
			f.t.Logf("%s: %s", kind, lastLines(p.log))
		}
	})
	return p
}

// lastLines returns the end of a file.
func lastLines(file string) string {
	const size = 2000
	b, _ := os.ReadFile(file)
	return string(b[max(len(b)-size, 0):])
}

// expectWithinBounds checks that the process lives and has stayed within its memory and descriptors.
func (p *process) expectWithinBounds(g *gomega.WithT, memoryMB, maxDescriptors int64) {
	p.t.Helper()
	const mebibyte = 1 << 20
	p.t.Logf("%s: %d MB at the most, %d MB unread, %d descriptors", p.name, p.usage.Memory()/mebibyte, p.usage.Unread()/mebibyte, p.usage.Descriptors())
	g.Expect(p.ended).NotTo(gomega.BeClosed(), "%s ended", p.name)
	g.Expect(p.usage.Memory()).To(gomega.BeNumerically("<=", memoryMB*mebibyte), "memory of the %s", p.name)
	g.Expect(p.usage.Descriptors()).To(gomega.BeNumerically("<=", maxDescriptors-platformDescriptors), "descriptors of the %s", p.name)
}

// expectWithinBounds checks both processes.
func (f *smallFleet) expectWithinBounds(g *gomega.WithT) {
	f.t.Helper()
	f.keeper.expectWithinBounds(g, keeperMemoryMB, f.maxDescriptors)
	f.router.expectWithinBounds(g, routerMemoryMB, f.maxDescriptors)
}

// startEndpoint starts an endpoint, which announces itself until the test ends.
func (f *smallFleet) startEndpoint() {
	l, err := net.Listen("tcp", f.ip(100)+":0")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.endpoint = l.Addr().String()
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != ordinaryPath {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				f.answer(c)
				_ = c.Close()
			}
			return
		}
		w.Header().Set("Rattanhoist-Request-Id", r.Header.Get("Rattanhoist-Request-Id"))
		_, _ = io.WriteString(w, "served")
	})}
	go func() { _ = s.Serve(l) }()
	done := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			f.heartbeat(n)
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	f.t.Cleanup(func() {
		close(done)
		_ = s.Close()
	})
}

// heartbeat announces the endpoint and returns the status.
func (f *smallFleet) heartbeat(sequence int) int {
	return call(http.MethodPut, f.control(), "/v1/instances/i-1", fmt.Sprintf(
		`{"service":"desk","address":%q,"zone":"z","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d}`, f.endpoint, f.slots, sequence))
}

// publish sends a document with a higher number and returns the status.
func (f *smallFleet) publish() int {
	f.number++
	return call(http.MethodPut, f.control(), "/v1/config", fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":3000,`+
			`"service":"desk","attempts":1,"public":true}],"services":[{"name":"desk","max_connections":%d}],`+
			`"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, f.number, f.connections))
}

// expectServed repeats one ordinary request at each port until it is answered.
func (f *smallFleet) expectServed() {
	f.t.Helper()
	for _, x := range []struct {
		name    string
		request func() int
	}{
		{"document", f.publish},
		{"request", func() int {
			return call(http.MethodPost, f.serve(), ordinaryPath, "body", "Rattanhoist-Request-Id", "r")
		}},
		{"readiness", func() int { return call(http.MethodGet, f.ready(), "/v1/ready", "") }},
		{"router's metrics", func() int { return call(http.MethodGet, f.routerMetrics(), "/metrics", "") }},
		{"keeper's metrics", func() int { return call(http.MethodGet, f.keeperMetrics(), "/metrics", "") }},
	} {
		f.g.Eventually(x.request, answerTimeout, 100*time.Millisecond).Should(gomega.Equal(http.StatusOK), x.name)
	}
}

// client opens a connection for each request, as after a failure.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call returns the status of an ordinary request, or 0 if it failed.
func call(method, address, path, body string, header ...string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	r.Host = "a.example"
	a, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	if err != nil {
		return 0
	}
	return a.StatusCode
}
