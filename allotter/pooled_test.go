package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/allotter"
	"rattanhoist.example/rattanhoist/messenger"
)

// pooledZone is the routers of one availability zone, one of which owns the zone's tokens.
type pooledZone struct {
	name               string
	owner              *allotter.Allocation
	incarnation        uint64
	sequence, answered uint64
	started            time.Time
	borrowers          []*allotter.Allocation
	// Reservations holds the tokens reserved for each borrower's running requests.
	reservations [][]int64
}

type pooledSimulation struct {
	t               *testing.T
	rand            *rand.Rand
	ledger          *allotter.Ledger
	now             time.Time
	zones           []*pooledZone
	delivered       int64
	nextIncarnation uint64
	// Reliable prevents the loss of messages.
	reliable bool
}

func (w *pooledSimulation) messageLost() bool { return !w.reliable && w.rand.IntN(20) == 0 }

// claim settles the owner's allocation with the keepers. If the answer is lost, the allocation
// stays as it was.
func (w *pooledSimulation) claim(z *pooledZone) {
	c := z.owner.NextClaim(w.now, workspace, 0, 400*time.Millisecond)
	z.sequence++
	change := &messenger.RightsChange{
		Router: z.name, Incarnation: z.incarnation, Claims: []*messenger.RightsClaim{c}, Sequence: z.sequence, Answered: z.answered,
		Sent: momentAt(w.now), Started: momentAt(z.started), Binding: true,
	}
	if w.messageLost() {
		return
	}
	g := w.ledger.ApplyClaims(change)
	if w.messageLost() || g.Ended {
		return
	}
	z.answered = z.sequence
	z.owner.ApplyGrant(g.Grants[0], c, w.now)
}

// request starts a request of n tokens at a borrower and reports whether it was admitted.
func (w *pooledSimulation) request(z *pooledZone, i int, n int64) bool {
	b := z.borrowers[i]
	if b.TryReserve(w.now, n) {
		z.reservations[i] = append(z.reservations[i], n)
		return true
	}
	got := z.owner.Reserve(w.now, n)
	if !got {
		w.claim(z)
		got = z.owner.RetryReserve(w.now, n)
	}
	if !got {
		return false
	}
	z.owner.Settle(n, n)
	if w.messageLost() {
		// The owner's answer was lost, so the tokens count as spent.
		return false
	}
	b.ReceiveReserved(n)
	z.reservations[i] = append(z.reservations[i], n)
	return true
}

// finish ends all requests of a borrower.
func (w *pooledSimulation) finish(z *pooledZone, i int) {
	for _, n := range z.reservations[i] {
		spent := w.rand.Int64N(n + 1)
		w.delivered += spent
		z.borrowers[i].Settle(n, spent)
	}
	z.reservations[i] = nil
	if n := z.borrowers[i].TakeIdle(w.now, 500); n > 0 && !w.messageLost() {
		z.owner.Receive(n)
	}
}

// restart replaces the process of the owner or of a borrower, whose requests end with it.
func (w *pooledSimulation) restart(z *pooledZone) {
	if i := w.rand.IntN(2 * len(z.borrowers)); i < len(z.borrowers) {
		for _, n := range z.reservations[i] {
			w.delivered += w.rand.Int64N(n + 1)
		}
		z.borrowers[i], z.reservations[i] = &allotter.Allocation{}, nil
		return
	}
	w.nextIncarnation++
	z.owner, z.incarnation, z.sequence, z.answered, z.started = &allotter.Allocation{}, w.nextIncarnation, 0, 0, w.now
}

