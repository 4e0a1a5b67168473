package governor_test

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
)

func evacuate(zone string, withdrawn bool) *messenger.FleetChange {
	return &messenger.FleetChange{Body: &messenger.FleetChange_Evacuation{Evacuation: &messenger.EvacuationChange{Zone: zone, Withdrawn: withdrawn}}}
}

// Guards against an evacuation that a repeated change undoes or that a snapshot loses.
func TestEvacuationsSurviveRepeatsAndSnapshots(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, evacuate("b", true))
	g.Expect(s.Evacuations().Revision()).To(gomega.BeZero(), "nothing to withdraw")
	for _, zone := range []string{"c", "a", "c"} {
		apply(t, s, evacuate(zone, false))
	}
	g.Expect(s.Evacuations().Zones()).To(gomega.Equal([]string{"a", "c"}))
	before := s.Evacuations()
	apply(t, s, evacuate("a", true))
	apply(t, s, evacuate("a", true))
	g.Expect(s.Evacuations().Zones()).To(gomega.Equal([]string{"c"}))
	g.Expect(s.Evacuations().Revision()).To(gomega.Equal(before.Revision() + 1))
	g.Expect(before.Includes("a")).To(gomega.BeTrue(), "a state that was returned earlier does not change")
	restored := governor.New()
	g.Expect(restored.Restore(s.Index(), s.Snapshot())).To(gomega.Succeed())
	g.Expect(restored.Evacuations()).To(gomega.Equal(s.Evacuations()))
	apply(t, restored, evacuate("a", false))
	g.Expect(restored.Evacuations().Revision()).To(gomega.Equal(before.Revision() + 2))
}

// Guards against failing to read the disk of an earlier version, whose snapshots hold no
// evacuations.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := proto.Marshal(&messenger.FleetSnapshot{Number: 3})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := governor.New()
	g.Expect(s.Restore(1, b)).To(gomega.Succeed())
	g.Expect(s.Evacuations().Zones()).To(gomega.BeEmpty())
}
