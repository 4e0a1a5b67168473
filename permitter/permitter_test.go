package permitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// requester is a router in a test: it states its requests at one endpoint.
type requester struct {
	name     string
	sequence uint64
	requests int
}

func (r *requester) hold(added int) Hold {
	r.sequence++
	return Hold{Router: r.name, Process: 1, Sequence: r.sequence, Requests: r.requests + added}
}

// ask asks for a permit and reports whether it was granted.
func (r *requester) ask(c *Coordinator, now time.Time, slots int, l Load) bool {
	if !c.Grant(now, "e", slots, l, r.hold(1)) {
		return false
	}
	r.requests++
	return true
}

func (r *requester) end(c *Coordinator, now time.Time) {
	r.requests--
	c.Record(now, "e", r.hold(0))
}

// Guards against routers that each take the slots which the same report shows as free.
func TestRoutersShareTheFreeSlots(t *testing.T) {
	for _, routers := range []int{2, 58, 340} {
		g, c := gomega.NewWithT(t), NewCoordinator()
		load, granted := Load{Requests: 5, At: at(0)}, 0
		for i := range routers {
			for range 12 {
				if (&requester{name: fmt.Sprint(i, "-", granted)}).ask(c, at(100), 12, load) {
					granted++
				}
			}
		}
		g.Expect(granted).To(gomega.Equal(Limit(12)-reserve(12)-5), "%d routers", routers)
	}
}

// Guards against requests beyond the slots of an endpoint, and against slots that are left empty, while
// routers begin and end requests in any order and reports are up to LoadTTL old or missing.
func TestPermitsStayWithinTheSlots(t *testing.T) {
	for seed := range uint64(50) {
		g, c, r := gomega.NewWithT(t), NewCoordinator(), rand.New(rand.NewPCG(seed, 1))
		const slots = 12
		routers := make([]*requester, 58)
		for i := range routers {
			routers[i] = &requester{name: fmt.Sprint(i)}
		}
		running, most, sum, load := 0, 0, 0, Load{}
		const steps = 6_000
		for ms := range steps {
			x := routers[r.IntN(len(routers))]
			switch {
			case x.requests > 0 && r.IntN(4) == 0:
				x.end(c, at(ms))
				running--
			case x.ask(c, at(ms), slots, load):
				running++
			}
			if r.IntN(200) == 0 {
				load = Load{Requests: running, At: at(ms)}
			}
			if ms%400 == 0 {
				for _, x := range routers {
					c.Record(at(ms), "e", x.hold(0))
				}
			}
			most = max(most, running)
			if at(ms).Sub(start) >= HoldTTL {
				sum += running
			}
		}
		g.Expect(most).To(gomega.BeNumerically("<=", Limit(slots)), "seed %d", seed)
		mean := float64(sum) / (steps - float64(HoldTTL.Milliseconds()))
		g.Expect(mean).To(gomega.BeNumerically(">=", 0.5*slots), "seed %d", seed)
	}
}

// Guards against more permits than slots while messages are lost, repeated or overtaken by later ones, and
// against permits that are lost for good with the message that gives them back.
func TestLostAndReorderedMessages(t *testing.T) {
	g, c := gomega.NewWithT(t), NewCoordinator()
	a, b := &requester{name: "a"}, &requester{name: "b"}
	for ms := range 6 {
		g.Expect(a.ask(c, at(ms), 8, Load{At: at(0)})).To(gomega.BeTrue())
	}
	g.Expect(b.ask(c, at(10), 8, Load{At: at(0)})).To(gomega.BeFalse())

	again := Hold{Router: "a", Process: 1, Sequence: a.sequence, Requests: 6}
	g.Expect(c.Grant(at(11), "e", 8, Load{At: at(0)}, again)).To(gomega.BeTrue(), "asked twice, as the answer was lost")
	late := Hold{Router: "a", Process: 1, Sequence: 2, Requests: 2}
	c.Record(at(12), "e", late)
	g.Expect(b.ask(c, at(13), 8, Load{At: at(0)})).To(gomega.BeFalse(), "an earlier statement changes nothing")

	a.requests = 0
	g.Expect(b.ask(c, at(1_999), 8, Load{At: at(1_990)})).To(gomega.BeFalse(), "its end is not known")
	g.Expect(b.ask(c, at(2_006), 8, Load{At: at(2_000)})).To(gomega.BeTrue(), "nothing was heard of it")
	c.Record(at(2_010), "e", Hold{Router: "a", Process: 2, Sequence: 1, Requests: 1})
	g.Expect(c.ledgers["e"].requests(at(2_011), "a")).To(gomega.Equal(1), "it has started again")
}

