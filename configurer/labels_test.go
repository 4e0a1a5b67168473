package configurer

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// TestLabelSetsGoWithTheirUsers guards against a memory leak in routers: label
// sets without users were retained, so memory grew with every change of labels.
// The test replaces the labels of a workspace many times, lets a second
// workspace share the last set, and deletes both.
func TestLabelSetsGoWithTheirUsers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewCopy()
	for i := range 100 {
		c.setWorkspace("w", &messenger.Workspace{Name: "w", Labels: map[string]string{"a": fmt.Sprint(i)}})
	}
	c.setWorkspace("x", &messenger.Workspace{Name: "x", Labels: map[string]string{"a": "99"}})
	g.Expect(c.labels).To(gomega.HaveLen(1))
	c.setWorkspace("w", nil)
	g.Expect(c.labels).To(gomega.HaveLen(1))
	c.setWorkspace("x", nil)
	g.Expect(c.labels).To(gomega.BeEmpty())
	g.Expect(c.digest).To(gomega.BeZero())
}
