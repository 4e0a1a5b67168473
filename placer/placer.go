// Package placer decides which rights a zone gives to others ahead of need.
// Placers are plug-ins that register themselves under a name. They choose
// where rights lie, never whether the prepaid bound holds.
package placer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/registrar"
)

// View is what one zone knows of one workspace's rights.
type View struct {
	// Zone is the zone that plans; it can give only its own rights.
	Zone string
	// Unspent is what the zone holds and has not leased.
	Unspent rattanhoist.Tokens
	// Demand holds tokens a second by zone.
	Demand map[string]float64
	// Shares holds the unleased rights of every zone as last heard, transfers
	// under way to it included; without those a zone would be served twice.
	Shares map[string]rattanhoist.Tokens
	// Age says how old a zone's share and demand are.
	Age map[string]time.Duration
}

// Move gives rights to another zone.
type Move struct {
	Zone   string
	Tokens rattanhoist.Tokens
}

// Placer plans moves; it is pure and safe for concurrent use.
type Placer interface {
	// Plan returns moves that together never exceed the view's Unspent.
	Plan(v View) []Move
}

// Default is the placer for names that are not registered.
const Default = "demand"

// MaxAge is the age from which a zone counts as cut off: rights sent to it
// would be out of everyone's reach until the heal.
const MaxAge = 3 * time.Second

var registry = registrar.New[Placer](Default)

// Register adds a plug-in under a name and returns the name, so that it can
// be called from a package-level value.
func Register(name string, p Placer) string { return registry.Register(name, p) }

// New returns a placer by name, or the default one and false.
func New(name string) (Placer, bool) { return registry.Lookup(name) }

// Names lists the registered plug-ins in order.
func Names() []string { return registry.Names() }
