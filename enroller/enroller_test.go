package enroller_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

var start = time.Unix(1000, 0)

func ids(t *enroller.Table, now time.Time) []string {
	var out []string
	for _, s := range t.Sightings(now) {
		out = append(out, s.Id)
	}
	return out
}

// Symptom: an endpoint that has left gets work again.
// Sequence: it leaves; a heartbeat that was sent before comes late.
// Cause: a heartbeat taken for news.
func TestLateHeartbeatAfterALeave(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{ID: "a", Address: "1", Sequence: 3}, 0)
	x.Leave(start, "a")
	x.Hear(start.Add(time.Second), enroller.Beat{ID: "a", Address: "1", Sequence: 4}, 0)
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
}

func TestLeavingIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{ID: "a", Address: "1", Sequence: 5, Leaving: true}, 0)
	x.Hear(start, enroller.Beat{ID: "a", Address: "1", Sequence: 4}, 0)
	x.Hear(start, enroller.Beat{ID: "a", Address: "1", Sequence: 6}, 0)
	g.Expect(x.Sightings(start)[0].Leaving).To(gomega.BeTrue())
}

// Symptom: requests go to an endpoint that crashed, at an address that is
// another's now.
// Sequence: an endpoint crashes; its successor registers at the same address;
// a heartbeat of the first that was held up arrives.
// Cause: the newest message taken for the newest incarnation.
func TestHeldUpHeartbeatOfAPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{ID: "old", Address: "1", Sequence: 3}, 0)
	x.Hear(start.Add(time.Second), enroller.Beat{ID: "new", Address: "1", Sequence: 1}, 0)
	x.Hear(start.Add(2*time.Second), enroller.Beat{ID: "old", Address: "1", Sequence: 9}, 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
}

func TestSilentEndpointsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{ID: "a", Address: "1"}, time.Second)
	x.Expire(start.Add(3 * time.Second))
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"a"}))
	before := x.Revision()
	x.Expire(start.Add(4500 * time.Millisecond))
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
	g.Expect(x.Revision()).To(gomega.BeNumerically(">", before))
}
