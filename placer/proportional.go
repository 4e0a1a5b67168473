package placer

import (
	"math"
	"slices"

	"rattanhoist.example/rattanhoist"
)

// Names of the registered placers.
var (
	// Fixed splits the rights equally and ignores demand. It is the baseline
	// that the others are compared with.
	Fixed = Register("fixed", proportional{reserve: 1, deadBand: 0.02})
	// Demand distributes rights by demand and keeps a reserve in every zone.
	// The reserve is large because demand moves between zones within the hour
	// that a network partition lasts; docs/design/spending.md has the figures.
	Demand = Register("demand", proportional{reserve: 0.45, deadBand: 0.05})
	// FalseRefusals keeps larger reserves and transfers rights sooner. It is for
	// users who accept more transfers to have fewer requests refused during a
	// network partition.
	FalseRefusals = Register("false_refusals", proportional{reserve: 0.6, deadBand: 0.03})
	// Overspend transfers rights rarely. It is for users whose accounts must be
	// simple to reconcile: few rights are in flight at any time.
	Overspend = Register("overspend", proportional{reserve: 0.3, deadBand: 0.2})
)

// proportional splits a part of the rights equally between the zones and
// distributes the rest in proportion to demand.
type proportional struct {
	// reserve is the fraction of the rights that is split equally, 0 to 1.
	reserve float64
	// deadBand is the fraction of all rights by which a zone must differ from
	// its target before rights are transferred. Without it, noise in demand
	// would move rights back and forth.
	deadBand float64
}

// Plan implements Placer. Every zone with a surplus computes the same targets
// from the same shares and fills only its own portion of each deficit, so that
// two zones do not fill one deficit twice.
func (p proportional) Plan(v View) []Move {
	zones := reachable(v)
	if len(zones) < 2 || v.Unspent <= 0 {
		return nil
	}
	total, demand := totals(v, zones)
	band := total * p.deadBand
	off := map[string]float64{}
	var surplus float64
	for _, z := range zones {
		off[z] = unleased(v, z) - p.target(v, z, total, demand, len(zones))
		surplus += max(off[z], 0)
	}
	if off[v.Zone] <= band {
		return nil
	}
	part := off[v.Zone] / surplus
	return movesToDeficits(zones, off, band, part)
}

// target returns the number of rights that a zone should hold, out of total.
func (p proportional) target(v View, zone string, total, demand float64, zones int) float64 {
	equal := 1 / float64(zones)
	if demand == 0 {
		return total * equal
	}
	return total * (p.reserve*equal + (1-p.reserve)*v.Demand[zone]/demand)
}

// movesToDeficits returns the moves that fill a fraction (part) of each deficit
// larger than the dead band. off maps zones to their rights minus their target.
func movesToDeficits(zones []string, off map[string]float64, band, part float64) []Move {
	var out []Move
	for _, z := range zones {
		if n := rattanhoist.Tokens(math.Floor(-off[z] * part)); off[z] < -band && n > 0 {
			out = append(out, Move{Zone: z, Tokens: n})
		}
	}
	return out
}

// reachable returns the planning zone and all zones whose last report is newer
// than MaxAge, sorted by name.
func reachable(v View) []string {
	zones := []string{v.Zone}
	for z := range v.Shares {
		if age, known := v.Age[z]; z != v.Zone && known && age < MaxAge {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	return zones
}

// unleased returns the unleased rights of a zone, at least 0 for other zones.
func unleased(v View, zone string) float64 {
	if zone == v.Zone {
		return float64(v.Unspent)
	}
	return float64(max(v.Shares[zone], 0))
}

// totals returns the sums of the unleased rights and the demand of the zones.
func totals(v View, zones []string) (total, demand float64) {
	for _, z := range zones {
		total += unleased(v, z)
		demand += v.Demand[z]
	}
	return total, demand
}
