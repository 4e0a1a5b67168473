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

// Symptom: after a loss of power of all VMs, all rights that routers held count
// as spent, and most requests are refused for the rest of the day. Sequence: the
// routers are back before there is a leader; their claims wait 0.3 s at a
// keeper. Cause: the leader's clock, read when the claims reach it, does not
// agree with the routers'.
func TestAClaimThatWaitedIsOfTheTimeItWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := time.UnixMilli(50_000)
	change := &messenger.FleetChange{Body: &messenger.FleetChange_Rights{Rights: &messenger.RightsChange{
		Sent:    &messenger.RightsMoment{RouterMs: 50_000},
		Started: &messenger.RightsMoment{RouterMs: 49_000, AgeMs: 1_000},
	}}}
	const held = 300 * time.Millisecond
	late := aged(change, held)
	stamp(late.GetRights(), sent.Add(held), func(m *messenger.RightsMoment, at int64) { m.LeaderMs = at })
	g.Expect(late.GetRights().Sent.LeaderMs).To(gomega.Equal(int64(50_000)))
	g.Expect(late.GetRights().Started.LeaderMs).To(gomega.Equal(int64(49_000)))
	g.Expect(change.GetRights().Sent.AgeMs).To(gomega.BeZero(), "it may be sent again, and is aged anew")
}

// listening returns a control whose document names the service "s".
func listening(t *testing.T) *Control {
	content, err := publisher.Pack([]byte("{}"))
	if err != nil {
		t.Fatal(err)
	}
	state := governor.New()
	b, err := proto.Marshal(&messenger.FleetChange{Body: &messenger.FleetChange_Document{Document: &messenger.DocumentChange{Number: 1, Content: content}}})
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(b)
	s := &Steward{log: zap.NewNop(), roster: newRoster(time.Second)}
	s.view.Store(&view{document: state.Document(), evacuations: state.Evacuations()})
	return NewControl(s, func([]byte) (*publisher.Document, error) {
		return &publisher.Document{Number: 1, Services: []publisher.Service{{Name: "s"}}}, nil
	})
}

func beatOf(id string, born int64, service string) enroller.Beat {
	return enroller.Beat{Incarnation: enroller.Incarnation{ID: id, BornMS: born}, Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 1, Sequence: 1}
}

// Symptom: an endpoint in service is replaced by what some other program sends,
// or one is taken in that serves nothing.
// Sequence: heartbeats that can be read, for a service that no document names, or
// under an id in use with another service.
// Cause: what can be read is believed.
func TestForeignHeartbeatsNameNoEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	c := listening(t)
	_, err := c.Beat(t.Context(), beatOf("a", 5, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, b := range []enroller.Beat{beatOf("b", 0, "other"), beatOf("a", 5, "other"), beatOf("a", 0, "s")} {
		_, err := c.Beat(t.Context(), b)
		g.Expect(err).To(gomega.MatchError(enroller.ErrUnusable))
	}
	news := c.s.roster.news(time.Now(), "")
	g.Expect(news.Sightings).To(gomega.HaveLen(1))
	g.Expect(news.Sightings[0].BornMs).To(gomega.Equal(int64(5)))
}

func TestALeaveWithoutAStartMeansTheLifeThatIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	c := listening(t)
	_, err := c.Beat(t.Context(), beatOf("a", 5, "s"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(c.s.roster.resolve(enroller.Incarnation{ID: "a"})).To(gomega.Equal(enroller.Incarnation{ID: "a", BornMS: 5}))
	g.Expect(c.s.roster.resolve(enroller.Incarnation{ID: "a", BornMS: 4})).To(gomega.Equal(enroller.Incarnation{ID: "a", BornMS: 4}))
	g.Expect(c.s.roster.resolve(enroller.Incarnation{ID: "b"})).To(gomega.Equal(enroller.Incarnation{ID: "b"}))
}
