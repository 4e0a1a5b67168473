package resumer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/resumer"
)

var origin = resumer.Origin{Service: "s", Version: "v1"}

// fleet is a simulated fleet of routers that exchange origins.
type fleet struct {
	members  []resumer.Member
	routers  map[string]*resumer.Replication
	messages int
	entries  int
	random   *rand.Rand
	// loss is the probability that a datagram is lost.
	loss float64
}

func newFleet(zones, perZone int, loss float64) *fleet {
	f := &fleet{routers: map[string]*resumer.Replication{}, random: rand.New(rand.NewPCG(1, 2)), loss: loss}
	for z := range zones {
		for n := range perZone {
			f.members = append(f.members, resumer.Member{Address: fmt.Sprintf("10.%d.0.%d:7340", z, n), Zone: fmt.Sprint("z", z), Incarnation: 1})
		}
	}
	for _, m := range f.members {
		f.routers[m.Address] = resumer.NewReplication()
	}
	f.place(start)
	return f
}

func (f *fleet) others(self resumer.Member) []resumer.Member {
	var out []resumer.Member
	for _, m := range f.members {
		if m.Address != self.Address {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) place(now time.Time) {
	for _, m := range f.members {
		f.routers[m.Address].SetPlacement(now, resumer.NewPlacement(m.Zone, f.others(m)))
	}
}

func (f *fleet) deliver(now time.Time, sends []resumer.Send) {
	for _, s := range sends {
		f.messages++
		f.entries += len(s.Entries)
		r := f.routers[s.To.Address]
		if r == nil || f.random.Float64() < f.loss {
			continue
		}
		for _, e := range s.Entries {
			r.Hold(now, e)
		}
	}
}

// finds reports whether a router finds a stream, with its own knowledge or at its candidates.
func (f *fleet) finds(now time.Time, at resumer.Member, k resumer.Key) bool {
	if _, ok := f.routers[at.Address].Find(now, k); ok {
		return true
	}
	for _, c := range resumer.NewPlacement(at.Zone, f.others(at)).Candidates(k) {
		if r := f.routers[c.Address]; r != nil {
			if _, ok := r.Find(now, k); ok {
				return true
			}
		}
	}
	return false
}

// remove takes a router away without a word.
func (f *fleet) remove(m resumer.Member) { delete(f.routers, m.Address) }

// restart replaces a router by a new incarnation that knows nothing.
func (f *fleet) restart(now time.Time, i int) {
	f.members[i].Incarnation++
	f.routers[f.members[i].Address] = resumer.NewReplication()
	f.place(now)
}

// Guards against streams that no router knows once the one that began them was killed right after the
// first event, in fleets of any size and zones of any number.
func TestAnyRouterFindsStreamsOfAKilledOne(t *testing.T) {
	for _, size := range [][2]int{{1, 2}, {1, 6}, {2, 1}, {2, 3}, {3, 1}, {3, 2}, {5, 2}, {3, 26}, {5, 60}, {20, 17}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(size[0], size[1], 0)
			const streams = 200
			for i := range streams {
				m := f.members[i%len(f.members)]
				f.deliver(start, f.routers[m.Address].Begin(start, origin, 15*time.Second, key(1_000_000+i), key(i)))
			}
			for i := range streams {
				killed := f.members[i%len(f.members)]
				r := f.routers[killed.Address]
				f.remove(killed)
				for range 3 {
					if at := f.members[f.random.IntN(len(f.members))]; at.Address != killed.Address {
						g.Expect(f.finds(start, at, key(i))).To(gomega.BeTrue(), "stream %d of %s at %s", i, killed.Address, at.Address)
					}
				}
				f.routers[killed.Address] = r
			}
		})
	}
}

// Guards against streams that are lost with a whole zone.
func TestStreamsOfALostZoneAreFound(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3, 4, 0)
	for i := range 300 {
		f.deliver(start, f.routers[f.members[i%4].Address].Begin(start, origin, 15*time.Second, key(1_000_000+i), key(i)))
	}
	for _, m := range f.members[:4] {
		f.remove(m)
	}
	for i := range 300 {
		g.Expect(f.finds(start, f.members[4+i%8], key(i))).To(gomega.BeTrue())
	}
}

