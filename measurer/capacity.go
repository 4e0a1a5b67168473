package measurer

import (
	"encoding/json"
	"fmt"
	"io"
)

// lineState says how far a line of the page on capacity can be trusted.
type lineState string

// States of lines.
const (
	// measured: the slope and what multiplies it are the product's own.
	measured lineState = "measured slope"
	// workedOut: a measured slope times counts that follow from the design.
	workedOut lineState = "worked out"
)

// slopeKey names a slope in a report.
type slopeKey struct{ experiment, role, metric, per string }

// term is a measured slope times a count.
type term struct {
	slope slopeKey
	count float64
	// Why tells what the count is made of.
	why string
}

// quantity is a unit that lines are shown in.
type quantity struct {
	unit   string
	factor float64
}

var (
	megabytes = quantity{"MB", 1e-6}
	perSecond = quantity{"KB/s", 1e-3}
	core      = quantity{"% of a core", 100}
	seconds   = quantity{"s", 1}
	tokens    = quantity{"tokens", 1}
)

// line is one figure of the page.
type line struct {
	role, what, mechanism string
	terms                 []term
	unit                  quantity
	// Bound is 0 where the users give none.
	bound float64
	state lineState
	// Mend says what would keep the bound where it is broken.
	mend string
}

// ReadReport reads what WriteJSON wrote.
func ReadReport(r io.Reader) (*Report, error) {
	out := &Report{}
	return out, json.NewDecoder(r).Decode(out)
}

func (r *Report) find(k slopeKey) (Slope, bool) {
	if k == unitSlope {
		return Slope{Slope: 1}, true
	}
	for _, s := range r.Slopes {
		if s.Experiment == k.experiment && s.Role == k.role && s.Metric == k.metric && s.Per == k.per {
			return s, true
		}
	}
	return Slope{}, false
}

// total returns the sum of slope times count, or the first missing slope.
func (l line) total(r *Report) (float64, error) {
	sum := 0.0
	for _, t := range l.terms {
		s, ok := r.find(t.slope)
		if !ok {
			return 0, fmt.Errorf("no slope %v; run the experiment %s", t.slope, t.slope.experiment)
		}
		sum += s.Slope * t.count
	}
	return sum, nil
}
