// Package loader reads and validates INI settings files. It reports every error
// with its file, line, section and key.
//
// With Load, one file describes a whole deployment and is present on every VM; a
// process selects its own section by kind and name. With LoadNode, each VM has a
// file of its own.
package loader

import (
	"crypto/tls"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// ErrInvalidSettings is returned for invalid settings. The error message lists every
// problem.
var ErrInvalidSettings = merry.Sentinel("faulty settings")

// Settings holds the validated settings of a deployment. It is immutable.
type Settings struct {
	file       string
	deployment string
	// deploymentKey is the secret with which members authenticate to each
	// other.
	deploymentKey []byte
	// operatorKey is the secret with which operators authenticate.
	operatorKey []byte
	// endpointKey is the bearer token of endpoints that announce themselves.
	endpointKey []byte
	processes   []Process
	policy      Policy
	trace       Trace
	// tls is the TLS configuration for connections between processes. If it is
	// nil, the connections are unencrypted.
	tls *tls.Config
	// warnings lists problems that do not prevent a process from starting.
	warnings []string
}

// Deployment returns the name of the deployment.
func (s *Settings) Deployment() string { return s.deployment }

// DeploymentKey returns the secret with which members authenticate to each
// other.
func (s *Settings) DeploymentKey() []byte { return s.deploymentKey }

// OperatorKey returns the secret with which operators authenticate.
func (s *Settings) OperatorKey() []byte { return s.operatorKey }

// EndpointKey returns the bearer token of endpoints that announce themselves.
func (s *Settings) EndpointKey() []byte { return s.endpointKey }

// Policy returns the selected plug-ins and limits.
func (s *Settings) Policy() Policy { return s.policy }

// Trace returns the tracing settings.
func (s *Settings) Trace() Trace { return s.trace }

// TLS returns the mutual TLS configuration, or nil if TLS is disabled.
func (s *Settings) TLS() *tls.Config { return s.tls }

// Warnings returns the problems that do not prevent a process from starting.
func (s *Settings) Warnings() []string { return s.warnings }

// Processes returns the processes of a kind, or all processes if kind is empty.
func (s *Settings) Processes(kind string) []Process {
	var out []Process
	for _, p := range s.processes {
		if kind == "" || p.kind == kind {
			out = append(out, p)
		}
	}
	return out
}

// Process returns the process with the given kind and name.
func (s *Settings) Process(kind, name string) (Process, error) {
	for _, p := range s.processes {
		if p.kind == kind && p.name == name {
			return p, nil
		}
	}
	return Process{}, merry.Errorf("%w: %s has no section [%s %s]", ErrInvalidSettings, s.file, kind, name)
}

// Zones returns the names of the availability zones in sorted order.
func (s *Settings) Zones() []string {
	var zones []string
	for _, p := range s.processes {
		zones = append(zones, p.zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Load reads and validates a settings file. The error lists every problem
// found.
func Load(file string) (*Settings, error) {
	// '#' and ';' inside a value do not start a comment. A path truncated there
	// would name another directory, and two keepers would wait for one store.
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, merry.Errorf("%w: %s: %s", ErrInvalidSettings, file, err.Error())
	}
	c := parser{file: file, lines: indexLines(file)}
	s := c.parseSettings(f)
	s.warnings = c.warnings
	if len(c.errors) > 0 {
		return nil, merry.Errorf("%w:\n  %s", ErrInvalidSettings, strings.Join(c.errors, "\n  "))
	}
	return s, nil
}

// parseSettings reads all sections of the file and checks them against each
// other.
func (c *parser) parseSettings(f *ini.File) *Settings {
	s := &Settings{file: c.file, policy: defaultPolicy(), trace: defaultTrace()}
	c.checkRepeated()
	for _, sec := range f.Sections() {
		c.parseSection(s, sec)
	}
	if s.deployment == "" {
		c.addError("deployment", "name", "missing")
	}
	c.checkProcesses(s)
	return s
}

// parseSection reads one section into s, depending on its name.
func (c *parser) parseSection(s *Settings, sec *ini.Section) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	switch {
	case sec.Name() == ini.DefaultSection:
		c.checkKeys(sec)
	case sec.Name() == "deployment":
		c.parseDeployment(s, sec)
	case sec.Name() == "policy":
		s.policy = c.parsePolicy(sec)
	case sec.Name() == "trace":
		s.trace = c.parseTrace(sec)
	case kind == KindRouter || kind == KindKeeper:
		s.processes = append(s.processes, c.parseProcess(sec, kind, strings.TrimSpace(name)))
	default:
		c.addError(sec.Name(), "", "unknown section; want deployment, policy, trace, router NAME or keeper NAME")
	}
}

// parseDeployment reads the deployment section: its name, secrets and TLS
// files.
func (c *parser) parseDeployment(s *Settings, sec *ini.Section) {
	c.checkKeys(sec, append([]string{"name", "key_file", "operator_key_file", "endpoint_key_file"}, tlsKeys...)...)
	s.tls = c.parseTLS(sec)
	s.deployment = sec.Key("name").String()
	s.deploymentKey = c.readSecret(sec, "key_file")
	s.operatorKey = c.readSecret(sec, "operator_key_file")
	s.endpointKey = c.readSecret(sec, "endpoint_key_file")
}
