package enroller_test

import (
	"fmt"
	"math/rand/v2"
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
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 3}, 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	x.Hear(start.Add(time.Second), enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 4}, 0)
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
}

func TestLeavingIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 5, Leaving: true}, 0)
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 4}, 0)
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 6}, 0)
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
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "old"}, Address: "1", Sequence: 3}, 0)
	x.Hear(start.Add(time.Second), enroller.Beat{Incarnation: enroller.Incarnation{ID: "new"}, Address: "1", Sequence: 1}, 0)
	x.Hear(start.Add(2*time.Second), enroller.Beat{Incarnation: enroller.Incarnation{ID: "old"}, Address: "1", Sequence: 9}, 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
}

func TestSilentEndpointsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, enroller.Beat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1"}, time.Second)
	x.Expire(start.Add(3 * time.Second))
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"a"}))
	before := x.Revision()
	x.Expire(start.Add(4500 * time.Millisecond))
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
	g.Expect(x.Revision()).To(gomega.BeNumerically(">", before))
}

func life(born int64, sequence uint64) enroller.Beat {
	return enroller.Beat{Incarnation: enroller.Incarnation{ID: "a", BornMS: born}, Service: "s", Address: "1", Sequence: sequence}
}

func born(t *enroller.Table) []int64 {
	var out []int64
	for _, s := range t.Sightings(start) {
		out = append(out, s.BornMs)
	}
	return out
}

// Symptom: an endpoint that started again under its id gets no work until its
// silence has run out, or never.
// Sequence: it counts its heartbeats anew, from 1; before that it had sent 400, or
// had left.
// Cause: the id taken for the incarnation.
func TestAnEndpointThatStartedAgain(t *testing.T) {
	for name, end := range map[string]func(*enroller.Table){
		"crashed": func(*enroller.Table) {},
		"left":    func(x *enroller.Table) { x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 10}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x := enroller.NewTable(5 * time.Second)
			x.Hear(start, life(10, 400), 0)
			end(x)
			before := x.Revision()
			g.Expect(x.Hear(start, life(20, 1), 0)).To(gomega.BeTrue())
			g.Expect(born(x)).To(gomega.Equal([]int64{20}))
			g.Expect(x.Revision()).To(gomega.BeNumerically(">", before))
		})
	}
}

// Symptom: an endpoint in service is taken out, or an old one put back.
// Sequence: it has started again; a heartbeat or a leave of its life before,
// held up on the way, arrives.
// Cause: what an incarnation said is taken for the next one's word.
func TestHeldUpWordOfAnEarlierLife(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, life(10, 400), 0)
	x.Hear(start, life(20, 1), 0)
	before := x.Revision()
	leaving := life(10, 401)
	leaving.Leaving = true
	g.Expect(x.Hear(start, leaving, 0)).To(gomega.BeFalse())
	g.Expect(x.Revision()).To(gomega.Equal(before))
	x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 10})
	g.Expect(born(x)).To(gomega.Equal([]int64{20}))
	g.Expect(x.Sightings(start)[0].Leaving).To(gomega.BeFalse())
	x.Expire(start.Add(6 * time.Second))
	g.Expect(x.Hear(start.Add(6*time.Second), life(10, 402), 0)).To(gomega.BeFalse(), "not even once the next life was forgotten")
	x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 20})
	g.Expect(x.Hear(start, life(20, 2), 0)).To(gomega.BeFalse())
}

