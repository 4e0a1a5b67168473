package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// zones are the availability zones of the small deployment.
var zones = []string{"osu-hall", "tema-hall", "legon-hall"}

// role is the command and the environment of one role in the deploy file.
type role struct {
	command []string
	env     []string
}

// readRole reads a role from deploy/system.toml.
func readRole(name string) role {
	text, err := os.ReadFile("deploy/system.toml")
	must(err)
	_, section, found := strings.Cut(string(text), "[roles."+name+"]")
	if !found {
		cannotRun("no role " + name + " in the deploy file")
	}
	section, _, _ = strings.Cut(section, "\n[")
	var r role
	if m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(section); m != nil {
		r.command = strings.Fields(m[1])
	}
	if m := regexp.MustCompile(`(?m)^env = \{(.*)\}$`).FindStringSubmatch(section); m != nil {
		for _, e := range regexp.MustCompile(`([A-Z0-9_]+) = "([^"]*)"`).FindAllStringSubmatch(m[1], -1) {
			r.env = append(r.env, e[1]+"="+e[2])
		}
	}
	if len(r.command) == 0 {
		cannotRun("role " + name + " has no command")
	}
	return r
}

// node is one machine of the system with its process.
type node struct {
	fleet *fleet
	name  string
	role  string
	zone  string
	ip    string
	cmd   *exec.Cmd
	done  chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	network  string
	ports    ports
	settings map[string]string
	keepers  []*node
	routers  []*node
	workers  []*worker
	// workerControls are the addresses at which the workers reach the keepers, if not directly.
	workerControls []string
}

// ports are the same on all machines.
type ports struct{ serve, ready, control, internal, worker int }

// newFleet prepares a deployment with the given numbers of keepers and routers.
func newFleet(keepers, routers int) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	f := &fleet{dir: dir, settings: map[string]string{}}
	f.chooseAddresses()
	for i := range keepers {
		z := i % len(zones)
		f.keepers = append(f.keepers, &node{fleet: f, name: fmt.Sprintf("core-%s-%d", zones[z], i/len(zones)+1), role: "keeper", zone: zones[z], ip: f.ip(z+1, 1+i/len(zones))})
	}
	for i := range routers {
		z := i % len(zones)
		f.routers = append(f.routers, &node{fleet: f, name: fmt.Sprintf("frontend-%s-%d", zones[z], i/len(zones)+1), role: "router", zone: zones[z], ip: f.ip(z+1, 10+i/len(zones))})
	}
	return f
}

func (f *fleet) ip(zone, host int) string { return fmt.Sprintf("127.%s.%d.%d", f.network, zone, host) }

// chooseAddresses chooses a part of the loopback network and ports that are free there.
func (f *fleet) chooseAddresses() {
	for range 50 {
		f.network = fmt.Sprint(130 + rand.IntN(90))
		base := 21000 + 20*rand.IntN(500)
		f.ports = ports{serve: base, ready: base + 1, control: base + 2, internal: base + 3, worker: base + 9}
		free := true
		for p := base; p < base+12; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(1, 1), p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return
		}
	}
	cannotRun("no free ports")
}

// values are the fields of the settings that the platform fills into the template.
func (n *node) values(bootstrap bool) map[string]string {
	f := n.fleet
	var seeds []string
	for _, k := range f.keepers[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", k.ip, f.ports.control))
	}
	v := map[string]string{
		"node_name": n.name, "role": n.role, "zone": n.zone, "ip": n.ip,
		"internal_ports": fmt.Sprintf("%d,%d", f.ports.internal, f.ports.internal+5), "seed_nodes": strings.Join(seeds, ","),
		"bootstrap": fmt.Sprint(bootstrap), "heartbeat_ms": "1200",
		"limits.cpu_share": "0.4", "limits.cpu_cores": "1", "limits.memory_mb": "134", "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
		"fault_tolerance.machines": "1", "fault_tolerance.zones": "1", "fault_tolerance.regions": "0",
		"bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.config_apply_ms": "2000", "bounds.ack_timeout_ms": "4000",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "52",
	}
	if n.role == "keeper" {
		v["listen.control_addr"] = fmt.Sprintf("%s:%d", n.ip, f.ports.control)
		v["limits.cpu_share"], v["limits.memory_mb"] = "0.48", "280"
		v["data_dir"] = filepath.Join(f.dir, n.name)
	} else {
		v["listen.frontend_addr"] = fmt.Sprintf("%s:%d", n.ip, f.ports.serve)
		v["listen.ready"] = fmt.Sprintf("%s:%d", n.ip, f.ports.ready)
	}
	for k, x := range f.settings {
		v[k] = x
	}
	return v
}

// render fills the values into the settings template of the deploy file.
func render(values map[string]string) string {
	text, err := os.ReadFile("deploy/node.ini")
	must(err)
	out := regexp.MustCompile(`\{\{#zones\}\}(.*?)\{\{/zones\}\}`).ReplaceAllStringFunc(string(text), func(string) string {
		var list []string
		for _, z := range zones {
			list = append(list, z+":accra")
		}
		return strings.Join(list, ",")
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(out, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

// start starts the process of a node.
func (n *node) start(bootstrap bool) {
	r := readRole(n.role)
	file := filepath.Join(n.fleet.dir, n.name+".conf")
	must(os.WriteFile(file, []byte(render(n.values(bootstrap))), 0o600))
	if n.role == "keeper" {
		must(os.MkdirAll(filepath.Join(n.fleet.dir, n.name), 0o700))
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	n.cmd = exec.Command(r.command[0], r.command[1:]...)
	n.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RATTANHOIST_SETTINGS=" + file}, r.env...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		cannotRun(err.Error())
	}
	n.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(n.cmd, n.done)
}

func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.done
	n.cmd = nil
}

// ended reports whether the process has ended by itself.
func (n *node) ended() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func (n *node) serveAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.ports.serve) }

func (f *fleet) controls() []string {
	var out []string
	for _, k := range f.keepers {
		out = append(out, fmt.Sprintf("%s:%d", k.ip, f.ports.control))
	}
	return out
}

// startAll starts all nodes and waits until a first configuration is accepted.
func (f *fleet) startAll() {
	for _, n := range append(append([]*node{}, f.keepers...), f.routers...) {
		n.start(true)
	}
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, w := range f.workers {
		w.kill()
	}
	for _, n := range append(append([]*node{}, f.routers...), f.keepers...) {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) {
	begun := time.Now()
	for _, n := range f.routers {
		for !n.ready() {
			if time.Since(begun) > limit {
				cannotRun(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
