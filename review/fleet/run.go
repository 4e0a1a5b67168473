package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the availability zones of the deployment, which is sites/adwenpa-surveys in small.
var zones = []string{"osu-hall", "tema-hall", "legon-hall"}

// workerLog is the name of the log of the worker processes.
const workerLog = "worker"

// run is one run of a case.
type run struct {
	// trouble is false if the disruption is left out.
	trouble bool
	begun   time.Time
	dir     string
	// net is the second number of the loopback addresses of this run.
	net                                 int
	control, front, ready, internalPort int

	mu     sync.Mutex
	record *os.File
	procs  []*exec.Cmd
}

// newRun creates the record, a temporary folder and free ports.
func newRun(record string, trouble bool) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, begun: time.Now(), dir: dir, net: 128 + rand.IntN(100), record: f}
	for _, p := range []*int{&r.control, &r.front, &r.ready, &r.internalPort} {
		l, err := net.Listen("tcp", r.ip(0, 1)+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*p = l.Addr().(*net.TCPAddr).Port
	}
	r.note("trouble: %v", trouble)
	return r, nil
}

// ip returns the loopback address of a machine.
func (r *run) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", r.net, zone+1, host) }

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and adds to the record what the workers ran.
func (r *run) close() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill()
	}
	for _, p := range procs {
		_ = p.Wait()
	}
	if ran, err := os.ReadFile(filepath.Join(r.dir, workerLog+".log")); err == nil {
		fmt.Fprintf(r.record, "\nwhat the workers ran:\n%s", ran)
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// spawn starts a program whose output goes to a log file in the temporary folder.
func (r *run) spawn(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(program, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.procs = append(r.procs, c)
	return c, nil
}

// machine is one VM with one process of the project.
type machine struct {
	run        *run
	name, role string
	zone, host int
	seeds      []*machine
	process    *exec.Cmd
}

// machines returns three keepers, the first of each zone, and one router in each zone.
func (r *run) machines() (keepers, routers []*machine) {
	for z, zone := range zones {
		keepers = append(keepers, &machine{run: r, name: "core-" + zone + "-1", role: "keeper", zone: z, host: 1})
		routers = append(routers, &machine{run: r, name: "frontend-" + zone + "-1", role: "router", zone: z, host: 11})
	}
	for _, m := range slices.Concat(keepers, routers) {
		m.seeds = keepers
	}
	return keepers, routers
}

func (m *machine) ip() string { return m.run.ip(m.zone, m.host) }

func (m *machine) controlAddress() string { return fmt.Sprintf("%s:%d", m.ip(), m.run.control) }

func (m *machine) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip(), m.run.front) }

// start starts the process; first is set at the first start of the whole system.
func (m *machine) start(first bool) error {
	settings, err := m.settings(first)
	if err != nil {
		return err
	}
	file := filepath.Join(m.run.dir, m.name+".ini")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	m.run.note("start %s at %s, first start %v", m.name, m.ip(), first)
	m.process, err = m.run.spawn(m.name, []string{"GOMAXPROCS=1", "GOGC=75", "RATTANHOIST_SETTINGS=" + file}, "target/rattanhoist-node")
	return err
}

// kill ends the process with SIGKILL.
func (m *machine) kill() {
	m.run.note("SIGKILL of %s", m.name)
	_ = m.process.Process.Kill()
	_ = m.process.Wait()
}

var placeholder = regexp.MustCompile(`\{\{[^{}]*\}\}`)

// settings fills in the template of the deploy file.
func (m *machine) settings(first bool) ([]byte, error) {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return nil, err
	}
	var seeds, regions []string
	for _, s := range m.seeds {
		seeds = append(seeds, s.controlAddress())
	}
	for _, z := range zones {
		regions = append(regions, z+":accra")
	}
	v := map[string]string{
		"node_name": m.name, "role": m.role, "zone": zones[m.zone], "ip": m.ip(), "seed_nodes": strings.Join(seeds, ","),
		"internal_ports": fmt.Sprintf("%d,%d", m.run.internalPort, m.run.internalPort+15), "bootstrap": fmt.Sprint(first),
		"limits.memory_mb": "280", "limits.link_mbps": "1000.0", "limits.cpu_share": "0.48", "fault_tolerance.machines": "1",
		"heartbeat_ms": "1200", "bounds.grace_s": "8", "bounds.drain_ms": "2000", "bounds.catch_up_s": "4",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "52", "bounds.budget_window_s": "10",
		"bounds.ack_timeout_ms": "4000", "bounds.config_apply_ms": "2000",
	}
	if m.role == "router" {
		v["limits.memory_mb"], v["limits.cpu_share"] = "134", "0.4"
	}
	if m.role == "keeper" {
		v["listen.control_addr"], v["data_dir"] = m.controlAddress(), filepath.Join(m.run.dir, m.name+".data")
	} else {
		v["listen.frontend_addr"], v["listen.ready"] = m.frontAddress(), fmt.Sprintf("%s:%d", m.ip(), m.run.ready)
	}
	out := bytes.Replace(template, []byte("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}"), []byte(strings.Join(regions, ",")), 1)
	if bytes.Contains(out, []byte("{{#")) {
		return nil, errors.New("deploy/node.ini has a section that this stand-in does not know")
	}
	return placeholder.ReplaceAllFunc(out, func(p []byte) []byte { return []byte(v[strings.Trim(string(p), "{}")]) }), nil
}
