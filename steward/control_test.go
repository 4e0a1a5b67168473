package steward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/governor"
	"rattanhoist.example/rattanhoist/messenger"
	"rattanhoist.example/rattanhoist/publisher"
)

// Guards against counting all rights that routers hold as spent after a power loss of all
// VMs, which refuses most requests for the rest of the day. The routers are back before a
// leader is elected, and their claims wait 0.3 s at a keeper. The leader reads its clock
// when the claims reach it, and the reading then disagrees with the routers' clocks.
func TestDelayedClaimKeepsItsSendTime(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := time.UnixMilli(50_000)
	change := &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: &messenger.RightsChange{
		Sent:    &messenger.RightsMoment{RouterMs: 50_000},
		Started: &messenger.RightsMoment{RouterMs: 49_000, AgeMs: 1_000},
	}}}
	const held = 300 * time.Millisecond
	late := withAddedAge(change, held)
	recordKeeperClock(late.GetRights(), sent.Add(held), func(m *messenger.RightsMoment, at int64) { m.LeaderMs = at })
	g.Expect(late.GetRights().Sent.LeaderMs).To(gomega.Equal(int64(50_000)))
	g.Expect(late.GetRights().Started.LeaderMs).To(gomega.Equal(int64(49_000)))
	g.Expect(change.GetRights().Sent.AgeMs).To(gomega.BeZero(), "the original is unchanged, because it may be sent again")
}

// newTestControl returns a control whose document contains the service "s".
func newTestControl(t *testing.T) *Control {
	content, err := publisher.Compress([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	state := governor.New()
	b, err := proto.Marshal(&messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{Number: 1, Content: content}}})
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(state.Index()+1, b)
	s := &Keeper{log: zap.NewNop(), registry: newRegistry(time.Second)}
	s.committedState.Store(&committedState{document: state.Document(), evacuations: state.Evacuations()})
	return NewControl(s, func([]byte) (*publisher.Document, error) {
		return &publisher.Document{Number: 1, Services: []publisher.Service{{Name: "s"}}}, nil
	})
}

func heartbeatFor(id string, born int64, service string) enroller.Heartbeat {
	return enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: id, BornMS: born}, Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 1, Sequence: 1}
}

// Guards against other programs that replace an endpoint in service or add one that serves
// nothing. Their heartbeats are well-formed, but name a service that is not in the
// document, or use a known id with another service or without the start time.
func TestInvalidHeartbeatsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTestControl(t)
	_, err := c.Heartbeat(t.Context(), heartbeatFor("a", 5, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, b := range []enroller.Heartbeat{heartbeatFor("b", 0, "other"), heartbeatFor("a", 5, "other"), heartbeatFor("a", 0, "s")} {
		_, err := c.Heartbeat(t.Context(), b)
		g.Expect(err).To(gomega.MatchError(enroller.ErrInvalidHeartbeat))
	}
	news := c.keeper.registry.takeUnshared(time.Now(), "")
	g.Expect(news.Sightings).To(gomega.HaveLen(1))
	g.Expect(news.Sightings[0].BornMs).To(gomega.Equal(int64(5)))
}

// Guards against a message with a start time in the future that ends the endpoint of that id, and all its
// incarnations until then.
func TestStartTimeInTheFutureIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTestControl(t)
	now := time.Now().UnixMilli()
	_, err := c.Heartbeat(t.Context(), heartbeatFor("a", now, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	future := time.Now().Add(2 * maxStartTimeLead).UnixMilli()
	_, err = c.Heartbeat(t.Context(), heartbeatFor("a", future, "s"))
	g.Expect(err).To(gomega.MatchError(enroller.ErrInvalidHeartbeat))
	g.Expect(c.Leave(t.Context(), enroller.Incarnation{ID: "a", BornMS: future})).To(gomega.MatchError(enroller.ErrInvalidHeartbeat))
	g.Expect(c.keeper.registry.resolveIncarnation(enroller.Incarnation{ID: "a"}).BornMS).To(gomega.Equal(now))
}

func TestLeaveWithoutStartTimeMeansCurrentIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTestControl(t)
	_, err := c.Heartbeat(t.Context(), heartbeatFor("a", 5, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.keeper.registry.resolveIncarnation(enroller.Incarnation{ID: "a"})).To(gomega.Equal(enroller.Incarnation{ID: "a", BornMS: 5}))
	g.Expect(c.keeper.registry.resolveIncarnation(enroller.Incarnation{ID: "a", BornMS: 4})).To(gomega.Equal(enroller.Incarnation{ID: "a", BornMS: 4}))
	g.Expect(c.keeper.registry.resolveIncarnation(enroller.Incarnation{ID: "b"})).To(gomega.Equal(enroller.Incarnation{ID: "b"}))
}
