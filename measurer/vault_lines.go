package measurer

const vaultRole = "Keeper as vault of a zone (19)"

// vaultMemoryLines are what a vault holds.
func vaultMemoryLines() []line {
	c, bound := Letter, LetterBounds
	active := activePerNode() * c.NodesPerZone()
	return []line{
		{
			vaultRole, "memory of books", "`budgeter`: books and leases in memory, charges and top-ups on disk",
			[]term{{bookMemory, c.Budgets * collector, "35,000 budgets, all present in every zone, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "",
		},
		{
			vaultRole, "memory of leases", "the same; a lease for each active (budget, node)",
			[]term{{leaseMemory, active * collector, "at most one for each request of the last 30 s at 18 nodes, heap doubled"}},
			megabytes, bound.NodeBytes, workedOut, "keep idle leases on disk only, as charges are",
		},
	}
}

// vaultChargeLines are the cost of charges.
func vaultChargeLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			vaultRole, "processor, charges", "`budgeter` steps, group commit in `keeper`, one stream a router",
			[]term{
				{chargeCPU, c.RequestsPerZone(), "300 charges a second"},
				{spendChargeCPU, c.RequestsPerZone() * callSide, "one message each at 17 a second and router, this side"},
			},
			core, bound.NodeCores, workedOut, "charges of a few milliseconds in one message",
		},
		{
			vaultRole, "network, charges from routers", "one stream a router, its proof checked once; 17 a second and router leave nothing to gather",
			[]term{{spendChargeBytes, c.RequestsPerZone(), "300 a second, frames and answers included"}},
			perSecond, bound.NodeBytesPerS, workedOut, "names sent once a stream and then as numbers",
		},
		{
			vaultRole, "disk for charges", "`storer`: rows of charges, pruned after keep_charges",
			[]term{{chargeRows, c.RequestsPerZone() * keptChargesS, "300 charges a second for 12 h, the default, peak all day"}},
			megabytes, 0, workedOut, "",
		},
	}
}

// vaultMirrorLines are the cost of commits on their way to the mirror.
func vaultMirrorLines() []line {
	bound := LetterBounds
	return []line{
		{
			vaultRole, "network, commits to the mirror", "`keeper`: rows of every commit, packed, in a call to the next zone's keeper; a commit each 5 ms at most",
			[]term{{commitBytes, 2 * commitsPerS, "200 commits a second of 2 charges, 2 leases and 2 returns; sent to one mirror and taken from another zone"}},
			perSecond, bound.NodeBytesPerS, workedOut, "one stream to the mirror; rows without what their key says; fewer leases",
		},
		{
			vaultRole, "processor, commits to the mirror", "the same: calls made and taken, beside the sync",
			[]term{{commitCPU, 2 * commitsPerS * callSide, "200 commits a second, one side of those sent and of those taken"}},
			core, bound.NodeCores, workedOut, "a commit each 10 ms, for 5 ms more at each charge; one stream to the mirror",
		},
	}
}

// vaultLeaseLines are the cost of leases, and of watching who holds them.
func vaultLeaseLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			vaultRole, "processor, leases and returns", "`treasurer` asks for 30 s of demand at a time, and gives back what 30 s did not use; on the same stream",
			[]term{
				{leaseCPU, 2 * c.RequestsPerZone(), "at worst one of each a request: no budget comes again within 30 s"},
				{spendLeaseCPU, 2 * c.RequestsPerZone() * callSide, "one message each, this side"},
			},
			core, bound.NodeCores, workedOut, "quiet budgets keep their lease for minutes; several leases in one message",
		},
		{
			vaultRole, "network, leases and returns", "the same",
			[]term{{spendLeaseBytes, 2 * c.RequestsPerZone(), "at worst one of each a request; a return taken for a lease"}},
			perSecond, bound.NodeBytesPerS, workedOut, "quiet budgets keep their lease for minutes; several leases in one message",
		},
		{
			vaultRole, "network, questions whether routers live", "`keeper`: one call a router and second",
			[]term{{callBytes, c.NodesPerZone() * watchPerS, "18 routers"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
	}
}
