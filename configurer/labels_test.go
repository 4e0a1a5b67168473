package configurer

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// TestLabelSetsGoWithTheirUsers
// Symptom: a router's memory grows with every change of labels.
// Sequence: one workspace is put again and again with other labels, a second
// one shares the last of them, and both are deleted.
// Cause it guards against: label sets that nobody uses are kept.
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
