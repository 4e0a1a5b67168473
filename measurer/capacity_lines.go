package measurer

import "slices"

// Periods of the product's messages, in calls a second.
const (
	beatsPerS    = 4
	gossipPerS   = 2
	watchPerS    = 1
	announcePerS = 2
	appendsPerS  = 10
)

// Shares of the work that the design leaves to choose.
const (
	// announcedTo is how many routers an endpoint tells of itself.
	announcedTo = 2
	// collector is live heap to memory of the process, at the default of the
	// garbage collector: it lets the heap double before it collects.
	collector = 2
	// idleAfterS is how long a router keeps an account without traffic, and
	// horizonS for how long a lease should last, both in seconds.
	idleAfterS = 30
	horizonS   = 4
	// voters of the configuration log.
	voters = 5
	// callSide is one side's part of a call's processor time.
	callSide = 0.5
	// fencedAfterS is how long a silent router keeps its rights, in seconds.
	fencedAfterS = 10
)

// activePerNode bounds the budgets with an account at a router: each request
// of the time until an account is idle may be of another budget.
func activePerNode() float64 {
	return min(Letter.Budgets, Letter.RequestsPerNode()*idleAfterS)
}

// Slopes that the lines use.
var (
	configurationMemory = slopeKey{"configuration", "router", "memory", "workspace"}
	configurationCPU    = slopeKey{"configuration", "router", "processor_per_change", "workspace"}
	configurationUpdate = slopeKey{"configuration", "router", "update_bytes", "change"}
	configurationWhole  = slopeKey{"configuration", "router", "whole_copy_bytes", "workspace"}
	endpointMemory      = slopeKey{"endpoints", "router", "memory_bytes", "endpoint"}
	endpointTime        = slopeKey{"endpoints", "router", "announce_us", "endpoint"}
	gossipBytes         = slopeKey{"endpoints", "router", "pull_bytes", "endpoint"}
	accountMemory       = slopeKey{"budget_slopes", "router", "memory", "active budget"}
	bookMemory          = slopeKey{"budget_slopes", "keeper", "memory", "budget"}
	leaseMemory         = slopeKey{"budget_slopes", "keeper", "memory", "lease"}
	leaseCPU            = slopeKey{"budget_slopes", "keeper", "lease_processor", "lease"}
	chargeCPU           = slopeKey{"budget_slopes", "keeper", "charge_processor", "charge"}
	chargeRows          = slopeKey{"budget_slopes", "keeper", "charge_rows", "charge"}
	chargeMessage       = slopeKey{"budget_slopes", "router", "charge_message", "charge"}
	callCPU             = slopeKey{"calls", "any", "call_processor", "call, both sides"}
	callBytes           = slopeKey{"calls", "any", "call_bytes", "call, both ways"}
	followBytes         = slopeKey{"spread_cost", "keeper", "bytes both ways", "subscriber at 0 changes a second"}
	followCPU           = slopeKey{"spread_cost", "keeper and router", "processor time", "subscriber at 0 changes a second"}
	changingBytes       = slopeKey{"spread_cost", "keeper", "bytes both ways", "subscriber at 4 changes a second"}
	// unitSlope stands where a count alone gives the figure.
	unitSlope = slopeKey{"", "", "", ""}
)

func capacityLines() []line {
	return slices.Concat(routerLines(), pickerLines(), answerLines(), vaultLines(), logLines(), relayLines(), faultLines())
}

