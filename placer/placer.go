// Package placer plans which spending rights a zone transfers to other zones
// before they run out. Placers are plug-ins that register themselves under a
// name. They decide only how rights are distributed between zones; the limit on
// total spending (the prepaid amount) is enforced elsewhere.
package placer

import (
	"time"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/registrar"
)

// View is one zone's knowledge of the rights and the demand of one workspace.
type View struct {
	// Zone is the planning zone; it can transfer only its own rights.
	Zone string
	// Unspent is the number of rights that the zone holds and has not leased to
	// routers.
	Unspent rattanhoist.Tokens
	// Demand is the demand of each zone, in tokens per second.
	Demand map[string]float64
	// Shares holds the last reported unleased rights of every zone. Transfers
	// in flight to a zone count as its own; otherwise its deficit would be
	// filled twice.
	Shares map[string]rattanhoist.Tokens
	// Age is the time since a zone's share and demand were reported.
	Age map[string]time.Duration
}

// Move is a planned transfer of rights to another zone.
type Move struct {
	Zone   string
	Tokens rattanhoist.Tokens
}

// Placer plans transfers of rights. Implementations are pure functions and safe
// for concurrent use.
type Placer interface {
	// Plan returns moves whose sum never exceeds the view's Unspent.
	Plan(v View) []Move
}

// Default is the name of the placer that replaces unregistered names.
const Default = "demand"

// MaxAge is the age of a report from which its zone counts as unreachable.
// Rights sent to an unreachable zone can't be spent by any zone until the
// network partition ends.
const MaxAge = 3 * time.Second

var registry = registrar.New[Placer](Default)

// Register adds a placer under a name and returns the name, so that it can
// initialize a package-level variable.
func Register(name string, p Placer) string { return registry.Register(name, p) }

// New returns the placer with a name, or the default placer and false if the
// name is not registered.
func New(name string) (Placer, bool) { return registry.Lookup(name) }

// Names returns the sorted names of the registered placers.
func Names() []string { return registry.Names() }
