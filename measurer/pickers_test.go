package measurer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
)

func shortCase(name string, load float64) fleetCase {
	return fleetCase{
		picker: name, shedder: admitter.Deadline, load: load, engines: 12, slow: 1,
		reportLag: 50 * time.Millisecond, seed: 7, warm: 10 * time.Second, until: 40 * time.Second,
	}
}

func TestFleetGivesTheSameFiguresAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	c := shortCase(picker.Deadline, 1.5)
	g.Expect(runFleet(c)).To(gomega.Equal(runFleet(c)))
}

// Symptom: the product's picker misses more deadlines than a simple one.
// Sequence: overload; then load reports that come 2 s late.
// Cause: any change to picking or admission that was not measured.
func TestDeadlinePickerWinsUnderOverload(t *testing.T) {
	for _, lag := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		g := gomega.NewWithT(t)
		met := map[string]int{}
		for _, name := range picker.Names() {
			c := shortCase(name, 1.5)
			c.reportLag = lag
			r := runFleet(c)
			met[name] = r.met
			g.Expect(r.met+r.late+r.failed+r.refused+r.expired).To(gomega.Equal(r.offered), "every request has one fate")
			g.Expect(float64(r.runs) / float64(r.dispatched)).To(gomega.BeNumerically("<", 1.1))
		}
		for _, name := range picker.Names() {
			if name != picker.Deadline {
				g.Expect(met[picker.Deadline]).To(gomega.BeNumerically(">", met[name]), name)
			}
		}
	}
}
