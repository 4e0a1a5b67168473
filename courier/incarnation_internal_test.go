package courier

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against logs from which a process could prove that it is a member of the fleet.
func TestLabelOfAnIncarnationDoesNotContainIt(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		n := newIncarnation()
		label := incarnationLabel(n)
		g.Expect(label).To(gomega.HaveLen(2 * incarnationLabelBytes))
		g.Expect(label).NotTo(gomega.ContainSubstring(fmt.Sprintf("%x", n>>16)[:8]))
		g.Expect(incarnationLabel(n)).To(gomega.Equal(label))
		g.Expect(incarnationLabel(n + 1)).NotTo(gomega.Equal(label))
	}
}
