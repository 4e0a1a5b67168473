package governor_test

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
)

func apply(t *testing.T, g *governor.Governor, c *messenger.FleetChange) any {
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return g.Apply(b)
}

func document(number uint64, content string, total int64) *messenger.FleetChange {
	return &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{
		Number: number, Content: []byte(content), Totals: []*messenger.PrepaidTotal{{Workspace: "w", Tokens: total}},
	}}}
}

// Symptom: an older configuration comes back, or other content under a number
// that was acknowledged.
// Sequence: two operators race; an order is sent again after a higher one.
// Cause: the last order to arrive wins.
func TestHighestNumberWins(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, document(7, "seven", 100))
	apply(t, s, document(5, "five", 1))
	apply(t, s, document(7, "other", 1))
	g.Expect(s.Document().Number()).To(gomega.Equal(uint64(7)))
	g.Expect(string(s.Document().Content())).To(gomega.Equal("seven"))
	g.Expect(s.Ledger().Left("w")).To(gomega.Equal(int64(100)))
}

// A total exists once, however often its document is sent; a raised one adds
// the difference.
func TestTotalIsMintedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, document(1, "a", 100))
	claim := &messenger.RightsChange{Router: "r", Incarnation: 1, Sequence: 1, Claims: []*messenger.RightsClaim{{Workspace: "w", Urgent: 80}}}
	out := apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: claim}}).(*messenger.RightsGrants)
	g.Expect(out.Grants[0].Granted).To(gomega.Equal(int64(80)))
	again := apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: claim}}).(*messenger.RightsGrants)
	g.Expect(again.Grants[0].Granted).To(gomega.Equal(int64(80)), "the same claim, committed twice")
	apply(t, s, document(1, "a", 100))
	apply(t, s, document(2, "b", 150))
	g.Expect(s.Ledger().Left("w")).To(gomega.Equal(int64(70)))
}

func TestSnapshotHoldsEverything(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, document(3, "three", 100))
	apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Leave{Leave: &messenger.LeaveChange{Endpoint: "e", BornMs: 3}}})
	apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: &messenger.RightsChange{
		Router: "r", Incarnation: 1, Sequence: 4, Claims: []*messenger.RightsClaim{{Workspace: "w", Urgent: 30, Ceiling: 10, Slope: 2}},
	}}})
	copied := governor.New()
	g.Expect(copied.Restore(s.Snapshot())).To(gomega.Succeed())
	g.Expect(copied.Snapshot()).To(gomega.Equal(s.Snapshot()))
	g.Expect(copied.Left()).To(gomega.Equal([]enroller.Incarnation{{ID: "e", BornMS: 3}}))
	g.Expect(copied.Ledger().Left("w")).To(gomega.Equal(int64(70)))
}
