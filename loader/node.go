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

// Node is the settings of one process of a fleet whose members find each other
// through seeds; immutable. A platform renders one such file for each VM.
type Node struct {
	name, kind, zone string
	// Internal is IP:PORT for the other processes.
	internal string
	seeds    []string
	// FirstStart says that the whole fleet starts for the first time.
	firstStart bool
	serve      string
	ready      string
	control    string
	metrics    string
	dataDir    string
	// MemoryBytes is what the process may use; 0 for no bound.
	memoryBytes int64
	// LinkRate is what the VM's link carries, in bytes a second; 0 for no bound.
	linkRate float64
	// LostDisks is how many disks may be lost at once.
	lostDisks int
	heartbeat time.Duration
	// Grace is how long after a request to stop the process is killed.
	grace time.Duration
	// Drain is how long an endpoint serves after its leave was acknowledged.
	drain        time.Duration
	retryRatio   float64
	retrySlack   float64
	retryWindow  time.Duration
	orderTimeout time.Duration
	// Apply is within what time an acknowledged document must be in force.
	apply time.Duration
	// Quarantine is how long a request is held back under which endpoints ended.
	quarantine time.Duration
	// Regions holds the region of each availability zone; empty where the platform
	// names none.
	regions map[string]string
	// ColdOvershoot and coldSlack bound what cold endpoints get.
	coldOvershoot, coldSlack float64
	// LimitOvershoot, limitSlack and limitWindow bound the requests to rate limited endpoints.
	limitOvershoot, limitSlack float64
	limitWindow                time.Duration
}

// Name returns the VM's name.
func (n *Node) Name() string { return n.name }

// Kind returns KindRouter or KindKeeper.
func (n *Node) Kind() string { return n.kind }

// Zone returns the availability zone.
func (n *Node) Zone() string { return n.zone }

// Internal returns IP:PORT for the other processes.
func (n *Node) Internal() string { return n.internal }

// Seeds returns the internal addresses of the keepers to begin with.
func (n *Node) Seeds() []string { return n.seeds }

// FirstStart reports whether the whole fleet starts for the first time.
func (n *Node) FirstStart() bool { return n.firstStart }

// Serve returns IP:PORT for callers; routers only.
func (n *Node) Serve() string { return n.serve }

// Ready returns IP:PORT for the platform's question whether callers may come.
func (n *Node) Ready() string { return n.ready }

// Control returns IP:PORT for operators and endpoints; keepers only.
func (n *Node) Control() string { return n.control }

// Metrics returns IP:PORT for counters, or "".
func (n *Node) Metrics() string { return n.metrics }

// DataDir returns the data folder; keepers only.
func (n *Node) DataDir() string { return n.dataDir }

// MemoryBytes returns what the process may use; 0 for no bound.
func (n *Node) MemoryBytes() int64 { return n.memoryBytes }

// LinkRate returns what the VM's link carries, in bytes a second; 0 for no bound.
func (n *Node) LinkRate() float64 { return n.linkRate }

// LostDisks returns how many disks may be lost at once.
func (n *Node) LostDisks() int { return n.lostDisks }

// Heartbeat returns the pause between heartbeats of an endpoint.
func (n *Node) Heartbeat() time.Duration { return n.heartbeat }

// Grace returns the time from a request to stop to the kill.
func (n *Node) Grace() time.Duration { return n.grace }

// Drain returns how long an endpoint serves after its leave was acknowledged.
func (n *Node) Drain() time.Duration { return n.drain }

// Retries returns the fleet's bound on repeats: for each request, beside that,
// and in what time.
func (n *Node) Retries() (ratio, slack float64, window time.Duration) {
	return n.retryRatio, n.retrySlack, n.retryWindow
}

// OrderTimeout returns within what time an order must be acknowledged.
func (n *Node) OrderTimeout() time.Duration { return n.orderTimeout }

