package loader

import (
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// Node holds the settings of one process of a fleet whose members find each
// other through seeds. It is immutable. A platform generates one such file for
// each VM.
type Node struct {
	name, kind, zone string
	// internal is the IP:PORT for connections from other processes.
	internal string
	seeds    []string
	// firstStart is true if the whole fleet starts for the first time.
	firstStart bool
	serve      string
	ready      string
	control    string
	metrics    string
	dataDir    string
	// memoryBytes is the memory limit of the process; 0 means no limit.
	memoryBytes int64
	// descriptors is the limit on the descriptors of the process; 0 means no limit.
	descriptors int
	// linkRate is the bandwidth of the VM's network link in bytes per second; 0
	// means no limit.
	linkRate float64
	// lostDisks is the number of disks that may be lost at the same time.
	lostDisks int
	heartbeat time.Duration
	// grace is the time between a request to stop and the kill of the process.
	grace time.Duration
	// drain is how long an endpoint continues to serve after its leave was
	// acknowledged.
	drain time.Duration
	// catchUp is the time after its start within which a keeper with an empty disk must vote.
	catchUp      time.Duration
	retryRatio   float64
	retrySlack   float64
	retryWindow  time.Duration
	orderTimeout time.Duration
	// apply is the time within which an acknowledged document must take effect.
	apply time.Duration
	// quarantine is how long a request is held back after endpoints ended while
	// serving it.
	quarantine time.Duration
	// regions maps availability zones to regions. It is empty if the platform
	// names no regions.
	regions map[string]string
	// coldOvershoot and coldSlack limit the request rate of cold endpoints.
	coldOvershoot, coldSlack float64
	// limitOvershoot, limitSlack and limitWindow limit the requests to
	// endpoints that report a rate limit.
	limitOvershoot, limitSlack float64
	limitWindow                time.Duration
	// processorShare is the part of a core that the process may use; 0 means unknown.
	processorShare float64
	features       Features
}

// Features are the parts of a fleet that a setting can switch off. All are on by default, and each
// takes effect only where the configuration calls for it.
type Features struct {
	// PacedClaims lets keepers state the interval at which routers settle prepaid rights.
	PacedClaims bool
	// ShortageNotices lets routers refuse requests by what they were told of a scarce total.
	ShortageNotices bool
	// LoadDigests makes routers tell each other the load of endpoints and zones.
	LoadDigests bool
	// ServiceAdmission makes requests wait in the router, by priority, while every endpoint is full.
	ServiceAdmission bool
	// CallerLimits bounds the time and the memory that callers may take who send or read slowly.
	CallerLimits bool
	// EndpointRelays connects a router to endpoints through other routers while it has no path of
	// its own, and lets it relay connections for others.
	EndpointRelays bool
	// StreamVersions makes streams go on only at the software version that began them.
	StreamVersions bool
	// PartQuarantine holds back requests with a prompt part under which endpoints crash.
	PartQuarantine bool
	// ConnectionShedding refuses new connections at a router that is much busier than others.
	ConnectionShedding bool
	// Permits bounds the requests of all routers together at endpoints that limit rejections.
	Permits bool
	// EnginePriorities sends the priorities of requests to endpoints.
	EnginePriorities bool
}

// Name returns the name of the VM.
func (n *Node) Name() string { return n.name }

// Kind returns KindRouter or KindKeeper.
func (n *Node) Kind() string { return n.kind }

// Zone returns the availability zone.
func (n *Node) Zone() string { return n.zone }

// Internal returns the IP:PORT for connections from other processes.
func (n *Node) Internal() string { return n.internal }

// Seeds returns the internal addresses of the keepers to contact first.
func (n *Node) Seeds() []string { return n.seeds }

// FirstStart reports whether the whole fleet starts for the first time.
func (n *Node) FirstStart() bool { return n.firstStart }

// Serve returns the IP:PORT for callers. Only routers have it.
func (n *Node) Serve() string { return n.serve }

// Ready returns the IP:PORT of the readiness check, with which the platform
// decides whether callers are sent to this process.
func (n *Node) Ready() string { return n.ready }

// Control returns the IP:PORT for operators and endpoints. Only keepers have
// it.
func (n *Node) Control() string { return n.control }

// Metrics returns the IP:PORT for metrics, or an empty string.
func (n *Node) Metrics() string { return n.metrics }

// DataDir returns the data directory. Only keepers have it.
func (n *Node) DataDir() string { return n.dataDir }

// MemoryBytes returns the memory limit of the process; 0 means no limit.
func (n *Node) MemoryBytes() int64 { return n.memoryBytes }

// Descriptors returns the limit on the descriptors of the process; 0 means no limit.
func (n *Node) Descriptors() int { return n.descriptors }

// LinkRate returns the bandwidth of the VM's network link in bytes per second;
// 0 means no limit.
func (n *Node) LinkRate() float64 { return n.linkRate }

// LostDisks returns the number of disks that may be lost at the same time.
func (n *Node) LostDisks() int { return n.lostDisks }

// Heartbeat returns the interval between heartbeats of an endpoint.
func (n *Node) Heartbeat() time.Duration { return n.heartbeat }

// Grace returns the time between a request to stop and the kill of the process.
func (n *Node) Grace() time.Duration { return n.grace }

// Drain returns how long an endpoint continues to serve after its leave was
// acknowledged.
func (n *Node) Drain() time.Duration { return n.drain }

// CatchUp returns the time after its start within which a keeper with an empty disk must vote. Until
// then, its disk counts as one of those that may be lost at the same time.
func (n *Node) CatchUp() time.Duration { return n.catchUp }

// RetryLimit returns the retry limit of the fleet: within any window, at most
// ratio retries per request, plus slack.
func (n *Node) RetryLimit() (ratio, slack float64, window time.Duration) {
	return n.retryRatio, n.retrySlack, n.retryWindow
}

// OrderTimeout returns the time within which an order must be acknowledged.
func (n *Node) OrderTimeout() time.Duration { return n.orderTimeout }

// ApplyTimeout returns the time within which an acknowledged document must take
// effect.
func (n *Node) ApplyTimeout() time.Duration { return n.apply }

// Quarantine returns how long a request is held back after endpoints ended
// while serving it.
func (n *Node) Quarantine() time.Duration { return n.quarantine }

// Regions returns the region of each availability zone. Callers must not modify
// the map.
func (n *Node) Regions() map[string]string { return n.regions }

// ColdLimit returns the fleet's limit for a cold endpoint: in one second, it
// receives at most overshoot times the rate of its service, plus slack
// requests.
func (n *Node) ColdLimit() (overshoot, slack float64) { return n.coldOvershoot, n.coldSlack }

// RateLimit returns the fleet's limit for an endpoint that reports a rate
// limit: in any window, it receives at most overshoot times the requests that
// the rate limit allows, plus slack.
func (n *Node) RateLimit() (overshoot, slack float64, window time.Duration) {
	return n.limitOvershoot, n.limitSlack, n.limitWindow
}

// ProcessorShare returns the part of a core that the process may use; 0 means unknown.
func (n *Node) ProcessorShare() float64 { return n.processorShare }

// Features returns the parts of the fleet that are switched on.
func (n *Node) Features() Features { return n.features }

// Defaults of a node's settings.
const (
	defaultHeartbeat    = time.Second
	defaultGrace        = 10 * time.Second
	defaultDrain        = 2 * time.Second
	defaultCatchUp      = 4 * time.Second
	defaultRetryRatio   = 0.2
	defaultRetrySlack   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultOrderTimeout = 4 * time.Second
	defaultApply        = 2 * time.Second
	defaultQuarantine   = time.Hour
	defaultOvershoot    = 1
	mebibyte            = 1 << 20
	// megabit is one megabit in bytes.
	megabit = 1e6 / 8

	defaultLimitOvershoot = 1.5
	defaultLimitSlack     = 5
	defaultLimitWindow    = 4 * time.Second
)

var nodeKeys = []string{
	"name", "kind", "zone", "ip", "internal_ports", "seeds", "first_start", "serve", "ready", "control",
	"metrics", "data_dir", "memory_mb", "max_fds", "link_mbps", "lost_disks", "heartbeat_ms", "grace_s", "drain_ms", "catch_up_s",
	"retry_ratio", "retry_slack", "retry_window_s", "order_timeout_ms", "apply_ms", "quarantine_s",
	"zones", "cold_overshoot", "cold_slack",
	"limit_overshoot", "limit_slack", "limit_window_s",
	"processor_share", "paced_claims", "shortage_notices", "load_digests", "service_admission", "engine_priorities", "caller_limits", "endpoint_relays",
	"stream_versions", "part_quarantine", "connection_shedding",
}

// LoadNode reads and validates the settings of one process. The error lists
// every problem found. The warnings list unknown fields, which a newer platform
// may send.
func LoadNode(file string) (*Node, []string, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, nil, merry.Errorf("%w: %s: %s", ErrInvalidSettings, file, err.Error())
	}
	c := parser{file: file, lines: indexLines(file)}
	n := c.parseNode(f.Section("node"))
	if len(c.errors) > 0 {
		return nil, nil, merry.Errorf("%w:\n  %s", ErrInvalidSettings, strings.Join(c.errors, "\n  "))
	}
	return n, c.warnings, nil
}

