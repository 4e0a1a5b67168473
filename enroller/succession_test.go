package enroller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
)

const (
	testHeartbeat = time.Second
	testExpiry    = 6 * testHeartbeat
)

// heartbeatAt1 returns a heartbeat of an incarnation without a start time at address 1.
func heartbeatAt1(id string, sequence uint64) enroller.Heartbeat {
	return enroller.Heartbeat{Incarnation: enroller.Incarnation{ID: id}, Service: "s", Address: "1", Sequence: sequence}
}

// Guards against late heartbeats of an incarnation that ended which take the living one at its address
// out of service: one or two of them, before, after and between its heartbeats, and of an incarnation
// that was removed for its silence or whose address was taken.
func TestLateHeartbeatDoesNotEndTheLivingIncarnation(t *testing.T) {
	for name, silence := range map[string]time.Duration{"expired": testExpiry + testHeartbeat, "replaced": testHeartbeat} {
		for _, late := range []time.Duration{0, 300 * time.Millisecond, testHeartbeat, 3500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				g := gomega.NewWithT(t)
				x, now := enroller.NewTable(testExpiry), start
				x.Observe(now, heartbeatAt1("old", 7), 0)
				now = now.Add(silence)
				x.Expire(now)
				for n := range 8 {
					x.Observe(now, heartbeatAt1("new", uint64(n+1)), 0)
					g.Expect(ids(x, now)).To(gomega.Equal([]string{"new"}))
					if arrival := start.Add(silence + late); !arrival.Before(now) && arrival.Before(now.Add(testHeartbeat)) {
						x.Observe(arrival, heartbeatAt1("old", 8), 0)
						x.Observe(arrival, heartbeatAt1("old", 9), 0)
						g.Expect(ids(x, now)).To(gomega.Equal([]string{"new"}))
					}
					now = now.Add(testHeartbeat)
					x.Expire(now)
				}
			})
		}
	}
}

// Guards against a belief that no heartbeat corrects: a table that holds the ended incarnation, because
// its late heartbeat arrived first, must follow the living one within two heartbeats.
func TestLivingIncarnationReturnsWithinTwoHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := enroller.NewTable(testExpiry), start
	x.Observe(now, heartbeatAt1("old", 7), 0)
	now = now.Add(testExpiry + testHeartbeat)
	x.Expire(now)
	x.Observe(now, heartbeatAt1("old", 8), 0)
	g.Expect(ids(x, now)).To(gomega.Equal([]string{"old"}), "it may have been cut off only")
	x.Observe(now, heartbeatAt1("new", 4), 0)
	x.Observe(now.Add(testHeartbeat), heartbeatAt1("new", 5), 0)
	x.Observe(now.Add(2*testHeartbeat), heartbeatAt1("new", 6), 0)
	g.Expect(ids(x, now)).To(gomega.Equal([]string{"new"}))
}

// Guards against an endpoint that stays out because a keeper has read its predecessor from a file.
func TestIncarnationFromAFileGivesWayAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(testExpiry)
	x.Observe(start, heartbeatAt1("old", 0), 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"old"}))
	x.Observe(start.Add(time.Millisecond), heartbeatAt1("new", 12), 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
	x.Observe(start.Add(2*time.Millisecond), heartbeatAt1("old", 0), 0)
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
}

// Guards against an endpoint that crashes and is replaced later than before: the first heartbeat of its
// successor, of the same or another service, takes its place.
func TestFirstHeartbeatOfASuccessorTakesTheAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(testExpiry)
	x.Observe(start, heartbeatAt1("old", 7), 0)
	next := heartbeatAt1("new", 1)
	next.Service = "t"
	g.Expect(x.Observe(start.Add(time.Millisecond), next, 0)).To(gomega.BeTrue())
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"new"}))
}

