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

// Guards against an endpoint that gets work after it has left, because a heartbeat that it
// sent before the leave arrives late.
func TestLateHeartbeatAfterALeave(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 3}, 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	x.Observe(start.Add(time.Second), enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 4}, 0)
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
}

func TestLeavingIsFinal(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 5, Leaving: true}, 0)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 4}, 0)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1", Sequence: 6}, 0)
	g.Expect(x.Sightings(start)[0].Leaving).To(gomega.BeTrue())
}

// Guards against requests to a crashed endpoint whose address belongs to another one now.
// An endpoint crashes, its successor registers at the same address, and then a delayed
// heartbeat of the first arrives: the newest message need not come from the newest
// incarnation.
func TestDelayedHeartbeatOfReplacedEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "old"}, Address: "1", Sequence: 3}, 0)
	x.Observe(start.Add(time.Second), enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "new"}, Address: "1", Sequence: 1}, 0)
	x.Observe(start.Add(2*time.Second), enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "old"}, Address: "1", Sequence: 9}, 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
}

func TestSilentEndpointsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a"}, Address: "1"}, time.Second)
	x.Expire(start.Add(3 * time.Second))
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"a"}))
	before := x.Revision()
	x.Expire(start.Add(4500 * time.Millisecond))
	g.Expect(ids(x, start)).To(gomega.BeEmpty())
	g.Expect(x.Revision()).To(gomega.BeNumerically(">", before))
}

// heartbeatOf returns a heartbeat of the endpoint "a".
func heartbeatOf(born int64, sequence uint64) enroller.Heartbeat {
	return enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "a", BornMS: born}, Service: "s", Address: "1", Sequence: sequence}
}

// startTimes returns the start times of the known endpoints.
func startTimes(t *enroller.Table) []int64 {
	var out []int64
	for _, s := range t.Sightings(start) {
		out = append(out, s.BornMs)
	}
	return out
}

// Guards against a restarted endpoint that gets no work until its earlier incarnation
// expires, or never. It crashed or left, and restarts under its id with heartbeat numbers
// from 1, while the earlier incarnation had reached 400.
func TestRestartedEndpointIsAdded(t *testing.T) {
	for name, end := range map[string]func(*enroller.Table){
		"crashed": func(*enroller.Table) {},
		"left":    func(x *enroller.Table) { x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 10}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			x := enroller.NewTable(5 * time.Second)
			x.Observe(start, heartbeatOf(10, 400), 0)
			end(x)
			before := x.Revision()
			g.Expect(x.Observe(start, heartbeatOf(20, 1), 0)).To(gomega.BeTrue())
			g.Expect(startTimes(x)).To(gomega.Equal([]int64{20}))
			g.Expect(x.Revision()).To(gomega.BeNumerically(">", before))
		})
	}
}

// Guards against removing an endpoint in service, or restoring an old incarnation, when a
// delayed heartbeat or leave of an earlier incarnation arrives after a restart.
func TestDelayedMessagesOfEarlierIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, heartbeatOf(10, 400), 0)
	x.Observe(start, heartbeatOf(20, 1), 0)
	before := x.Revision()
	leaving := heartbeatOf(10, 401)
	leaving.Leaving = true
	g.Expect(x.Observe(start, leaving, 0)).To(gomega.BeFalse())
	g.Expect(x.Revision()).To(gomega.Equal(before))
	x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 10})
	g.Expect(startTimes(x)).To(gomega.Equal([]int64{20}))
	g.Expect(x.Sightings(start)[0].Leaving).To(gomega.BeFalse())
	x.Expire(start.Add(6 * time.Second))
	g.Expect(x.Observe(start.Add(6*time.Second), heartbeatOf(10, 402), 0)).To(gomega.BeFalse(), "not even after the next incarnation expired")
	x.Leave(start, enroller.Incarnation{ID: "a", BornMS: 20})
	g.Expect(x.Observe(start, heartbeatOf(20, 2), 0)).To(gomega.BeFalse())
}

