package loader

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Kinds of process sections.
const (
	KindRouter = "router"
	KindKeeper = "keeper"
)

// Process is one process of the deployment.
type Process struct {
	kind, name, zone string
	// RPC is host:port of the gRPC server.
	rpc string
	// HTTP is host:port for callers and endpoints; routers only.
	http string
	// Debug is host:port for counters and state lines; may be empty.
	debug string
	// DataDir is the data folder; keepers only.
	dataDir string
}

// Kind returns KindRouter or KindKeeper.
func (p Process) Kind() string { return p.kind }

// Name returns the unique name.
func (p Process) Name() string { return p.name }

// Zone returns the availability zone.
func (p Process) Zone() string { return p.zone }

// RPC returns host:port of the gRPC server.
func (p Process) RPC() string { return p.rpc }

// HTTP returns host:port for callers and endpoints.
func (p Process) HTTP() string { return p.http }

// Debug returns host:port for counters, or "".
func (p Process) Debug() string { return p.debug }

// DataDir returns the data folder.
func (p Process) DataDir() string { return p.dataDir }

func (c *checker) processSection(sec *ini.Section, kind, name string) Process {
	p := Process{kind: kind, name: name}
	p.zone = c.required(sec, "zone")
	p.rpc = c.required(sec, "rpc")
	p.debug = sec.Key("debug").String()
	c.address(sec, "rpc", p.rpc)
	c.address(sec, "debug", p.debug)
	if kind == KindRouter {
		c.onlyKeys(sec, "zone", "rpc", "http", "debug")
		p.http = c.required(sec, "http")
		c.address(sec, "http", p.http)
		return p
	}
	c.onlyKeys(sec, "zone", "rpc", "data_dir", "debug")
	p.dataDir = c.required(sec, "data_dir")
	return p
}

func (c *checker) checkProcesses(s *Settings) {
	c.checkNames(s)
	c.checkAddresses(s)
	for _, z := range s.Zones() {
		if keepers := s.inZone(KindKeeper, z); len(keepers) == 0 {
			p := s.inZone("", z)[0]
			c.fault(p.kind+" "+p.name, "zone", "availability zone %q has no keeper", z)
		}
		switch routers := s.inZone(KindRouter, z); len(routers) {
		case 0:
			p := s.inZone("", z)[0]
			c.warn(p.kind+" "+p.name, "zone", "availability zone %q has no router", z)
		case 1:
			c.warn("router "+routers[0].name, "zone", "availability zone %q has one router: nothing serves it while this one restarts", z)
		}
	}
}

func (s *Settings) inZone(kind, zone string) []Process {
	return slices.DeleteFunc(s.Processes(kind), func(p Process) bool { return p.zone != zone })
}

// checkNames wants names that are unique over routers and keepers: a name
// identifies a process in budgets, logs and reports.
func (c *checker) checkNames(s *Settings) {
	seen := map[string]Process{}
	for _, p := range s.processes {
		section := strings.TrimSpace(p.kind + " " + p.name)
		if p.name == "" {
			c.fault(section, "", "a process section needs a name: [%s NAME]", p.kind)
			continue
		}
		if other, ok := seen[p.name]; ok && other.kind != p.kind {
			c.fault(section, "", "the name is also that of [%s %s]", other.kind, other.name)
		}
		seen[p.name] = p
	}
}

func (c *checker) checkAddresses(s *Settings) {
	seen := map[string]string{}
	for _, p := range s.processes {
		section := p.kind + " " + p.name
		for _, a := range []struct{ key, value string }{{"rpc", p.rpc}, {"http", p.http}, {"debug", p.debug}} {
			if other, ok := seen[a.value]; ok && a.value != "" {
				c.fault(section, a.key, "address %s is also that of [%s]", a.value, other)
			}
			seen[a.value] = section
		}
	}
}
