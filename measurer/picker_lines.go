package measurer

// Slopes of picking.
var (
	pickRecordMemory = slopeKey{"picker_slopes", "router", "record_memory", "endpoint"}
	pickTableMemory  = slopeKey{"picker_slopes", "router", "table_memory", "endpoint and group of statements"}
	pickRefreshCPU   = slopeKey{"picker_slopes", "router", "refresh_processor", "endpoint"}
)

const (
	// statementGroups is how many groups of workspaces with the same
	// statements each service is thought to have.
	statementGroups = 10
	// prefixTable is the fixed table of prefixes, in bytes.
	prefixTable = 512 << 10
)

func pickerLines() []line {
	c, bound := Letter, LetterBounds
	return []line{
		{
			routerRole, "memory of picking", "`picker`: a record an endpoint, a table a service and group of statements, a fixed table of prefixes",
			[]term{
				{pickRecordMemory, c.Endpoints * collector, "at most all 4,100 endpoints, heap doubled"},
				{pickTableMemory, c.Endpoints * statementGroups * collector, "4,100 endpoints in the tables of 10 groups each, heap doubled"},
				{unitSlope, prefixTable * collector, "32,768 prefixes of 16 B, heap doubled"},
			},
			megabytes, bound.NodeBytes, workedOut, "",
		},
		{
			routerRole, "processor, load reports for picking", "`picker`: a request notes its service's new reports, at most every 50 ms",
			[]term{{pickRefreshCPU, c.RequestsPerNode() * c.Endpoints / c.Models, "5,700 requests a second / 340, each at worst all endpoints of one of 15 models"}},
			core, bound.NodeCores, workedOut, "",
		},
	}
}
