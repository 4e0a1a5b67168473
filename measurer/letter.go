package measurer

import (
	"time"

	"rattanhoist.example/rattanhoist/loader"
)

// Counts are the sizes that the page on capacity is worked out for.
type Counts struct {
	Nodes            float64
	Zones            float64
	Regions          float64
	Endpoints        float64
	Budgets          float64
	Workspaces       float64
	Models           float64
	RequestsPerS     float64
	TokensPerS       float64
	ChangesPerDay    float64
	VMFailuresPerDay float64
	RestartsPerDay   float64
}

// Bounds are what control may cost.
type Bounds struct {
	// NodeCores is the processor time of one node, in cores.
	NodeCores float64
	// NodeBytes is the memory of one node.
	NodeBytes float64
	// NodeBytesPerS is the network of one node.
	NodeBytesPerS float64
	// VMsAside is how many VMs may serve control alone.
	VMsAside float64
	// InForceS is the time until a change is in force everywhere.
	InForceS float64
}

// Letter holds the counts that the users expect within two years.
var Letter = Counts{
	Nodes: 340, Zones: 19, Regions: 7, Endpoints: 4100, Budgets: 35_000, Workspaces: 42_000, Models: 15,
	RequestsPerS: 5700, TokensPerS: 2_300_000, ChangesPerDay: 3200, VMFailuresPerDay: 47, RestartsPerDay: 820,
}

// LetterBounds holds what the users allow for control.
var LetterBounds = Bounds{NodeCores: 0.033, NodeBytes: 64e6, NodeBytesPerS: 23e3, VMsAside: 8, InForceS: 3}

const secondsPerDay = 86_400

// keptChargesS is how long charges are kept by default, in seconds.
const keptChargesS = float64(loader.DefaultKeepCharges / time.Second)

// NodesPerZone is the average number of routers in a zone.
func (c Counts) NodesPerZone() float64 { return c.Nodes / c.Zones }

// EndpointsPerZone is the average number of endpoints in a zone.
func (c Counts) EndpointsPerZone() float64 { return c.Endpoints / c.Zones }

// RequestsPerNode is the average number of requests a second at a router.
func (c Counts) RequestsPerNode() float64 { return c.RequestsPerS / c.Nodes }

// RequestsPerZone is the average number of requests a second in a zone.
func (c Counts) RequestsPerZone() float64 { return c.RequestsPerS / c.Zones }
