package courier

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/messenger"
)

// Guards against a router that is killed at the end of its grace period because it still gives its rights
// back. Neither its keeper nor the router that is to have them answers.
func TestRightsAreGivenBackWithinTheExitMargin(t *testing.T) {
	g := gomega.NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = silent.Close() })
	r := startPartition(t, partition{})
	r.fleet.updatePeers([]*messenger.FleetMember{{Address: silent.Addr().String(), Zone: "z"}})
	k := &keeperStub{}
	k.cut.Store(true)
	r.fleet.currentKeeper.Store(messenger.NewLink(serveStub(t, k)))
	r.allocation("w")
	begun := time.Now()
	r.close(context.Background())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", exitMargin))
}

// Guards against a router that is killed at the end of its grace period because it waits for a silent keeper for as
// long as always although its answers to callers have taken longer than planned.
func TestRightsAreGivenBackInTheTimeThatIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startPartition(t, partition{})
	k := &keeperStub{}
	k.cut.Store(true)
	r.fleet.currentKeeper.Store(messenger.NewLink(serveStub(t, k)))
	r.allocation("w")
	node := loadTestNode(t, "")
	c := &Router{Options: Options{Node: node}, startedAt: time.Now().Add(-node.Grace()), fleet: r.fleet, rights: r}
	c.drainingSince.Store(1)
	begun := time.Now()
	c.handOver(context.Background())
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", closeTimeout), "no time is left")
}
