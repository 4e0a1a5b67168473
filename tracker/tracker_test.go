package tracker

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist"
)

// start is far enough from zero for earlier moments to exist.
var start = rattanhoist.NewMoment(time.Hour, 1000*time.Hour)

func newTracker(zone string, incarnation rattanhoist.Incarnation) *Tracker {
	return New(Options{MaxAge: maxAge, Incarnation: incarnation, Zone: zone, Zones: zones})
}

func valid() Announcement {
	return Announcement{
		Name: "e1", Service: "llm", Zone: zones[0], Address: "10.0.0.1:9000", Labels: map[string]string{"tier": "a"},
		Incarnation: 1, Sequence: 1, Capacity: 4,
	}
}

// say makes an announcement with a new token, which must be accepted.
func say(g *gomega.WithT, t *Tracker, a Announcement, now rattanhoist.Moment) AnnounceResult {
	a.Token = t.Token(now)
	out, err := t.Announce(a, now)
	g.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	return out
}

func usable(t *Tracker, service string, now rattanhoist.Moment) []string {
	out := []string{}
	for _, e := range t.Table().Service(service) {
		if t.UsableAt(e, now) {
			out = append(out, e.Name())
		}
	}
	return out
}

func TestFaultyAnnouncementsNameTheField(t *testing.T) {
	for field, change := range map[string]func(*Announcement){
		"name":        func(a *Announcement) { a.Name = "" },
		"service":     func(a *Announcement) { a.Service = "a b" },
		"zone":        func(a *Announcement) { a.Zone = "elsewhere" },
		"address":     func(a *Announcement) { a.Address = "host:9000" },
		"labels":      func(a *Announcement) { a.Labels = map[string]string{"a=b": "c"} },
		"labels.tier": func(a *Announcement) { a.Labels = map[string]string{"tier": "x,y"} },
		"labels.zone": func(a *Announcement) { a.Labels = map[string]string{"zone": zones[1]} },
		"incarnation": func(a *Announcement) { a.Incarnation = 0 },
		"sequence":    func(a *Announcement) { a.Sequence = 0 },
		"capacity":    func(a *Announcement) { a.Capacity = 0 },
		"load":        func(a *Announcement) { a.Load = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := valid()
			change(&a)
			_, err := newTracker(zones[0], 1).Announce(a, start)
			g.Expect(err).To(gomega.MatchError(ErrInvalid))
			g.Expect(err.Error()).To(gomega.HavePrefix(field + ": "))
		})
	}
	g := gomega.NewWithT(t)
	for _, address := range []string{"0.0.0.0:1", "10.0.0.1:0", "10.0.0.1", "[::]:1"} {
		a := valid()
		a.Address = address
		g.Expect(a.Check(zones)).To(gomega.MatchError(ErrInvalid), address)
	}
	long := valid()
	long.Name = strings.Repeat("x", MaxWordBytes+1)
	g.Expect(long.Check(zones)).To(gomega.MatchError(ErrInvalid))
}

// Guards against a router that was suspended for a minute and sends requests to an
// endpoint that ended meanwhile: the endpoint's last renewal was in the router's
// socket buffer and was read after the suspension.
func TestBufferedAnnouncementIsNotFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTracker(zones[0], 1)
	a := valid()
	a.Token = tr.Token(start)
	out, err := tr.Announce(a, start.Add(time.Minute))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.Usable).To(gomega.BeFalse())
	a.Sequence, a.Token = 2, newTracker(zones[0], 2).Token(start.Add(time.Minute))
	out, err = tr.Announce(a, start.Add(time.Minute))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.Usable).To(gomega.BeFalse(), "another process's token")
	a.Sequence, a.Token = 3, tr.Token(start.Add(time.Minute))
	out, err = tr.Announce(a, start.Add(time.Minute+time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(out.Usable).To(gomega.BeTrue())
}

// Guards against an endpoint that gets requests after it has left, because its last
// renewal before the leave, or one of an earlier incarnation, arrives late.
func TestLateRenewalDoesNotBringBack(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTracker(zones[0], 1)
	a := valid()
	a.Incarnation, a.Sequence = 2, 5
	say(g, tr, a, start)
	leave := a
	leave.Sequence, leave.Leaving = 7, true
	g.Expect(say(g, tr, leave, start).Left).To(gomega.BeTrue())
	g.Expect(say(g, tr, leave, start).Left).To(gomega.BeFalse(), "said twice")
	for _, sequence := range []uint64{6, 8} {
		a.Sequence = sequence
		g.Expect(say(g, tr, a, start).Changed).To(gomega.BeFalse())
	}
	a.Incarnation, a.Sequence = 1, 100
	g.Expect(say(g, tr, a, start).Changed).To(gomega.BeFalse())
	g.Expect(usable(tr, "llm", start)).To(gomega.BeEmpty())
	a.Incarnation, a.Sequence = 3, 1
	say(g, tr, a, start.Add(time.Minute))
	g.Expect(usable(tr, "llm", start.Add(time.Minute))).To(gomega.Equal([]string{"e1"}))
}

func TestAddressIsNotAnnouncedTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTracker(zones[0], 1)
	say(g, tr, valid(), start)
	other := valid()
	other.Name = "e2"
	_, err := tr.Announce(other, start)
	g.Expect(err).To(gomega.MatchError(ErrAddressTaken))
	g.Expect(tr.Stats().Conflicts).To(gomega.BeEquivalentTo(1))
	later := start.Add(maxAge)
	say(g, tr, other, later)
	g.Expect(usable(tr, "llm", later)).To(gomega.Equal([]string{"e2"}))
	back := valid()
	back.Sequence, back.Token = 2, tr.Token(later)
	_, err = tr.Announce(back, later)
	g.Expect(err).To(gomega.MatchError(ErrAddressTaken), "the first name wakes up")
	g.Expect(usable(tr, "llm", later)).To(gomega.Equal([]string{"e2"}))
}

