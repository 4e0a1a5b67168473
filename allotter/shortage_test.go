package allotter_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

func notice(total, unspent int64) *messenger.RightsShortage {
	return &messenger.RightsShortage{Workspace: workspace, Total: total, Unspent: unspent}
}

func shortagesOf(total int64) *allotter.Shortages {
	s := allotter.NewShortages()
	s.SetTotals(map[string]int64{workspace: total})
	return s
}

// A total runs out. Guards against requests that wait for tokens of a spent total, and against
// the refusal of smaller requests that the remainder covers.
func TestShortageOfTotalThatRunsOut(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shortagesOf(100_000)
	g.Expect(s.KnownSpent(workspace, 100_001)).To(gomega.BeFalse(), "nothing was reported")
	g.Expect(s.Observe(notice(100_000, 40_000))).To(gomega.BeTrue())
	g.Expect(s.Report(workspace)).To(gomega.BeNil(), "not short yet")
	g.Expect(s.Observe(notice(100_000, 2_000))).To(gomega.BeTrue())
	g.Expect(s.KnownSpent(workspace, 2_000)).To(gomega.BeFalse())
	g.Expect(s.KnownSpent(workspace, 2_001)).To(gomega.BeTrue())
	g.Expect(s.Observe(notice(100_000, 30_000))).To(gomega.BeTrue())
	g.Expect(s.KnownSpent(workspace, 2_001)).To(gomega.BeTrue(), "an older notice of the same total")
	g.Expect(s.Report(workspace).GetUnspent()).To(gomega.Equal(int64(2_000)))
	s.SetTotals(map[string]int64{workspace: 100_000})
	g.Expect(s.KnownSpent(workspace, 2_001)).To(gomega.BeTrue(), "a document with the same total")
}

// An operator raises a spent total. Guards against refusals after the raised total is in force, by
// the old notice or by a delayed answer, and against refusals when a keeper knows it first.
func TestShortageEndsWithRaisedTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shortagesOf(100_000)
	s.Observe(notice(100_000, 0))
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeTrue())
	s.SetTotals(map[string]int64{workspace: 150_000})
	g.Expect(s.KnownSpent(workspace, 50_000)).To(gomega.BeFalse())
	g.Expect(s.Observe(notice(100_000, 0))).To(gomega.BeTrue(), "delayed, not malformed")
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeFalse(), "delayed answer for the lower total")

	s = shortagesOf(100_000)
	s.Observe(notice(100_000, 0))
	s.Observe(notice(150_000, 50_000))
	g.Expect(s.KnownSpent(workspace, 50_000)).To(gomega.BeFalse(), "the keeper has the raised total first")
	s.Observe(notice(100_000, 0))
	g.Expect(s.KnownSpent(workspace, 50_000)).To(gomega.BeFalse(), "delayed answer before the document")
}

// An operator lowers a total. Guards against notices of the higher total that hide those of the
// lower one.
func TestShortageOfLoweredTotal(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shortagesOf(200_000)
	s.Observe(notice(200_000, 100_000))
	s.Observe(notice(100_000, 0))
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeFalse(), "the lower total is not in force")
	s.SetTotals(map[string]int64{workspace: 100_000})
	s.Observe(notice(100_000, 0))
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeTrue())
	s.SetTotals(map[string]int64{})
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeFalse(), "no total")
	s.Observe(notice(100_000, 0))
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeFalse(), "no total")
}

// Guards against refusals because of malformed notices.
func TestMalformedShortagesAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	s := shortagesOf(100_000)
	g.Expect(s.Observe(notice(100_000, -1))).To(gomega.BeFalse())
	g.Expect(s.Observe(notice(100_000, 100_001))).To(gomega.BeFalse())
	g.Expect(s.Observe(notice(-5, -5))).To(gomega.BeFalse())
	g.Expect(s.Observe(nil)).To(gomega.BeTrue(), "an empty notice names no workspace")
	g.Expect(s.KnownSpent(workspace, 100_000)).To(gomega.BeFalse())
}

// Guards against refusals because a keeper of an earlier version states no unspent tokens.
func TestGrantOfEarlierVersionHasNoShortage(t *testing.T) {
	g := gomega.NewWithT(t)
	old := &messenger.RightsGrant{Workspace: workspace, Granted: 1, Left: 1}
	g.Expect(allotter.ShortageOf(old)).To(gomega.BeNil())
	unspent := int64(0)
	n := allotter.ShortageOf(&messenger.RightsGrant{Workspace: workspace, Total: 100_000, Unspent: &unspent})
	s := shortagesOf(100_000)
	g.Expect(s.Observe(n)).To(gomega.BeTrue())
	g.Expect(s.KnownSpent(workspace, 1)).To(gomega.BeTrue(), "0 is not absent")
}