// Apply returns within what time an acknowledged document must be in force.
func (n *Node) Apply() time.Duration { return n.apply }

// Quarantine returns how long a request is held back under which endpoints ended.
func (n *Node) Quarantine() time.Duration { return n.quarantine }

// Regions returns the region of each availability zone; callers must not change it.
func (n *Node) Regions() map[string]string { return n.regions }

// Cold returns the fleet's bound on a cold endpoint: in one second it gets at most
// overshoot times its service's rate, and slack requests beside that.
func (n *Node) Cold() (overshoot, slack float64) { return n.coldOvershoot, n.coldSlack }

// RateLimit returns the fleet's bound on an endpoint that reports a rate limit: in any
// window it gets at most overshoot times the requests that the limit allows, plus slack.
func (n *Node) RateLimit() (overshoot, slack float64, window time.Duration) {
	return n.limitOvershoot, n.limitSlack, n.limitWindow
}

// Defaults of a node's settings.
const (
	defaultHeartbeat    = time.Second
	defaultGrace        = 10 * time.Second
	defaultDrain        = 2 * time.Second
	defaultRetryRatio   = 0.2
	defaultRetrySlack   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultOrderTimeout = 4 * time.Second
	defaultApply        = 2 * time.Second
	defaultQuarantine   = time.Hour
	defaultOvershoot    = 1
	mebibyte            = 1 << 20
	// megabit is in bytes.
	megabit = 1e6 / 8

	defaultLimitOvershoot = 1.5
	defaultLimitSlack     = 5
	defaultLimitWindow    = 4 * time.Second
)

var nodeKeys = []string{
	"name", "kind", "zone", "ip", "internal_ports", "seeds", "first_start", "serve", "ready", "control",
	"metrics", "data_dir", "memory_mb", "link_mbps", "lost_disks", "heartbeat_ms", "grace_s", "drain_ms",
	"retry_ratio", "retry_slack", "retry_window_s", "order_timeout_ms", "apply_ms", "quarantine_s",
	"zones", "cold_overshoot", "cold_slack",
	"limit_overshoot", "limit_slack", "limit_window_s",
}

// LoadNode reads and checks the settings of one process. The error lists
// every fault; the warnings are unknown fields, which a newer platform may
// send.
func LoadNode(file string) (*Node, []string, error) {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, file)
	if err != nil {
		return nil, nil, merry.Errorf("%w: %s: %s", ErrFaulty, file, err.Error())
	}
	c := checker{file: file, lines: indexLines(file)}
	n := c.node(f.Section("node"))
	if len(c.faults) > 0 {
		return nil, nil, merry.Errorf("%w:\n  %s", ErrFaulty, strings.Join(c.faults, "\n  "))
	}
	return n, c.warnings, nil
}

func (c *checker) node(sec *ini.Section) *Node {
	for _, k := range sec.KeyStrings() {
		if !slices.Contains(nodeKeys, k) {
			c.warn("node", k, "unknown field, ignored")
		}
	}
	n := &Node{
		name: c.required(sec, "name"), kind: c.required(sec, "kind"), zone: c.required(sec, "zone"),
		serve: sec.Key("serve").String(), ready: sec.Key("ready").String(), control: sec.Key("control").String(),
		metrics: sec.Key("metrics").String(), dataDir: sec.Key("data_dir").String(),
		heartbeat: defaultHeartbeat, grace: defaultGrace, drain: defaultDrain, retryRatio: defaultRetryRatio,
		retrySlack: defaultRetrySlack, retryWindow: defaultRetryWindow, orderTimeout: defaultOrderTimeout, apply: defaultApply, quarantine: defaultQuarantine,
		coldOvershoot: defaultOvershoot, limitOvershoot: defaultLimitOvershoot, limitSlack: defaultLimitSlack, limitWindow: defaultLimitWindow,
	}
	c.oneOf(sec, "kind", n.kind, []string{KindRouter, KindKeeper})
	c.flag(sec, "first_start", &n.firstStart)
	c.nodeAddresses(sec, n)
	c.nodeBounds(sec, n)
	c.regions(sec, n)
	return n
}