// Guards against spending more than a total. In each of three zones, 40 routers borrow tokens for
// their requests from the owner. Answers and loans are lost, and owners and borrowers restart at
// any time.
func TestPooledTokensAreNeverOverspent(t *testing.T) {
	for seed := range uint64(30) {
		g := gomega.NewWithT(t)
		const total = 2_000_000
		w := &pooledSimulation{t: t, rand: rand.New(rand.NewPCG(seed, 1)), ledger: newLedger(total), now: time.Unix(1000, 0)}
		for i := range 3 {
			w.nextIncarnation++
			z := &pooledZone{name: fmt.Sprint("owner", i), owner: &allotter.Allocation{}, incarnation: w.nextIncarnation, started: w.now}
			for range 40 {
				z.borrowers, z.reservations = append(z.borrowers, &allotter.Allocation{}), append(z.reservations, nil)
			}
			w.zones = append(w.zones, z)
		}
		for range 20_000 {
			w.now = w.now.Add(time.Duration(w.rand.IntN(10)) * time.Millisecond)
			z := w.zones[w.rand.IntN(len(w.zones))]
			i := w.rand.IntN(len(z.borrowers))
			switch w.rand.IntN(100) {
			case 0:
				if w.rand.IntN(20) == 0 {
					w.restart(z)
				}
			case 1, 2, 3, 4, 5:
				w.claim(z)
			case 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20:
				w.finish(z, i)
			default:
				w.request(z, i, 1+w.rand.Int64N(3_000))
			}
			g.Expect(w.delivered).To(gomega.BeNumerically("<=", total), "seed %d", seed)
		}
	}
}

// Guards against tokens that stay with routers which no longer need them. Each of a zone's 197
// routers receives one request of a workspace in eight seconds, and the total is 1.3 times the
// day's demand. At most 3% of the requests may be refused.
func TestPooledTokensServeSparseDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	const routers, perSecond, seconds, mean = 197, 0.125, 25, 8_000
	w := &pooledSimulation{t: t, rand: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), reliable: true}
	w.ledger = newLedger(int64(float64(routers) * perSecond * seconds * mean * 13 / 10))
	z := &pooledZone{name: "owner", owner: &allotter.Allocation{}, incarnation: 1, started: w.now}
	for range routers {
		z.borrowers, z.reservations = append(z.borrowers, &allotter.Allocation{}), append(z.reservations, nil)
	}
	sent, refused := 0, 0
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < seconds*time.Second; at += step {
		w.now = w.now.Add(step)
		if at%(400*time.Millisecond) == 0 {
			w.claim(z)
		}
		for i := range routers {
			if len(z.reservations[i]) > 0 && w.rand.IntN(50) == 0 {
				w.finish(z, i)
			}
			if w.rand.Float64() < perSecond*step.Seconds() {
				sent++
				if !w.request(z, i, int64(mean*w.rand.ExpFloat64())+1) {
					refused++
				}
			}
		}
	}
	g.Expect(refused*100).To(gomega.BeNumerically("<=", sent*3), "refused of %d", sent)
}

// Guards against owners that each hold tokens which their zone does not need, so that requests are
// refused long before a total is spent. The fleet has 333 workspaces and 985 routers. Each of five
// zones receives a request of a small workspace every 2.4 s, and the total is 1.3 times the day's
// demand.
func TestOwnersOfAllZonesCanSpendATotal(t *testing.T) {
	g := gomega.NewWithT(t)
	const zones, perSecond, seconds, mean, workspaces = 5, 0.42, 25, 4_400, 40
	sent, refused, refusedThoughFitting := 0, 0, 0
	for seed := range uint64(workspaces) {
		w := &pooledSimulation{t: t, rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), reliable: true}
		total := int64(float64(zones) * perSecond * seconds * mean * 13 / 10)
		w.ledger = newLedger(total)
		for i := range zones {
			z := &pooledZone{name: fmt.Sprint("owner", i), owner: &allotter.Allocation{}, incarnation: uint64(i + 1), started: w.now}
			z.owner.SetPooledHolders(zones, total)
			z.borrowers, z.reservations = []*allotter.Allocation{{}}, [][]int64{nil}
			w.zones = append(w.zones, z)
		}
		spent := int64(0)
		const step = 10 * time.Millisecond
		for at := time.Duration(0); at < seconds*time.Second; at += step {
			w.now = w.now.Add(step)
			for i, z := range w.zones {
				if (at/step)%200 == time.Duration(i*40) {
					w.claim(z)
				}
				if w.rand.Float64() >= perSecond*step.Seconds() {
					continue
				}
				n := int64(mean*w.rand.ExpFloat64()) + 1
				sent++
				switch fits := spent+n <= total*97/100; {
				case w.request(w.zones[i], 0, n):
					spent += n
				case fits:
					refusedThoughFitting++
					refused++
				default:
					refused++
				}
			}
		}
	}
	t.Logf("refused %d of %d, %d of them although they fit", refused, sent, refusedThoughFitting)
	g.Expect(refusedThoughFitting*100).To(gomega.BeNumerically("<=", sent), "of %d", sent)
}
