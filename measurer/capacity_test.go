package measurer_test

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/measurer"
)

const (
	slopesFile   = "../docs/slopes.json"
	capacityPage = "../docs/CAPACITY.md"
)

func readSlopes(g *gomega.WithT) *measurer.Report {
	f, err := os.Open(slopesFile)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = f.Close() }()
	r, err := measurer.ReadReport(f)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

// Symptom: the page shows figures that no run gave.
// Sequence: a slope or a count changes, the page is not generated anew.
// Cause: figures written by hand.
func TestCapacityPageIsMadeOfTheSlopes(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(capacityPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fresh, err := measurer.ReplaceCapacity(string(page), readSlopes(g))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(page)).To(gomega.Equal(fresh), "run make slopes")
}

func TestCapacityFollowsTheSlope(t *testing.T) {
	g := gomega.NewWithT(t)
	r := readSlopes(g)
	for i := range r.Slopes {
		r.Slopes[i].Slope = 1e9
	}
	b := &strings.Builder{}
	g.Expect(measurer.WriteCapacity(b, r)).To(gomega.Succeed())
	g.Expect(strings.Count(b.String(), "**broken**")).To(gomega.BeNumerically(">", 20))
	r.Slopes = r.Slopes[1:]
	g.Expect(measurer.WriteCapacity(b, r)).NotTo(gomega.Succeed())
}

func TestSlopeOfALine(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &measurer.Report{}
	r.Slope("role", "metric", "B", "thing", []measurer.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
	g.Expect(r.Slopes[0].Slope).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(r.Slopes[0].Base).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(r.Slopes[0].RSquared).To(gomega.BeNumerically("~", 1, 1e-9))
}
