// Package launcher starts small deployments of real processes for tests of failures. It kills, freezes
// and restarts processes, deletes their data and partitions zones. The product does not contain it.
package launcher

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rattanhoist.example/rattanhoist/loader"
)

const (
	pollEvery = 20 * time.Millisecond
	readyWait = 20 * time.Second
	// defaultRouters is the minimum number of routers in a zone.
	defaultRouters = 2
)

// Options describe a deployment.
type Options struct {
	// Net is the second byte of the loopback addresses, 30 to 250. Tests that run at the same time
	// must have different ones.
	Net int
	// Zones holds the names of the zones; the default is three zones.
	Zones []string
	// Routers is the number of routers in each zone, at least two.
	Routers int
	// Policy holds additional lines of the section [policy].
	Policy string
}

// Fleet is a running deployment.
type Fleet struct {
	t        testing.TB
	dir      string
	net      int
	zones    []string
	settings *loader.Settings
	mu       sync.Mutex
	// running maps the names of processes to their commands.
	running map[string]*exec.Cmd
	args    map[string][]string
}

var build struct {
	sync.Once
	dir string
	err error
}

// Main runs the tests of a package and removes the binaries that were built for them. It is called from
// TestMain.
func Main(m *testing.M) {
	code := m.Run()
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
	os.Exit(code)
}

// binaries builds the binaries once for each test process and returns their folder.
func binaries(t testing.TB) string {
	build.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "rattanhoist-bin-")
		if build.err != nil {
			return
		}
		if build.err = statSources(); build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", build.dir+"/", "rattanhoist.example/rattanhoist/cmd/...").CombinedOutput()
		if err != nil {
			build.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if build.err != nil {
		t.Fatal(build.err)
	}
	return build.dir
}

// Start starts keepers and routers, which run until the test ends. Await and Ready wait for their state.
func Start(t testing.TB, o Options) *Fleet {
	t.Helper()
	lockNet(t, o.Net)
	f := &Fleet{
		t: t, dir: t.TempDir(), net: o.Net, zones: o.Zones,
		running: map[string]*exec.Cmd{}, args: map[string][]string{},
	}
	if len(f.zones) == 0 {
		f.zones = []string{"osu-hall", "tema-hall", "legon-hall"}
	}
	f.writeSettings(o)
	t.Cleanup(f.killAll)
	for _, p := range f.settings.Processes("") {
		f.startProcess(p.Name(), "rattanhoist", p.Kind(), "--settings", f.settingsFile(), "--name", p.Name())
	}
	return f
}

func (f *Fleet) settingsFile() string { return filepath.Join(f.dir, "rattanhoist.ini") }

func (f *Fleet) writeSettings(o Options) {
	f.t.Helper()
	var b strings.Builder
	b.WriteString("[deployment]\nname = test\nkey_file = deployment.key\noperator_key_file = operator.key\nendpoint_key_file = endpoint.key\n")
	fmt.Fprintf(&b, "[policy]\nfault_port = true\n%s\n", o.Policy)
	for i, z := range f.zones {
		for n := 1; n <= max(o.Routers, defaultRouters); n++ {
			ip := fmt.Sprintf("127.%d.%d.%d", f.net, i+1, n)
			fmt.Fprintf(&b, "[router %s-%d]\nzone = %s\nhttp = %s:8080\nrpc = %s:7070\ndebug = %s:8081\n", z, n, z, ip, ip, ip)
		}
		ip := fmt.Sprintf("127.%d.%d.1", f.net, i+1)
		fmt.Fprintf(&b, "[keeper %s-keeper]\nzone = %s\nrpc = %s:7071\ndebug = %s:8082\ndata_dir = %s\n", z, z, ip, ip, filepath.Join(f.dir, "data", z+"-keeper"))
	}
	f.write("rattanhoist.ini", b.String())
	for _, k := range []string{"deployment", "operator", "endpoint"} {
		f.write(k+".key", k+"-key-of-a-test-deployment\n")
	}
	s, err := loader.Load(f.settingsFile())
	if err != nil {
		f.t.Fatal(err)
	}
	f.settings = s
}

func (f *Fleet) write(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// Settings returns the settings of the deployment.
func (f *Fleet) Settings() *loader.Settings { return f.settings }

// Dir returns the folder with settings, keys, logs and data.
func (f *Fleet) Dir() string { return f.dir }

func (f *Fleet) startProcess(name, binary string, args ...string) {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(filepath.Join(binaries(f.t), binary), args...)
	c.Stdout, c.Stderr = log, log
	if err := start(c); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[name] = c
	f.args[name] = append([]string{binary}, args...)
}

// StartEndpoint starts stand-in endpoint number n of a kind ("engine" or "plain"), which announces itself
// to all routers and writes its runs to RunLog(name).
func (f *Fleet) StartEndpoint(kind, name, service, zone string, n int, flags ...string) {
	f.t.Helper()
	args := []string{
		kind, "--name", name, "--service", service, "--zone", zone, "--label", "tier=standard",
		"--listen", f.EndpointAddress(n), "--key-file", filepath.Join(f.dir, "endpoint.key"), "--run-log", f.RunLog(name),
	}
	for _, p := range f.settings.Processes(loader.KindRouter) {
		args = append(args, "--router", p.HTTP())
	}
	f.startProcess(name, "rattanhoist-standin", append(args, flags...)...)
}

// EndpointAddress returns the host:port of stand-in endpoint number n.
func (f *Fleet) EndpointAddress(n int) string { return fmt.Sprintf("127.%d.100.%d:9000", f.net, n) }

// RunLog returns the file with the runs of an endpoint.
func (f *Fleet) RunLog(name string) string { return filepath.Join(f.dir, name+".runs") }

func (f *Fleet) process(name string) *exec.Cmd {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.running[name]
	if c == nil {
		f.t.Fatalf("process %s does not run", name)
	}
	return c
}

// WatchUsage measures a process whose ports have an address of their own, until done is closed.
func (f *Fleet) WatchUsage(name, ip string, done <-chan struct{}) *Usage {
	return WatchUsage(f.process(name).Process.Pid, ip, done)
}

// Alive reports whether a process runs.
func (f *Fleet) Alive(name string) bool {
	const ended = "State:\tZ"
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process(name).Process.Pid))
	return err == nil && !bytes.Contains(b, []byte(ended))
}

