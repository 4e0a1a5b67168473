package courier

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/publisher"
)

// Guards against a router that serves requests by its current document although it has
// heard of a newer one and can't fetch it, for example over a link that callers fill.
func TestRouterRefusesWhileItsDocumentIsOutdated(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	f := startFleetWith(t, func(o *Options) {
		o.Decode = func([]byte) (*publisher.Document, error) { return &publisher.Document{Number: k.number()}, nil }
	}, serveStub(t, k))
	held := func() uint64 {
		x, _ := f.AwaitConfiguration(context.Background())
		if x == nil {
			return 0
		}
		return x.Number()
	}
	g.Eventually(held, 5*time.Second, 10*time.Millisecond).Should(gomega.Equal(uint64(1)))
	k.fetch.Store(int64(time.Minute))
	k.numberOffset.Store(1)
	time.Sleep(f.options.Node.ApplyTimeout())
	g.Expect(held()).To(gomega.BeZero())
	g.Consistently(held, time.Second, 10*time.Millisecond).Should(gomega.BeZero())
	k.fetch.Store(0)
	g.Eventually(held, 3*time.Second, 10*time.Millisecond).Should(gomega.Equal(uint64(2)))
}

// Guards against slow fetches that are aborted and restarted for as long as a link is full.
func TestSlowFetchIsNotAborted(t *testing.T) {
	g := gomega.NewWithT(t)
	k := &keeperStub{}
	k.fetch.Store(int64(2500 * time.Millisecond))
	f := startFleet(t, serveStub(t, k))
	g.Eventually(f.Index, 5*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeNil())
}

func TestAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	a, now := &announcements{}, time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	g.Expect(a.observe(at(0), 3, 3)).To(gomega.BeFalse())
	g.Expect(a.age(at(5))).To(gomega.BeZero())
	g.Expect(a.observe(at(5), 4, 3)).To(gomega.BeTrue())
	g.Expect(a.observe(at(7), 6, 3)).To(gomega.BeTrue())
	g.Expect(a.age(at(8))).To(gomega.Equal(3 * time.Second))
	a.markInForce(4)
	g.Expect(a.age(at(8))).To(gomega.Equal(time.Second), "counts from the report of document 6")
	a.reject(6)
	g.Expect(a.age(at(9))).To(gomega.BeZero(), "an unreadable document does not stop service")
	a.observe(at(9), 6, 4)
	g.Expect(a.age(at(20))).To(gomega.BeZero())
	a.observe(at(20), 7, 4)
	g.Expect(a.age(at(21))).To(gomega.Equal(time.Second))
}
