package enroller_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/messenger"
)

func leaveOf(n int) enroller.Leave {
	return enroller.Leave{Incarnation: enroller.Incarnation{ID: fmt.Sprint("e", n), BornMS: 1}, Index: uint64(n)}
}

// Guards against a list that changes while others read it, and against dropped leaves that nobody
// misses.
func TestLeaveHistoryKeepsTheLatestLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	h := enroller.NewLeaveHistory()
	for n := 1; n <= 10; n++ {
		h.Record(leaveOf(n))
		h.Record(leaveOf(n))
	}
	early := h.Leaves()
	g.Expect(early.Len()).To(gomega.Equal(10), "an incarnation leaves once")
	for n := 11; n <= 40_000; n++ {
		h.Record(leaveOf(n))
	}
	list, complete := early.Since(7)
	g.Expect(complete).To(gomega.BeTrue())
	g.Expect(list).To(gomega.Equal([]enroller.Leave{leaveOf(8), leaveOf(9), leaveOf(10)}))
	late := h.Leaves()
	dropped := 40_000 - late.Len()
	g.Expect(dropped).To(gomega.BeNumerically(">", 0))
	list, complete = late.Since(uint64(dropped))
	g.Expect(complete).To(gomega.BeTrue())
	g.Expect(list[0]).To(gomega.Equal(leaveOf(dropped + 1)))
	_, complete = late.Since(uint64(dropped - 1))
	g.Expect(complete).To(gomega.BeFalse(), "the next leave has been dropped")
}

// Guards against a snapshot that loses leaves, or the trace of those that were dropped.
func TestLeaveHistoryIsRestoredFromASnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	h := enroller.NewLeaveHistory()
	for n := 1; n <= 20_000; n++ {
		h.Record(leaveOf(n))
	}
	s := &messenger.FleetSnapshot{}
	h.Leaves().Fill(s)
	b, err := proto.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := &messenger.FleetSnapshot{}
	g.Expect(proto.Unmarshal(b, read)).To(gomega.Succeed())
	restored := enroller.RestoreLeaves(read, 20_000)
	for _, since := range []uint64{0, 100, uint64(20_000 - h.Leaves().Len()), 19_999, 20_000} {
		want, wantComplete := h.Leaves().Since(since)
		got, complete := restored.Leaves().Since(since)
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(complete).To(gomega.Equal(wantComplete))
	}
}

// Guards against leaves in the snapshot of an earlier version that no router is sent, because they have
// no index.
func TestLeavesOfAnEarlierVersionAreSentToAllRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &messenger.FleetSnapshot{Left: []*messenger.LeaveChange{{Endpoint: "a", BornMs: 1}, {Endpoint: "b"}}}
	h := enroller.RestoreLeaves(s, 50)
	list, complete := h.Leaves().Since(49)
	g.Expect(list).To(gomega.HaveLen(2))
	g.Expect(complete).To(gomega.BeFalse(), "earlier ones may have been dropped")
	list, complete = h.Leaves().Since(50)
	g.Expect(list).To(gomega.BeEmpty())
	g.Expect(complete).To(gomega.BeTrue())
}
