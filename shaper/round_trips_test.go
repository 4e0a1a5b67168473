package shaper_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/shaper"
)

// Guards against a link that is taken for fast because the replies that would show its queue have not come yet.
func TestRoundTripsGrowWhileNothingIsReceived(t *testing.T) {
	g := gomega.NewWithT(t)
	var r shaper.RoundTrips
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(r.Delay(at(0))).To(gomega.BeZero(), "nothing is known")
	r.Sent(at(0))
	r.Received(at(2), at(0))
	g.Expect(r.Delay(at(10))).To(gomega.Equal(2 * time.Millisecond))
	r.Sent(at(100))
	r.Sent(at(500))
	g.Expect(r.Delay(at(900))).To(gomega.Equal(800*time.Millisecond), "since the first of two requests")
	g.Expect(r.Measured(at(900))).To(gomega.Equal(2*time.Millisecond), "it may be a partition")
	r.Received(at(1400), at(100))
	g.Expect(r.Delay(at(1500))).To(gomega.Equal(1300 * time.Millisecond))
	g.Expect(r.Delay(at(7000))).To(gomega.BeZero(), "out of date")
}

// Guards against waiting for ever where the other side is gone.
func TestRoundTripsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var r shaper.RoundTrips
	r.Sent(time.Unix(1000, 0))
	g.Expect(r.Delay(time.Unix(2000, 0))).To(gomega.Equal(2 * time.Second))
}
