package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/enroller"
	"rattanhoist.example/rattanhoist/quarantiner"
)

var epoch = time.Unix(0, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func named(n uint64) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{Workspace: "labone", Sum: n}
}

func endpoint(n int) enroller.Incarnation { return enroller.Incarnation{ID: fmt.Sprint("e", n)} }

// ends tells that an endpoint ended under requests; what is sent there in the moment
// comes first.
func ends(r *quarantiner.Register, now time.Time, e int, requests ...uint64) {
	for i, f := range requests {
		r.Hear(now, quarantiner.Crash{Request: named(f), Endpoint: endpoint(e), At: now, Underway: time.Duration(1+i) * 100 * time.Millisecond})
	}
}

func TestThirdEndHoldsARequestBack(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Hour)
	ends(r, at(0), 1, 7, 8)
	ends(r, at(1), 2, 7, 9)
	g.Expect(r.Due(at(100))).To(gomega.BeEmpty(), "two ends")
	ends(r, at(100), 2, 7)
	g.Expect(r.Due(at(110))).To(gomega.BeEmpty(), "an end that is told twice is one")
	ends(r, at(110), 3, 7, 10)
	g.Expect(r.Due(at(110.1))).To(gomega.BeEmpty(), "others may still tell of that end")
	g.Expect(r.Due(at(110.9))).To(gomega.Equal([]quarantiner.Fingerprint{named(7)}))
	r.Hold([]quarantiner.Fingerprint{named(7)})
	g.Expect(r.Due(at(111))).To(gomega.BeEmpty())
}

// Symptom: a harmless request is held back.
// Sequence: it runs beside the one that ends endpoints, is repeated elsewhere, and is
// beside it there again, three times.
// Cause: ends counted against all that was under way.
func TestRequestRepeatedBesideTheOneToBlameIsNotHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Hour)
	for e := 1; e <= 3; e++ {
		// The harmless one was told of first.
		r.Hear(at(float64(e)), quarantiner.Crash{Request: named(1), Endpoint: endpoint(e), At: at(float64(e)), Underway: time.Second})
		ends(r, at(float64(e)+0.1), e, 7)
	}
	g.Expect(r.Due(at(5))).To(gomega.Equal([]quarantiner.Fingerprint{named(7)}))
	r.Hold([]quarantiner.Fingerprint{named(7)})
	ends(r, at(6), 4, 7, 1)
	g.Expect(r.Due(at(10))).To(gomega.BeEmpty(), "what had been sent before it was held back")
	ends(r, at(11), 5, 1)
	ends(r, at(12), 6, 1)
	g.Expect(r.Due(at(20))).To(gomega.BeEmpty())
	ends(r, at(21), 7, 1)
	g.Expect(r.Due(at(30))).To(gomega.Equal([]quarantiner.Fingerprint{named(1)}), "three ends of its own")
}

// Symptom: a harmless request is held back, and the one to blame ends three more.
// Sequence: both were under way at three endpoints that ended; the router that had the
// one to blame tells of the third end half a second after the others.
// Cause: each request's ends counted from when its own were told of.
func TestLateWordOfTheOneToBlame(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Hour)
	for e := 1; e <= 3; e++ {
		r.Hear(at(float64(e)), quarantiner.Crash{Request: named(1), Endpoint: endpoint(e), At: at(float64(e)), Underway: time.Second})
		ends(r, at(float64(e)+0.6), e, 7)
	}
	for _, s := range []float64{3.1, 3.4, 3.7} {
		g.Expect(r.Due(at(s))).To(gomega.BeEmpty())
	}
	g.Expect(r.Due(at(3.9))).To(gomega.Equal([]quarantiner.Fingerprint{named(7)}))
}

func TestTwoToBlameAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Hour)
	for e := 1; e <= 6; e++ {
		ends(r, at(float64(e)), e, 7+uint64(e%2), 100+uint64(e))
	}
	g.Expect(r.Due(at(10))).To(gomega.ConsistOf(named(7), named(8)))
}

func TestCrashesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Minute)
	ends(r, at(0), 1, 7)
	ends(r, at(50), 2, 7)
	ends(r, at(61), 3, 7)
	g.Expect(r.Due(at(62))).To(gomega.BeEmpty())
	ends(r, at(63), 4, 7)
	g.Expect(r.Due(at(64))).To(gomega.Equal([]quarantiner.Fingerprint{named(7)}))
	// A flood of ends drives the oldest out, and leaves none behind half.
	for e := range 20_000 {
		ends(r, at(65), 10+e, 1_000+uint64(e))
	}
	g.Expect(r.Due(at(70))).To(gomega.BeEmpty())
}

// Load pattern: twelve engines with eighteen streams each; every stream that is cut off
// comes back up to three times, one request comes back for ever and ends each engine that
// it is sent to. The one to blame is held back at its third end, and no other, whatever
// the luck.
func TestOnlyTheOneToBlameIsHeldBack(t *testing.T) {
	for seed := range uint64(200) {
		g := gomega.NewWithT(t)
		r := quarantiner.NewRegister(time.Hour)
		luck := rand.New(rand.NewPCG(seed, 26))
		var again []uint64
		var third, heldAt time.Time
		const poison = 1
		for n := 0; n < 30; n++ {
			now := at(float64(n) * 0.4)
			if n == 2 {
				third = now
			}
			// A third of those that were cut off before meet the poison one again.
			var beside []uint64
			for _, f := range again {
				if luck.IntN(3) == 0 {
					beside = append(beside, f)
				}
			}
			for range 18 - len(beside)/2 {
				beside = append(beside, luck.Uint64())
			}
			for i, f := range append([]uint64{poison}, beside...) {
				ran := time.Duration(luck.IntN(200)) * time.Millisecond
				if i > 0 {
					ran = time.Duration(luck.IntN(3000)) * time.Millisecond
				}
				r.Hear(now.Add(time.Duration(luck.IntN(300))*time.Millisecond), quarantiner.Crash{Request: named(f), Endpoint: endpoint(n), At: now, Underway: ran})
			}
			again = beside
			// Told within 0.3 s; keepers look as often.
			if due := r.Due(now.Add(390 * time.Millisecond)); len(due) > 0 {
				g.Expect(due).To(gomega.Equal([]quarantiner.Fingerprint{named(poison)}), "seed %d", seed)
				r.Hold(due)
				heldAt = now
			}
		}
		g.Expect(heldAt).To(gomega.BeTemporally(">", epoch), "seed %d", seed)
		g.Expect(heldAt).To(gomega.BeTemporally("<=", third.Add(1500*time.Millisecond)), "seed %d: half of the time that routers have", seed)
	}
}

// Symptom: a harmless request is refused for an hour.
// Sequence: half of the engines end at the same moment, three times; each time a long
// prompt was under way at one or two of them, and was sent on to another.
// Cause: ends that a rack, a release or a cut of power brought counted against what
// happened to run there.
// Proof: seen on days with such waves and no request to blame.
func TestEndsOfManyEndpointsAtOnceCountAgainstNone(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewRegister(time.Hour)
	n := 0
	for wave := range 4 {
		for e := range 7 {
			n++
			requests := []uint64{uint64(1_000 + n), uint64(2_000 + n)}
			if e < 2 {
				requests = append(requests, 1)
			}
			ends(r, at(4*float64(wave)+0.01*float64(e)), n, requests...)
		}
	}
	g.Expect(r.Due(at(100))).To(gomega.BeEmpty())
	// In between, one that ends engines is found all the same, also where callers send
	// it to three at once.
	for range 3 {
		n++
		ends(r, at(110), n, 7, uint64(1_000+n))
	}
	g.Expect(r.Due(at(112))).To(gomega.Equal([]quarantiner.Fingerprint{named(7)}))
}

func TestAnsweredRequestsAreRemembered(t *testing.T) {
	g := gomega.NewWithT(t)
	var r quarantiner.Recent
	g.Expect(r.Has(named(1))).To(gomega.BeFalse())
	for n := range uint64(5_000) {
		r.Add(named(n))
		r.Add(named(1))
	}
	g.Expect(r.Has(named(1))).To(gomega.BeTrue(), "asked for again and again")
	g.Expect(r.Has(named(2))).To(gomega.BeFalse(), "long ago")
}
