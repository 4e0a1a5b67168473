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

// Process holds the settings of one process of the deployment.
type Process struct {
	kind, name, zone string
	// rpc is the host:port of the gRPC server.
	rpc string
	// http is the host:port for callers and endpoints. Only routers have it.
	http string
	// debug is the host:port for metrics and state. It may be empty.
	debug string
	// dataDir is the data directory. Only keepers have it.
	dataDir string
}

// Kind returns KindRouter or KindKeeper.
func (p Process) Kind() string { return p.kind }

// Name returns the name, which is unique in the deployment.
func (p Process) Name() string { return p.name }

// Zone returns the availability zone.
func (p Process) Zone() string { return p.zone }

// RPC returns the host:port of the gRPC server.
func (p Process) RPC() string { return p.rpc }

// HTTP returns the host:port for callers and endpoints. It is empty for
// keepers.
func (p Process) HTTP() string { return p.http }

// Debug returns the host:port for metrics and state, or an empty string.
func (p Process) Debug() string { return p.debug }

// DataDir returns the data directory. It is empty for routers.
func (p Process) DataDir() string { return p.dataDir }

// parseProcess reads the section of one router or keeper.
func (c *parser) parseProcess(sec *ini.Section, kind, name string) Process {
	p := Process{kind: kind, name: name}
	p.zone = c.readRequired(sec, "zone")
	p.rpc = c.readRequired(sec, "rpc")
	p.debug = sec.Key("debug").String()
	c.checkAddress(sec, "rpc", p.rpc)
	c.checkAddress(sec, "debug", p.debug)
	if kind == KindRouter {
		c.checkKeys(sec, "zone", "rpc", "http", "debug")
		p.http = c.readRequired(sec, "http")
		c.checkAddress(sec, "http", p.http)
		return p
	}
	c.checkKeys(sec, "zone", "rpc", "data_dir", "debug")
	p.dataDir = c.readRequired(sec, "data_dir")
	return p
}

// checkProcesses checks that names and addresses are unique and that every zone
// has a keeper. It adds a warning for a zone with fewer than two routers.
func (c *parser) checkProcesses(s *Settings) {
	c.checkNames(s)
	c.checkAddresses(s)
	for _, z := range s.Zones() {
		if keepers := s.processesInZone(KindKeeper, z); len(keepers) == 0 {
			p := s.processesInZone("", z)[0]
			c.addError(p.kind+" "+p.name, "zone", "availability zone %q has no keeper", z)
		}
		switch routers := s.processesInZone(KindRouter, z); len(routers) {
		case 0:
			p := s.processesInZone("", z)[0]
			c.addWarning(p.kind+" "+p.name, "zone", "availability zone %q has no router", z)
		case 1:
			c.addWarning("router "+routers[0].name, "zone", "availability zone %q has one router: nothing serves it while this one restarts", z)
		}
	}
}

// processesInZone returns the processes of a kind in a zone, or of all kinds if
// kind is empty.
func (s *Settings) processesInZone(kind, zone string) []Process {
	return slices.DeleteFunc(s.Processes(kind), func(p Process) bool { return p.zone != zone })
}

// checkNames checks that names are unique among routers and keepers together,
// because a name identifies a process in budgets, logs and reports.
func (c *parser) checkNames(s *Settings) {
	seen := map[string]Process{}
	for _, p := range s.processes {
		section := strings.TrimSpace(p.kind + " " + p.name)
		if p.name == "" {
			c.addError(section, "", "a process section needs a name: [%s NAME]", p.kind)
			continue
		}
		if other, ok := seen[p.name]; ok && other.kind != p.kind {
			c.addError(section, "", "the name is also that of [%s %s]", other.kind, other.name)
		}
		seen[p.name] = p
	}
}

// checkAddresses checks that no address is used twice.
func (c *parser) checkAddresses(s *Settings) {
	seen := map[string]string{}
	for _, p := range s.processes {
		section := p.kind + " " + p.name
		for _, a := range []struct{ key, value string }{{"rpc", p.rpc}, {"http", p.http}, {"debug", p.debug}} {
			if other, ok := seen[a.value]; ok && a.value != "" {
				c.addError(section, a.key, "address %s is also that of [%s]", a.value, other)
			}
			seen[a.value] = section
		}
	}
}