// Guards against streams that only the router knows that began them because datagrams are lost.
func TestLostDatagramsAreMadeUpFor(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3, 2, 0.2)
	const streams = 1000
	for i := range streams {
		f.deliver(start, f.routers[f.members[0].Address].Begin(start, origin, 30*time.Second, key(1_000_000+i), key(i)))
	}
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(250 * time.Millisecond) {
		f.deliver(now, f.routers[f.members[0].Address].Tick(now))
	}
	f.remove(f.members[0])
	found := 0
	for i := range streams {
		if f.finds(start, f.members[1+i%5], key(i)) {
			found++
		}
	}
	// Each of two replicas misses an origin that was sent twice with a probability of 0.04, and once of 0.2.
	g.Expect(found).To(gomega.BeNumerically(">=", 0.99*streams))
}

// Guards against streams that only the router knows that began them because the routers that kept them
// have started anew.
func TestOriginsAreSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3, 2, 0.2)
	const streams = 500
	for i := range streams {
		f.deliver(start, f.routers[f.members[0].Address].Begin(start, origin, 30*time.Second, key(1_000_000+i), key(i)))
	}
	now := start
	ticks := func() {
		for range 8 {
			now = now.Add(250 * time.Millisecond)
			f.deliver(now, f.routers[f.members[0].Address].Tick(now))
		}
	}
	ticks()
	for i := 1; i < len(f.members); i++ {
		f.restart(now, i)
		ticks()
	}
	own := f.routers[f.members[0].Address]
	f.remove(f.members[0])
	found := 0
	for i := range streams {
		if f.finds(now, f.members[1+i%5], key(i)) {
			found++
		}
	}
	// Each of two replicas misses an origin with a probability of 0.04.
	g.Expect(found).To(gomega.BeNumerically(">=", 0.99*streams))
	now = now.Add(time.Minute)
	g.Expect(own.Tick(now)).To(gomega.BeEmpty())
	known, dropped := own.Counts()
	g.Expect(dropped).To(gomega.BeZero())
	own.Begin(now, origin, time.Second, key(1_000_000+1000), key(1000))
	known, _ = own.Counts()
	g.Expect(known).To(gomega.Equal(2), "expired origins are forgotten")
}

// Guards against streams that are lost while routers are stopped and started in turn: one that stops
// hands over what it keeps.
func TestOriginsSurviveARollOfAllRouters(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3, 2, 0)
	const streams = 200
	for i := range streams {
		f.deliver(start, f.routers[f.members[i%6].Address].Begin(start, origin, 60*time.Second, key(1_000_000+i), key(i)))
	}
	now := start
	for i := range f.members {
		now = now.Add(3 * time.Second)
		f.deliver(now, f.routers[f.members[i].Address].Close(now))
		f.restart(now, i)
	}
	for i := range streams {
		g.Expect(f.finds(now, f.members[i%6], key(i))).To(gomega.BeTrue(), "stream %d", i)
	}
}

// Guards against messages from each router to each as the fleet grows: a stream takes six datagrams
// at most, whatever the number of routers, and a search at most eight routers.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range [][2]int{{3, 2}, {3, 26}, {5, 60}, {20, 17}} {
		g := gomega.NewWithT(t)
		f := newFleet(size[0], size[1], 0)
		const streams = 1000
		now := start
		for i := range streams {
			m := f.members[i%len(f.members)]
			f.deliver(now, f.routers[m.Address].Begin(now, origin, 25*time.Second, key(1_000_000+i), key(i)))
			g.Expect(len(resumer.NewPlacement(m.Zone, f.others(m)).Candidates(key(i)))).To(gomega.BeNumerically("<=", 8))
		}
		for range 8 {
			now = now.Add(250 * time.Millisecond)
			for _, m := range f.members {
				f.deliver(now, f.routers[m.Address].Tick(now))
			}
		}
		g.Expect(f.entries).To(gomega.BeNumerically("<=", 6*streams))
		g.Expect(f.messages).To(gomega.BeNumerically("<=", 6*streams))
		g.Expect(f.messages).To(gomega.BeNumerically(">=", 2*streams))
	}
}
