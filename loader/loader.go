// Package loader reads the INI settings of a deployment and lists every fault
// with its file, section and key.
//
// One file describes the whole deployment and lies on every VM; a process
// picks its own section by kind and name.
package loader

import (
	"crypto/tls"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// ErrFaulty says that the settings have faults; the message lists them all.
var ErrFaulty = merry.Sentinel("faulty settings")

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

func (c *checker) deploymentSection(s *Settings, sec *ini.Section) {
	c.onlyKeys(sec, append([]string{"name", "key_file", "operator_key_file", "endpoint_key_file"}, tlsKeys...)...)
	s.tls = c.tlsConfig(sec)
	s.deployment = sec.Key("name").String()
	s.deploymentKey = c.secret(sec, "key_file")
	s.operatorKey = c.secret(sec, "operator_key_file")
	s.endpointKey = c.secret(sec, "endpoint_key_file")
}
