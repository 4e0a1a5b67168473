package enroller_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

// Guards against one version in service that counts as the only one although a stream may have begun at
// another: one that has left since, one that is not known, or one of another service with the same
// text.
func TestSoleVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	var h enroller.VersionHistory
	sole := func(now time.Time) string {
		v, ok := h.Sole("s", now.Add(-time.Minute))
		g.Expect(ok).To(gomega.Equal(v != ""))
		return string(v)
	}
	g.Expect(sole(start)).To(gomega.BeEmpty())
	h.Observe(start, map[string][]enroller.Version{"s": {"v1", "v1"}, "t": {"v2"}})
	g.Expect(sole(start)).To(gomega.Equal("v1"))
	h.Observe(start.Add(time.Hour), map[string][]enroller.Version{"s": {"v1", "v2"}, "t": {"v2"}})
	g.Expect(sole(start.Add(time.Hour))).To(gomega.BeEmpty())
	h.Observe(start.Add(2*time.Hour), map[string][]enroller.Version{"s": {"v2"}, "t": {"v2"}})
	g.Expect(sole(start.Add(2*time.Hour+30*time.Second))).To(gomega.BeEmpty(), "the last of v1 was there until now")
	g.Expect(sole(start.Add(2*time.Hour + 61*time.Second))).To(gomega.Equal("v2"))
	h.Observe(start.Add(3*time.Hour), map[string][]enroller.Version{"s": {"v2", ""}})
	g.Expect(sole(start.Add(3 * time.Hour))).To(gomega.BeEmpty())
	h.Observe(start.Add(4*time.Hour), map[string][]enroller.Version{})
	g.Expect(sole(start.Add(5 * time.Hour))).To(gomega.BeEmpty())
}