// Guards against a coordinator that has just taken over, and fills an endpoint with requests beside those
// that another one granted and that it does not know of yet.
func TestNewCoordinatorStartsSlowly(t *testing.T) {
	g, c := gomega.NewWithT(t), NewCoordinator()
	granted := 0
	for i := range 20 {
		if (&requester{name: fmt.Sprint(i)}).ask(c, at(i), 12, Load{}) {
			granted++
		}
	}
	g.Expect(granted).To(gomega.Equal(2))
	x := &requester{name: "x"}
	g.Expect(x.ask(c, at(100), 12, Load{Requests: 10, At: at(99)})).To(gomega.BeFalse(), "it is full by its report")
	g.Expect(x.ask(c, at(300), 12, Load{Requests: 3, At: at(299)})).To(gomega.BeTrue(), "it has room by its report")
	for i := range 20 {
		c.Record(at(1_900), "e", Hold{Router: fmt.Sprint(i), Process: 1, Sequence: 9, Requests: 0})
	}
	g.Expect(x.ask(c, at(2_100), 12, Load{})).To(gomega.BeTrue(), "by now all routers have stated their requests")
}

// Guards against new requests to an endpoint that has more than is known, and against a slot that stays
// empty after a request has ended until the endpoint reports again.
func TestRejectionPausesAndEndFreesASlot(t *testing.T) {
	g, c := gomega.NewWithT(t), NewCoordinator()
	x := &requester{name: "x"}
	full := Load{Requests: 8, At: at(100)}
	g.Expect(c.Grant(at(0), "e", 12, Load{At: at(0)}, x.hold(1))).To(gomega.BeTrue())
	x.requests++
	g.Expect(x.ask(c, at(110), 12, full)).To(gomega.BeFalse())
	x.end(c, at(300))
	g.Expect(x.ask(c, at(301), 12, full)).To(gomega.BeTrue(), "one of the eight has ended")
	c.RecordRejection(at(450), at(400), "e")
	g.Expect(x.ask(c, at(1_399), 12, Load{At: at(340)})).To(gomega.BeFalse())
	g.Expect(x.ask(c, at(1_400), 12, Load{At: at(340)})).To(gomega.BeTrue(), "a quarter, as its load is not known")
	c.RecordRejection(at(2_010), at(2_010), "e")
	g.Expect(x.ask(c, at(2_012), 12, Load{Requests: 11, At: at(2_010)})).To(gomega.BeFalse())
	g.Expect(x.ask(c, at(2_200), 12, Load{Requests: 7, At: at(2_199)})).To(gomega.BeTrue(), "it has reported its load since")
}

// Guards against ledgers of endpoints that are gone.
func TestIdleLedgersAreRemoved(t *testing.T) {
	g, c := gomega.NewWithT(t), NewCoordinator()
	g.Expect(c.Grant(at(0), "e", 12, Load{At: at(0)}, Hold{Router: "x", Requests: 1})).To(gomega.BeTrue())
	c.Sweep(at(9_000))
	g.Expect(c.ledgers).To(gomega.HaveLen(1))
	c.Sweep(at(11_000))
	g.Expect(c.ledgers).To(gomega.BeEmpty())
	g.Expect(Limit(1)).To(gomega.Equal(1))
}
