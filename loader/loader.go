// Package loader reads the INI settings of a deployment and lists every fault
// with its file, section and key.
//
// One file describes the whole deployment and lies on every VM; a process
// picks its own section by kind and name.
package loader

import (
	"crypto/tls"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// ErrFaulty says that the settings have faults; the message lists them all.
var ErrFaulty = merry.Sentinel("faulty settings")

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

// Settings are the checked settings of a deployment; immutable.
type Settings struct {
	file       string
	deployment string
	// DeploymentKey is the secret that members prove to each other.
	deploymentKey []byte
	// OperatorKey is the secret that operators prove.
	operatorKey []byte
	// EndpointKey is the bearer secret of announcing endpoints.
	endpointKey []byte
	processes   []Process
	policy      Policy
	trace       Trace
	// TLS secures the connections between processes; nil leaves them plain.
	tls *tls.Config
	// Warnings are worth a look and stop no process.
	warnings []string
}

// Policy holds the choices among plug-ins and bounds; every value has a
// default.
type Policy struct {
	picker           string
	shedder          string
	placement        string
	maxBody          int64
	defaultTimeout   time.Duration
	maxTimeout       time.Duration
	keepAnswer       time.Duration
	endpointMaxAge   time.Duration
	drainTimeout     time.Duration
	faultPortEnabled bool
}

// Picker returns the default picker plug-in.
func (p Policy) Picker() string { return p.picker }

// Shedder returns the plug-in that refuses requests under overload.
func (p Policy) Shedder() string { return p.shedder }

// Placement returns the plug-in that places rights over zones.
func (p Policy) Placement() string { return p.placement }

// MaxBody returns the largest request body in bytes.
func (p Policy) MaxBody() int64 { return p.maxBody }

// DefaultTimeout returns the deadline of requests that give none.
func (p Policy) DefaultTimeout() time.Duration { return p.defaultTimeout }

// MaxTimeout returns the longest deadline a request may ask for.
func (p Policy) MaxTimeout() time.Duration { return p.maxTimeout }

// KeepAnswer returns how long a finished answer is kept for retries.
func (p Policy) KeepAnswer() time.Duration { return p.keepAnswer }

// EndpointMaxAge returns the age from which an announcement is not used.
func (p Policy) EndpointMaxAge() time.Duration { return p.endpointMaxAge }

// DrainTimeout returns how long a graceful shutdown waits for requests.
func (p Policy) DrainTimeout() time.Duration { return p.drainTimeout }

// FaultPortEnabled reports whether tests may cut connections by command.
func (p Policy) FaultPortEnabled() bool { return p.faultPortEnabled }

// Deployment returns the deployment's name.
func (s *Settings) Deployment() string { return s.deployment }

// DeploymentKey returns the members' secret.
func (s *Settings) DeploymentKey() []byte { return s.deploymentKey }

// OperatorKey returns the operators' secret.
func (s *Settings) OperatorKey() []byte { return s.operatorKey }

// EndpointKey returns the secret that announcing endpoints send.
func (s *Settings) EndpointKey() []byte { return s.endpointKey }

// Policy returns the chosen plug-ins and bounds.
func (s *Settings) Policy() Policy { return s.policy }

// Trace returns where spans go.
func (s *Settings) Trace() Trace { return s.trace }

// TLS returns the settings of mutual TLS, or nil.
func (s *Settings) TLS() *tls.Config { return s.tls }

// Warnings lists what is worth a look and stops no process.
func (s *Settings) Warnings() []string { return s.warnings }

// Processes returns the processes of a kind, or all for "".
func (s *Settings) Processes(kind string) []Process {
	var out []Process
	for _, p := range s.processes {
		if kind == "" || p.kind == kind {
			out = append(out, p)
		}
	}
	return out
}

// Process returns the process of a kind with a name.
func (s *Settings) Process(kind, name string) (Process, error) {
	for _, p := range s.processes {
		if p.kind == kind && p.name == name {
			return p, nil
		}
	}
	return Process{}, merry.Errorf("%w: %s has no section [%s %s]", ErrFaulty, s.file, kind, name)
}

// Zones returns the sorted names of the availability zones.
func (s *Settings) Zones() []string {
	var zones []string
	for _, p := range s.processes {
		zones = append(zones, p.zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Load reads and checks a settings file. The error lists every fault.
func Load(file string) (*Settings, error) {
	// A '#' or ';' within a value belongs to it: a path cut off there would
	// name another folder, and two keepers would wait for one store.
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, merry.Errorf("%w: %s: %s", ErrFaulty, file, err.Error())
	}
	c := checker{file: file, lines: indexLines(file)}
	s := c.settings(f)
	s.warnings = c.warnings
	if len(c.faults) > 0 {
		return nil, merry.Errorf("%w:\n  %s", ErrFaulty, strings.Join(c.faults, "\n  "))
	}
	return s, nil
}

// checker collects the faults of one file.
type checker struct {
	file     string
	lines    lineIndex
	faults   []string
	warnings []string
}

func (c *checker) fault(section, key, format string, args ...any) {
	c.faults = append(c.faults, c.message(c.line(section, key), section, key, fmt.Sprintf(format, args...)))
}

func (c *checker) warn(section, key, format string, args ...any) {
	c.warnings = append(c.warnings, c.message(c.line(section, key), section, key, fmt.Sprintf(format, args...)))
}

// line returns the line of a key or, where the key is missing, of its section.
func (c *checker) line(section, key string) int {
	if n := c.lines.first[place{section, key}]; n > 0 {
		return n
	}
	return c.lines.first[place{section: section}]
}

func (c *checker) message(line int, section, key, text string) string {
	where := c.file
	if line > 0 {
		where = fmt.Sprintf("%s:%d", c.file, line)
	}
	if key != "" {
		key = " " + key
	}
	return fmt.Sprintf("%s: [%s]%s: %s", where, section, key, text)
}

func (c *checker) settings(f *ini.File) *Settings {
	s := &Settings{file: c.file, policy: defaultPolicy(), trace: defaultTrace()}
	c.checkRepeated()
	for _, sec := range f.Sections() {
		c.section(s, sec)
	}
	if s.deployment == "" {
		c.fault("deployment", "name", "missing")
	}
	c.checkProcesses(s)
	return s
}

func (c *checker) section(s *Settings, sec *ini.Section) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	switch {
	case sec.Name() == ini.DefaultSection:
		c.onlyKeys(sec)
	case sec.Name() == "deployment":
		c.deploymentSection(s, sec)
	case sec.Name() == "policy":
		s.policy = c.policySection(sec)
	case sec.Name() == "trace":
		s.trace = c.traceSection(sec)
	case kind == KindRouter || kind == KindKeeper:
		s.processes = append(s.processes, c.processSection(sec, kind, strings.TrimSpace(name)))
	default:
		c.fault(sec.Name(), "", "unknown section; want deployment, policy, trace, router NAME or keeper NAME")
	}
}

// checkRepeated reports sections and keys that stand twice.
func (c *checker) checkRepeated() {
	for _, line := range slices.Sorted(maps.Keys(c.lines.repeated)) {
		p := c.lines.repeated[line]
		text := fmt.Sprintf("stands in line %d already", c.lines.first[p])
		c.faults = append(c.faults, c.message(line, p.section, p.key, text))
	}
}

func (c *checker) onlyKeys(sec *ini.Section, known ...string) {
	for _, k := range sec.KeyStrings() {
		if !slices.Contains(known, k) {
			c.fault(sec.Name(), k, "unknown key; want one of %s", strings.Join(known, ", "))
		}
	}
}

func (c *checker) deploymentSection(s *Settings, sec *ini.Section) {
	c.onlyKeys(sec, append([]string{"name", "key_file", "operator_key_file", "endpoint_key_file"}, tlsKeys...)...)
	s.tls = c.tlsConfig(sec)
	s.deployment = sec.Key("name").String()
	s.deploymentKey = c.secret(sec, "key_file")
	s.operatorKey = c.secret(sec, "operator_key_file")
	s.endpointKey = c.secret(sec, "endpoint_key_file")
}

const (
	minSecretBytes = 16
	groupAndOthers = 0o077
)

func (c *checker) secret(sec *ini.Section, key string) []byte {
	path := sec.Key(key).String()
	if path == "" {
		c.fault(sec.Name(), key, "missing")
		return nil
	}
	path = c.relative(path)
	b, err := os.ReadFile(path)
	if err != nil {
		c.fault(sec.Name(), key, "%v", err)
		return nil
	}
	c.warnReadable(sec, key, path)
	text := strings.TrimSpace(string(b))
	if len(text) < minSecretBytes {
		c.fault(sec.Name(), key, "%s holds fewer than %d characters", path, minSecretBytes)
	}
	return []byte(text)
}

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

func (c *checker) required(sec *ini.Section, key string) string {
	v := sec.Key(key).String()
	if v == "" {
		c.fault(sec.Name(), key, "missing")
	}
	return v
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
