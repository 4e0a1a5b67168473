package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
)

// newLeavingKeeper returns a keeper that has applied the leave of an endpoint.
func newLeavingKeeper(i enroller.Incarnation) *Keeper {
	s := &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second)}
	s.committedState.Store(&committedState{document: governor.New().Document(), leftEndpoints: []enroller.Incarnation{i}})
	return s
}

func (s *Keeper) syncFrom(at time.Time, address string) {
	s.registry.answerSync(at, &messenger.SyncRequest{Router: &messenger.FleetMember{Address: address, Zone: "z"}}, &messenger.SyncReply{})
}

// Guards against a request that reaches an endpoint too long after its leave was acknowledged: a
// router on a busy link syncs half a second later than the others.
func TestLeaveIsAcknowledgedOnceRoutersHaveSynced(t *testing.T) {
	g := gomega.NewWithT(t)
	i := enroller.Incarnation{ID: "a", BornMS: 5}
	s := newLeavingKeeper(i)
	s.syncFrom(time.Now(), "fast")
	s.syncFrom(time.Now(), "slow")
	s.syncFrom(time.Now().Add(-recentSyncWindow), "silent")
	arrived, done := time.Now(), make(chan struct{})
	go func() {
		s.awaitLeaveNotified(t.Context(), i, arrived)
		close(done)
	}()
	time.Sleep(2 * leavePollInterval)
	s.syncFrom(time.Now(), "fast")
	g.Consistently(done, 4*leavePollInterval).ShouldNot(gomega.BeClosed(), "one router has not synced")
	s.syncFrom(time.Now(), "slow")
	g.Eventually(done).Should(gomega.BeClosed())
	g.Expect(time.Since(arrived)).To(gomega.BeNumerically("<", leaveNotifyTimeout))
}

// Guards against a leave that is not acknowledged because a router has just lost contact.
func TestLeaveIsAcknowledgedWithoutASilentRouter(t *testing.T) {
	g := gomega.NewWithT(t)
	i := enroller.Incarnation{ID: "a", BornMS: 5}
	s := newLeavingKeeper(i)
	s.syncFrom(time.Now(), "gone")
	arrived := time.Now()
	s.awaitLeaveNotified(t.Context(), i, arrived)
	g.Expect(time.Since(arrived)).To(gomega.BeNumerically("~", leaveNotifyTimeout, 300*time.Millisecond))
	g.Expect(leaveNotifyTimeout).To(gomega.BeNumerically("<", time.Second), "endpoints ask another keeper after a second")
}