// parseNode reads the node section.
func (c *parser) parseNode(sec *ini.Section) *Node {
	for _, k := range sec.KeyStrings() {
		if !slices.Contains(nodeKeys, k) {
			c.addWarning("node", k, "unknown field, ignored")
		}
	}
	n := &Node{
		name: c.readRequired(sec, "name"), kind: c.readRequired(sec, "kind"), zone: c.readRequired(sec, "zone"),
		serve: sec.Key("serve").String(), ready: sec.Key("ready").String(), control: sec.Key("control").String(),
		metrics: sec.Key("metrics").String(), dataDir: sec.Key("data_dir").String(),
		heartbeat: defaultHeartbeat, grace: defaultGrace, drain: defaultDrain, catchUp: defaultCatchUp, retryRatio: defaultRetryRatio,
		retrySlack: defaultRetrySlack, retryWindow: defaultRetryWindow, orderTimeout: defaultOrderTimeout, apply: defaultApply, quarantine: defaultQuarantine,
		coldOvershoot: defaultOvershoot, limitOvershoot: defaultLimitOvershoot, limitSlack: defaultLimitSlack, limitWindow: defaultLimitWindow,
	}
	c.checkOneOf(sec, "kind", n.kind, []string{KindRouter, KindKeeper})
	c.readBool(sec, "first_start", &n.firstStart)
	c.parseNodeAddresses(sec, n)
	c.parseNodeLimits(sec, n)
	c.parseRegions(sec, n)
	c.parseFeatures(sec, &n.features)
	return n
}