// Guards against an endpoint that restarts every second, gets requests after each
// start and loses them.
func TestFlappingEndpointIsHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTracker(zones[0], 1)
	now := start
	var free []int
	for i := range 6 {
		a := valid()
		a.Incarnation = uint64(i + 1)
		say(g, tr, a, now)
		if len(usable(tr, "llm", now)) > 0 {
			free = append(free, i)
		}
		now = now.Add(time.Second)
	}
	g.Expect(free).To(gomega.Equal([]int{0, 1}), "one quick restart is free")
	for i := range 20 {
		a := valid()
		a.Incarnation, a.Sequence = 6, uint64(i+2)
		now = now.Add(time.Second)
		say(g, tr, a, now)
	}
	g.Expect(usable(tr, "llm", now)).To(gomega.Equal([]string{"e1"}), "a steady life ends it")
}

func TestRenewalKeepsTheTable(t *testing.T) {
	g := gomega.NewWithT(t)
	tr := newTracker(zones[0], 1)
	a := valid()
	say(g, tr, a, start)
	table := tr.Table()
	a.Sequence, a.Load = 3, 9
	say(g, tr, a, start.Add(time.Second))
	a.Sequence, a.Load = 2, 1
	say(g, tr, a, start.Add(time.Second))
	g.Expect(tr.Table()).To(gomega.BeIdenticalTo(table))
	g.Expect(table.Service("llm")[0].Load()).To(gomega.BeEquivalentTo(9), "the later sequence")
	a.Sequence, a.Labels = 4, map[string]string{"tier": "b"}
	say(g, tr, a, start.Add(time.Second))
	g.Expect(tr.Table().Service("llm")[0].Labels()).To(gomega.HaveKeyWithValue("tier", "b"))
	g.Expect(tr.UsableAt(table.Service("llm")[0], start.Add(time.Second))).To(gomega.BeFalse(), "the old description")
}

// Guards against an age that is underestimated after two hops.
func TestAgeIsNotUnderestimatedOverTwoHops(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b, c := newTracker(zones[0], 1), newTracker(zones[0], 2), newTracker(zones[0], 3)
	say(g, a, valid(), start)
	ab, bc := NewPeer("a", true), NewPeer("b", true)
	asked := start.Add(time.Second)
	b.Merge(ab, a.Reply(ab.Request("b", zones[0], nil), asked), asked, asked.Add(10*time.Millisecond))
	asked = asked.Add(time.Second)
	g.Expect(b.Reply(bc.Request("c", zones[0], nil), asked).Endpoints).To(gomega.BeEmpty(), "it hears a")
	c.Merge(bc, b.Reply(bc.Request("c", zones[0], []string{"a"}), asked), asked, asked)
	age, ok := asked.Since(c.Table().Service("llm")[0].AnnouncedAtMoment())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(age).To(gomega.Equal(2 * time.Second))
	g.Expect(usable(c, "llm", start.Add(maxAge-1))).To(gomega.HaveLen(1))
	g.Expect(usable(c, "llm", start.Add(maxAge))).To(gomega.BeEmpty())
	g.Expect(b.Reply(bc.Request("a", zones[0], []string{"a"}), asked).Endpoints).To(gomega.BeEmpty(), "a told it")
}

// Guards against a router that never learns of an endpoint again: it had removed the
// silent endpoint, and its sibling sends only renewals.
func TestUnknownRenewalIsAskedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := newTracker(zones[0], 1), newTracker(zones[0], 2)
	p := NewPeer("a", true)
	pull := func(now rattanhoist.Moment) { b.Merge(p, a.Reply(p.Request("b", zones[0], nil), now), now, now) }
	say(g, a, valid(), start)
	pull(start)
	late := start.Add(time.Minute)
	b.Expire(late)
	g.Expect(b.Stats().Known).To(gomega.BeZero())
	again := valid()
	again.Sequence = 2
	say(g, a, again, late)
	pull(late)
	pull(late)
	g.Expect(usable(b, "llm", late)).To(gomega.Equal([]string{"e1"}))
}

func TestOtherZonesAreToldOfOwnEndpointsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newTracker(zones[0], 1)
	say(g, a, valid(), start)
	abroad := valid()
	abroad.Name, abroad.Zone, abroad.Address = "e2", zones[1], "10.0.0.2:9000"
	say(g, a, abroad, start)
	p := NewPeer("a", true)
	g.Expect(a.Reply(p.Request("b", zones[1], nil), start).Endpoints).To(gomega.HaveLen(1))
	g.Expect(a.Reply(p.Request("b", zones[0], nil), start).Endpoints).To(gomega.HaveLen(2))
}

// Guards against memory that grows with every service that ever had endpoints,
// because the count of a service without endpoints is kept.
func TestServicesWithoutEndpointsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	k := newTracker(zones[0], 1)
	say(g, k, valid(), start)
	a := valid()
	a.Name, a.Service, a.Address = "e2", "portal", "10.0.0.2:9000"
	say(g, k, a, start)
	g.Expect(k.ownZoneCounts).To(gomega.Equal(map[string]int{"llm": 1, "portal": 1}))
	a.Sequence, a.Leaving = 2, true
	say(g, k, a, start)
	g.Expect(k.ownZoneCounts).To(gomega.Equal(map[string]int{"llm": 1}))
}