// Kill kills a process with SIGKILL.
func (f *Fleet) Kill(name string) {
	f.t.Helper()
	c := f.process(name)
	_ = c.Process.Kill()
	_ = f.reap(name, c)
}

// reap waits until a process has ended and removes it from the running ones.
func (f *Fleet) reap(name string, c *exec.Cmd) error {
	err := c.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, name)
	return err
}

// Terminate sends SIGTERM to a process and waits until it has ended.
func (f *Fleet) Terminate(name string) error {
	f.t.Helper()
	c := f.process(name)
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return f.reap(name, c)
}

// Ask sends SIGTERM to a process without waiting.
func (f *Fleet) Ask(name string) { f.signal(name, syscall.SIGTERM) }

// Freeze suspends a process with SIGSTOP.
func (f *Fleet) Freeze(name string) { f.signal(name, syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (f *Fleet) Thaw(name string) { f.signal(name, syscall.SIGCONT) }

func (f *Fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	if err := f.process(name).Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// Restart starts a process again that was killed or terminated.
func (f *Fleet) Restart(name string) {
	f.t.Helper()
	f.mu.Lock()
	args := f.args[name]
	f.mu.Unlock()
	f.startProcess(name, args[0], args[1:]...)
}

// Wipe deletes the data of a keeper, which must not be running.
func (f *Fleet) Wipe(name string) {
	f.t.Helper()
	p, err := f.settings.Process(loader.KindKeeper, name)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.RemoveAll(p.DataDir()); err != nil {
		f.t.Fatal(err)
	}
}

// Cut partitions two zones: packets between them are dropped until Heal.
func (f *Fleet) Cut(zoneA, zoneB string) { f.fault("cut", zoneA, zoneB) }

// Heal ends the partition of two zones.
func (f *Fleet) Heal(zoneA, zoneB string) { f.fault("heal", zoneA, zoneB) }

func (f *Fleet) fault(what, a, b string) {
	f.t.Helper()
	for _, p := range f.settings.Processes("") {
		for _, q := range f.settings.Processes("") {
			if p.Zone() == a && q.Zone() == b || p.Zone() == b && q.Zone() == a {
				f.FaultAt(p, what, q.RPC())
			}
		}
	}
}

// FaultAt makes a process "cut" or "heal" its connections to an address. It has no effect on a process
// that is not running.
func (f *Fleet) FaultAt(p loader.Process, what, address string) {
	f.t.Helper()
	resp, err := http.PostForm("http://"+p.Debug()+"/fault/"+what, url.Values{"address": {address}})
	if err == nil {
		_ = resp.Body.Close()
	}
}

// Command runs a command of the operator and returns its output and exit code.
func (f *Fleet) Command(args ...string) (string, int) {
	f.t.Helper()
	var out bytes.Buffer
	c := exec.Command(filepath.Join(binaries(f.t), "rattanhoist"), append([]string{"--settings", f.settingsFile()}, args...)...)
	c.Stdout, c.Stderr = &out, &out
	err := c.Run()
	if c.ProcessState == nil {
		f.t.Fatal(err)
	}
	return out.String(), c.ProcessState.ExitCode()
}

// MustCommand runs a command that must succeed, and returns its output.
func (f *Fleet) MustCommand(args ...string) string {
	f.t.Helper()
	out, code := f.Command(args...)
	if code != 0 {
		f.t.Fatalf("%s: exit %d: %s", strings.Join(args, " "), code, out)
	}
	return out
}

// Eventually polls until holds returns true, and fails the test after readyWait.
func (f *Fleet) Eventually(what string, holds func() bool) {
	f.t.Helper()
	end := time.Now().Add(readyWait)
	for !holds() {
		if time.Now().After(end) {
			f.t.Fatalf("%s did not come about in %s\n%s", what, readyWait, f.Logs())
		}
		time.Sleep(pollEvery)
	}
}

// Logs returns the last lines of each log, for the message of a failing test.
func (f *Fleet) Logs() string {
	var b strings.Builder
	files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	for _, name := range files {
		text, _ := os.ReadFile(name)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for _, l := range lines[max(0, len(lines)-5):] {
			fmt.Fprintf(&b, "%s: %s\n", filepath.Base(name), l)
		}
	}
	return b.String()
}

func (f *Fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.running {
		_ = c.Process.Kill()
	}
	for _, c := range f.running {
		_ = c.Wait()
	}
}

// PID returns the process id of a running process.
func (f *Fleet) PID(name string) int {
	f.t.Helper()
	return f.process(name).Process.Pid
}
