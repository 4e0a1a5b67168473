package measurer

import (
	"fmt"
	"io"
	"strings"
)

// WriteCapacity writes the measured lines of the page on capacity: the
// figures of each role, then the slopes that they are made of.
func WriteCapacity(w io.Writer, r *Report) error {
	b := &strings.Builder{}
	lines := capacityLines()
	role := ""
	for i, l := range lines {
		if l.role != role {
			role = l.role
			fmt.Fprintf(b, "\n### %s\n\n| what | carried by | slope x count | figure | bound | state |\n|---|---|---|---|---|---|\n", role)
		}
		if err := l.write(b, r); err != nil {
			return err
		}
		if i+1 == len(lines) || lines[i+1].role != role {
			writeSums(b, r, lines, role)
		}
	}
	writeFigures(b, r)
	writeSlopes(b, r)
	_, err := io.WriteString(w, b.String())
	return err
}

func (l line) write(b *strings.Builder, r *Report) error {
	sum, err := l.total(r)
	if err != nil {
		return err
	}
	var parts []string
	for _, t := range l.terms {
		s, _ := r.find(t.slope)
		parts = append(parts, t.text(s))
	}
	bound, state := "-", string(l.state)
	if l.bound > 0 {
		bound = fmt.Sprintf("%.3g", l.bound*l.unit.factor)
		if sum > l.bound {
			state += "; **broken**: " + l.mend
		}
	}
	fmt.Fprintf(b, "| %s | %s | %s | %.3g %s | %s | %s |\n",
		l.what, l.mechanism, strings.Join(parts, " + "), sum*l.unit.factor, l.unit.unit, bound, state)
	return nil
}

func (t term) text(s Slope) string {
	if t.slope == unitSlope {
		return fmt.Sprintf("%.4g (%s)", t.count, t.why)
	}
	return fmt.Sprintf("%.3g %s x %.4g (%s)", s.Slope, s.Unit, t.count, t.why)
}

// writeSums adds a role's lines up for each thing that has a bound a node.
func writeSums(b *strings.Builder, r *Report, lines []line, role string) {
	for _, q := range []quantity{megabytes, core, perSecond} {
		sum, bound, n := 0.0, 0.0, 0
		for _, l := range lines {
			if l.role != role || l.unit != q || l.bound == 0 || strings.Contains(l.what, notInSum) {
				continue
			}
			v, _ := l.total(r)
			sum, bound, n = sum+v, l.bound, n+1
		}
		if n < 2 {
			continue
		}
		state := "sum of the lines above"
		if sum > bound {
			state += "; **broken**"
		}
		fmt.Fprintf(b, "| **sum** | | | **%.3g %s** | %.3g | %s |\n", sum*q.factor, q.unit, bound*q.factor, state)
	}
}

// notInSum marks a line that shows another choice.
const notInSum = "(not in the sum)"

// writeFigures shows the measured values that are no slopes.
func writeFigures(b *strings.Builder, r *Report) {
	b.WriteString("\n### Times and refusals measured\n\n| experiment | case | what | figure |\n|---|---|---|---|\n")
	for _, f := range r.Figures {
		if !shown(f) {
			continue
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.4g %s |\n", f.Experiment, f.Case, f.Metric, f.Value, f.Unit)
	}
}

// shown leaves out the placements besides the default and the figures of the
// budgets' experiment that the page does not speak of.
func shown(f Figure) bool {
	if f.Experiment != "budgets" {
		return true
	}
	other := strings.HasSuffix(f.Case, ", false_refusals") || strings.HasSuffix(f.Case, ", overspend")
	return !other && (f.Metric == "overspent" || f.Metric == "false_refusals")
}

// writeSlopes shows the points and the fit of every slope in use, so that one
// that is not straight is seen.
func writeSlopes(b *strings.Builder, r *Report) {
	b.WriteString("\n### The slopes\n\n| experiment | role | metric | slope | base | r2 | largest residual | points (size: cost) |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.4g %s per %s | %.3g | %.4f | %.3g | %s |\n", s.Experiment, s.Role, s.Metric,
			s.Slope, s.Unit, s.Per, s.Base, s.RSquared, s.MaxResidual, strings.Join(points, ", "))
	}
}

// Markers between which the page is generated.
const (
	beginMark = "<!-- slopes begin -->"
	endMark   = "<!-- slopes end -->"
)

// ReplaceCapacity returns the page with its generated part made anew.
func ReplaceCapacity(page string, r *Report) (string, error) {
	head, rest, ok := strings.Cut(page, beginMark)
	_, tail, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return "", fmt.Errorf("the page lacks %s or %s", beginMark, endMark)
	}
	b := &strings.Builder{}
	if err := WriteCapacity(b, r); err != nil {
		return "", err
	}
	return head + beginMark + "\n" + b.String() + "\n" + endMark + tail, nil
}