func routerLines() []line {
	c, bound := Letter, LetterBounds
	siblings := c.NodesPerZone() - 1
	const role = "Router (340, one a node)"
	return []line{
		{
			role, "memory of the configuration", "`configurer`: followed copy and compiled snapshot",
			[]term{{configurationMemory, c.Workspaces * collector, "42,000 workspaces, heap doubled by the collector"}},
			megabytes, bound.NodeBytes, WorkedOut,
			"a smaller form of a workspace in the snapshot, names interned, one copy instead of two; or a memory limit for the collector",
		},
		{
			role, "memory of endpoints", "`tracker`: own zone whole, 32 a service of every other zone",
			[]term{{endpointMemory, min(c.Endpoints, c.EndpointsPerZone()+c.Models*32*(c.Zones-1)) * collector, "endpoints known, at most all 4,100, heap doubled"}},
			megabytes, bound.NodeBytes, WorkedOut, "",
		},
		{
			role, "memory of budgets", "`treasurer`: accounts only for budgets with traffic here",
			[]term{{accountMemory, activePerNode() * collector, "at most one for each request of the last 30 s, heap doubled"}},
			megabytes, bound.NodeBytes, WorkedOut, "",
		},
		{
			role, "processor, changes", "`configurer`: every change compiles the whole snapshot anew",
			[]term{{configurationCPU, c.Workspaces * c.ChangesPerDay / secondsPerDay, "42,000 workspaces x 3,200 changes a day"}},
			core, bound.NodeCores, Measured, "compile only what the change touches",
		},
		{
			role, "time of one change", "the same; part of the 3 s until in force",
			[]term{{configurationCPU, c.Workspaces, "42,000 workspaces, all of it on one core"}},
			seconds, bound.InForceS, Measured, "compile only what the change touches",
		},
		{
			role, "processor, beats between siblings", "`router`: every router calls every other of its zone, 4 a second",
			[]term{{callCPU, 2 * siblings * beatsPerS * callSide, "17 siblings x 4 a second, one side of calls made and taken"}},
			core, bound.NodeCores, WorkedOut, "beat a few siblings in turn and let them pass it on",
		},
		{
			role, "network, beats between siblings", "the same",
			[]term{{callBytes, 2 * siblings * beatsPerS, "17 siblings x 4 a second, made and taken"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "one beat a second carried by the gossip's own calls, to a few siblings in turn: cost then does not grow with the zone",
		},
		{
			role, "network, gossip of endpoints", "`tracker`: pulls from every sibling, 2 a second, each what it has not heard",
			[]term{
				{callBytes, 2 * siblings * gossipPerS, "17 siblings x 2 a second, made and taken"},
				{gossipBytes, 2 * siblings * gossipPerS * c.EndpointsPerZone(), "at worst all 216 endpoints of the zone renewed in each pull"},
			},
			perSecond, bound.NodeBytesPerS, WorkedOut, "pull from two siblings in turn instead of all: the zone still hears in a few rounds",
		},
		{
			role, "processor, announcements", "`tracker`: each endpoint tells two routers, 2 a second; the rest by gossip",
			[]term{{endpointTime, c.Endpoints * announcePerS * announcedTo / c.Nodes * 1e-6, "4,100 endpoints x 2 a second x 2 routers / 340; us elapsed, both ends of the JSON"}},
			core, bound.NodeCores, WorkedOut, "",
		},
		{
			role, "network, charges", "`treasurer`: one call for the charges of a moment; here one a call",
			[]term{
				{callBytes, c.RequestsPerNode(), "5,700 requests a second / 340"},
				{chargeMessage, c.RequestsPerNode(), "the same"},
			},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
		{
			role, "processor, charges", "the same, one side of a call",
			[]term{{callCPU, c.RequestsPerNode() * callSide, "5,700 requests a second / 340"}},
			core, bound.NodeCores, WorkedOut, "",
		},
	}
}

func vaultLines() []line {
	c, bound := Letter, LetterBounds
	const role = "Keeper as vault of a zone (19)"
	active := activePerNode() * c.NodesPerZone()
	return []line{
		{
			role, "memory of books", "`budgeter`: books and leases in memory, charges and top-ups on disk",
			[]term{{bookMemory, c.Budgets * collector, "35,000 budgets, all present in every zone, heap doubled"}},
			megabytes, bound.NodeBytes, WorkedOut, "",
		},
		{
			role, "memory of leases", "the same; a lease for each active (budget, node)",
			[]term{{leaseMemory, active * collector, "at most one for each request of the last 30 s at 18 nodes, heap doubled"}},
			megabytes, bound.NodeBytes, WorkedOut, "keep idle leases on disk only, as charges are",
		},
		{
			role, "processor, charges", "`budgeter` steps, group commit in `keeper`",
			[]term{
				{chargeCPU, c.RequestsPerZone(), "300 charges a second"},
				{callCPU, c.RequestsPerZone() * callSide, "one call each, this side"},
			},
			core, bound.NodeCores, WorkedOut, "one stream a router in place of a call a charge: its proof is checked once",
		},
		{
			role, "network, charges from routers", "one call a charge at this rate: 17 a second and router leave nothing to gather",
			[]term{
				{callBytes, c.RequestsPerZone(), "300 a second"},
				{chargeMessage, c.RequestsPerZone(), "300 a second"},
			},
			perSecond, bound.NodeBytesPerS, WorkedOut, "one stream a router: the proof of a call is most of its bytes; and keepers on VMs that are set aside",
		},
		{
			role, "network, copy to the mirror", "`keeper`: rows of every commit to the next zone's keeper",
			[]term{{chargeRows, 2 * c.RequestsPerZone(), "300 charges a second, sent to one mirror and taken from another zone"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "smaller rows: the request's id hashed, names as numbers; the book's row once a commit and not once a charge",
		},
		{
			role, "disk written in a day", "`storer`: rows of charges, kept for the history",
			[]term{{chargeRows, c.RequestsPerZone() * secondsPerDay, "300 charges a second, peak all day"}},
			megabytes, 0, WorkedOut, "",
		},
		{
			role, "processor, leases", "`treasurer` asks for about 4 s of demand at a time",
			[]term{{leaseCPU, c.RequestsPerZone(), "at worst one a request: no budget returns within 4 s"}, {callCPU, c.RequestsPerZone() * callSide, "one call each, this side"}},
			core, bound.NodeCores, WorkedOut, "several leases in one call, and longer ones for quiet budgets",
		},
		{
			role, "network, leases", "the same",
			[]term{{callBytes, c.RequestsPerZone(), "at worst one a request"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "several leases in one call, and longer ones for quiet budgets",
		},
		{
			role, "network, questions whether routers live", "`keeper`: one call a router and second",
			[]term{{callBytes, c.NodesPerZone() * watchPerS, "18 routers"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
	}
}

func logLines() []line {
	c, bound := Letter, LetterBounds
	const role = "Keeper as voter of the configuration log"
	return []line{
		{
			role, "network, heartbeats of the leader", "`replicator`: to the other voters, 10 a second",
			[]term{{callBytes, (voters - 1) * appendsPerS, "4 other voters x 10 a second"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
		{
			role, "network, heartbeats if all 19 keepers voted (not in the sum)", "the same",
			[]term{{callBytes, (c.Zones - 1) * appendsPerS, "18 other voters x 10 a second"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "5 voters in 5 regions, the other keepers follow",
		},
		{
			role, "processor, heartbeats of the leader", "the same",
			[]term{{callCPU, (voters - 1) * appendsPerS * callSide, "4 other voters x 10 a second, this side"}},
			core, bound.NodeCores, WorkedOut, "",
		},
		{
			role, "network, changes", "deltas to every follower",
			[]term{{configurationUpdate, c.ChangesPerDay / secondsPerDay * (c.Zones - 1), "3,200 a day to 18 keepers"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
	}
}

func relayLines() []line {
	c, bound := Letter, LetterBounds
	const role = "Relay: the keeper of a zone, towards its routers"
	// A quarter of the growth from 0 to 4 changes a second is that of one.
	changes := c.ChangesPerDay / secondsPerDay / 4 * c.NodesPerZone()
	return []line{
		{
			role, "network at rest", "`keeper`: one stream a router, a heartbeat each half second, reports",
			[]term{{followBytes, c.NodesPerZone(), "18 routers"}},
			perSecond, bound.NodeBytesPerS, Measured, "",
		},
		{
			role, "network, changes", "`keeper` pushes deltas on the same streams; routers report the version in force",
			[]term{{changingBytes, changes, "3,200 a day x 18 routers, of the cost at 4 a second"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
		{
			role, "processor at rest", "the same, keeper and routers together",
			[]term{{followCPU, c.NodesPerZone() * 1e-3, "18 routers; ms"}},
			core, bound.NodeCores, Measured, "",
		},
		{
			role, "network, whole copies after restarts", "a restarted router takes the whole configuration once",
			[]term{{configurationWhole, c.Workspaces * c.RestartsPerDay / secondsPerDay / c.Zones, "42,000 workspaces x 820 restarts a day / 19 zones"}},
			perSecond, bound.NodeBytesPerS, WorkedOut, "",
		},
	}
}

func faultLines() []line {
	c := Letter
	const role = "Faults of an ordinary day"
	tokensPerNode := c.TokensPerS / c.Nodes
	keepersLost := c.VMFailuresPerDay * c.Zones / c.Nodes
	return []line{
		{
			role, "configuration sent after 820 restarts", "a whole copy each, from the keeper of the zone",
			[]term{{configurationWhole, c.Workspaces * c.RestartsPerDay, "42,000 workspaces x 820"}},
			megabytes, 0, WorkedOut, "",
		},
		{
			role, "compiling after a restart", "`configurer`, once, before the router is ready",
			[]term{{configurationCPU, c.Workspaces, "42,000 workspaces"}},
			seconds, 0, Measured, "",
		},
		{
			role, "rights out of use after one router's death", "`treasurer`: a lease lasts about 4 s; fenced after 10 s of silence",
			[]term{{unitSlope, tokensPerNode * horizonS, "2.3M tokens a second / 340 x 4 s; for 10 s and the fence"}},
			tokens, 0, WorkedOut, "",
		},
		{
			role, "the same for 47 failures and 820 restarts a day, times seconds", "a graceful restart returns its rights; here none does",
			[]term{{unitSlope, tokensPerNode * horizonS * fencedAfterS * (c.VMFailuresPerDay + c.RestartsPerDay), "27,000 tokens x 10 s x 867"}},
			quantity{"token-seconds", 1},
			0, WorkedOut, "",
		},
		{
			role, "keepers' disks lost", "`keeper` restores its vault from the mirror's copy",
			[]term{{unitSlope, keepersLost, "47 x 19 keepers / 340 VMs"}},
			quantity{"a day", 1},
			0, WorkedOut, "",
		},
		{
			role, "rows to copy for one such repair", "the whole copy, charges of all days included",
			[]term{{chargeRows, c.RequestsPerZone() * secondsPerDay, "300 charges a second for each day kept"}},
			megabytes, 0, WorkedOut, "",
		},
	}
}
