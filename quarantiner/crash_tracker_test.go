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

func fingerprint(n uint64) quarantiner.Fingerprint {
	return quarantiner.Fingerprint{Workspace: "labone", Sum: n}
}

func subject(n uint64) quarantiner.Subject { return quarantiner.RequestSubject(fingerprint(n)) }

func endpoint(n int) enroller.Incarnation { return enroller.Incarnation{ID: fmt.Sprint("e", n)} }

// crashes reports that an endpoint crashed during requests, the most recently sent first.
func crashes(r *quarantiner.CrashTracker, now time.Time, e int, requests ...uint64) {
	for i, f := range requests {
		r.Add(now, quarantiner.Crash{Request: fingerprint(f), Endpoint: endpoint(e), At: now, Elapsed: time.Duration(1+i) * 100 * time.Millisecond})
	}
}

func TestRequestIsQuarantinedAfterThirdCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Hour)
	crashes(r, at(0), 1, 7, 8)
	crashes(r, at(1), 2, 7, 9)
	g.Expect(r.ToQuarantine(at(100))).To(gomega.BeEmpty(), "two crashes")
	crashes(r, at(100), 2, 7)
	g.Expect(r.ToQuarantine(at(110))).To(gomega.BeEmpty(), "a crash that is reported twice counts once")
	crashes(r, at(110), 3, 7, 10)
	g.Expect(r.ToQuarantine(at(110.1))).To(gomega.BeEmpty(), "other requests may still be reported for that crash")
	g.Expect(r.ToQuarantine(at(110.9))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
	r.SetQuarantined(at(0), []quarantiner.Subject{subject(7)}, nil)
	g.Expect(r.ToQuarantine(at(111))).To(gomega.BeEmpty())
}

// Guards against quarantining a harmless request. It runs next to the cause of a crash, is retried
// elsewhere, and runs next to the cause there again, three times. Counting a crash against all
// requests in progress causes this.
func TestRequestRetriedNextToTheCauseIsNotQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Hour)
	for e := 1; e <= 3; e++ {
		// The harmless request is reported first.
		r.Add(at(float64(e)), quarantiner.Crash{Request: fingerprint(1), Endpoint: endpoint(e), At: at(float64(e)), Elapsed: time.Second})
		crashes(r, at(float64(e)+0.1), e, 7)
	}
	g.Expect(r.ToQuarantine(at(5))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
	r.SetQuarantined(at(0), []quarantiner.Subject{subject(7)}, nil)
	crashes(r, at(6), 4, 7, 1)
	g.Expect(r.ToQuarantine(at(10))).To(gomega.BeEmpty(), "requests sent before the quarantine")
	crashes(r, at(11), 5, 1)
	crashes(r, at(12), 6, 1)
	g.Expect(r.ToQuarantine(at(20))).To(gomega.BeEmpty())
	crashes(r, at(21), 7, 1)
	g.Expect(r.ToQuarantine(at(30))).To(gomega.Equal([]quarantiner.Subject{subject(1)}), "three crashes of its own")
}

// Guards against quarantining a harmless request, so that the cause crashes three more endpoints.
// Both were in progress at three endpoints that crashed, and the router with the cause reports the
// third crash half a second after the others. Measuring settleTime separately for each request
// causes this.
func TestLateReportOfTheCause(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Hour)
	for e := 1; e <= 3; e++ {
		r.Add(at(float64(e)), quarantiner.Crash{Request: fingerprint(1), Endpoint: endpoint(e), At: at(float64(e)), Elapsed: time.Second})
		crashes(r, at(float64(e)+0.6), e, 7)
	}
	for _, s := range []float64{3.1, 3.4, 3.7} {
		g.Expect(r.ToQuarantine(at(s))).To(gomega.BeEmpty())
	}
	g.Expect(r.ToQuarantine(at(3.9))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
}

func TestTwoCrashingRequestsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Hour)
	for e := 1; e <= 6; e++ {
		crashes(r, at(float64(e)), e, 7+uint64(e%2), 100+uint64(e))
	}
	g.Expect(r.ToQuarantine(at(10))).To(gomega.ConsistOf(subject(7), subject(8)))
}

func TestCrashesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Minute)
	crashes(r, at(0), 1, 7)
	crashes(r, at(50), 2, 7)
	crashes(r, at(61), 3, 7)
	g.Expect(r.ToQuarantine(at(62))).To(gomega.BeEmpty())
	crashes(r, at(63), 4, 7)
	g.Expect(r.ToQuarantine(at(64))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
	// Many new crashes evict the oldest, and leave no partial state behind.
	for e := range 20_000 {
		crashes(r, at(65), 10+e, 1_000+uint64(e))
	}
	g.Expect(r.ToQuarantine(at(70))).To(gomega.BeEmpty())
}

// Twelve engines run eighteen streams each. Every interrupted stream is retried up to three times.
// One request is retried forever and crashes each engine that it is sent to. It must be
// quarantined after its third crash, and no other request may be, for any random seed.
func TestOnlyTheCrashingRequestIsQuarantined(t *testing.T) {
	for seed := range uint64(200) {
		g := gomega.NewWithT(t)
		r := quarantiner.NewCrashTracker(time.Hour)
		rng := rand.New(rand.NewPCG(seed, 26))
		var retried []uint64
		var thirdCrashAt, quarantinedAt time.Time
		const crashing = 1
		for n := 0; n < 30; n++ {
			now := at(float64(n) * 0.4)
			if n == 2 {
				thirdCrashAt = now
			}
			// A third of the requests that were interrupted before run next to the cause again.
			var beside []uint64
			for _, f := range retried {
				if rng.IntN(3) == 0 {
					beside = append(beside, f)
				}
			}
			for range 18 - len(beside)/2 {
				beside = append(beside, rng.Uint64())
			}
			for i, f := range append([]uint64{crashing}, beside...) {
				ran := time.Duration(rng.IntN(200)) * time.Millisecond
				if i > 0 {
					ran = time.Duration(rng.IntN(3000)) * time.Millisecond
				}
				r.Add(now.Add(time.Duration(rng.IntN(300))*time.Millisecond), quarantiner.Crash{Request: fingerprint(f), Endpoint: endpoint(n), At: now, Elapsed: ran})
			}
			retried = beside
			// Crashes are reported within 0.3 s, and keepers check as often.
			if due := r.ToQuarantine(now.Add(390 * time.Millisecond)); len(due) > 0 {
				g.Expect(due).To(gomega.Equal([]quarantiner.Subject{subject(crashing)}), "seed %d", seed)
				r.SetQuarantined(now, due, nil)
				quarantinedAt = now
			}
		}
		g.Expect(quarantinedAt).To(gomega.BeTemporally(">", epoch), "seed %d", seed)
		g.Expect(quarantinedAt).To(gomega.BeTemporally("<=", thirdCrashAt.Add(1500*time.Millisecond)), "seed %d: half of the time allowed", seed)
	}
}

// Guards against refusing a harmless request for an hour. Half of the engines end at the same
// moment, three times. Each time a long prompt was in progress at one or two of them and was
// retried at another. Counting crashes that a rack, a release or a power loss caused against the
// requests in progress leads to this. It was seen on days with such waves and no request that
// crashes engines.
func TestSimultaneousCrashesOfManyEndpointsQuarantineNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	r := quarantiner.NewCrashTracker(time.Hour)
	n := 0
	for wave := range 4 {
		for e := range 7 {
			n++
			requests := []uint64{uint64(1_000 + n), uint64(2_000 + n)}
			if e < 2 {
				requests = append(requests, 1)
			}
			crashes(r, at(4*float64(wave)+0.01*float64(e)), n, requests...)
		}
	}
	g.Expect(r.ToQuarantine(at(100))).To(gomega.BeEmpty())
	// A request that crashes engines is still found in between, even if callers send it to three
	// at once.
	for range 3 {
		n++
		crashes(r, at(110), n, 7, uint64(1_000+n))
	}
	g.Expect(r.ToQuarantine(at(112))).To(gomega.Equal([]quarantiner.Subject{subject(7)}))
}

func TestAnsweredRequestsAreRemembered(t *testing.T) {
	g := gomega.NewWithT(t)
	var r quarantiner.AnsweredRequests
	g.Expect(r.Has(fingerprint(1))).To(gomega.BeFalse())
	for n := range uint64(5_000) {
		r.Add(fingerprint(n))
		r.Add(fingerprint(1))
	}
	g.Expect(r.Has(fingerprint(1))).To(gomega.BeTrue(), "answered repeatedly")
	g.Expect(r.Has(fingerprint(2))).To(gomega.BeFalse(), "answered long ago")
}