// parseFeatures reads which parts of the fleet are switched on.
func (c *parser) parseFeatures(sec *ini.Section, f *Features) {
	*f = Features{PacedClaims: true, ShortageNotices: true, LoadDigests: true, ServiceAdmission: true, EnginePriorities: true, CallerLimits: true, EndpointRelays: true, StreamVersions: true, PartQuarantine: true, ConnectionShedding: true, Permits: true}
	c.readBool(sec, "paced_claims", &f.PacedClaims)
	c.readBool(sec, "shortage_notices", &f.ShortageNotices)
	c.readBool(sec, "load_digests", &f.LoadDigests)
	c.readBool(sec, "service_admission", &f.ServiceAdmission)
	c.readBool(sec, "engine_priorities", &f.EnginePriorities)
	c.readBool(sec, "caller_limits", &f.CallerLimits)
	c.readBool(sec, "endpoint_relays", &f.EndpointRelays)
	c.readBool(sec, "stream_versions", &f.StreamVersions)
	c.readBool(sec, "part_quarantine", &f.PartQuarantine)
	c.readBool(sec, "connection_shedding", &f.ConnectionShedding)
	c.readBool(sec, "permits", &f.Permits)
}

// parseRegions reads the region of each zone in the form ZONE:REGION,ZONE:REGION.
func (c *parser) parseRegions(sec *ini.Section, n *Node) {
	n.regions = map[string]string{}
	for _, entry := range strings.Split(sec.Key("zones").String(), ",") {
		if strings.TrimSpace(entry) == "" {
			continue
		}
		zone, region, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if !ok || zone == "" || region == "" {
			c.addError(sec.Name(), "zones", "want ZONE:REGION,..., not %q", entry)
			continue
		}
		n.regions[zone] = region
	}
}

