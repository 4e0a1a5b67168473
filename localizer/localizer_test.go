package localizer_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/localizer"
)

// Guards against an empty list of regions that allows no zone, and against regions without
// zones that allow all of them.
func TestZonesOfRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	l := localizer.New(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	g.Expect(l.InRegions(nil)).To(gomega.BeNil())
	g.Expect(l.InRegions(nil).Allows("anywhere")).To(gomega.BeTrue())
	north, south := l.InRegions([]string{"north"}), l.InRegions([]string{"south", "north"})
	g.Expect(north.Allows("n2")).To(gomega.BeTrue())
	g.Expect(north.Allows("s1")).To(gomega.BeFalse())
	g.Expect(north.Allows("unknown")).To(gomega.BeFalse())
	g.Expect(north.Intersect(south).Key()).To(gomega.Equal("n1,n2"))
	g.Expect(north.Intersect(nil)).To(gomega.Equal(north))
	g.Expect(l.InRegions(nil).Intersect(north)).To(gomega.Equal(north))
	none := l.InRegions([]string{"east"})
	g.Expect(none.Empty()).To(gomega.BeTrue())
	g.Expect(none.Intersect(north).Empty()).To(gomega.BeTrue())
}
