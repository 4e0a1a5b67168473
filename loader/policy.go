package loader

import (
	"math"
	"time"

	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/placer"
	"rattanhoist.example/rattanhoist/tracker"
)

// Policy holds the selected plug-ins and limits. Every value has a default.
type Policy struct {
	picker           string
	shedder          string
	placement        string
	maxBody          int64
	memoryBytes      int64
	maxDescriptors   int64
	defaultTimeout   time.Duration
	maxTimeout       time.Duration
	keepAnswer       time.Duration
	keepCharges      time.Duration
	endpointMaxAge   time.Duration
	gossipSiblings   int64
	drainTimeout     time.Duration
	faultPortEnabled bool
}

// Picker returns the name of the default picker plug-in.
func (p Policy) Picker() string { return p.picker }

// Shedder returns the name of the plug-in that refuses requests under overload.
func (p Policy) Shedder() string { return p.shedder }

// Placement returns the name of the plug-in that distributes rights over zones.
func (p Policy) Placement() string { return p.placement }

// MaxBody returns the maximum size of a request body in bytes.
func (p Policy) MaxBody() int64 { return p.maxBody }

// DefaultTimeout returns the deadline of requests that do not specify one.
func (p Policy) DefaultTimeout() time.Duration { return p.defaultTimeout }

// MaxTimeout returns the longest deadline that a request may specify.
func (p Policy) MaxTimeout() time.Duration { return p.maxTimeout }

// KeepAnswer returns how long a completed answer is kept for retries.
func (p Policy) KeepAnswer() time.Duration { return p.keepAnswer }

// KeepCharges returns the minimum time for which individual bills are kept.
func (p Policy) KeepCharges() time.Duration { return p.keepCharges }

// EndpointMaxAge returns the age from which the announcement of an endpoint is
// ignored.
func (p Policy) EndpointMaxAge() time.Duration { return p.endpointMaxAge }

// MemoryBytes returns the memory that each process may use.
func (p Policy) MemoryBytes() int64 { return p.memoryBytes }

// MaxDescriptors returns the number of descriptors that each process may open.
func (p Policy) MaxDescriptors() int { return int(p.maxDescriptors) }

// GossipSiblings returns the number of routers in its zone that a router asks
// for endpoint updates in each gossip round.
func (p Policy) GossipSiblings() int { return int(p.gossipSiblings) }

// DrainTimeout returns how long a graceful shutdown waits for requests to
// finish.
func (p Policy) DrainTimeout() time.Duration { return p.drainTimeout }

// FaultPortEnabled reports whether tests may cut connections through the debug
// address.
func (p Policy) FaultPortEnabled() bool { return p.faultPortEnabled }

// Defaults of the policy section.
const (
	defaultPicker         = "deadline"
	defaultShedder        = "deadline"
	defaultPlacement      = "demand"
	defaultMaxBody        = 8 << 20
	defaultMemory         = 1 << 30
	defaultDescriptors    = 4096
	defaultTimeout        = 60 * time.Second
	defaultMaxTimeout     = time.Hour
	defaultKeepAnswer     = 2 * time.Minute
	defaultEndpointMaxAge = 3 * time.Second
	defaultDrainTimeout   = 10 * time.Minute
	// maxGossipSiblings exceeds the number of routers in any zone.
	maxGossipSiblings = 1000
)

// DefaultKeepCharges is how long individual bills are kept by default.
const DefaultKeepCharges = 12 * time.Hour

// keepChargesFactor ensures that a bill outlives the run of its request, the
// time that the answer is kept, the caller's last retry and clock differences.
const keepChargesFactor = 4

func defaultPolicy() Policy {
	return Policy{
		picker: defaultPicker, shedder: defaultShedder, placement: defaultPlacement, maxBody: defaultMaxBody,
		memoryBytes: defaultMemory, maxDescriptors: defaultDescriptors,
		defaultTimeout: defaultTimeout, maxTimeout: defaultMaxTimeout,
		keepAnswer: defaultKeepAnswer, keepCharges: DefaultKeepCharges, endpointMaxAge: defaultEndpointMaxAge,
		gossipSiblings: tracker.DefaultSiblingsPerRound,
		drainTimeout:   defaultDrainTimeout,
	}
}

var policyKeys = []string{
	"picker", "shedder", "placement", "max_body_bytes", "default_timeout", "max_timeout",
	"keep_answer", "keep_charges", "endpoint_max_age", "gossip_siblings", "drain_timeout", "fault_port",
	"memory_bytes", "max_descriptors",
}

// parsePolicy reads the policy section. If keep_charges is not set, the default
// is raised to the minimum that max_timeout and keep_answer require.
func (c *parser) parsePolicy(sec *ini.Section) Policy {
	c.checkKeys(sec, policyKeys...)
	p := defaultPolicy()
	c.readString(sec, "picker", &p.picker)
	c.checkOneOf(sec, "picker", p.picker, picker.Names())
	c.readString(sec, "shedder", &p.shedder)
	c.checkOneOf(sec, "shedder", p.shedder, admitter.Names())
	c.readString(sec, "placement", &p.placement)
	c.checkOneOf(sec, "placement", p.placement, placer.Names())
	c.readBytes(sec, "max_body_bytes", &p.maxBody)
	c.readBytes(sec, "memory_bytes", &p.memoryBytes)
	c.readCount(sec, "max_descriptors", &p.maxDescriptors, math.MaxInt32)
	c.readDuration(sec, "default_timeout", &p.defaultTimeout)
	c.readDuration(sec, "max_timeout", &p.maxTimeout)
	c.readDuration(sec, "keep_answer", &p.keepAnswer)
	c.readDuration(sec, "keep_charges", &p.keepCharges)
	c.readDuration(sec, "endpoint_max_age", &p.endpointMaxAge)
	c.readCount(sec, "gossip_siblings", &p.gossipSiblings, maxGossipSiblings)
	c.readDuration(sec, "drain_timeout", &p.drainTimeout)
	c.readBool(sec, "fault_port", &p.faultPortEnabled)
	if p.defaultTimeout > p.maxTimeout {
		c.addError(sec.Name(), "default_timeout", "%s is longer than max_timeout, %s", p.defaultTimeout, p.maxTimeout)
	}
	least := keepChargesFactor * (p.maxTimeout + p.keepAnswer)
	if p.keepCharges < least && sec.HasKey("keep_charges") {
		c.addError(sec.Name(), "keep_charges", "%s is too short: want %s at least, %d times max_timeout and keep_answer together", p.keepCharges, least, keepChargesFactor)
	}
	p.keepCharges = max(p.keepCharges, least)
	return p
}
