// Package measurer runs experiments on the product's parts and reports
// figures and slopes. Experiments are plug-ins that register themselves. The
// product does not contain it.
package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"

	"rattanhoist.example/rattanhoist/registrar"
)

// Experiment is one measurement; the same seed gives the same decisions.
type Experiment struct {
	Name  string
	Short string
	Run   func(context.Context, *Report) error
}

var registry = registrar.New[Experiment]("")

// register adds an experiment; it is called from package-level values.
func register(e Experiment) string { return registry.Register(e.Name, e) }

// Experiments lists the registered experiments by name.
func Experiments() []Experiment {
	var out []Experiment
	for _, n := range registry.Names() {
		e, _ := registry.Lookup(n)
		out = append(out, e)
	}
	return out
}

// Lookup returns an experiment by name, or false.
func Lookup(name string) (Experiment, bool) { return registry.Lookup(name) }

// Figure is one measured value.
type Figure struct {
	Experiment string  `json:"experiment"`
	Case       string  `json:"case"`
	Metric     string  `json:"metric"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
}

// Point is one size with the cost measured there.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a cost that grows with a size, fitted by least squares.
type Slope struct {
	Experiment string  `json:"experiment"`
	Role       string  `json:"role"`
	Metric     string  `json:"metric"`
	Unit       string  `json:"unit"`
	Per        string  `json:"per"`
	Points     []Point `json:"points"`
	Base       float64 `json:"base"`
	Slope      float64 `json:"slope"`
	// RSquared is 1 where the points lie on a line.
	RSquared float64 `json:"r_squared"`
	// MaxResidual is the largest distance of a point from the line.
	MaxResidual float64 `json:"max_residual"`
}

// Report gathers the results of experiments.
type Report struct {
	experiment string
	Figures    []Figure `json:"figures"`
	Slopes     []Slope  `json:"slopes"`
}

// Begin names the experiment that the next results belong to.
func (r *Report) Begin(name string) { r.experiment = name }

// Figure adds one measured value.
func (r *Report) Figure(caseName, metric string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{Experiment: r.experiment, Case: caseName, Metric: metric, Value: value, Unit: unit})
}

// Slope fits a line through the points and adds it.
func (r *Report) Slope(role, metric, unit, per string, points []Point) {
	s := Slope{Experiment: r.experiment, Role: role, Metric: metric, Unit: unit, Per: per, Points: points}
	x, y := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		x[i], y[i] = p.X, p.Y
	}
	s.Base, s.Slope = stat.LinearRegression(x, y, nil, false)
	s.RSquared = stat.RSquared(x, y, nil, s.Base, s.Slope)
	for i := range x {
		s.MaxResidual = max(s.MaxResidual, math.Abs(y[i]-s.Base-s.Slope*x[i]))
	}
	r.Slopes = append(r.Slopes, s)
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	for _, f := range r.Figures {
		if _, err := fmt.Fprintf(w, "%-12s %-44s %-32s %14.4g %s\n", f.Experiment, f.Case, f.Metric, f.Value, f.Unit); err != nil {
			return err
		}
	}
	for _, s := range r.Slopes {
		if _, err := fmt.Fprintf(w, "%-12s %-12s %-32s %.4g %s per %s (base %.4g, r2 %.3f, max residual %.3g)\n",
			s.Experiment, s.Role, s.Metric, s.Slope, s.Unit, s.Per, s.Base, s.RSquared, s.MaxResidual); err != nil {
			return err
		}
	}
	return nil
}