// A leave without a start time means the current incarnation; when it is repeated, it does
// not apply to the next one.
func TestLeaveWithoutStartTime(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, heartbeatOf(10, 1), 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	g.Expect(startTimes(x)).To(gomega.BeEmpty())
	x.Observe(start, heartbeatOf(20, 1), 0)
	x.Leave(start, enroller.Incarnation{ID: "a"})
	g.Expect(startTimes(x)).To(gomega.Equal([]int64{20}))
}

// Guards against requests to an endpoint that does not serve them. Another program sends
// heartbeats under an id in use, but with another service or without the endpoint's start
// time.
func TestConflictingHeartbeatUnderKnownID(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(5 * time.Second)
	x.Observe(start, heartbeatOf(10, 1), 0)
	other := heartbeatOf(10, 2)
	other.Service = "t"
	for _, b := range []enroller.Heartbeat{other, heartbeatOf(0, 3)} {
		g.Expect(x.Consistent(b)).To(gomega.BeFalse())
		x.Observe(start, b, 0)
		g.Expect(x.Sightings(start)).To(gomega.HaveLen(1))
		g.Expect(x.Sightings(start)[0].Sequence).To(gomega.Equal(uint64(1)))
	}
}

// Guards against treating an endpoint as warm while it reports that it is cold, and
// against changes that are not reported.
func TestColdEndpointsAreReportedUntilWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	x := enroller.NewTable(10 * time.Second)
	beat := func(sequence uint64, cold time.Duration) enroller.Heartbeat {
		return enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: "e"}, Service: "s", Address: "a:1", Zone: "z", Slots: 1, Sequence: sequence, ColdRemaining: cold}
	}
	until := func(at time.Time) time.Time { return x.ColdUntil(at)[enroller.Incarnation{ID: "e"}] }
	x.Observe(now, beat(1, 3*time.Second), time.Second)
	g.Expect(until(now)).To(gomega.Equal(now.Add(2 * time.Second)))
	g.Expect(until(now.Add(2 * time.Second))).To(gomega.BeZero())
	g.Expect(x.Observe(now.Add(time.Second), beat(2, time.Second), 0)).To(gomega.BeFalse(), "the same cold phase")
	g.Expect(x.Observe(now.Add(2*time.Second), beat(3, 0), 0)).To(gomega.BeFalse())
	g.Expect(x.Observe(now.Add(3*time.Second), beat(4, 3*time.Second), 0)).To(gomega.BeTrue(), "cold again")
	g.Expect(x.Observe(now.Add(3*time.Second), beat(3, 0), 0)).To(gomega.BeFalse(), "an earlier heartbeat arrives late")
	g.Expect(until(now.Add(3 * time.Second))).To(gomega.Equal(now.Add(6 * time.Second)))
}

// Guards against a reader of the changes whose copy differs from the table.
func TestChangesReproduceTheTable(t *testing.T) {
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
			x.Observe(now, enroller.Heartbeat{Incarnation: i, Service: "s", Address: fmt.Sprint("a", r.IntN(60), ":1"), Zone: "z", Slots: 1 + r.IntN(2), Sequence: uint64(now.UnixMilli())}, 0)
		}
		if r.IntN(3) > 0 {
			continue
		}
		next := v.Refresh(now)
		changed, gone, known := v.Changes(now, revision)
		g.Expect(known).To(gomega.BeTrue())
		for _, i := range gone {
			delete(held, i)
		}
		for _, s := range changed {
			b, _ := enroller.HeartbeatFromSighting(s)
			held[b.Incarnation] = fmt.Sprint(b.Address, b.Slots)
		}
		revision = next
		want := map[enroller.Incarnation]string{}
		for _, s := range x.Sightings(now) {
			b, _ := enroller.HeartbeatFromSighting(s)
			want[b.Incarnation] = fmt.Sprint(b.Address, b.Slots)
		}
		g.Expect(held).To(gomega.Equal(want))
	}
	_, _, known := v.Changes(now, revision+1)
	g.Expect(known).To(gomega.BeFalse(), "an unknown revision")
}
