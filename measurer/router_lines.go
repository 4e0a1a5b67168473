package measurer

const routerRole = "Router (340, one a node)"

// routerMemoryLines are what a router holds.
func routerMemoryLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			routerRole, "memory of the configuration", "`configurer`: one small form of a workspace, shared by the followed copy and the snapshots; labels that many workspaces have are held once",
			[]term{{configurationMemory, c.Workspaces * collector, "42,000 workspaces, heap doubled by the collector"}},
			megabytes, bound.NodeBytes, workedOut, "a memory limit for the collector",
		},
		{
			routerRole, "the same if no two workspaces had equal labels (not in the sum)", "the same",
			[]term{{ownLabelsMemory, c.Workspaces * collector, "42,000 workspaces, heap doubled by the collector"}},
			megabytes, bound.NodeBytes, workedOut, "each label held once in place of each set",
		},
		{
			routerRole, "memory of endpoints", "`tracker`: own zone whole, 32 a service of every other zone",
			[]term{{endpointMemory, min(c.Endpoints, c.EndpointsPerZone()+c.Models*32*(c.Zones-1)) * collector, "endpoints known, at most all 4,100, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "",
		},
		{
			routerRole, "memory of budgets", "`treasurer`: accounts only for budgets with traffic here",
			[]term{{accountMemory, activePerNode() * collector, "at most one for each request of the last 30 s, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "",
		},
	}
}

// routerChangeLines are the cost of changes of the configuration.
func routerChangeLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			routerRole, "processor, changes", "`configurer`: a change copies the list of shards and the shards that it touches",
			[]term{{configurationCPU, c.Workspaces * c.ChangesPerDay / secondsPerDay, "42,000 workspaces x 3,200 changes a day"}},
			core, bound.NodeCores, measured, "shards in a tree, so that a change copies a path",
		},
		{
			routerRole, "time of one change", "the same; part of the 3 s until in force",
			[]term{{configurationCPU, c.Workspaces, "42,000 workspaces, all of it on one core"}},
			seconds, bound.InForceS, measured, "shards in a tree, so that a change copies a path",
		},
	}
}

// siblingLines are the cost of the other routers of the zone.
func siblingLines() []line {
	c, bound := Letter, LetterBounds
	siblings := c.NodesPerZone() - 1
	return []line{
		{
			routerRole, "processor, beats between siblings", "`router`: every router calls every other of its zone, 4 a second",
			[]term{{callCPU, 2 * siblings * beatsPerS * callSide, "17 siblings x 4 a second, one side of calls made and taken"}},
			core, bound.NodeCores, workedOut, "one stream to each sibling in place of a call a beat",
		},
		{
			routerRole, "network, beats between siblings", "the same",
			[]term{{callBytes, 2 * siblings * beatsPerS, "17 siblings x 4 a second, made and taken"}},
			perSecond, bound.NodeBytesPerS, workedOut, "one stream to each sibling in place of a call a beat",
		},
		{
			routerRole, "processor, gossip of endpoints", "`tracker`: pulls from two siblings in turn in each half second",
			[]term{
				{callCPU, 2 * pullsPerS * callSide, "4 a second, one side of calls made and taken"},
				{gossipTime, 2 * pullsPerS * callSide * c.EndpointsPerZone() * 1e-6, "at worst all 216 endpoints of the zone in each; us elapsed"},
			},
			core, bound.NodeCores, workedOut, "",
		},
		{
			routerRole, "network, gossip of endpoints", "the same; renewals that the puller needs not yet left out",
			[]term{
				{callBytes, 2 * pullsPerS, "4 a second, made and taken"},
				{turnBytes, 2 * pullsPerS * c.EndpointsPerZone(), "216 endpoints of the zone, as many of them in each pull as in the simulated zone"},
			},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
		{
			routerRole, "network, endpoints of other zones", "`tracker`: each other zone pulled by one router, which passes on what it hears",
			[]term{
				{callBytes, 2 * roundsPerS * (c.Zones - 1) / c.NodesPerZone(), "18 zones / 18 routers x 2 a second, made and taken"},
				{gossipBytes, 2 * roundsPerS * (c.Zones - 1) / c.NodesPerZone() * c.EndpointsPerZone(), "at worst all 216 endpoints of that zone"},
				{turnBytes, 2 * pullsPerS * (c.Endpoints - c.EndpointsPerZone()), "3,884 endpoints passed on with the pulls between siblings"},
			},
			perSecond, bound.NodeBytesPerS, workedOut, "know a sample of other zones' endpoints, or ask for them only where the own zone serves nothing",
		},
	}
}

// routerTrafficLines are the cost of endpoints and of requests.
func routerTrafficLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			routerRole, "processor, announcements", "`tracker`: each endpoint tells two routers, 2 a second; the rest by gossip",
			[]term{{endpointTime, c.Endpoints * announcePerS * announcedTo / c.Nodes * 1e-6, "4,100 endpoints x 2 a second x 2 routers / 340; us elapsed, both ends of the JSON"}},
			core, bound.NodeCores, workedOut, "",
		},
		{
			routerRole, "network, charges", "`treasurer`: one stream to the keeper, one message for the charges of a moment; here one each",
			[]term{{spendChargeBytes, c.RequestsPerNode(), "5,700 requests a second / 340"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
		{
			routerRole, "processor, charges", "the same, one side",
			[]term{{spendChargeCPU, c.RequestsPerNode() * callSide, "5,700 requests a second / 340"}},
			core, bound.NodeCores, workedOut, "",
		},
	}
}