// Guards against a late heartbeat that counts as that of a new incarnation because its start time is that
// of a clock ahead: the incarnation was removed for its silence, and is known.
func TestLateHeartbeatWithALaterStartTimeDoesNotEndTheLivingIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	born := func(b enroller.Heartbeat, ms int64) enroller.Heartbeat { b.BornMS = ms; return b }
	x, now := enroller.NewTable(testExpiry), start
	x.Observe(now, born(heartbeatAt1("ahead", 7), 9_000_000), 0)
	now = now.Add(testExpiry + testHeartbeat)
	x.Expire(now)
	x.Observe(now, born(heartbeatAt1("new", 1), 1_000), 0)
	x.Observe(now.Add(testHeartbeat/2), born(heartbeatAt1("ahead", 8), 9_000_000), 0)
	g.Expect(ids(x, now)).To(gomega.Equal([]string{"new"}))
}

// Guards against start times of a wrong clock that keep the living incarnation out for good.
func TestStartTimeOfAWrongClockLosesToHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	born := func(b enroller.Heartbeat, ms int64) enroller.Heartbeat { b.BornMS = ms; return b }
	x, now := enroller.NewTable(testExpiry), start
	x.Observe(now, born(heartbeatAt1("ahead", 7), 9_000_000), 0)
	for n := range 3 {
		now = now.Add(testHeartbeat)
		x.Observe(now, born(heartbeatAt1("new", uint64(n+1)), 1_000), 0)
	}
	g.Expect(ids(x, now)).To(gomega.Equal([]string{"new"}))
}

// Guards against an endpoint that gets no work after a restart under its id, until its sequence has passed
// that of its earlier run.
func TestRestartUnderAnIDWithoutAStartTimeIsAdded(t *testing.T) {
	g := gomega.NewWithT(t)
	x, now := enroller.NewTable(testExpiry), start
	x.Observe(now, heartbeatAt1("a", 400), 0)
	now = now.Add(testExpiry + testHeartbeat)
	x.Expire(now)
	x.Observe(now, heartbeatAt1("a", 1), 0)
	g.Expect(ids(x, now)).To(gomega.Equal([]string{"a"}))
}

// Guards against an endpoint that takes another one out by moving to its address.
func TestChangeOfAddressDoesNotEndAnotherEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	x := enroller.NewTable(testExpiry)
	x.Observe(start, heartbeatAt1("a", 1), 0)
	other := heartbeatAt1("b", 1)
	other.Address = "2"
	x.Observe(start, other, 0)
	other.Address, other.Sequence = "1", 2
	g.Expect(x.Observe(start, other, 0)).To(gomega.BeFalse())
	g.Expect(ids(x, start)).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(x.Sightings(start)[1].Address).To(gomega.Equal("2"))
}

// lifetime is one run of an endpoint in the model of TestTablesFollowLivingEndpoints.
type lifetime struct {
	enroller.Incarnation
	address  string
	sequence uint64
	alive    bool
	left     bool
	nextBeat time.Time
	// prompt counts the heartbeats in a row that arrived in time.
	prompt int
}

type lateBeat struct {
	at    time.Time
	table int
	beat  enroller.Heartbeat
}

// twoTables are the tables of two keepers that share what they observe, in a model with endpoints that
// crash, leave, come back and send heartbeats that arrive late.
type twoTables struct {
	rand      *rand.Rand
	now       time.Time
	births    int
	tables    [2]*enroller.Table
	unshared  [2]map[string]bool
	lifetimes []*lifetime
	late      []lateBeat
	left      []enroller.Incarnation
	// lateAt holds when a late heartbeat last arrived, by address.
	lateAt map[string]time.Time
}

func (m *twoTables) observe(table int, b enroller.Heartbeat) {
	m.tables[table].Observe(m.now, b, 0)
	m.unshared[table][b.ID] = true
}

func (m *twoTables) begin(address string) {
	l := &lifetime{Incarnation: enroller.Incarnation{ID: fmt.Sprint("i", len(m.lifetimes))}, address: address, alive: true, nextBeat: m.now}
	switch m.births {
	case 1:
		l.BornMS = m.now.UnixMilli()
	case 2:
		l.BornMS = m.now.UnixMilli() + m.rand.Int64N(10_000) - 5_000
	}
	m.lifetimes = append(m.lifetimes, l)
}