// A leave that names the id alone means the incarnation that is known; told
// again, it does not mean the next one.
func TestLeaveWithoutAStart(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, life(10, 1), 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	g.Expect(born(x)).To(gomega.BeEmpty())
	x.Hear(start, life(20, 1), 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	g.Expect(born(x)).To(gomega.Equal([]int64{20}))
}

// Symptom: requests for a service go to an endpoint that does not serve it.
// Sequence: some other program sends heartbeats under an id in use, with another
// service, or without the start that the endpoint tells.
// Cause: the last heartbeat taken for the endpoint's word.
func TestForeignHeartbeatUnderAnIDInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Hear(start, life(10, 1), 0)
	other := life(10, 2)
	other.Service = "t"
	for _, b := range []enroller.Beat{other, life(0, 3)} {
		g.Expect(x.Accepts(b)).To(gomega.BeFalse())
		x.Hear(start, b, 0)
		g.Expect(x.Sightings(start)).To(gomega.HaveLen(1))
		g.Expect(x.Sightings(start)[0].Sequence).To(gomega.Equal(uint64(1)))
	}
}

// Guards against an endpoint that is taken for warm while it says that it is cold, and
// against news that nobody is told.
func TestColdEndpointsAreKnownUntilTheyAreWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	x := enroller.NewTable(10 * time.Second)
	beat := func(sequence uint64, cold time.Duration) enroller.Beat {
		return enroller.Beat{Incarnation: enroller.Incarnation{ID: "e"}, Service: "s", Address: "a:1", Zone: "z", Slots: 1, Sequence: sequence, Cold: cold}
	}
	until := func(at time.Time) time.Time { return x.ColdUntil(at)[enroller.Incarnation{ID: "e"}] }
	x.Hear(now, beat(1, 3*time.Second), time.Second)
	g.Expect(until(now)).To(gomega.Equal(now.Add(2 * time.Second)))
	g.Expect(until(now.Add(2 * time.Second))).To(gomega.BeZero())
	g.Expect(x.Hear(now.Add(time.Second), beat(2, time.Second), 0)).To(gomega.BeFalse(), "the same cold spell")
	g.Expect(x.Hear(now.Add(2*time.Second), beat(3, 0), 0)).To(gomega.BeFalse())
	g.Expect(x.Hear(now.Add(3*time.Second), beat(4, 3*time.Second), 0)).To(gomega.BeTrue(), "cold again")
	g.Expect(x.Hear(now.Add(3*time.Second), beat(3, 0), 0)).To(gomega.BeFalse(), "a heartbeat of before comes late")
	g.Expect(until(now.Add(3 * time.Second))).To(gomega.Equal(now.Add(6 * time.Second)))
}

// Guards against a reader of changes whose copy differs from the table.
func TestChangesBuildTheSameTable(t *testing.T) {
	g := gomega.NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	x, held := enroller.NewTable(10*time.Second), map[enroller.Incarnation]string{}
	v := x.View("z")
	var revision uint64
	for range 5_000 {
		now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
		i := enroller.Incarnation{ID: fmt.Sprint("e", r.IntN(40)), BornMS: int64(1 + r.IntN(3))}
		switch r.IntN(10) {
		case 0:
			x.Leave(now, i)
		case 1:
			x.Expire(now)
		default:
			x.Hear(now, enroller.Beat{Incarnation: i, Service: "s", Address: fmt.Sprint("a", r.IntN(60), ":1"), Zone: "z", Slots: 1 + r.IntN(2), Sequence: uint64(now.UnixMilli())}, 0)
		}
		if r.IntN(3) > 0 {
			continue
		}
		next := v.Revision(now)
		changed, gone, known := v.Changes(now, revision)
		g.Expect(known).To(gomega.BeTrue())
		for _, i := range gone {
			delete(held, i)
		}
		for _, s := range changed {
			b, _ := enroller.BeatOf(s)
			held[b.Incarnation] = fmt.Sprint(b.Address, b.Slots)
		}
		revision = next
		want := map[enroller.Incarnation]string{}
		for _, s := range x.Sightings(now) {
			b, _ := enroller.BeatOf(s)
			want[b.Incarnation] = fmt.Sprint(b.Address, b.Slots)
		}
		g.Expect(held).To(gomega.Equal(want))
	}
	_, _, known := v.Changes(now, revision+1)
	g.Expect(known).To(gomega.BeFalse(), "a revision of another table")
}