// regions reads ZONE:REGION,....
func (c *checker) regions(sec *ini.Section, n *Node) {
	n.regions = map[string]string{}
	for _, entry := range strings.Split(sec.Key("zones").String(), ",") {
		if strings.TrimSpace(entry) == "" {
			continue
		}
		zone, region, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if !ok || zone == "" || region == "" {
			c.fault(sec.Name(), "zones", "want ZONE:REGION,..., not %q", entry)
			continue
		}
		n.regions[zone] = region
	}
}

func (c *checker) nodeAddresses(sec *ini.Section, n *Node) {
	for _, k := range []string{"serve", "ready", "control", "metrics"} {
		c.address(sec, k, sec.Key(k).String())
	}
	port, _, _ := strings.Cut(c.required(sec, "internal_ports"), ",")
	n.internal = sec.Key("ip").String() + ":" + port
	c.address(sec, "internal_ports", n.internal)
	for _, s := range strings.Split(c.required(sec, "seeds"), ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			c.fault(sec.Name(), "seeds", "want IP:PORT,..., not %q", s)
			continue
		}
		// Ports are the same on all VMs, and a seed is named by the port that
		// operators use.
		n.seeds = append(n.seeds, a.Addr().String()+":"+port)
	}
	if n.kind == KindRouter {
		c.required(sec, "serve")
		return
	}
	c.required(sec, "control")
	if n.dataDir = c.required(sec, "data_dir"); n.dataDir != "" {
		n.dataDir = filepath.Clean(n.dataDir)
	}
}

func (c *checker) nodeBounds(sec *ini.Section, n *Node) {
	var memory, disks, link float64
	c.number(sec, "memory_mb", &memory)
	c.number(sec, "link_mbps", &link)
	n.linkRate = link * megabit
	c.number(sec, "lost_disks", &disks)
	n.memoryBytes, n.lostDisks = int64(memory*mebibyte), int(disks)
	c.span(sec, "heartbeat_ms", time.Millisecond, &n.heartbeat)
	c.span(sec, "grace_s", time.Second, &n.grace)
	c.span(sec, "drain_ms", time.Millisecond, &n.drain)
	c.span(sec, "retry_window_s", time.Second, &n.retryWindow)
	c.span(sec, "order_timeout_ms", time.Millisecond, &n.orderTimeout)
	c.span(sec, "apply_ms", time.Millisecond, &n.apply)
	c.span(sec, "quarantine_s", time.Second, &n.quarantine)
	c.number(sec, "retry_ratio", &n.retryRatio)
	c.number(sec, "retry_slack", &n.retrySlack)
	c.number(sec, "cold_overshoot", &n.coldOvershoot)
	c.number(sec, "cold_slack", &n.coldSlack)
	c.number(sec, "limit_overshoot", &n.limitOvershoot)
	c.number(sec, "limit_slack", &n.limitSlack)
	c.span(sec, "limit_window_s", time.Second, &n.limitWindow)
}

// number reads a number that is not negative; an empty field stands for its
// default, since a platform leaves out what an installation doesn't know.
func (c *checker) number(sec *ini.Section, key string, to *float64) {
	text := sec.Key(key).String()
	if text == "" {
		return
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v < 0 {
		c.fault(sec.Name(), key, "want a number from 0 on, not %q", text)
		return
	}
	*to = v
}

func (c *checker) span(sec *ini.Section, key string, unit time.Duration, to *time.Duration) {
	v := float64(*to) / float64(unit)
	c.number(sec, key, &v)
	if v <= 0 {
		c.fault(sec.Name(), key, "want more than 0")
		return
	}
	*to = time.Duration(v * float64(unit))
}
