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
			vaultRole, "processor, charges", "`budgeter` steps, group commit in `keeper`",
			[]term{
				{chargeCPU, c.RequestsPerZone(), "300 charges a second"},
				{callCPU, c.RequestsPerZone() * callSide, "one call each, this side"},
			},
			core, bound.NodeCores, workedOut, "one stream a router in place of a call a charge: its proof is checked once",
		},
		{
			vaultRole, "network, charges from routers", "one call a charge at this rate: 17 a second and router leave nothing to gather",
			[]term{
				{callBytes, c.RequestsPerZone(), "300 a second"},
				{chargeMessage, c.RequestsPerZone(), "300 a second"},
			},
			perSecond, bound.NodeBytesPerS, workedOut, "one stream a router: the proof of a call is most of its bytes; and keepers on VMs that are set aside",
		},
		{
			vaultRole, "network, copy to the mirror", "`keeper`: rows of every commit to the next zone's keeper",
			[]term{{chargeRows, 2 * c.RequestsPerZone(), "300 charges a second, sent to one mirror and taken from another zone"}},
			perSecond, bound.NodeBytesPerS, workedOut, "smaller rows: the request's id hashed, names as numbers; the book's row once a commit and not once a charge",
		},
		{
			vaultRole, "disk written in a day", "`storer`: rows of charges, kept for the history",
			[]term{{chargeRows, c.RequestsPerZone() * secondsPerDay, "300 charges a second, peak all day"}},
			megabytes, 0, workedOut, "",
		},
	}
}

// vaultLeaseLines are the cost of leases, and of watching who holds them.
func vaultLeaseLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			vaultRole, "processor, leases", "`treasurer` asks for about 4 s of demand at a time",
			[]term{{leaseCPU, c.RequestsPerZone(), "at worst one a request: no budget returns within 4 s"}, {callCPU, c.RequestsPerZone() * callSide, "one call each, this side"}},
			core, bound.NodeCores, workedOut, "several leases in one call, and longer ones for quiet budgets",
		},
		{
			vaultRole, "network, leases", "the same",
			[]term{{callBytes, c.RequestsPerZone(), "at worst one a request"}},
			perSecond, bound.NodeBytesPerS, workedOut, "several leases in one call, and longer ones for quiet budgets",
		},
		{
			vaultRole, "network, questions whether routers live", "`keeper`: one call a router and second",
			[]term{{callBytes, c.NodesPerZone() * watchPerS, "18 routers"}},
			perSecond, bound.NodeBytesPerS, workedOut, "",
		},
	}
}
