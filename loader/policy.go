package loader

import (
	"time"

	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/placer"
	"rattanhoist.example/rattanhoist/tracker"
)

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
	keepCharges      time.Duration
	endpointMaxAge   time.Duration
	gossipSiblings   int64
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

// KeepCharges returns how long single bills are kept at least.
func (p Policy) KeepCharges() time.Duration { return p.keepCharges }

// EndpointMaxAge returns the age from which an announcement is not used.
func (p Policy) EndpointMaxAge() time.Duration { return p.endpointMaxAge }

// GossipSiblings returns how many routers of its zone a router asks for news
// of endpoints in each round.
func (p Policy) GossipSiblings() int { return int(p.gossipSiblings) }

// DrainTimeout returns how long a graceful shutdown waits for requests.
func (p Policy) DrainTimeout() time.Duration { return p.drainTimeout }

// FaultPortEnabled reports whether tests may cut connections by command.
func (p Policy) FaultPortEnabled() bool { return p.faultPortEnabled }

// Defaults of the policy section.
const (
	defaultPicker         = "deadline"
	defaultShedder        = "deadline"
	defaultPlacement      = "demand"
	defaultMaxBody        = 8 << 20
	defaultTimeout        = 60 * time.Second
	defaultMaxTimeout     = time.Hour
	defaultKeepAnswer     = 2 * time.Minute
	defaultEndpointMaxAge = 3 * time.Second
	defaultDrainTimeout   = 10 * time.Minute
	// maxGossipSiblings is more than any zone has routers.
	maxGossipSiblings = 1000
)

// DefaultKeepCharges is how long single bills are kept where no setting says.
const DefaultKeepCharges = 12 * time.Hour

// keepChargesFactor leaves room in the life of a bill for the run, the time
// that its answer is kept, the caller's last repetition, and clocks that differ.
const keepChargesFactor = 4

func defaultPolicy() Policy {
	return Policy{
		picker: defaultPicker, shedder: defaultShedder, placement: defaultPlacement, maxBody: defaultMaxBody,
		defaultTimeout: defaultTimeout, maxTimeout: defaultMaxTimeout,
		keepAnswer: defaultKeepAnswer, keepCharges: DefaultKeepCharges, endpointMaxAge: defaultEndpointMaxAge,
		gossipSiblings: tracker.DefaultSiblings,
		drainTimeout:   defaultDrainTimeout,
	}
}

var policyKeys = []string{
	"picker", "shedder", "placement", "max_body_bytes", "default_timeout", "max_timeout",
	"keep_answer", "keep_charges", "endpoint_max_age", "gossip_siblings", "drain_timeout", "fault_port",
}

func (c *checker) policySection(sec *ini.Section) Policy {
	c.onlyKeys(sec, policyKeys...)
	p := defaultPolicy()
	c.text(sec, "picker", &p.picker)
	c.oneOf(sec, "picker", p.picker, picker.Names())
	c.text(sec, "shedder", &p.shedder)
	c.oneOf(sec, "shedder", p.shedder, admitter.Names())
	c.text(sec, "placement", &p.placement)
	c.oneOf(sec, "placement", p.placement, placer.Names())
	c.bytes(sec, "max_body_bytes", &p.maxBody)
	c.duration(sec, "default_timeout", &p.defaultTimeout)
	c.duration(sec, "max_timeout", &p.maxTimeout)
	c.duration(sec, "keep_answer", &p.keepAnswer)
	c.duration(sec, "keep_charges", &p.keepCharges)
	c.duration(sec, "endpoint_max_age", &p.endpointMaxAge)
	c.count(sec, "gossip_siblings", &p.gossipSiblings, maxGossipSiblings)
	c.duration(sec, "drain_timeout", &p.drainTimeout)
	c.flag(sec, "fault_port", &p.faultPortEnabled)
	if p.defaultTimeout > p.maxTimeout {
		c.fault(sec.Name(), "default_timeout", "%s is longer than max_timeout, %s", p.defaultTimeout, p.maxTimeout)
	}
	least := keepChargesFactor * (p.maxTimeout + p.keepAnswer)
	if p.keepCharges < least && sec.HasKey("keep_charges") {
		c.fault(sec.Name(), "keep_charges", "%s is too short: want %s at least, %d times max_timeout and keep_answer together", p.keepCharges, least, keepChargesFactor)
	}
	p.keepCharges = max(p.keepCharges, least)
	return p
}
