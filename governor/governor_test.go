package governor_test

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/quarantiner"
)

func apply(t *testing.T, g *governor.StateMachine, c *messenger.FleetChange) any {
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return g.Apply(g.Index()+1, b)
}

func document(number uint64, content string, total int64) *messenger.FleetChange {
	return &messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{
		Number: number, Content: []byte(content), Totals: []*messenger.PrepaidTotal{{Workspace: "w", Tokens: total}},
	}}}
}

// Guards against an older configuration that becomes current again, or other content under
// an acknowledged number. Two operators race, or a document is sent again after a higher
// one; the last one to arrive must not win.
func TestHighestNumberWins(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, document(7, "seven", 100))
	apply(t, s, document(5, "five", 1))
	apply(t, s, document(7, "other", 1))
	g.Expect(s.Document().Number()).To(gomega.Equal(uint64(7)))
	g.Expect(string(s.Document().Content())).To(gomega.Equal("seven"))
	g.Expect(s.Ledger().Unallocated("w")).To(gomega.Equal(int64(100)))
}

// A prepaid total is credited once, however often its document is sent; a raised total
// credits the difference.
func TestPrepaidTotalIsCreditedOnce(t *testing.T) {
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
	g.Expect(s.Ledger().Unallocated("w")).To(gomega.Equal(int64(70)))
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
	g.Expect(copied.Restore(s.Index(), s.Snapshot())).To(gomega.Succeed())
	g.Expect(copied.Snapshot()).To(gomega.Equal(s.Snapshot()))
	left, complete := copied.Leaves().Since(0)
	g.Expect(complete).To(gomega.BeTrue())
	g.Expect(left).To(gomega.Equal([]enroller.Leave{{Incarnation: enroller.Incarnation{ID: "e", BornMS: 3}, Index: 2}}))
	g.Expect(copied.Ledger().Unallocated("w")).To(gomega.Equal(int64(70)))
}

func quarantineChange(at, until int64, sums ...uint64) *messenger.FleetChange {
	c := &messenger.QuarantineChange{AtMs: at, UntilMs: until}
	for _, s := range sums {
		c.Requests = append(c.Requests, &messenger.Content{Workspace: "w", Sum: s})
	}
	return &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: c}}
}

// Guards against a router that never learns of a quarantine, and against a restart that
// loses one. A request is quarantined, submitted twice by the leader, ends, and is
// quarantined again; then a keeper starts from a snapshot. Each new quarantine needs a
// higher number, and all of them belong in the log.
func TestQuarantinesAreNumberedAndPersisted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	apply(t, s, quarantineChange(0, 1_000, 7, 8))
	apply(t, s, quarantineChange(10, 1_010, 7))
	held := func(sum, number uint64, from, until int64) governor.Quarantine {
		return governor.Quarantine{HeldSubject: quarantiner.HeldSubject{Subject: quarantiner.Subject{Workspace: "w", Sum: sum}}, Number: number, AtMS: from, UntilMS: until}
	}
	g.Expect(s.Quarantines()).To(gomega.Equal([]governor.Quarantine{held(7, 1, 0, 1_000), held(8, 2, 0, 1_000)}), "submitted twice")
	apply(t, s, quarantineChange(1_001, 2_001, 7))
	want := []governor.Quarantine{held(8, 2, 0, 1_000), held(7, 3, 1_001, 2_001)}
	g.Expect(s.Quarantines()).To(gomega.Equal(want), "quarantined again after its end")
	apply(t, s, quarantineChange(1_500, 1_500, 7, 8, 9))
	apply(t, s, quarantineChange(1_501, 1_501, 7))
	want = []governor.Quarantine{held(8, 2, 0, 1_000), held(7, 4, 1_500, 1_500)}
	g.Expect(s.Quarantines()).To(gomega.Equal(want), "released once; a request that is not quarantined stays so")
	restored := governor.New()
	g.Expect(restored.Restore(s.Index(), s.Snapshot())).To(gomega.Succeed())
	g.Expect(restored.Quarantines()).To(gomega.Equal(want))
	apply(t, restored, quarantineChange(3_000, 4_000, 9))
	g.Expect(restored.Quarantines()).To(gomega.HaveLen(3))
	g.Expect(restored.Quarantines()[2]).To(gomega.Equal(held(9, 5, 3_000, 4_000)))
	for n := range uint64(3_000) {
		apply(t, restored, quarantineChange(3_000, 4_000, 100+n))
	}
	list := restored.Quarantines()
	g.Expect(list).To(gomega.HaveLen(1_024))
	g.Expect(list[len(list)-1].Number).To(gomega.Equal(uint64(3_005)))
}

// Guards against more trials of a prompt part than allowed, one for each keeper that asks, and
// against a restart that forgets them.
func TestTrialsAreCountedAndPersisted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	part := &messenger.Content{Workspace: "w", Sum: 5, Kind: messenger.ContentKind_CONTENT_KIND_PART}
	request := &messenger.Content{Workspace: "w", Sum: 5}
	apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: &messenger.QuarantineChange{
		UntilMs: 1_000, Requests: []*messenger.Content{part, request},
	}}})
	try := func(c *messenger.Content, trial uint32, router string) {
		apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Trial{Trial: &messenger.TrialChange{Subject: c, Trial: trial, Router: router, IncarnationHash: 9}}})
	}
	try(part, 1, "a")
	try(part, 1, "b")
	try(request, 1, "a")
	first := governor.Quarantine{
		HeldSubject: quarantiner.HeldSubjectFromMessage(part), Number: 3, UntilMS: 1_000, Trial: governor.Trial{Number: 1, Router: "a", IncarnationHash: 9},
	}
	g.Expect(s.Quarantines()).To(gomega.HaveLen(2))
	g.Expect(s.Quarantines()[1]).To(gomega.Equal(first), "the first keeper that asks")
	try(part, 2, "b")
	try(part, 3, "c")
	restored := governor.New()
	g.Expect(restored.Restore(s.Index(), s.Snapshot())).To(gomega.Succeed())
	g.Expect(restored.Quarantines()).To(gomega.Equal(s.Quarantines()))
	g.Expect(restored.Quarantines()[1].Trial).To(gomega.Equal(governor.Trial{Number: 2, Router: "b", IncarnationHash: 9}))
}

// Guards against a part that stays held back for fewer requests than necessary, or for more again.
func TestQuarantineIsWidenedOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := governor.New()
	hold := func(with ...uint64) {
		apply(t, s, &messenger.FleetChange{Body: &messenger.FleetChange_Quarantine{Quarantine: &messenger.QuarantineChange{
			AtMs: 10, UntilMs: 1_000, Requests: []*messenger.Content{{Workspace: "w", Sum: 5, Kind: messenger.ContentKind_CONTENT_KIND_PART, With: with}},
		}}})
	}
	with := func() []quarantiner.Part { return s.Quarantines()[0].With }
	hold(6, 7)
	hold(7)
	hold(6, 7)
	g.Expect(s.Quarantines()).To(gomega.HaveLen(1))
	g.Expect(with()).To(gomega.Equal([]quarantiner.Part{7}))
	g.Expect(s.Quarantines()[0].Number).To(gomega.Equal(uint64(2)), "routers learn of it")
	restored := governor.New()
	g.Expect(restored.Restore(s.Index(), s.Snapshot())).To(gomega.Succeed())
	g.Expect(restored.Quarantines()).To(gomega.Equal(s.Quarantines()))
	hold()
	g.Expect(with()).To(gomega.BeEmpty())
	g.Expect(s.Quarantines()[0].UntilMS).To(gomega.Equal(int64(1_000)))
}
