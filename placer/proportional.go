package placer

import (
	"math"
	"slices"

	"rattanhoist.example/rattanhoist"
)

// Names of the placers.
var (
	// Fixed splits the rights equally and ignores demand; the baseline.
	Fixed = Register("fixed", proportional{reserve: 1, band: 0.02})
	// Demand follows demand and keeps a reserve in every zone. The reserve is
	// large since demand moves between zones within the hour that a cut lasts;
	// docs/design/spending.md has the figures.
	Demand = Register("demand", proportional{reserve: 0.45, band: 0.05})
	// FalseRefusals keeps larger reserves and moves sooner, for users who would
	// rather pay for more transfers than refuse during a cut.
	FalseRefusals = Register("false_refusals", proportional{reserve: 0.6, band: 0.03})
	// Overspend moves rarely, for users whose books must be simple to balance:
	// few rights are under way at any time.
	Overspend = Register("overspend", proportional{reserve: 0.3, band: 0.2})
)

// proportional shares the rights out by demand, after an equal reserve.
type proportional struct {
	// Reserve is the part of the rights that is split equally, 0 to 1.
	reserve float64
	// Band is the part of the rights by which a zone must be off its target
	// before rights move; it keeps noise in demand from moving them to and
	// fro.
	band float64
}

// Plan implements Placer. Every zone that gives computes the same targets
// from the same shares and fills its own part of each deficit, so that two
// givers do not fill one deficit twice.
func (p proportional) Plan(v View) []Move {
	zones := reachable(v)
	if len(zones) < 2 || v.Unspent <= 0 {
		return nil
	}
	total, demand := sums(v, zones)
	band := total * p.band
	off := map[string]float64{}
	var surplus float64
	for _, z := range zones {
		off[z] = share(v, z) - p.target(v, z, total, demand, len(zones))
		surplus += max(off[z], 0)
	}
	if off[v.Zone] <= band {
		return nil
	}
	part := off[v.Zone] / surplus
	return moves(zones, off, band, part)
}

func (p proportional) target(v View, zone string, total, demand float64, zones int) float64 {
	equal := 1 / float64(zones)
	if demand == 0 {
		return total * equal
	}
	return total * (p.reserve*equal + (1-p.reserve)*v.Demand[zone]/demand)
}

func moves(zones []string, off map[string]float64, band, part float64) []Move {
	var out []Move
	for _, z := range zones {
		if n := rattanhoist.Tokens(math.Floor(-off[z] * part)); off[z] < -band && n > 0 {
			out = append(out, Move{Zone: z, Tokens: n})
		}
	}
	return out
}

// reachable returns, in order, the planning zone and the zones whose share is
// fresh.
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

func share(v View, zone string) float64 {
	if zone == v.Zone {
		return float64(v.Unspent)
	}
	return float64(max(v.Shares[zone], 0))
}

func sums(v View, zones []string) (total, demand float64) {
	for _, z := range zones {
		total += share(v, z)
		demand += v.Demand[z]
	}
	return total, demand
}