// parseNodeAddresses reads the addresses, the seeds and, for keepers, the data
// directory.
func (c *parser) parseNodeAddresses(sec *ini.Section, n *Node) {
	for _, k := range []string{"serve", "ready", "control", "metrics"} {
		c.checkAddress(sec, k, sec.Key(k).String())
	}
	port, _, _ := strings.Cut(c.readRequired(sec, "internal_ports"), ",")
	n.internal = sec.Key("ip").String() + ":" + port
	c.checkAddress(sec, "internal_ports", n.internal)
	for _, s := range strings.Split(c.readRequired(sec, "seeds"), ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			c.addError(sec.Name(), "seeds", "want IP:PORT,..., not %q", s)
			continue
		}
		// A seed is given with the port for operators. The internal port replaces
		// it, which is the same on all VMs.
		n.seeds = append(n.seeds, a.Addr().String()+":"+port)
	}
	if n.kind == KindRouter {
		c.readRequired(sec, "serve")
		return
	}
	c.readRequired(sec, "control")
	if n.dataDir = c.readRequired(sec, "data_dir"); n.dataDir != "" {
		n.dataDir = filepath.Clean(n.dataDir)
	}
}

// parseNodeLimits reads the resource limits, timeouts and retry and rate
// limits.
func (c *parser) parseNodeLimits(sec *ini.Section, n *Node) {
	var memory, descriptors, disks, link float64
	c.readNumber(sec, "memory_mb", &memory)
	c.readNumber(sec, "max_fds", &descriptors)
	n.descriptors = int(descriptors)
	c.readNumber(sec, "link_mbps", &link)
	n.linkRate = link * megabit
	c.readNumber(sec, "lost_disks", &disks)
	n.memoryBytes, n.lostDisks = int64(memory*mebibyte), int(disks)
	c.readTimeSpan(sec, "heartbeat_ms", time.Millisecond, &n.heartbeat)
	c.readTimeSpan(sec, "grace_s", time.Second, &n.grace)
	c.readTimeSpan(sec, "drain_ms", time.Millisecond, &n.drain)
	c.readTimeSpan(sec, "catch_up_s", time.Second, &n.catchUp)
	c.readTimeSpan(sec, "retry_window_s", time.Second, &n.retryWindow)
	c.readTimeSpan(sec, "order_timeout_ms", time.Millisecond, &n.orderTimeout)
	c.readTimeSpan(sec, "apply_ms", time.Millisecond, &n.apply)
	c.readTimeSpan(sec, "quarantine_s", time.Second, &n.quarantine)
	c.readNumber(sec, "retry_ratio", &n.retryRatio)
	c.readNumber(sec, "retry_slack", &n.retrySlack)
	c.readNumber(sec, "cold_overshoot", &n.coldOvershoot)
	c.readNumber(sec, "cold_slack", &n.coldSlack)
	c.readNumber(sec, "limit_overshoot", &n.limitOvershoot)
	c.readNumber(sec, "limit_slack", &n.limitSlack)
	c.readTimeSpan(sec, "limit_window_s", time.Second, &n.limitWindow)
	c.readNumber(sec, "processor_share", &n.processorShare)
}

// readNumber sets *to to a non-negative number. An empty field keeps the
// default, because a platform leaves out values that an installation does not
// know.
func (c *parser) readNumber(sec *ini.Section, key string, to *float64) {
	text := sec.Key(key).String()
	if text == "" {
		return
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 {
		c.addError(sec.Name(), key, "want a number from 0 on, not %q", text)
		return
	}
	*to = v
}

// readTimeSpan sets *to to a positive number of units. An empty field keeps the
// default.
func (c *parser) readTimeSpan(sec *ini.Section, key string, unit time.Duration, to *time.Duration) {
	v := float64(*to) / float64(unit)
	c.readNumber(sec, key, &v)
	if v <= 0 {
		c.addError(sec.Name(), key, "want more than 0")
		return
	}
	*to = time.Duration(v * float64(unit))
}