// beat sends the next heartbeat of an endpoint, which may arrive late or never.
func (m *twoTables) beat(l *lifetime) {
	l.sequence++
	l.nextBeat = m.now.Add(testHeartbeat)
	b := enroller.Heartbeat{Incarnation: l.Incarnation, Service: "s", Address: l.address, Zone: "z", Sequence: l.sequence}
	table := m.rand.IntN(2)
	switch m.rand.IntN(12) {
	case 0:
		l.prompt = 0
		m.late = append(m.late, lateBeat{at: m.now.Add(time.Duration(m.rand.Int64N(int64(15 * time.Second)))), table: table, beat: b})
	case 1:
		l.prompt = 0
	default:
		l.prompt++
		m.observe(table, b)
	}
}

// step plays 50 ms.
func (m *twoTables) step() {
	m.now = m.now.Add(50 * time.Millisecond)
	m.late = slices.DeleteFunc(m.late, func(x lateBeat) bool {
		if x.at.After(m.now) {
			return false
		}
		m.observe(x.table, x.beat)
		m.lateAt[x.beat.Address] = m.now
		return true
	})
	for _, l := range m.lifetimes {
		if !l.alive {
			continue
		}
		if !l.nextBeat.After(m.now) {
			m.beat(l)
		}
		switch m.rand.IntN(400) {
		case 0:
			l.alive = false
			m.begin(l.address)
		case 1:
			l.alive, l.left = false, true
			m.left = append(m.left, l.Incarnation)
			for _, x := range m.tables {
				x.Leave(m.now, l.Incarnation)
			}
			m.begin(l.address)
		}
	}
	if m.rand.IntN(6) == 0 {
		for n, x := range m.tables {
			for _, s := range x.SightingsOf(m.now, m.unshared[n]) {
				b, age := enroller.HeartbeatFromSighting(s)
				m.tables[1-n].Observe(m.now, b, age)
			}
			clear(m.unshared[n])
			x.Expire(m.now)
		}
	}
	if m.rand.IntN(2_000) == 0 {
		m.restart(m.rand.IntN(2))
	}
}

// restart replaces a table by one that is read from a file and from the log.
func (m *twoTables) restart(n int) {
	next := enroller.NewTable(testExpiry)
	for _, s := range m.tables[n].Sightings(m.now) {
		s.Sequence, s.AgeMs = 0, 0
		b, age := enroller.HeartbeatFromSighting(s)
		next.Observe(m.now, b, age)
	}
	for _, i := range m.left {
		next.Leave(m.now, i)
	}
	m.tables[n], m.unshared[n] = next, map[string]bool{}
}

// check reports an endpoint that a table should hold or not hold.
func (m *twoTables) check() error {
	for _, l := range m.lifetimes {
		settled := l.alive && l.prompt > 3 && m.now.Sub(m.lateAt[l.address]) > 3*testHeartbeat
		for n, x := range m.tables {
			i, known := x.Current(l.ID)
			switch {
			case l.left && known && i == l.Incarnation:
				return fmt.Errorf("table %d holds %s, which has left", n, l.Incarnation)
			case settled && !known:
				return fmt.Errorf("table %d lacks %s, which lives at %s", n, l.Incarnation, l.address)
			}
		}
	}
	return nil
}

// Endpoints crash, leave, come back at their addresses and send heartbeats that arrive up to 15 s late at
// either of two keepers, which restart; start times are absent, true or wrong by seconds. Guards against a
// table that lacks a living endpoint two heartbeats after one that it took, or holds one that has left.
func TestTablesFollowLivingEndpoints(t *testing.T) {
	for seed := range uint64(60) {
		m := &twoTables{
			rand: rand.New(rand.NewPCG(seed, 2)), now: start, births: int(seed % 3), unshared: [2]map[string]bool{{}, {}}, lateAt: map[string]time.Time{},
			tables: [2]*enroller.Table{enroller.NewTable(testExpiry), enroller.NewTable(testExpiry)},
		}
		for n := range 4 {
			m.begin(fmt.Sprint("10.0.0.", n))
		}
		for n := range 4_000 {
			m.step()
			if err := m.check(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
		}
	}
}
