package measurer

import (
	"slices"
	"time"

	"rattanhoist.example/rattanhoist/router"
	"rattanhoist.example/rattanhoist/tracker"
)

// Periods of the product's messages, in calls a second.
const (
	beatsPerS = float64(time.Second / router.HeartbeatInterval)
	// roundsPerS are rounds of pulls, pullsPerS a router's pulls from siblings.
	roundsPerS   = float64(time.Second / tracker.PullInterval)
	pullsPerS    = roundsPerS * tracker.DefaultSiblingsPerRound
	watchPerS    = 1
	announcePerS = float64(time.Second / router.RenewInterval)
	appendsPerS  = 10
	// commitsPerS is one each 5 ms, the most that a keeper makes.
	commitsPerS = 200
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
	horizonS   = 30
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
	configurationLoad   = slopeKey{"configuration", "router", "processor_after_restart", "workspace"}
	ownLabelsMemory     = slopeKey{"configuration", "router", "own_labels_memory", "workspace"}
	configurationUpdate = slopeKey{"configuration", "router", "update_bytes", "change"}
	configurationWhole  = slopeKey{"configuration", "router", "whole_copy_bytes", "workspace"}
	endpointMemory      = slopeKey{"endpoints", "router", "memory_bytes", "endpoint"}
	endpointTime        = slopeKey{"endpoints", "router", "announce_us", "endpoint"}
	gossipBytes         = slopeKey{"endpoints", "router", "pull_bytes", "endpoint"}
	gossipTime          = slopeKey{"endpoints", "router", "pull_us", "endpoint"}
	turnBytes           = slopeKey{"endpoints", "router", "turn_pull_bytes", "endpoint"}
	accountMemory       = slopeKey{"budget_slopes", "router", "memory", "active budget"}
	bookMemory          = slopeKey{"budget_slopes", "keeper", "memory", "budget"}
	leaseMemory         = slopeKey{"budget_slopes", "keeper", "memory", "lease"}
	leaseCPU            = slopeKey{"budget_slopes", "keeper", "lease_processor", "lease"}
	chargeCPU           = slopeKey{"budget_slopes", "keeper", "charge_processor", "charge"}
	chargeRows          = slopeKey{"budget_slopes", "keeper", "charge_rows", "charge"}
	spendChargeCPU      = slopeKey{"spends", "keeper and router", "processor", "charge on the stream"}
	spendChargeBytes    = slopeKey{"spends", "keeper and router", "bytes", "charge on the stream"}
	spendLeaseCPU       = slopeKey{"spends", "keeper and router", "processor", "lease on the stream"}
	spendLeaseBytes     = slopeKey{"spends", "keeper and router", "bytes", "lease on the stream"}
	callCPU             = slopeKey{"calls", "any", "call_processor", "call, both sides"}
	callBytes           = slopeKey{"calls", "any", "call_bytes", "call, both ways"}
	followBytes         = slopeKey{"spread_cost", "keeper", "bytes both ways", "subscriber at 0 changes a second"}
	followCPU           = slopeKey{"spread_cost", "keeper and router", "processor time", "subscriber at 0 changes a second"}
	changingBytes       = slopeKey{"spread_cost", "keeper", "bytes both ways", "subscriber at 4 changes a second"}
	commitBytes         = slopeKey{"commits", "keeper and mirror", "bytes", "commit of 2 charges and 4 leases, packed"}
	commitCPU           = slopeKey{"commits", "keeper and mirror", "processor", "commit of 2 charges and 4 leases, packed"}
	// unitSlope stands where a count alone gives the figure.
	unitSlope = slopeKey{"", "", "", ""}
)

func capacityLines() []line {
	return slices.Concat(
		routerMemoryLines(), routerChangeLines(), siblingLines(), routerTrafficLines(),
		pickerLines(), answerLines(),
		vaultMemoryLines(), vaultChargeLines(), vaultMirrorLines(), vaultLeaseLines(), logLines(), relayLines(), faultLines(),
	)
}

func logLines() []line {
	c, bound := Letter, LetterBounds
	const role = "Keeper as voter of the configuration log"
	return []line{
		{
			role, "network, heartbeats of the leader", "`replicator`: to the other voters, 10 a second",
			[]term{{callBytes, (voters - 1) * appendsPerS, "4 other voters x 10 a second"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
		{
			role, "network, heartbeats if all 19 keepers voted (not in the sum)", "the same",
			[]term{{callBytes, (c.Zones - 1) * appendsPerS, "18 other voters x 10 a second"}},
			perSecond, bound.NodeBytesPerS, workedOut, "5 voters in 5 regions, the other keepers follow",
		},
		{
			role, "processor, heartbeats of the leader", "the same",
			[]term{{callCPU, (voters - 1) * appendsPerS * callSide, "4 other voters x 10 a second, this side"}},
			core, bound.NodeCores, workedOut, "",
		},
		{
			role, "network, changes", "deltas to every follower",
			[]term{{configurationUpdate, c.ChangesPerDay / secondsPerDay * (c.Zones - 1), "3,200 a day to 18 keepers"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
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
			perSecond, bound.NodeBytesPerS, measured, "",
		},
		{
			role, "network, changes", "`keeper` pushes deltas on the same streams; routers report the version in force",
			[]term{{changingBytes, changes, "3,200 a day x 18 routers, of the cost at 4 a second"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
		{
			role, "processor at rest", "the same, keeper and routers together",
			[]term{{followCPU, c.NodesPerZone() * 1e-3, "18 routers; ms"}},
			core, bound.NodeCores, measured, "",
		},
		{
			role, "network, whole copies after restarts", "a restarted router takes the whole configuration once",
			[]term{{configurationWhole, c.Workspaces * c.RestartsPerDay / secondsPerDay / c.Zones, "42,000 workspaces x 820 restarts a day / 19 zones"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
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
			megabytes, 0, workedOut, "",
		},
		{
			role, "compiling after a restart", "`configurer`, once, before the router is ready; the collector included",
			[]term{{configurationLoad, c.Workspaces, "42,000 workspaces"}},
			seconds, 0, measured, "",
		},
		{
			role, "rights out of use after one router's death", "`treasurer`: a lease lasts about 30 s; fenced after 10 s of silence",
			[]term{{unitSlope, tokensPerNode * horizonS, "2.3M tokens a second / 340 x 30 s; for 10 s and the fence"}},
			tokens, 0, workedOut, "",
		},
		{
			role, "the same for 47 failures and 820 restarts a day, times seconds", "a graceful restart returns its rights; here none does",
			[]term{{unitSlope, tokensPerNode * horizonS * fencedAfterS * (c.VMFailuresPerDay + c.RestartsPerDay), "203,000 tokens x 10 s x 867"}},
			quantity{"token-seconds", 1},
			0, workedOut, "",
		},
		{
			role, "keepers' disks lost", "`keeper` restores its vault from the mirror's copy",
			[]term{{unitSlope, keepersLost, "47 x 19 keepers / 340 VMs"}},
			quantity{"a day", 1},
			0, workedOut, "",
		},
		{
			role, "rows to copy for one such repair", "the whole copy, charges of keep_charges included",
			[]term{{chargeRows, c.RequestsPerZone() * keptChargesS, "300 charges a second for the 12 h that they are kept by default"}},
			megabytes, 0, workedOut, "",
		},
	}
}
